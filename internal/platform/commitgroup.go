package platform

import "slices"

// commitGroup contains the commits of one transaction. No two of them write the same
// key.
type commitGroup struct {
	commits []*pendingCommit
	byKey   map[string]Write
}

// splitOverlapping returns the group of the commits that are the first to write their
// keys, and the other commits.
func splitOverlapping(commits []*pendingCommit) (*commitGroup, []*pendingCommit) {
	g := &commitGroup{byKey: make(map[string]Write)}
	var overlapping []*pendingCommit
	for _, c := range commits {
		if g.overlaps(c) {
			overlapping = append(overlapping, c)
			continue
		}
		g.commits = append(g.commits, c)
		for _, w := range c.writes {
			g.byKey[w.Key] = w
		}
	}
	return g, overlapping
}

func (g *commitGroup) overlaps(c *pendingCommit) bool {
	return slices.ContainsFunc(c.writes, func(w Write) bool {
		_, ok := g.byKey[w.Key]
		return ok
	})
}

// writes returns the writes of the transaction.
func (g *commitGroup) writes() []Write {
	var writes []Write
	for _, c := range g.commits {
		writes = append(writes, c.writes...)
	}
	return writes
}

// writesAny reports whether the transaction writes one of keys.
func (g *commitGroup) writesAny(keys []string) bool {
	return slices.ContainsFunc(keys, func(key string) bool {
		_, ok := g.byKey[key]
		return ok
	})
}

// invalidates reports whether the transaction, which took effect, makes the condition
// of w fail: w was made before the key's new version was known. Only a delete leaves a
// state that w can expect, that the key does not exist.
func (g *commitGroup) invalidates(w Write) bool {
	written, ok := g.byKey[w.Key]
	return ok && (!written.Delete || w.If != 0)
}

// conditionFailed reports whether w has the same condition as a write of the
// transaction that failed with a conflict over keys, on one of those keys.
func (g *commitGroup) conditionFailed(w Write, keys []string) bool {
	written, ok := g.byKey[w.Key]
	return ok && written.If == w.If && slices.Contains(keys, w.Key)
}
