package experiment

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness"
)

// LedgerScope says which agents' service an agent's ledger counts.
type LedgerScope uint8

// Scopes.
const (
	ScopeAgent  LedgerScope = iota // the agent itself
	ScopeRegion                    // the agents of its region
	ScopeFleet                     // all agents
)

// Policy configures placement, fairness and control traffic of the fleet.
type Policy struct {
	Name string
	// RoundRobin makes routers send each request to one agent, in turn. Otherwise they
	// offer requests to several agents, and the agents choose.
	RoundRobin bool
	Scope      LedgerScope
	Estimate   fairness.CostEstimate
	// ExtraSlots and ReservedSlots are slots of a target for interactive requests only:
	// ExtraSlots in addition to Deployment.Slots, ReservedSlots among them.
	ExtraSlots, ReservedSlots int
	ReportPeriod              time.Duration // of reports
	DigestPeriod              time.Duration // of digests within a domain
	RemoteDigestPeriod        time.Duration // of digests between regions
	// RouterTotals sends routers the totals of all workspaces. Otherwise they get only
	// what their decisions need: which regions have free slots or waiting offers.
	RouterTotals    bool
	HeartbeatPeriod time.Duration // on links without other traffic
}

// Policies lists the policies that are compared in each scenario: round robin as the
// simplest baseline, fair shares per region, and fair shares of the fleet.
func Policies() []Policy {
	roundRobin := FleetPolicy()
	roundRobin.Name = "round-robin"
	roundRobin.RoundRobin = true
	roundRobin.Scope = ScopeAgent
	region := FleetPolicy()
	region.Name = "region"
	region.Scope = ScopeRegion
	return []Policy{roundRobin, region, FleetPolicy()}
}

// FleetPolicy returns the policy that the real fleet uses.
func FleetPolicy() Policy {
	return Policy{
		Name: "fleet", Scope: ScopeFleet, ExtraSlots: 1,
		ReportPeriod: 500 * time.Millisecond, DigestPeriod: 500 * time.Millisecond, RemoteDigestPeriod: 2 * time.Second,
		HeartbeatPeriod: 5 * time.Second,
	}
}

// Variants lists policies that differ from FleetPolicy in one respect each.
func Variants() []Policy {
	variant := func(name string, change func(*Policy)) Policy {
		p := FleetPolicy()
		p.Name = name
		change(&p)
		return p
	}
	return []Policy{
		variant("fleet-no-estimate", func(p *Policy) { p.Estimate = fairness.EstimateNone }),
		variant("fleet-hint", func(p *Policy) { p.Estimate = fairness.EstimateHints }),
		variant("fleet-reserve", func(p *Policy) { p.ExtraSlots, p.ReservedSlots = 0, 1 }),
		variant("fleet-no-reserve", func(p *Policy) { p.ExtraSlots = 0 }),
		variant("fleet-router-sums", func(p *Policy) { p.RouterTotals = true }),
		variant("fleet-far-1s", func(p *Policy) { p.RemoteDigestPeriod = time.Second }),
		variant("fleet-1s-2s", func(p *Policy) { p.ReportPeriod, p.DigestPeriod = time.Second, time.Second }),
	}
}
