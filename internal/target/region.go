package target

import (
	"maps"
	"slices"
)

const (
	// maxRegions is the number of regions that a RegionSet can name. Failure domains of
	// further regions belong to no region.
	maxRegions = 63
	// noRegion is set in the excluded bits of each RegionSet that a list of names made, so
	// that a list that names every region still excludes targets of no region.
	noRegion = 1 << maxRegions
)

// RegionBit identifies a region in a RegionSet; 0: the failure domain belongs to no region.
type RegionBit uint64

// RegionSet is a set of regions of the settings. The zero value contains all targets,
// including those whose failure domain belongs to no region.
type RegionSet struct {
	excluded uint64
}

// Unrestricted reports whether the set contains all targets.
func (s RegionSet) Unrestricted() bool { return s.excluded == 0 }

// Contains reports whether targets of the region are in the set. A target of no region is
// only in the unrestricted set.
func (s RegionSet) Contains(region RegionBit) bool {
	return s.excluded == 0 || uint64(region)&^s.excluded != 0
}

// Intersect returns the set of the regions that are in both sets.
func (s RegionSet) Intersect(other RegionSet) RegionSet {
	return RegionSet{excluded: s.excluded | other.excluded}
}

// Regions resolves the names of regions and failure domains.
type Regions struct {
	byName   map[string]RegionBit
	byDomain map[string]RegionBit
}

// NewRegions returns the regions of the failure domains. The argument maps the names of
// failure domains to those of their regions.
func NewRegions(byDomain map[string]string) *Regions {
	r := &Regions{byName: make(map[string]RegionBit), byDomain: make(map[string]RegionBit, len(byDomain))}
	for _, name := range slices.Sorted(maps.Values(byDomain)) {
		if _, known := r.byName[name]; !known && len(r.byName) < maxRegions {
			r.byName[name] = 1 << len(r.byName)
		}
	}
	for domain, name := range byDomain {
		r.byDomain[domain] = r.byName[name]
	}
	return r
}

// Allowed returns the set of the named regions. An empty list does not restrict; unknown
// names match no target.
func (r *Regions) Allowed(names []string) RegionSet {
	if len(names) == 0 {
		return RegionSet{}
	}
	allowed := RegionBit(0)
	for _, name := range names {
		allowed |= r.byName[name]
	}
	return RegionSet{excluded: ^uint64(allowed) | noRegion}
}

// Of returns the region of a failure domain, 0 if it belongs to none.
func (r *Regions) Of(domain string) RegionBit { return r.byDomain[domain] }
