package experiment

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness"
)

// Sharing says whose service an agent's ledger counts.
type Sharing uint8

// Ways of sharing.
const (
	ShareNone   Sharing = iota // its own
	ShareRegion                // that of its region
	ShareFleet                 // that of the fleet
)

// Policy is a way to decide.
type Policy struct {
	Name string
	// Push lets routers hand requests to the next agent at once, in turn;
	// otherwise they offer them and agents choose.
	Push     bool
	Sharing  Sharing
	Estimate fairness.CostEstimate
	// Extra is the number of slots of a target beyond Slots, for interactive
	// requests only; Reserved is the number of slots within Slots.
	Extra, Reserved int
	Report          time.Duration // period of reports
	Digest          time.Duration // period of digests within a domain
	FarDigest       time.Duration // period of digests between regions
	// RouterSums sends routers the sums of all workspaces; otherwise they get
	// only what they decide by: which regions have free slots, which wait.
	RouterSums bool
	Heartbeat  time.Duration // on links on which nothing else is sent
}

// Policies lists what is compared in each scenario: the simplest baseline, shares
// per region, and shares of the fleet.
func Policies() []Policy {
	push := Chosen()
	push.Name = "round-robin"
	push.Push = true
	push.Sharing = ShareNone
	region := Chosen()
	region.Name = "region"
	region.Sharing = ShareRegion
	return []Policy{push, region, Chosen()}
}

// Chosen returns the policy that the fleet follows.
func Chosen() Policy {
	return Policy{
		Name: "fleet", Sharing: ShareFleet, Extra: 1,
		Report: 500 * time.Millisecond, Digest: 500 * time.Millisecond, FarDigest: 2 * time.Second,
		Heartbeat: 5 * time.Second,
	}
}

// Variants lists the chosen policy with one thing changed each.
func Variants() []Policy {
	variant := func(name string, change func(*Policy)) Policy {
		p := Chosen()
		p.Name = name
		change(&p)
		return p
	}
	return []Policy{
		variant("fleet-no-estimate", func(p *Policy) { p.Estimate = fairness.EstimateNone }),
		variant("fleet-hint", func(p *Policy) { p.Estimate = fairness.EstimateHints }),
		variant("fleet-reserve", func(p *Policy) { p.Extra, p.Reserved = 0, 1 }),
		variant("fleet-no-reserve", func(p *Policy) { p.Extra = 0 }),
		variant("fleet-router-sums", func(p *Policy) { p.RouterSums = true }),
		variant("fleet-far-1s", func(p *Policy) { p.FarDigest = time.Second }),
		variant("fleet-1s-2s", func(p *Policy) { p.Report, p.Digest = time.Second, time.Second }),
	}
}
