package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of a cached block of a prompt, in bytes: 16 tokens of 4 bytes.
const blockBytes = 64

// prefixCache emulates an engine's cache of prompt prefixes with least-recently-used
// eviction. A block is identified by the hash of the prompt up to the end of the block. It
// is not safe for concurrent use.
type prefixCache struct {
	capacity int        // blocks
	order    *list.List // most recently used in front
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookupAndStore returns the number of bytes at the start of prompt that were cached, and
// caches all complete blocks of prompt.
func (c *prefixCache) lookupAndStore(prompt []byte) int {
	hash := xxhash.New()
	cached, missed := 0, false
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = hash.Write(prompt[end-blockBytes : end])
		if !c.recordUse(hash.Sum64()) {
			missed = true
		}
		if !missed {
			cached = end
		}
	}
	return cached
}

// recordUse makes a block the most recently used one, adding it if necessary, and reports
// whether it was cached.
func (c *prefixCache) recordUse(block uint64) bool {
	if element, ok := c.blocks[block]; ok {
		c.order.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.order.PushFront(block)
	if c.order.Len() > c.capacity {
		oldest := c.order.Back()
		delete(c.blocks, c.order.Remove(oldest).(uint64))
	}
	return false
}

// clear removes all blocks.
func (c *prefixCache) clear() {
	c.order.Init()
	clear(c.blocks)
}
