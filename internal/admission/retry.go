package admission

import "time"

// RetryBudget bounds the requests that are sent to a further target, over all
// gates.
type RetryBudget struct {
	Ratio  float64 // retries for each request
	Slack  float64 // retries allowed besides, in all gates together
	Window time.Duration
}

const (
	retryBuckets = 10
	// retryMargin leaves room for the edges of windows and for gates that come
	// and go.
	retryMargin = 0.7
)

// retries counts the requests and retries of one service in the window.
type retries struct {
	requests, retries [retryBuckets]float64
	numbers           [retryBuckets]int64
}

func (r *retries) bucket(now time.Duration, span time.Duration) int {
	number := int64(now / span)
	i := int(number % retryBuckets)
	if r.numbers[i] != number {
		r.requests[i], r.retries[i], r.numbers[i] = 0, 0, number
	}
	return i
}

// take reports whether the budget has room for one more retry, and takes it.
func (b RetryBudget) take(r *retries, now time.Duration, gates int) bool {
	span := max(b.Window/retryBuckets, time.Millisecond)
	i := r.bucket(now, span)
	oldest := int64(now/span) - retryBuckets + 1
	var requests, taken float64
	for j, number := range r.numbers {
		if number >= oldest {
			requests += r.requests[j]
			taken += r.retries[j]
		}
	}
	allowed := retryMargin * (b.Ratio*requests + b.Slack/float64(max(gates, 1)))
	if taken+1 > allowed {
		return false
	}
	r.retries[i]++
	return true
}

func (b RetryBudget) request(r *retries, now time.Duration) {
	r.requests[r.bucket(now, max(b.Window/retryBuckets, time.Millisecond))]++
}
