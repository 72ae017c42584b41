package account

import (
	"bufio"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/starvation"
)

// Options configures a Reader.
type Options struct {
	// MaxAttempts bounds the attempts held in memory. Further attempts are only counted,
	// as SkippedLines.AboveMaxAttempts.
	MaxAttempts int
}

// maxLineBytes bounds the length of a line. Lines of gates have about 700 bytes.
const maxLineBytes = 64 << 10

// Reader collects the attempts from the log lines of gates.
type Reader struct {
	options       Options
	attempts      []attempt
	skipped       SkippedLines
	endedAttempts int
}

// SkippedLines counts, by reason, the lines that are not in the summary.
type SkippedLines struct {
	NotLogLines      int `json:"foreign_lines"`
	Truncated        int `json:"cut_lines"`
	OtherVersion     int `json:"lines_of_another_version"`
	Dropped          int `json:"lines_dropped_by_gates"`
	AboveMaxAttempts int `json:"attempts_beyond_the_bound"`
}

// NewReader returns a reader without any lines.
func NewReader(options Options) *Reader { return &Reader{options: options} }

// Read adds all lines of in, which may be from several gates. It fails if reading fails
// or a line exceeds maxLineBytes.
func (r *Reader) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		r.addLine(scanner.Bytes())
	}
	return errors.Wrap(scanner.Err(), "reading log lines")
}

func (r *Reader) addLine(raw []byte) {
	line, err := decodeLine(raw)
	switch {
	case errors.Is(err, errNotLogLine):
		r.skipped.NotLogLines++
		return
	case errors.Is(err, errTruncated):
		r.skipped.Truncated++
		return
	case errors.Is(err, errOtherVersion):
		r.skipped.OtherVersion++
		return
	}
	switch line.Message {
	case messageDropped:
		r.skipped.Dropped += line.Count
	case messageEnded:
		r.endedAttempts++
		if len(r.attempts) >= r.options.MaxAttempts {
			r.skipped.AboveMaxAttempts++
			return
		}
		start := line.At.Add(-time.Duration(line.DurationMS) * time.Millisecond)
		r.attempts = append(r.attempts, attempt{start: start, line: line})
	}
}

// Summary counts the same requests by several criteria, to show which requests were not
// served in time.
type Summary struct {
	Attempts   int                           `json:"attempts"`
	Requests   int                           `json:"requests"`
	Retried    int                           `json:"returned"`
	Total      tally                         `json:"total"`
	Outcomes   map[Outcome]*tally            `json:"fates"`
	Routes     map[string]map[Outcome]*tally `json:"routes"`
	Sizes      map[string]map[string]*tally  `json:"sizes"` // by route
	Workspaces map[string]*tally             `json:"workspaces"`
	Domains    map[string]*tally             `json:"failure_domains"`
	Seconds    []tally                       `json:"seconds"`
	Statuses   map[int]int                   `json:"attempts_by_status"`
	Skipped    SkippedLines                  `json:"unread"`
	// Fairness holds for each workspace the window with the least margin above the
	// fairness floor, least first.
	Fairness    []starvation.Window `json:"fairness"`
	sizeClasses map[string]map[int]*tally
	start       time.Time
}

// Summary returns the summary of all lines read so far.
func (r *Reader) Summary() *Summary {
	summary := &Summary{
		Attempts: r.endedAttempts, Skipped: r.skipped,
		Outcomes: make(map[Outcome]*tally), Routes: make(map[string]map[Outcome]*tally),
		Sizes: make(map[string]map[string]*tally), Workspaces: make(map[string]*tally),
		Domains: make(map[string]*tally), Statuses: make(map[int]int),
		sizeClasses: make(map[string]map[int]*tally),
	}
	requests := joinAttempts(r.attempts)
	for i := range requests {
		summary.addRequest(&requests[i])
	}
	summary.addFairness(requests)
	for route, classes := range summary.sizeClasses {
		summary.Sizes[route] = tallySizes(classes)
	}
	return summary
}

func tallyOf[K comparable, V any](m map[K]*V, key K) *V {
	v := m[key]
	if v == nil {
		v = new(V)
		m[key] = v
	}
	return v
}

func (s *Summary) addRequest(r *request) {
	if s.Requests == 0 {
		s.start = r.attempts[0].start
	}
	s.Requests++
	if len(r.attempts) > 1 {
		s.Retried++
	}
	for _, a := range r.attempts {
		s.Statuses[a.line.Status]++
	}
	l, outcome := r.last(), r.outcome()
	work, inTime := l.work(), outcome == InTime
	s.Total.add(work, inTime)
	tallyOf(s.Outcomes, outcome).add(work, inTime)
	if l.Route != "" {
		if s.Routes[l.Route] == nil {
			s.Routes[l.Route] = make(map[Outcome]*tally)
			s.sizeClasses[l.Route] = make(map[int]*tally)
		}
		tallyOf(s.Routes[l.Route], outcome).add(work, inTime)
		tallyOf(s.sizeClasses[l.Route], sizeClass(work)).add(work, inTime)
	}
	if l.Workspace != "" {
		tallyOf(s.Workspaces, l.Workspace).add(work, inTime)
	}
	if l.Domain != "" {
		tallyOf(s.Domains, l.Domain).add(work, inTime)
	}
	s.secondTally(r.attempts[0].start).add(work, inTime)
}

// maxSeconds bounds Summary.Seconds to one day; later requests count in the last second.
const maxSeconds = 24 * 3600

func (s *Summary) secondTally(at time.Time) *tally {
	i := min(max(int(at.Sub(s.start)/time.Second), 0), maxSeconds-1)
	for len(s.Seconds) <= i {
		s.Seconds = append(s.Seconds, tally{})
	}
	return &s.Seconds[i]
}

// tallySizes groups size classes into fifths and the largest tenth of the requests. A
// class that spans a boundary counts in the group of smaller sizes.
func tallySizes(classes map[int]*tally) map[string]*tally {
	total := 0
	for _, t := range classes {
		total += t.Requests
	}
	sizes := make(map[string]*tally)
	counted := 0
	for _, class := range sortedKeys(classes) {
		t := classes[class]
		tallyOf(sizes, fifthNames[counted*len(fifthNames)/total]).merge(t)
		if counted*10 >= total*9 {
			tallyOf(sizes, largestTenth).merge(t)
		}
		counted += t.Requests
	}
	return sizes
}

func (t *tally) merge(other *tally) {
	t.Requests += other.Requests
	t.InTime += other.InTime
	t.Work += other.Work
	t.WorkInTime += other.WorkInTime
}
