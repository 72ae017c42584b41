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
	Estimate fairness.Estimate
	// Extra is the number of slots of a target beyond Slots, for interactive
	// requests only; Reserved is the number of slots within Slots.
	Extra, Reserved int
	Report          time.Duration // period of reports
	Digest          time.Duration // period of digests within a domain
	FarDigest       time.Duration // period of digests between regions
}

// Policies lists what is compared.
func Policies() []Policy {
	chosen := Policy{
		Name: "fleet", Sharing: ShareFleet, Extra: 1,
		Report: 500 * time.Millisecond, Digest: 500 * time.Millisecond, FarDigest: 2 * time.Second,
	}
	region := chosen
	region.Name = "region"
	region.Sharing = ShareRegion
	push := chosen
	push.Name = "round-robin"
	push.Push = true
	push.Sharing = ShareNone
	none := chosen
	none.Name = "fleet-no-estimate"
	none.Estimate = fairness.EstimateNone
	hint := chosen
	hint.Name = "fleet-hint"
	hint.Estimate = fairness.EstimateHint
	reserve := chosen
	reserve.Name = "fleet-reserve"
	reserve.Extra = 0
	reserve.Reserved = 1
	return []Policy{push, region, chosen, none, hint, reserve}
}
