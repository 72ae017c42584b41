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

// The load, and the fleet of scripts/shares.sh as the model simulates it.
const (
	sharesRegions             = 3
	sharesRegionPairs         = sharesRegions * (sharesRegions - 1) / 2
	sharesSlotsPerAgent       = 4     // of each of three agents
	sharesTokensPerSecond     = 500.0 // per slot
	sharesStreamsPerWorkspace = 24

	sharesWarmUp         = 10 * time.Second
	sharesDuration       = 60 * time.Second
	sharesSampleInterval = 100 * time.Millisecond
	minCompletionTokens  = 300
	maxCompletionTokens  = 3000
	sharesNetworkDelay   = 100 * time.Microsecond
)

// workspaceLoad is the load of one of the two workspaces.
type workspaceLoad struct {
	caller.Caller
	weight  float64
	routers []string
	tokens  atomic.Int64
}

// Measurement is the result of MeasureShares. FairnessGap is the range of the
// difference between the weighted services of the two workspaces after the warm-up, in
// seconds of the capacity of the fleet. Utilisation is the fraction of the slot time
// in which slots were busy. RegionPairRate is the control traffic between two regions
// in both directions, in bytes/s: frames in the programs, packets in the model.
type Measurement struct {
	FairnessGap    float64
	Utilisation    float64
	RegionPairRate float64
}

// MeasureShares keeps two workspaces of weights 3 and 1 backlogged, the first through
// one router and the second through the others. It measures how the fleet shares its
// slots, in the programs and in the model.
func (d *Demo) MeasureShares(ctx context.Context) (programs, model Measurement, err error) {
	loadCtx, cancel := context.WithTimeout(ctx, sharesDuration)
	defer cancel()
	loads := []*workspaceLoad{
		{Caller: d.modelCaller, weight: 3, routers: d.cfg.RouterURLs[:1]},
		{Caller: d.serviceCaller, weight: 1, routers: d.cfg.RouterURLs[1:]},
	}
	var callers sync.WaitGroup
	for i, load := range loads {
		for n := range sharesStreamsPerWorkspace {
			rng := rand.New(rand.NewPCG(uint64(i), uint64(n)))
			callers.Go(func() { d.sendCompletions(loadCtx, load, load.routers[n%len(load.routers)], rng) })
		}
	}
	time.Sleep(sharesWarmUp)
	began := time.Now()
	before, err := d.controlBytes(ctx)
	if err != nil {
		return programs, model, err
	}
	callers.Go(func() { programs.Utilisation, err = d.sampleUtilisation(loadCtx) })
	programs.FairnessGap = sampleFairnessGap(loadCtx, loads)
	callers.Wait()
	after, controlErr := d.controlBytes(ctx)
	programs.RegionPairRate = (after - before) / (time.Since(began).Seconds() * sharesRegionPairs)
	return programs, simulateShares(), errors.CombineErrors(err, controlErr)
}

// controlBytes returns the bytes of control frames that were sent between regions so
// far.
func (d *Demo) controlBytes(ctx context.Context) (float64, error) {
	return d.total(ctx, d.cfg.MemberAdminURLs, "mastichollow_transport_sent_bytes_total",
		map[string]string{"link": "cross_region", "kind": "control"})
}

// sampleUtilisation returns the mean fraction of busy slots until ctx ends.
func (d *Demo) sampleUtilisation(ctx context.Context) (float64, error) {
	ticker := time.NewTicker(sharesSampleInterval)
	defer ticker.Stop()
	sum, samples := 0.0, 0.0
	for {
		select {
		case <-ctx.Done():
			return sum / samples / (sharesRegions * sharesSlotsPerAgent), nil
		case <-ticker.C:
			busy, err := d.total(context.WithoutCancel(ctx), d.cfg.AgentAdminURLs, "mastichollow_agent_slots_busy", nil)
			if err != nil {
				return 0, err
			}
			sum += busy
			samples++
		}
	}
}

// sendCompletions requests streamed completions one at a time until ctx ends.
func (d *Demo) sendCompletions(ctx context.Context, load *workspaceLoad, router string, rng *rand.Rand) {
	for ctx.Err() == nil {
		prompt := fmt.Sprintf("Letter %x.", rng.Uint64())
		body := caller.CompletionBody(prompt, minCompletionTokens+rng.IntN(maxCompletionTokens-minCompletionTokens), true)
		load.Stream(ctx, router, body, map[string]string{"Priority": "u=5"}, func() { load.tokens.Add(1) })
	}
}

// sampleFairnessGap samples the services of the workspaces until ctx ends and returns
// the fairness gap.
func sampleFairnessGap(ctx context.Context, loads []*workspaceLoad) float64 {
	ticker := time.NewTicker(sharesSampleInterval)
	defer ticker.Stop()
	began := time.Now()
	first := totalTokens(loads)
	lowest, highest := math.Inf(1), math.Inf(-1)
	for {
		select {
		case <-ctx.Done():
			rate := float64(totalTokens(loads)-first) / time.Since(began).Seconds()
			return (highest - lowest) / rate
		case <-ticker.C:
			a, b := loads[0], loads[1]
			difference := float64(a.tokens.Load())/a.weight - float64(b.tokens.Load())/b.weight
			lowest, highest = min(lowest, difference), max(highest, difference)
		}
	}
}

// totalTokens returns the tokens of all workspaces.
func totalTokens(loads []*workspaceLoad) int64 {
	n := int64(0)
	for _, load := range loads {
		n += load.tokens.Load()
	}
	return n
}

// simulateShares simulates the same run in the model.
func simulateShares() Measurement {
	deployment := experiment.Deployment{
		Name: "shares", Regions: sharesRegions, Agents: sharesRegions, OtherMembers: sharesRegions,
		Routers: sharesRegions, Slots: sharesSlotsPerAgent, UnitsPerSecond: sharesTokensPerSecond, LocalDelay: sharesNetworkDelay, RemoteDelay: sharesNetworkDelay,
		Workspaces: []experiment.Workspace{
			{Weight: 3, Callers: sharesStreamsPerWorkspace, Regions: []float64{1, 0, 0}},
			{Weight: 1, Callers: sharesStreamsPerWorkspace, Regions: []float64{0, 1, 1}},
		},
	}
	result := experiment.Run(deployment, experiment.Scenario{Name: "steady", Length: sharesDuration}, experiment.FleetPolicy())
	return Measurement{FairnessGap: result.Gap, Utilisation: result.Utilisation, RegionPairRate: result.RegionPairBytesPerSecond}
}
