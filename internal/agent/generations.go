package agent

// maxGeneration bounds the fingerprints of one generation.
const maxGeneration = 1 << 13

// generations is a bounded set: when the newer generation is full, the older
// one is forgotten. The zero value is empty.
type generations struct {
	newer, older map[string]struct{}
}

func (g *generations) add(key string) {
	if g.newer == nil || len(g.newer) == maxGeneration {
		g.newer, g.older = make(map[string]struct{}), g.newer
	}
	g.newer[key] = struct{}{}
}

func (g *generations) has(key string) bool {
	if _, ok := g.newer[key]; ok {
		return true
	}
	_, ok := g.older[key]
	return ok
}
