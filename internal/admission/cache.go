package admission

import "container/list"

// cache models the prompt parts that one engine keeps: the least recently used
// ones go when room runs out. It knows only of the requests that this gate sent.
type cache struct {
	room  int // tokens
	used  int
	parts map[uint64]*list.Element
	order *list.List // most recently used in front
}

func newCache(room int) *cache {
	return &cache{room: room, parts: make(map[uint64]*list.Element), order: list.New()}
}

// missing returns the tokens of parts that are not kept. A part counts as kept
// only if all parts before it are.
func (c *cache) missing(parts []Part) int {
	total := 0
	for i, p := range parts {
		if _, kept := c.parts[p.Hash]; kept && total == 0 && i < len(parts)-1 {
			continue
		}
		total += p.Tokens
	}
	return total
}

// use notes that the parts were read. The last one is the request's own and
// not worth keeping.
func (c *cache) use(parts []Part) {
	if len(parts) == 0 {
		return
	}
	for _, p := range parts[:len(parts)-1] {
		if e, kept := c.parts[p.Hash]; kept {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[p.Hash] = c.order.PushFront(p)
		c.used += p.Tokens
	}
	for c.used > c.room && c.order.Len() > 0 {
		last := c.order.Back()
		p, _ := c.order.Remove(last).(Part)
		delete(c.parts, p.Hash)
		c.used -= p.Tokens
	}
}
