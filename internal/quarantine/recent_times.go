package quarantine

import "time"

// recentTimes holds the latest time of each key, for at least the last maxCompleted keys.
type recentTimes[K comparable] struct {
	// When current is full, it becomes previous.
	current, previous map[K]time.Duration
}

func newRecentTimes[K comparable]() *recentTimes[K] {
	return &recentTimes[K]{current: make(map[K]time.Duration)}
}

// record sets the time of a key, unless a later one is known.
func (t *recentTimes[K]) record(key K, at time.Duration) {
	if known, ok := t.at(key); ok && known > at {
		return
	}
	if len(t.current) >= maxCompleted {
		t.current, t.previous = make(map[K]time.Duration, maxCompleted), t.current
	}
	t.current[key] = at
}

// at returns the time of a key, and whether it is known.
func (t *recentTimes[K]) at(key K) (time.Duration, bool) {
	at, ok := t.current[key]
	if !ok {
		at, ok = t.previous[key]
	}
	return at, ok
}
