package desync

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// History holds the most recent identifiers, up to a fixed number. Its methods are safe
// for concurrent use.
//
// Adding is frequent and cheap. Contains searches all identifiers, since it is needed
// only for a body that has a complete head in it.
type History struct {
	mu   sync.Mutex
	ring []uint64 // hashes of the identifiers
	next int
}

// NewHistory returns an empty history of size identifiers.
func NewHistory(size int) *History {
	return &History{ring: make([]uint64, 0, size)}
}

// Add adds an identifier. It replaces the oldest one if the history is full.
func (h *History) Add(id string) {
	hash := xxhash.Sum64String(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.ring) < cap(h.ring) {
		h.ring = append(h.ring, hash)
		return
	}
	h.ring[h.next] = hash
	h.next = (h.next + 1) % len(h.ring)
}

// Contains reports whether the history holds an identifier.
func (h *History) Contains(id []byte) bool {
	hash := xxhash.Sum64(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Contains(h.ring, hash)
}
