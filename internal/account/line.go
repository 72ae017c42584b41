package account

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/eventlog"
)

// Reasons for which a line is not used.
var (
	errNotALine    = errors.New("no log line")
	errCut         = errors.New("line is cut")
	errOtherFormat = errors.New("line of another version")
)

// Messages of the lines that count.
const (
	messageEnded   = "request ended"
	messageDropped = "log lines dropped"
)

// line is a log line of a gate; fields that it lacks are zero.
type line struct {
	Message   string    `json:"@message"`
	At        time.Time `json:"@timestamp"`
	Format    int       `json:"format"`
	Count     int       `json:"count"`
	Same      string    `json:"same"`
	Outcome   string    `json:"outcome"`
	Status    int       `json:"status"`
	MS        int64     `json:"ms"`
	FirstMS   int64     `json:"first_ms"`
	PauseMS   int64     `json:"pause_ms"`
	GoalMS    int64     `json:"goal_ms"`
	GapGoalMS int64     `json:"gap_goal_ms"`
	Sends     int       `json:"sends"`
	Route     string    `json:"route"`
	Workspace string    `json:"workspace"`
	Domain    string    `json:"domain"`
	Room      string    `json:"room"`
	Detail    string    `json:"detail"`
	Prompt    int       `json:"prompt"`
	Output    int       `json:"output"`
	Missing   int       `json:"missing"`
}

// lineStart begins each line; whoever gathers the lines may put something before it.
var lineStart = []byte(`{"@`)

func decodeLine(raw []byte) (*line, error) {
	from := bytes.Index(raw, lineStart)
	if from < 0 {
		return nil, errNotALine
	}
	var l line
	if err := json.Unmarshal(raw[from:], &l); err != nil {
		return nil, errors.Mark(err, errCut)
	}
	if l.Message == messageEnded && l.Format != eventlog.FormatVersion {
		return nil, errOtherFormat
	}
	return &l, nil
}
