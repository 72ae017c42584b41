package demo

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastichollow/mastichollow/internal/experiment"
)

// The fleet of scripts/shares.sh, for the model.
const (
	sharesRegions = 3
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
	key     string
	weight  float64
	routers []string
	tokens  atomic.Int64
}

// Measured is what a run of Shares found. Gap is the range of the difference
// between the weighted services of the two workspaces after the warm-up, in
// seconds of the fleet's capacity.
type Measured struct {
	Gap         float64
	Utilisation float64
}

// Shares keeps two workspaces of weights 3 and 1 backlogged, the first through
// one router and the other through the rest, and measures how the fleet shares
// its slots, in the programs and in the model.
func (d *Demo) Shares(ctx context.Context) (programs, model Measured) {
	ctx, cancel := context.WithTimeout(ctx, sharesLength)
	defer cancel()
	claimants := []*claimant{
		{key: d.cfg.LettersKey, weight: 3, routers: d.cfg.Routers[:1]},
		{key: d.cfg.ShopKey, weight: 1, routers: d.cfg.Routers[1:]},
	}
	var callers sync.WaitGroup
	for i, c := range claimants {
		for n := range sharesCallers {
			rng := rand.New(rand.NewPCG(uint64(i), uint64(n)))
			callers.Go(func() { d.keepWriting(ctx, c, c.routers[n%len(c.routers)], rng) })
		}
	}
	programs = sample(ctx, claimants)
	callers.Wait()
	return programs, playModel()
}

// keepWriting asks for one letter after the other until ctx ends.
func (d *Demo) keepWriting(ctx context.Context, c *claimant, router string, rng *rand.Rand) {
	for ctx.Err() == nil {
		prompt := fmt.Sprintf("Letter %x.", rng.Uint64())
		body := letterBody(prompt, minLetter+rng.IntN(maxLetter-minLetter), true)
		resp, err := d.post(ctx, router+"/v1/chat/completions", c.key, body, map[string]string{"Priority": "u=5"})
		if err != nil {
			continue
		}
		if resp.StatusCode == http.StatusOK {
			countTokens(resp, c)
		}
		resp.Body.Close()
	}
}

// countTokens counts the events of an answer as they come.
func countTokens(resp *http.Response, c *claimant) {
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"content"`) {
			c.tokens.Add(1)
		}
	}
}

// sample follows the claimants until ctx ends.
func sample(ctx context.Context, claimants []*claimant) Measured {
	ticker := time.NewTicker(sharesSample)
	defer ticker.Stop()
	began := time.Now()
	lowest, highest := math.Inf(1), math.Inf(-1)
	var warm, last int64
	var warmAt, lastAt time.Time
	for {
		select {
		case <-ctx.Done():
			rate := float64(last-warm) / lastAt.Sub(warmAt).Seconds()
			capacity := sharesRegions * sharesSlots * sharesSpeed
			return Measured{Gap: (highest - lowest) / rate, Utilisation: rate / capacity}
		case now := <-ticker.C:
			if now.Sub(began) < sharesWarmUp {
				continue
			}
			a, b := claimants[0], claimants[1]
			difference := float64(a.tokens.Load())/a.weight - float64(b.tokens.Load())/b.weight
			lowest, highest = min(lowest, difference), max(highest, difference)
			last, lastAt = a.tokens.Load()+b.tokens.Load(), now
			if warmAt.IsZero() {
				warm, warmAt = last, now
			}
		}
	}
}

// playModel plays the same run in the model.
func playModel() Measured {
	fleet := experiment.Deployment{
		Name: "shares", Regions: sharesRegions, Agents: sharesRegions, OtherMembers: sharesRegions,
		Routers: sharesRegions, Slots: sharesSlots, Speed: sharesSpeed, Near: sharesNetwork, Far: sharesNetwork,
		Workspaces: []experiment.Workspace{
			{Weight: 3, Callers: sharesCallers, Regions: []float64{1, 0, 0}},
			{Weight: 1, Callers: sharesCallers, Regions: []float64{0, 1, 1}},
		},
	}
	r := experiment.Run(fleet, experiment.Scenario{Name: "steady", Length: sharesLength}, experiment.Chosen())
	return Measured{Gap: r.Gap, Utilisation: r.Utilisation}
}
