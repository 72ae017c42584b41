// Package placement decides in which order the agents of a pool are offered a
// request.
//
// Problem: engines cache prompt prefixes in limited memory, links between
// regions are slow and paid by volume, and one request that crashes its target
// must meet its own resends at one agent, whichever router they enter by.
//
// Invariants: the home agent follows from the request's content and the live
// agents of the router's region alone, so that all routers of a region agree
// on it; when an agent leaves, only the requests that it was home to get
// another home.
//
// The package takes no I/O and no clock.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mastichollow/mastichollow/internal/target"
)

// affinityWidth is the number of agents over which the requests of one prompt
// prefix are spread as homes.
const affinityWidth = 3

// Link is the class of the link between a router and an agent.
type Link uint8

// Classes of links.
const (
	// LinkDomain is a link within a failure domain.
	LinkDomain Link = iota
	// LinkRegion is a link between failure domains of a region.
	LinkRegion
	// LinkCrossRegion is a link between regions.
	LinkCrossRegion
)

// Links lists all classes.
var Links = []Link{LinkDomain, LinkRegion, LinkCrossRegion}

// String returns the class's label in metrics.
func (l Link) String() string {
	switch l {
	case LinkDomain:
		return "domain"
	case LinkRegion:
		return "region"
	default:
		return "cross_region"
	}
}

// Site is the place of a router.
type Site struct {
	Region string
	Domain string // failure domain
}

// LinkTo returns the class of the link from s to vm.
func (s Site) LinkTo(vm target.VM) Link {
	switch {
	case vm.Region != s.Region:
		return LinkCrossRegion
	case vm.Domain != s.Domain:
		return LinkRegion
	default:
		return LinkDomain
	}
}

// Content is what placement knows of a request.
type Content struct {
	// Fingerprint is the hash of the workspace and the whole content.
	Fingerprint []byte
	// Prefix is the hash of the workspace and the part of the prompt that
	// other requests are likely to share. Empty: none.
	Prefix []byte
}

// Plan is the order of agents for one request.
type Plan struct {
	// Home is the first choice; nil when the pool has no live agent.
	Home *target.VM
	// Near are the other agents of the router's region: those of its own
	// failure domain first.
	Near []target.VM
	// Far are the agents of other regions: those of failure domains with free
	// slots first.
	Far []target.VM
}

// Home returns the first choice among agents for a request that entered at
// site: by fingerprint among the agents of the region that rank highest by
// affinity. A region without agents takes all others as one. It returns nil
// when there is no agent.
func Home(agents []target.VM, site Site, c Content) *target.VM {
	local := func(vm *target.VM) bool { return vm.Region == site.Region }
	if !slices.ContainsFunc(agents, func(vm target.VM) bool { return local(&vm) }) {
		local = func(*target.VM) bool { return true }
	}
	var best bestByScore
	key := c.affinity()
	for i := range agents {
		if vm := &agents[i]; local(vm) {
			best.add(scored{vm: vm, score: rendezvous(key, vm.ID)})
		}
	}
	return best.choose(c.Fingerprint)
}

// scored is an agent with its rank among agents of one link class.
type scored struct {
	vm    *target.VM
	link  Link
	free  bool
	score uint64
}

// bestByScore holds the agents that rank highest, in order.
type bestByScore struct {
	list [affinityWidth]scored
	n    int
}

// add takes s in if it ranks high enough.
func (b *bestByScore) add(s scored) {
	at := b.n
	for at > 0 && compareScore(s, b.list[at-1]) < 0 {
		at--
	}
	if at == affinityWidth {
		return
	}
	b.n = min(b.n+1, affinityWidth)
	copy(b.list[at+1:b.n], b.list[at:])
	b.list[at] = s
}

// choose returns the agent that ranks highest under key, or nil.
func (b *bestByScore) choose(key []byte) *target.VM {
	var chosen *target.VM
	var highest uint64
	for _, s := range b.list[:b.n] {
		if score := rendezvous(key, s.vm.ID); chosen == nil || score > highest {
			chosen, highest = s.vm, score
		}
	}
	return chosen
}

// Make returns the plan of a request that entered at site. free reports
// whether a failure domain has free slots in the pool.
func Make(agents []target.VM, site Site, c Content, free func(domain string) bool) Plan {
	home := Home(agents, site, c)
	if home == nil {
		return Plan{}
	}
	copied := *home
	plan := Plan{Home: &copied}
	for _, s := range rank(agents, site, c, free) {
		switch {
		case s.vm == home:
		case s.link == LinkCrossRegion:
			plan.Far = append(plan.Far, *s.vm)
		default:
			plan.Near = append(plan.Near, *s.vm)
		}
	}
	return plan
}

// rank orders agents by link class, free slots of another region's domain and
// the affinity of the request.
func rank(agents []target.VM, site Site, c Content, free func(string) bool) []scored {
	key := c.affinity()
	ranked := make([]scored, 0, len(agents))
	for i := range agents {
		vm := &agents[i]
		s := scored{vm: vm, link: site.LinkTo(*vm), score: rendezvous(key, vm.ID)}
		s.free = s.link == LinkCrossRegion && free != nil && free(vm.Domain)
		ranked = append(ranked, s)
	}
	slices.SortFunc(ranked, compare)
	return ranked
}

func compare(a, b scored) int {
	if c := cmp.Compare(a.link, b.link); c != 0 {
		return c
	}
	if a.free != b.free {
		if a.free {
			return -1
		}
		return 1
	}
	return compareScore(a, b)
}

// compareScore orders agents of one link class, the highest score first.
func compareScore(a, b scored) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.vm.ID, b.vm.ID)
}

// affinity returns the key by which agents are ranked.
func (c Content) affinity() []byte {
	if len(c.Prefix) == 0 {
		return c.Fingerprint
	}
	return c.Prefix
}

// rendezvous returns the weight of member under key (highest random weight).
func rendezvous(key []byte, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(key)
	_, _ = d.WriteString(member)
	return d.Sum64()
}
