package demo

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/caller"
	"github.com/mastichollow/mastichollow/internal/experiment"
)

// The fleet of scripts/shares.sh, for the model.
const (
	sharesRegions = 3
	sharesPairs   = sharesRegions * (sharesRegions - 1) / 2
	sharesSlots   = 4     // of each of three agents
	sharesSpeed   = 500.0 // tokens/s of a slot
	sharesCallers = 24    // letters under way for each workspace

	sharesWarmUp  = 10 * time.Second
	sharesLength  = 60 * time.Second
	sharesSample  = 100 * time.Millisecond
	minLetter     = 300  // tokens
	maxLetter     = 3000 // tokens
	sharesNetwork = 100 * time.Microsecond
)

// claimant is one of the two workspaces of the run.
type claimant struct {
	caller.Caller
	weight  float64
	routers []string
	tokens  atomic.Int64
}

// Measured is what a run of Shares found. Gap is the range of the difference
// between the weighted services of the two workspaces after the warm-up, in
// seconds of the fleet's capacity; Utilisation the share of the slots' time in
// which they were busy; RegionPair the control traffic between two regions,
// both ways, in bytes/s: frames in the programs, packets in the model.
type Measured struct {
	Gap         float64
	Utilisation float64
	RegionPair  float64
}

// Shares keeps two workspaces of weights 3 and 1 backlogged, the first through
// one router and the other through the rest, and measures how the fleet shares
// its slots, in the programs and in the model.
func (d *Demo) Shares(ctx context.Context) (programs, model Measured, err error) {
	running, cancel := context.WithTimeout(ctx, sharesLength)
	defer cancel()
	claimants := []*claimant{
		{Caller: d.letters, weight: 3, routers: d.cfg.Routers[:1]},
		{Caller: d.shop, weight: 1, routers: d.cfg.Routers[1:]},
	}
	var callers sync.WaitGroup
	for i, c := range claimants {
		for n := range sharesCallers {
			rng := rand.New(rand.NewPCG(uint64(i), uint64(n)))
			callers.Go(func() { d.keepWriting(running, c, c.routers[n%len(c.routers)], rng) })
		}
	}
	time.Sleep(sharesWarmUp)
	began := time.Now()
	before, err := d.controlBytes(ctx)
	if err != nil {
		return programs, model, err
	}
	callers.Go(func() { programs.Utilisation, err = d.sampleBusy(running) })
	programs.Gap = sampleGap(running, claimants)
	callers.Wait()
	after, controlErr := d.controlBytes(ctx)
	programs.RegionPair = (after - before) / (time.Since(began).Seconds() * sharesPairs)
	return programs, playModel(), errors.CombineErrors(err, controlErr)
}

// controlBytes returns the bytes of control frames sent between regions so far.
func (d *Demo) controlBytes(ctx context.Context) (float64, error) {
	return d.total(ctx, d.cfg.Members, "mastichollow_transport_sent_bytes_total",
		map[string]string{"link": "cross_region", "kind": "control"})
}

// sampleBusy returns the mean share of the slots that are busy until ctx ends.
func (d *Demo) sampleBusy(ctx context.Context) (float64, error) {
	ticker := time.NewTicker(sharesSample)
	defer ticker.Stop()
	sum, samples := 0.0, 0.0
	for {
		select {
		case <-ctx.Done():
			return sum / samples / (sharesRegions * sharesSlots), nil
		case <-ticker.C:
			busy, err := d.total(context.WithoutCancel(ctx), d.cfg.Agents, "mastichollow_agent_slots_busy", nil)
			if err != nil {
				return 0, err
			}
			sum += busy
			samples++
		}
	}
}

// keepWriting asks for one letter after the other until ctx ends.
func (d *Demo) keepWriting(ctx context.Context, c *claimant, router string, rng *rand.Rand) {
	for ctx.Err() == nil {
		prompt := fmt.Sprintf("Letter %x.", rng.Uint64())
		body := caller.CompletionBody(prompt, minLetter+rng.IntN(maxLetter-minLetter), true)
		c.Stream(ctx, router, body, map[string]string{"Priority": "u=5"}, func() { c.tokens.Add(1) })
	}
}

// sampleGap follows the claimants until ctx ends.
func sampleGap(ctx context.Context, claimants []*claimant) float64 {
	ticker := time.NewTicker(sharesSample)
	defer ticker.Stop()
	began := time.Now()
	first := tokensOf(claimants)
	lowest, highest := math.Inf(1), math.Inf(-1)
	for {
		select {
		case <-ctx.Done():
			rate := float64(tokensOf(claimants)-first) / time.Since(began).Seconds()
			return (highest - lowest) / rate
		case <-ticker.C:
			a, b := claimants[0], claimants[1]
			difference := float64(a.tokens.Load())/a.weight - float64(b.tokens.Load())/b.weight
			lowest, highest = min(lowest, difference), max(highest, difference)
		}
	}
}

// tokensOf returns the tokens of all claimants.
func tokensOf(claimants []*claimant) int64 {
	n := int64(0)
	for _, c := range claimants {
		n += c.tokens.Load()
	}
	return n
}

// playModel plays the same run in the model.
func playModel() Measured {
	fleet := experiment.Deployment{
		Name: "shares", Regions: sharesRegions, Agents: sharesRegions, OtherMembers: sharesRegions,
		Routers: sharesRegions, Slots: sharesSlots, UnitsPerSecond: sharesSpeed, LocalDelay: sharesNetwork, RemoteDelay: sharesNetwork,
		Workspaces: []experiment.Workspace{
			{Weight: 3, Callers: sharesCallers, Regions: []float64{1, 0, 0}},
			{Weight: 1, Callers: sharesCallers, Regions: []float64{0, 1, 1}},
		},
	}
	r := experiment.Run(fleet, experiment.Scenario{Name: "steady", Length: sharesLength}, experiment.FleetPolicy())
	return Measured{Gap: r.Gap, Utilisation: r.Utilisation, RegionPair: r.RegionPairBytesPerSecond}
}
