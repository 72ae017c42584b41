package limit

// maxDebtSeconds is how far the tokens of a bucket may fall below zero, in seconds of
// its rate, in addition to one request per router.
const maxDebtSeconds = 10.0

// tokenBucket is a token bucket. The number of tokens is negative after remote requests
// exceeded the rate.
type tokenBucket struct {
	tokens float64
}

// bucketCapacity returns the maximum number of tokens, at least one.
func bucketCapacity(rate float64) float64 { return max(1, rate*burstSeconds) }

// refill adds the tokens of the elapsed seconds.
func (b *tokenBucket) refill(rate, elapsed float64) {
	b.tokens = min(b.tokens+rate*elapsed, bucketCapacity(rate))
}

// consumeRemote consumes tokens for requests admitted by other routers. Tokens do not
// fall below -maxDebt.
func (b *tokenBucket) consumeRemote(used, maxDebt float64) { b.tokens = max(b.tokens-used, -maxDebt) }

// secondsUntilToken returns the seconds until one token is available.
func (b *tokenBucket) secondsUntilToken(rate float64) float64 { return max(0, 1-b.tokens) / rate }
