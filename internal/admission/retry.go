package admission

import "time"

// RetryBudget bounds the sends of requests to a further target, over all gates.
type RetryBudget struct {
	Ratio  float64 // retries per request
	Slack  float64 // additional retries, over all gates together
	Window time.Duration
}

const (
	retryWindowBuckets = 10
	// retryBudgetFraction is the fraction of the budget that gates use. The rest is a
	// margin for the edges of windows and for gates that start and stop.
	retryBudgetFraction = 0.7
)

// retryCounts counts the requests and retries of one service in the window.
type retryCounts struct {
	requests, retries [retryWindowBuckets]float64
	bucketNumbers     [retryWindowBuckets]int64
}

func (c *retryCounts) bucket(now time.Duration, span time.Duration) int {
	bucketNumber := int64(now / span)
	index := int(bucketNumber % retryWindowBuckets)
	if c.bucketNumbers[index] != bucketNumber {
		c.requests[index], c.retries[index], c.bucketNumbers[index] = 0, 0, bucketNumber
	}
	return index
}

// Retry is one retry acquired from the budget.
type Retry struct {
	counts       *retryCounts
	bucketNumber int64 // in which it was counted
}

// giveBack no longer counts the retry, unless it has left the window.
func (r *Retry) giveBack() {
	if index := r.bucketNumber % retryWindowBuckets; r.counts.bucketNumbers[index] == r.bucketNumber {
		r.counts.retries[index]--
	}
}

// acquire counts one more retry, or returns nil if the budget does not allow it.
func (b RetryBudget) acquire(counts *retryCounts, now time.Duration, gates int) *Retry {
	span := max(b.Window/retryWindowBuckets, time.Millisecond)
	current := counts.bucket(now, span)
	oldest := int64(now/span) - retryWindowBuckets + 1
	var requests, retried float64
	for index, bucketNumber := range counts.bucketNumbers {
		if bucketNumber >= oldest {
			requests += counts.requests[index]
			retried += counts.retries[index]
		}
	}
	allowed := retryBudgetFraction * (b.Ratio*requests + b.Slack/float64(max(gates, 1)))
	if retried+1 > allowed {
		return nil
	}
	counts.retries[current]++
	return &Retry{counts, counts.bucketNumbers[current]}
}

func (b RetryBudget) countRequest(counts *retryCounts, now time.Duration) {
	counts.requests[counts.bucket(now, max(b.Window/retryWindowBuckets, time.Millisecond))]++
}
