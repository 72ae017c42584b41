package limit

// debt is how much of a rate may be owed, in seconds, besides one request of
// each member.
const debt = 10.0

// bucket holds the tokens of a rate.
type bucket struct {
	tokens float64
}

// room is how many tokens of a rate are kept at most.
func room(rate float64) float64 { return max(1, rate*burst) }

// fill adds the tokens of the seconds passed.
func (b *bucket) fill(rate, passed float64) {
	b.tokens = min(b.tokens+rate*passed, room(rate))
}

// owe takes tokens that were used elsewhere. No more than most are owed.
func (b *bucket) owe(used, most float64) { b.tokens = max(b.tokens-used, -most) }

// wait is the time until there is a whole token, in seconds.
func (b *bucket) wait(rate float64) float64 { return max(0, 1-b.tokens) / rate }
