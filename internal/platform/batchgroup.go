package platform

import "slices"

// group is the commits of one transaction. No two of them write the same key.
type group struct {
	commits []*commit
	byKey   map[string]Write
}

// split returns the group of the first commits that write each key, and the
// other commits.
func split(commits []*commit) (*group, []*commit) {
	g := &group{byKey: make(map[string]Write)}
	var waiting []*commit
	for _, c := range commits {
		if g.overlaps(c) {
			waiting = append(waiting, c)
			continue
		}
		g.commits = append(g.commits, c)
		for _, w := range c.writes {
			g.byKey[w.Key] = w
		}
	}
	return g, waiting
}

func (g *group) overlaps(c *commit) bool {
	return slices.ContainsFunc(c.writes, func(w Write) bool {
		_, ok := g.byKey[w.Key]
		return ok
	})
}

// writes returns the writes of the transaction.
func (g *group) writes() []Write {
	var writes []Write
	for _, c := range g.commits {
		writes = append(writes, c.writes...)
	}
	return writes
}

// writesAny reports whether the transaction writes one of keys.
func (g *group) writesAny(keys []string) bool {
	return slices.ContainsFunc(keys, func(key string) bool {
		_, ok := g.byKey[key]
		return ok
	})
}

// overwrites reports whether the transaction, which took effect, leaves the
// key of w at a version that w cannot ask for.
func (g *group) overwrites(w Write) bool {
	written, ok := g.byKey[w.Key]
	return ok && (!written.Delete || w.If != 0)
}

// failed reports whether the condition of w did not hold when the transaction
// failed over keys.
func (g *group) failed(w Write, keys []string) bool {
	written, ok := g.byKey[w.Key]
	return ok && written.If == w.If && slices.Contains(keys, w.Key)
}
