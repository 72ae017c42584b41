package budget

import "sync"

// Keyed is a shared budget of which each key may hold a part only, so that one user
// leaves room for the others. Its methods are safe for concurrent use.
type Keyed[K comparable] struct {
	limit    int64
	keyLimit int64

	mu    sync.Mutex
	used  int64
	byKey map[K]int64
}

// NewKeyed returns a budget of limit bytes, of which each key may hold keyLimit.
func NewKeyed[K comparable](limit, keyLimit int64) *Keyed[K] {
	return &Keyed[K]{limit: limit, keyLimit: keyLimit, byKey: make(map[K]int64)}
}

// Used returns the number of bytes that all keys hold, and those that key holds.
func (b *Keyed[K]) Used(key K) (total, ofKey int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.byKey[key]
}

// Grow adds n bytes to what key holds. It reports false, and adds nothing, if the budget or
// the part of the key has fewer left.
func (b *Keyed[K]) Grow(key K, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit || b.byKey[key]+n > b.keyLimit {
		return false
	}
	b.used += n
	b.byKey[key] += n
	return true
}

// Release returns n bytes that key holds.
func (b *Keyed[K]) Release(key K, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.byKey[key] -= n; b.byKey[key] == 0 {
		delete(b.byKey, key)
	}
}
