package admission

import (
	"container/list"
	"time"

	"github.com/mastichollow/mastichollow/internal/prompt"
)

// promptCache models the prompt parts that one engine caches, with least-recently-used
// eviction. It covers only the requests that this gate sent.
type promptCache struct {
	capacity int // tokens
	used     int
	parts    map[uint64]*list.Element // of *cachedPart
	order    *list.List               // most recently used in front
}

type cachedPart struct {
	prompt.Part
	insertedAt time.Duration
	// uses counts the requests placed with the part since then, but for those that the
	// engine cannot have read.
	uses int
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, parts: make(map[uint64]*list.Element), order: list.New()}
}

// uncachedTokens returns the tokens of parts that are not cached. A part counts as
// cached only if all parts before it are.
func (c *promptCache) uncachedTokens(parts []prompt.Part) int {
	total := 0
	for i, p := range parts {
		if _, cached := c.parts[p.Hash]; cached && total == 0 && i < len(parts)-1 {
			continue
		}
		total += p.Tokens
	}
	return total
}

// recordUse records that the parts are sent to the engine. The last one is unique to the
// request and not worth caching. The parts count as cached from the placement on, because
// the engine reads requests in order of arrival.
func (c *promptCache) recordUse(now time.Duration, parts []prompt.Part) {
	if len(parts) == 0 {
		return
	}
	for _, part := range parts[:len(parts)-1] {
		if element, cached := c.parts[part.Hash]; cached {
			c.order.MoveToFront(element)
			entryOf(element).uses++
			continue
		}
		c.parts[part.Hash] = c.order.PushFront(&cachedPart{part, now, 1})
		c.used += part.Tokens
	}
	for c.used > c.capacity && c.order.Len() > 0 {
		c.remove(c.order.Back())
	}
}

// revertUse reverts recordUse for a request placed at a time that the engine cannot have
// read. Parts that no other request used since their insertion are no longer cached.
func (c *promptCache) revertUse(placedAt time.Duration, parts []prompt.Part) {
	if len(parts) == 0 {
		return
	}
	for _, part := range parts[:len(parts)-1] {
		element, cached := c.parts[part.Hash]
		if !cached || entryOf(element).insertedAt > placedAt {
			continue
		}
		entryOf(element).uses--
		if entryOf(element).uses <= 0 {
			c.remove(element)
		}
	}
}

func (c *promptCache) remove(element *list.Element) {
	part := entryOf(element)
	c.order.Remove(element)
	delete(c.parts, part.Hash)
	c.used -= part.Tokens
}

func entryOf(element *list.Element) *cachedPart {
	entry, _ := element.Value.(*cachedPart)
	return entry
}
