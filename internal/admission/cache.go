package admission

import "container/list"

// promptCache models the prompt parts that one engine caches, with least-recently-used
// eviction. It covers only the requests that this gate sent.
type promptCache struct {
	capacity int // tokens
	used     int
	parts    map[uint64]*list.Element
	order    *list.List // most recently used in front
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, parts: make(map[uint64]*list.Element), order: list.New()}
}

// uncachedTokens returns the tokens of parts that are not cached. A part counts as
// cached only if all parts before it are.
func (c *promptCache) uncachedTokens(parts []Part) int {
	total := 0
	for i, p := range parts {
		if _, cached := c.parts[p.Hash]; cached && total == 0 && i < len(parts)-1 {
			continue
		}
		total += p.Tokens
	}
	return total
}

// recordUse records that the engine read the parts. The last one is unique to the
// request and not worth caching.
func (c *promptCache) recordUse(parts []Part) {
	if len(parts) == 0 {
		return
	}
	for _, part := range parts[:len(parts)-1] {
		if element, cached := c.parts[part.Hash]; cached {
			c.order.MoveToFront(element)
			continue
		}
		c.parts[part.Hash] = c.order.PushFront(part)
		c.used += part.Tokens
	}
	for c.used > c.capacity && c.order.Len() > 0 {
		oldest := c.order.Back()
		part, _ := c.order.Remove(oldest).(Part)
		delete(c.parts, part.Hash)
		c.used -= part.Tokens
	}
}
