package overload

import (
	"fmt"
	"time"
)

const (
	// fairWindow is the number of seconds over which the platform judges fairness.
	fairWindow = 6
	// fairPart is the part of what a workspace asked for, or of what the best served
	// one got if that is less, that it must get.
	fairPart = 0.5
	// fairSlack is what it may lack besides, in largest requests.
	fairSlack = 3
)

// Second is what a workspace asked for and got in a second, in tokens of work.
type Second struct {
	Asked, Begun float64 // Begun: of requests that got their first event
	// Troubled: a request was refused, or waited past its goal.
	Troubled bool
}

func (r *Result) secondsOf(workspace string, length time.Duration) []Second {
	all := r.Seconds[workspace]
	if all == nil {
		// Returns and late answers come after the last arrival.
		all = make([]Second, int(length/time.Second)+60)
		r.Seconds[workspace] = all
	}
	return all
}

// work is the request's, as the platform counts.
func (r *request) work() float64 { return float64(r.policy.PromptTokens + 2*r.policy.OutputTokens) }

func (r *request) secondOf(now time.Duration) *Second {
	return &r.seconds[min(int(now/time.Second), len(r.seconds)-1)]
}

// trouble marks the seconds in which the request waited past its goal.
func (r *request) trouble(from, until time.Duration) {
	for at := from; at <= until; at += time.Second {
		r.secondOf(at).Troubled = true
	}
}

// Starved returns a line for each workspace that got less than the platform takes
// as fair in some window of a load of length: it was in trouble all the while, and
// got less than half of what it asked for, or of what the best served got.
func (r *Result) Starved(length time.Duration) []string {
	var starved []string
	last := int(length / time.Second)
	for name, own := range r.Seconds {
		for from := 0; from+fairWindow <= last; from++ {
			owed, got, troubled := 0.0, 0.0, true
			for s := from; s < from+fairWindow; s++ {
				best := 0.0
				for _, other := range r.Seconds {
					best = max(best, other[s].Begun)
				}
				owed += min(own[s].Asked, best)
				got += own[s].Begun
				troubled = troubled && own[s].Troubled
			}
			if troubled && got < fairPart*owed-fairSlack*r.Largest {
				starved = append(starved, fmt.Sprintf("%s from %d s: owed %.0f, got %.0f", name, from, owed, got))
				break
			}
		}
	}
	return starved
}
