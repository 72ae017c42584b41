package account

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/eventlog"
)

// Reasons to skip a line.
var (
	errNotLogLine   = errors.New("not a log line")
	errTruncated    = errors.New("truncated log line")
	errOtherVersion = errors.New("log line of another format version")
)

// Messages of the lines that are evaluated.
const (
	messageEnded   = "request ended"
	messageDropped = "log lines dropped"
)

// logLine is a log line of a gate; absent fields are zero.
type logLine struct {
	Message               string    `json:"@message"`
	At                    time.Time `json:"@timestamp"`
	Format                int       `json:"format"`
	Count                 int       `json:"count"`
	Fingerprint           string    `json:"same"`
	Outcome               string    `json:"outcome"`
	Status                int       `json:"status"`
	DurationMS            int64     `json:"ms"`
	FirstEventMS          int64     `json:"first_ms"`
	MaxGapMS              int64     `json:"pause_ms"`
	FirstEventObjectiveMS int64     `json:"goal_ms"`
	GapObjectiveMS        int64     `json:"gap_goal_ms"`
	Sends                 int       `json:"sends"`
	Route                 string    `json:"route"`
	Workspace             string    `json:"workspace"`
	Domain                string    `json:"domain"`
	Tier                  string    `json:"room"`
	Detail                string    `json:"detail"`
	PromptTokens          int       `json:"prompt"`
	OutputTokens          int       `json:"output"`
	UncachedTokens        int       `json:"missing"`
}

// linePrefix is the start of each line. Log collectors may add text before it.
var linePrefix = []byte(`{"@`)

func decodeLine(raw []byte) (*logLine, error) {
	start := bytes.Index(raw, linePrefix)
	if start < 0 {
		return nil, errNotLogLine
	}
	var l logLine
	if err := json.Unmarshal(raw[start:], &l); err != nil {
		return nil, errors.Mark(err, errTruncated)
	}
	if l.Message == messageEnded && l.Format != eventlog.FormatVersion {
		return nil, errOtherVersion
	}
	return &l, nil
}
