package overload

import (
	"fmt"
	"time"
)

const (
	// fairnessWindowSeconds is the window of the platform's fairness criterion.
	fairnessWindowSeconds = 6
	// minServedFraction is the minimum service of a workspace, as a fraction of the work
	// that it requested or of the service of the best served workspace, if that is less.
	minServedFraction = 0.5
	// slackRequests is a further allowance, in multiples of the largest request.
	slackRequests = 3
)

// WorkInSecond is the work requested by and served to a workspace in a second, in tokens
// of work.
type WorkInSecond struct {
	RequestedWork, ServedWork float64 // ServedWork counts requests at their first event
	// Degraded reports whether a request was refused, or waited past its objective.
	Degraded bool
}

func (r *Result) secondsOf(workspace string, length time.Duration) []WorkInSecond {
	all := r.Seconds[workspace]
	if all == nil {
		// Retries and late responses come after the last arrival.
		all = make([]WorkInSecond, int(length/time.Second)+60)
		r.Seconds[workspace] = all
	}
	return all
}

// work returns the request's tokens of work as the platform counts them: a generated
// token counts as two prompt tokens.
func (r *request) work() float64 {
	return float64(r.admissionRequest.PromptTokens + 2*r.admissionRequest.OutputTokens)
}

func (r *request) secondAt(now time.Duration) *WorkInSecond {
	return &r.seconds[min(int(now/time.Second), len(r.seconds)-1)]
}

// markDegraded marks the seconds in which the request waited past its objective.
func (r *request) markDegraded(from, until time.Duration) {
	for at := from; at <= until; at += time.Second {
		r.secondAt(at).Degraded = true
	}
}

// StarvedWorkspaces returns a line for each workspace that fails the platform's fairness
// criterion in some window of a load of the given length: every second of the window is
// degraded, and the workspace is served less than half of its fair share, apart from the
// slack. The fair share of a second is the work that the workspace requested or the
// service of the best served workspace, whichever is less.
func (r *Result) StarvedWorkspaces(length time.Duration) []string {
	var starved []string
	last := int(length / time.Second)
	for name, seconds := range r.Seconds {
		for from := 0; from+fairnessWindowSeconds <= last; from++ {
			fairShare, served, degraded := 0.0, 0.0, true
			for s := from; s < from+fairnessWindowSeconds; s++ {
				maxServed := 0.0
				for _, other := range r.Seconds {
					maxServed = max(maxServed, other[s].ServedWork)
				}
				fairShare += min(seconds[s].RequestedWork, maxServed)
				served += seconds[s].ServedWork
				degraded = degraded && seconds[s].Degraded
			}
			if degraded && served < minServedFraction*fairShare-slackRequests*r.MaxRequestWork {
				starved = append(starved, fmt.Sprintf("%s from %d s: fair share %.0f, served %.0f", name, from, fairShare, served))
				break
			}
		}
	}
	return starved
}
