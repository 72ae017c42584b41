package account

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Outcome is the result of a caller's request over all its attempts, with the reason if
// it was not served in time. The outcome field of a log line is that of one attempt.
type Outcome string

// Outcomes. Those that begin with "refused" include the reason and, for engines, the
// admission tier whose limit was reached: "refused overloaded share".
const (
	InTime             Outcome = "in time"
	LateRetried        Outcome = "late: came back after a refusal"
	LateFirstEvent     Outcome = "late: first event"
	LateGap            Outcome = "late: pauses"
	TargetLost         Outcome = "lost with a target"
	DeadlineExpired    Outcome = "deadline passed"
	CallerDisconnected Outcome = "caller left"
	Denied             Outcome = "denied"
	TargetFailed       Outcome = "failed by its target"
	refusedPrefix              = "refused "
)

// Refused reports whether a gate refused the last attempt of the request.
func (o Outcome) Refused() bool { return strings.HasPrefix(string(o), refusedPrefix) }

// attempt is one attempt of a caller at one gate.
type attempt struct {
	start time.Time
	line  *logLine
}

// retryWindow bounds the time from the first to the last attempt of a request. It is the
// longest time that callers wait in the users' specifications.
const retryWindow = 15 * time.Second

// request holds all attempts of one caller's request, in order of time.
type request struct{ attempts []attempt }

// joinAttempts groups attempts into requests. An attempt with the fingerprint of an
// earlier request continues that request if its last attempt was not answered with status
// 200 and its first attempt is at most retryWindow ago.
func joinAttempts(attempts []attempt) []request {
	slices.SortStableFunc(attempts, func(a, b attempt) int { return a.start.Compare(b.start) })
	var requests []request
	latest := make(map[string]int) // index in requests, by fingerprint
	for _, a := range attempts {
		if index, found := latest[a.line.Fingerprint]; found && a.line.Fingerprint != "" && requests[index].continues(a) {
			requests[index].attempts = append(requests[index].attempts, a)
			continue
		}
		latest[a.line.Fingerprint] = len(requests)
		requests = append(requests, request{attempts: []attempt{a}})
	}
	return requests
}

func (r *request) last() *logLine { return r.attempts[len(r.attempts)-1].line }

func (r *request) continues(a attempt) bool {
	return r.last().Status != statusOK && a.start.Sub(r.attempts[0].start) <= retryWindow
}

const (
	statusOK              = 200
	minClientError        = 400
	statusTooManyRequests = 429
	statusUnavailable     = 503
	minServerError        = 500
)

// outcome classifies the request by its last attempt.
func (r *request) outcome() Outcome {
	l := r.last()
	switch {
	case l.Outcome == "answered" && l.Status < minClientError:
		return r.lateness()
	case l.Outcome == "answered" && l.Status >= minServerError:
		return TargetFailed
	case l.Outcome == "answered":
		return Denied
	case l.Outcome == "caller_gone":
		return CallerDisconnected
	case l.Outcome == "deadline":
		return DeadlineExpired
	case l.Status == statusUnavailable || l.Status == statusTooManyRequests:
		return refusalOutcome(l)
	case l.Status >= minClientError && l.Status < minServerError:
		return Denied
	default:
		return TargetLost
	}
}

func refusalOutcome(l *logLine) Outcome {
	parts := []string{l.Outcome}
	if l.Tier != "" {
		parts = append(parts, l.Tier)
	}
	if l.Detail != "" {
		parts = append(parts, "("+l.Detail+")")
	}
	return Outcome(refusedPrefix + strings.Join(parts, " "))
}

// lateness compares an answer with the latency objectives of its route. The time to the
// first event counts from the first attempt.
func (r *request) lateness() Outcome {
	l := r.last()
	objective := time.Duration(l.FirstEventObjectiveMS) * time.Millisecond
	firstEvent := time.Duration(l.FirstEventMS) * time.Millisecond
	retryDelay := r.attempts[len(r.attempts)-1].start.Sub(r.attempts[0].start)
	switch {
	case objective > 0 && firstEvent > objective:
		return LateFirstEvent
	case objective > 0 && firstEvent+retryDelay > objective:
		return LateRetried
	case l.GapObjectiveMS > 0 && l.MaxGapMS > l.GapObjectiveMS:
		return LateGap
	default:
		return InTime
	}
}

// generatedWeight is the work of a generated token relative to a prompt token, as in the
// fair shares.
const generatedWeight = 2

// work returns the size of the request in weighted tokens: prompt tokens, and generated
// tokens times generatedWeight; 1 for calls to plain services.
func (l *logLine) work() float64 {
	return max(float64(l.PromptTokens+generatedWeight*l.OutputTokens), 1)
}

// sizeClassRatio is the ratio of the sizes of two adjacent size classes.
const sizeClassRatio = 1.1

func sizeClass(work float64) int { return int(math.Log(work) / math.Log(sizeClassRatio)) }

// Names of the size groups of a route: fifths of the requests, from the smallest size,
// and, overlapping the last fifth, the largest tenth.
var fifthNames = [...]string{"1st fifth", "2nd fifth", "3rd fifth", "4th fifth", "5th fifth"}

const largestTenth = "largest tenth"

// tally counts requests and their work.
type tally struct {
	Requests   int     `json:"requests"`
	InTime     int     `json:"in_time"`
	Work       float64 `json:"work"`
	WorkInTime float64 `json:"work_in_time"`
}

func (t *tally) add(work float64, inTime bool) {
	t.Requests++
	t.Work += work
	if inTime {
		t.InTime++
		t.WorkInTime += work
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
