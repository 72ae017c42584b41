package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of the blocks in which prompts are cached, in bytes:
// 16 tokens of 4 bytes.
const blockBytes = 64

// prefixCache emulates an engine's cache of prompt prefixes: blocks in least
// recently used order, each named by the hash of the prompt up to its end. It
// is not safe for concurrent use.
type prefixCache struct {
	capacity int // blocks
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// use returns how many bytes of prompt were cached, and caches all of its
// whole blocks.
func (c *prefixCache) use(prompt []byte) int {
	hash := xxhash.New()
	cached, missed := 0, false
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = hash.Write(prompt[end-blockBytes : end])
		if !c.touch(hash.Sum64()) {
			missed = true
		}
		if !missed {
			cached = end
		}
	}
	return cached
}

// touch makes a block the most recently used and reports whether it was
// cached.
func (c *prefixCache) touch(block uint64) bool {
	if e, ok := c.blocks[block]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.blocks[block] = c.order.PushFront(block)
	if c.order.Len() > c.capacity {
		oldest := c.order.Back()
		delete(c.blocks, c.order.Remove(oldest).(uint64))
	}
	return false
}

// clear empties the cache.
func (c *prefixCache) clear() {
	c.order.Init()
	clear(c.blocks)
}
