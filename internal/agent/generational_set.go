package agent

// maxGenerationSize is the maximum number of keys in one generation.
const maxGenerationSize = 1 << 13

// generationalSet is a set of bounded size: when the newer generation is full,
// the older one is discarded. The zero value is empty.
type generationalSet struct {
	newer, older map[string]struct{}
}

func (g *generationalSet) add(key string) {
	if g.newer == nil || len(g.newer) == maxGenerationSize {
		g.newer, g.older = make(map[string]struct{}), g.newer
	}
	g.newer[key] = struct{}{}
}

func (g *generationalSet) has(key string) bool {
	if _, ok := g.newer[key]; ok {
		return true
	}
	_, ok := g.older[key]
	return ok
}
