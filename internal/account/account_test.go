package account

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// endedLine returns the log line of an attempt that ended at a time after noon, with an
// outcome, a status and further JSON fields.
func endedLine(at time.Duration, outcome string, status int, fields string) string {
	return fmt.Sprintf(`{"@level":"info","@message":"request ended","@timestamp":%q,"format":1,"outcome":%q,"status":%d,%s}`+"\n",
		noon.Add(at).Format(time.RFC3339Nano), outcome, status, fields)
}

const letterFields = `"route":"letters","workspace":"w","domain":"d","prompt":6000,"output":300,"goal_ms":800,"gap_goal_ms":500,`

func readLines(t *testing.T, options Options, lines ...string) *Summary {
	t.Helper()
	r := NewReader(options)
	require.NoError(t, r.Read(strings.NewReader(strings.Join(lines, ""))))
	return r.Summary()
}

var manyAttempts = Options{MaxAttempts: 1000}

func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		line string
		want Outcome
	}{
		"in time":       {endedLine(time.Second, "answered", 200, letterFields+`"same":"a","ms":900,"first_ms":300,"pause_ms":400`), InTime},
		"first event":   {endedLine(time.Second, "answered", 200, letterFields+`"same":"a","ms":1900,"first_ms":900`), LateFirstEvent},
		"pauses":        {endedLine(time.Second, "answered", 200, letterFields+`"same":"a","ms":1900,"first_ms":90,"pause_ms":501`), LateGap},
		"target failed": {endedLine(time.Second, "answered", 500, `"route":"orders"`), TargetFailed},
		"target denied": {endedLine(time.Second, "answered", 409, `"route":"orders"`), Denied},
		"denied":        {endedLine(time.Second, "unauthorized", 401, `"route":"letters"`), Denied},
		"left":          {endedLine(time.Second, "caller_gone", 0, letterFields+`"same":"a"`), CallerDisconnected},
		"deadline":      {endedLine(time.Second, "deadline", 504, letterFields+`"same":"a"`), DeadlineExpired},
		"lost":          {endedLine(time.Second, "connection_lost", 502, letterFields+`"same":"a"`), TargetLost},
		"refused":       {endedLine(time.Second, "overloaded", 503, letterFields+`"same":"a","room":"share"`), "refused overloaded share"},
		"too old":       {endedLine(time.Second, "not_ready", 503, `"detail":"table too old for keys"`), "refused not_ready (table too old for keys)"},
	} {
		summary := readLines(t, manyAttempts, c.line)
		require.Contains(t, summary.Outcomes, c.want, name)
		require.Equal(t, 1, summary.Requests, name)
		require.Equal(t, strings.HasPrefix(name, "refused") || name == "too old", c.want.Refused(), name)
	}
}

// The attempts of one request are in the logs of two gates, and the log with the later
// attempt is read first.
func TestJoinAttemptsAcrossGates(t *testing.T) {
	retry := endedLine(1200*time.Millisecond, "answered", 200, letterFields+`"same":"a","ms":700,"first_ms":100`)
	refused := endedLine(300*time.Millisecond, "overloaded", 503, letterFields+`"same":"a","ms":0,"room":"share"`)
	otherRequest := endedLine(400*time.Millisecond, "overloaded", 503, letterFields+`"same":"b","ms":0,"room":"share"`)
	laterRequest := endedLine(60*time.Second, "overloaded", 503, letterFields+`"same":"b","ms":0,"room":"idle"`)
	summary := readLines(t, manyAttempts, retry, refused, otherRequest, laterRequest)
	require.Equal(t, 4, summary.Attempts)
	require.Equal(t, 3, summary.Requests, "the attempt after 60 s is a new request")
	require.Equal(t, 1, summary.Retried)
	require.Equal(t, 1, summary.Total.InTime, "the retry is served within the objective, counted from the refused attempt")
	require.Equal(t, map[int]int{200: 1, 503: 3}, summary.Statuses)
	require.Equal(t, 1, summary.Seconds[0].InTime)

	lateRetry := endedLine(2*time.Second, "answered", 200, letterFields+`"same":"a","ms":1000,"first_ms":200`)
	summary = readLines(t, manyAttempts, lateRetry, refused)
	require.Contains(t, summary.Outcomes, LateRetried)
}

func TestAnsweredRequestNotJoined(t *testing.T) {
	first := endedLine(time.Second, "answered", 200, letterFields+`"same":"a","first_ms":100`)
	second := endedLine(2*time.Second, "answered", 200, letterFields+`"same":"a","first_ms":100`)
	require.Equal(t, 2, readLines(t, manyAttempts, first, second).Requests)
}

func TestSkippedLinesCounted(t *testing.T) {
	validLine := endedLine(time.Second, "answered", 200, letterFields+`"same":"a","first_ms":100`)
	summary := readLines(t, manyAttempts,
		"panic: not a log line\n",
		"12.3 gate-1 "+validLine, // log collectors add a prefix
		validLine[:len(validLine)/2]+"\n",
		strings.Replace(validLine, `"format":1`, `"format":7`, 1),
		strings.Replace(validLine, `"format":1,`, ``, 1),
		`{"@level":"warn","@message":"log lines dropped","count":12}`+"\n",
		`{"@level":"info","@message":"table changed","version":3}`+"\n")
	require.Equal(t, SkippedLines{NotLogLines: 1, Truncated: 1, OtherVersion: 2, Dropped: 12}, summary.Skipped)
	require.Equal(t, 1, summary.Requests)
}

