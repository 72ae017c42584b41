package admission

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mastichollow/mastichollow/internal/target"
)

// Part is one part of a prompt; requests share all parts but the last.
type Part struct {
	Hash   uint64
	Tokens int
}

// Site is the place of a gate.
type Site struct {
	Region, Domain string
	// Regions gives the region of each failure domain.
	Regions map[string]string
}

// distance orders targets by the price of the way to them.
func (s Site) distance(in target.Instance) int {
	switch {
	case in.Domain == s.Domain:
		return 0
	case s.Regions[in.Domain] == s.Region:
		return 1
	default:
		return 2
	}
}

// affinity returns the hash by which requests with the same shared parts meet.
// Requests without shared parts use fallback.
func affinity(parts []Part, fallback uint64) uint64 {
	if len(parts) < 2 {
		return fallback
	}
	var buf []byte
	for _, p := range parts[:len(parts)-1] {
		buf = binary.LittleEndian.AppendUint64(buf, p.Hash)
	}
	return xxhash.Sum64(buf)
}

// rank orders targets by rendezvous hash: each key has an order of its own, and
// a target that leaves changes the first choice of its own keys alone.
func rank(key uint64, targets []target.Instance) []target.Instance {
	type scored struct {
		score uint64
		index int
	}
	scores := make([]scored, len(targets))
	buf := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), key)
	for i := range targets {
		scores[i] = scored{xxhash.Sum64(append(buf[:8], targets[i].ID...)), i}
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]target.Instance, len(targets))
	for i, s := range scores {
		ranked[i] = targets[s.index]
	}
	return ranked
}
