// Package placement decides in which order the agents of a pool are offered a
// request.
//
// Problem: engines cache prompt prefixes in limited memory, and links between regions
// are slow and billed by volume. A request that crashes its target must reach the same
// agent as its retries, whichever router they enter through.
//
// Invariants:
//   - The home agent depends only on the request's content and the live agents of the
//     router's region, so all routers of a region choose the same one.
//   - When an agent is removed, only the requests whose home it was get another home.
//     A request with a shared prefix may also move to the agent that takes the removed
//     one's place among the homes of the prefix (see homesPerPrefix).
//
// The package does no I/O and reads no clock.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mastichollow/mastichollow/internal/target"
)

// homesPerPrefix is the number of home agents over which the requests with one prompt
// prefix are spread.
const homesPerPrefix = 3

// LinkClass classifies the link between a router and an agent.
type LinkClass uint8

// Link classes.
const (
	// LinkDomain is a link within a failure domain.
	LinkDomain LinkClass = iota
	// LinkRegion is a link between failure domains of one region.
	LinkRegion
	// LinkCrossRegion is a link between regions.
	LinkCrossRegion
)

// LinkClasses lists all link classes.
var LinkClasses = []LinkClass{LinkDomain, LinkRegion, LinkCrossRegion}

// String returns the label of the class in metrics.
func (l LinkClass) String() string {
	switch l {
	case LinkDomain:
		return "domain"
	case LinkRegion:
		return "region"
	default:
		return "cross_region"
	}
}

// Site is the location of a router.
type Site struct {
	Region string
	Domain string // failure domain
}

// LinkTo returns the class of the link between s and vm.
func (s Site) LinkTo(vm target.VM) LinkClass {
	switch {
	case vm.Region != s.Region:
		return LinkCrossRegion
	case vm.Domain != s.Domain:
		return LinkRegion
	default:
		return LinkDomain
	}
}

// RequestHashes are the hashes of a request's content by which agents are chosen.
type RequestHashes struct {
	// Fingerprint is the hash of the workspace and the full content.
	Fingerprint []byte
	// Prefix is the hash of the workspace and the part of the prompt that
	// other requests are likely to share. Empty if there is no such part.
	Prefix []byte
}

// Plan is the order in which agents are offered one request.
type Plan struct {
	// Home is the home agent; nil if the pool has no live agent.
	Home *target.VM
	// LocalRegion are the other agents of the router's region, those of the router's
	// failure domain first.
	LocalRegion []target.VM
	// RemoteRegions are the other agents of other regions, those of failure domains
	// with free slots first.
	RemoteRegions []target.VM
}

// Home returns the home agent of a request that entered at site. It is the first by
// rendezvous hash of the fingerprint among the homesPerPrefix agents of the region that
// are first by rendezvous hash of the affinity key. If the region has no agents, those of
// all regions are considered. Home returns nil if there is no agent.
func Home(agents []target.VM, site Site, hashes RequestHashes) *target.VM {
	eligible := func(vm *target.VM) bool { return vm.Region == site.Region }
	if !slices.ContainsFunc(agents, func(vm target.VM) bool { return eligible(&vm) }) {
		eligible = func(*target.VM) bool { return true }
	}
	var highest topAgents
	key := hashes.affinityKey()
	for i := range agents {
		if vm := &agents[i]; eligible(vm) {
			highest.add(scoredAgent{vm: vm, score: rendezvousScore(key, vm.ID)})
		}
	}
	return highest.choose(hashes.Fingerprint)
}

// scoredAgent is an agent with the properties that determine its rank.
type scoredAgent struct {
	vm           *target.VM
	link         LinkClass
	hasFreeSlots bool
	score        uint64
}

// topAgents holds the agents with the highest scores, highest first.
type topAgents struct {
	agents [homesPerPrefix]scoredAgent
	n      int
}

// add inserts an agent if its score is among the highest.
func (t *topAgents) add(agent scoredAgent) {
	position := t.n
	for position > 0 && compareScore(agent, t.agents[position-1]) < 0 {
		position--
	}
	if position == homesPerPrefix {
		return
	}
	t.n = min(t.n+1, homesPerPrefix)
	copy(t.agents[position+1:t.n], t.agents[position:])
	t.agents[position] = agent
}

// choose returns the agent with the highest score under key, or nil if there is none.
func (t *topAgents) choose(key []byte) *target.VM {
	var chosen *target.VM
	var highest uint64
	for _, agent := range t.agents[:t.n] {
		if score := rendezvousScore(key, agent.vm.ID); chosen == nil || score > highest {
			chosen, highest = agent.vm, score
		}
	}
	return chosen
}

// NewPlan returns the plan of a request that entered at site. hasFreeSlots reports
// whether a failure domain has free slots in the pool; nil means that none has.
func NewPlan(agents []target.VM, site Site, hashes RequestHashes, hasFreeSlots func(domain string) bool) Plan {
	home := Home(agents, site, hashes)
	if home == nil {
		return Plan{}
	}
	homeCopy := *home
	plan := Plan{Home: &homeCopy}
	for _, agent := range rankAgents(agents, site, hashes, hasFreeSlots) {
		switch {
		case agent.vm == home:
		case agent.link == LinkCrossRegion:
			plan.RemoteRegions = append(plan.RemoteRegions, *agent.vm)
		default:
			plan.LocalRegion = append(plan.LocalRegion, *agent.vm)
		}
	}
	return plan
}

// rankAgents orders agents by link class, by free slots in their failure domain (only
// for other regions) and by rendezvous hash of the affinity key.
func rankAgents(agents []target.VM, site Site, hashes RequestHashes, hasFreeSlots func(string) bool) []scoredAgent {
	key := hashes.affinityKey()
	ranked := make([]scoredAgent, 0, len(agents))
	for i := range agents {
		vm := &agents[i]
		agent := scoredAgent{vm: vm, link: site.LinkTo(*vm), score: rendezvousScore(key, vm.ID)}
		agent.hasFreeSlots = agent.link == LinkCrossRegion && hasFreeSlots != nil && hasFreeSlots(vm.Domain)
		ranked = append(ranked, agent)
	}
	slices.SortFunc(ranked, compareRank)
	return ranked
}

func compareRank(a, b scoredAgent) int {
	if c := cmp.Compare(a.link, b.link); c != 0 {
		return c
	}
	if a.hasFreeSlots != b.hasFreeSlots {
		if a.hasFreeSlots {
			return -1
		}
		return 1
	}
	return compareScore(a, b)
}

// compareScore orders agents of one link class, the highest score first.
func compareScore(a, b scoredAgent) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.vm.ID, b.vm.ID)
}

// affinityKey returns the rendezvous key that sends requests with the same prefix to the
// same agents.
func (h RequestHashes) affinityKey() []byte {
	if len(h.Prefix) == 0 {
		return h.Fingerprint
	}
	return h.Prefix
}

// rendezvousScore returns the rendezvous hash (highest random weight) of an agent under
// key.
func rendezvousScore(key []byte, agentID string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(key)
	_, _ = d.WriteString(agentID)
	return d.Sum64()
}
