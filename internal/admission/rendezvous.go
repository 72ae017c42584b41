package admission

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mastichollow/mastichollow/internal/prompt"
	"github.com/mastichollow/mastichollow/internal/target"
)

// Site is the location of a gate.
type Site struct {
	Region, Domain string
	// Regions maps failure domains to regions.
	Regions map[string]string
}

// Distances of targets, by network cost.
const (
	localDomain = iota
	localRegion
	remoteRegion
)

func (s Site) distance(instance *target.Instance) int {
	switch {
	case instance.Domain == s.Domain:
		return localDomain
	case s.Regions[instance.Domain] == s.Region:
		return localRegion
	default:
		return remoteRegion
	}
}

// affinityHash returns the rendezvous key that sends requests with the same shared parts
// to the same targets. Requests without shared parts use fallback.
func affinityHash(parts []prompt.Part, fallback uint64) uint64 {
	if len(parts) < 2 {
		return fallback
	}
	var buf []byte
	for _, part := range parts[:len(parts)-1] {
		buf = binary.LittleEndian.AppendUint64(buf, part.Hash)
	}
	return xxhash.Sum64(buf)
}

// mixBits mixes the bits of a rendezvous score (the finalizer of splitmix64).
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// candidateList holds the few targets with the highest rendezvous scores, highest first.
// Each key orders the targets differently, and the removal of a target changes the first
// choice only for the keys that preferred it.
type candidateList struct {
	scores  [maxCandidates]uint64
	indexes [maxCandidates]int
	n       int
}

// accepts reports whether a target with the score belongs into a list of at most size
// targets.
func (l *candidateList) accepts(score uint64, size int) bool {
	return l.n < size || l.scores[size-1] < score
}

// add inserts a target by score and keeps at most size targets.
func (l *candidateList) add(score uint64, index, size int) {
	position := l.n
	for position > 0 && l.scores[position-1] < score {
		position--
	}
	if position >= size {
		return
	}
	l.n = min(l.n+1, size)
	copy(l.scores[position+1:l.n], l.scores[position:l.n-1])
	copy(l.indexes[position+1:l.n], l.indexes[position:l.n-1])
	l.scores[position], l.indexes[position] = score, index
}

func (l *candidateList) contains(index int) bool { return slices.Contains(l.indexes[:l.n], index) }