func TestMaxAttemptsBoundsMemory(t *testing.T) {
	var lines []string
	for i := range 50 {
		lines = append(lines, endedLine(time.Second, "answered", 200, letterFields+fmt.Sprintf(`"same":"%d"`, i)))
	}
	summary := readLines(t, Options{MaxAttempts: 20}, lines...)
	require.Equal(t, 50, summary.Attempts)
	require.Equal(t, 20, summary.Requests)
	require.Equal(t, 30, summary.Skipped.AboveMaxAttempts)
}

func TestSizeClasses(t *testing.T) {
	var lines []string
	for i := range 100 {
		status, outcome := 200, "answered"
		if i >= 90 { // the largest tenth
			status, outcome = 503, "overloaded"
		}
		lines = append(lines, endedLine(time.Second, outcome, status,
			fmt.Sprintf(`"route":"letters","same":"%d","prompt":%d`, i, 100<<(i/10))))
	}
	sizes := readLines(t, manyAttempts, lines...).Sizes["letters"]
	for _, name := range fifthNames[:4] {
		require.Equal(t, tally{20, 20, sizes[name].Work, sizes[name].Work}, *sizes[name], name)
	}
	require.Equal(t, 10, sizes[fifthNames[4]].InTime)
	require.Equal(t, 10, sizes[largestTenth].Requests)
	require.Zero(t, sizes[largestTenth].InTime)
}

// Two workspaces request the same, and one of them is refused eight of ten times in every second.
func TestFairnessMarginOfRefusedWorkspace(t *testing.T) {
	var lines []string
	add := func(at time.Duration, workspace, outcome string, status int) { // 100 tokens of work
		lines = append(lines, endedLine(at, outcome, status, fmt.Sprintf(
			`"route":"letters","workspace":%q,"prompt":80,"output":10,"goal_ms":800,"ms":0,"same":"%d"`, workspace, len(lines))))
	}
	for i := range 80 {
		at := time.Duration(i)*100*time.Millisecond + 150*time.Millisecond
		add(at, "served", "answered", 200)
		if i%10 < 2 {
			add(at, "refused", "answered", 200)
		} else {
			add(at, "refused", "overloaded", 503)
		}
	}
	summary := readLines(t, manyAttempts, lines...)
	require.Len(t, summary.Fairness, 1, "the other workspace was never refused")
	window := summary.Fairness[0]
	require.Equal(t, "refused", window.Workspace)
	require.InDelta(t, 6000, window.FairShare, 1e-9)
	require.InDelta(t, 1200, window.Served, 1e-9)
	require.InDelta(t, 2700, window.Floor, 1e-9)
	require.True(t, window.Starved())
	var tables bytes.Buffer
	require.NoError(t, summary.WriteTables(&tables))
	require.Contains(t, tables.String(), "refused  12:00:00.15       6000        6000    1200   2700  -0.250         6000")
}

func TestWriteFormats(t *testing.T) {
	summary := readLines(t, manyAttempts,
		endedLine(time.Second, "answered", 200, letterFields+`"same":"a","first_ms":100`),
		endedLine(time.Second, "overloaded", 503, letterFields+`"same":"<script>","room":"share","workspace":"<script>"`))
	var tables, page, jsonOutput bytes.Buffer
	require.NoError(t, summary.WriteTables(&tables))
	require.Contains(t, tables.String(), "refused overloaded share")
	require.Contains(t, tables.String(), "12:00:01")
	require.NoError(t, summary.WritePage(&page))
	require.Contains(t, page.String(), "refused overloaded share")
	require.NotContains(t, page.String(), "<script", "text from callers is escaped, and the page has no scripts")
	require.NotContains(t, page.String(), "http", "the page loads nothing from the network")
	require.NoError(t, summary.WriteJSON(&jsonOutput))
	var decoded Summary
	require.NoError(t, json.Unmarshal(jsonOutput.Bytes(), &decoded))
	require.Equal(t, summary.Outcomes, decoded.Outcomes)
}

func FuzzReader(f *testing.F) {
	f.Add([]byte(endedLine(time.Second, "answered", 200, letterFields+`"same":"a"`)))
	f.Add([]byte(`{"@message":"request ended","format":1,"@timestamp":"2026-12-04T12:00:00Z","ms":-9223372036854775808,"prompt":-5}`))
	f.Fuzz(func(t *testing.T, lines []byte) {
		r := NewReader(manyAttempts)
		if err := r.Read(bytes.NewReader(lines)); err != nil {
			return // a line exceeds maxLineBytes
		}
		a := r.Summary()
		total := 0
		for _, tally := range a.Outcomes {
			total += tally.Requests
		}
		require.Equal(t, a.Requests, total, "every request has one outcome")
		require.NoError(t, a.WritePage(&bytes.Buffer{}))
	})
}
