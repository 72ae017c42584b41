package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness/source"
	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/limit"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// expiryInterval is the time between checks for sources whose totals have expired.
const expiryInterval = time.Second

// rateLimits enforces the fleet-wide rate limits of the workspaces at this router.
// Routers exchange what they have admitted as totals of the pool limit.RouterPool.
type rateLimits struct {
	limiter limit.RateLimiter

	mu           sync.Mutex
	tableVersion uint64 // of the table whose limits are in force
}

func newRateLimits(domain string) *rateLimits {
	return &rateLimits{limiter: limit.RateLimiter{Limiter: limit.NewAdmissionLimiter(domain), Now: time.Now}}
}

// run expires the totals of unresponsive sources until ctx ends. It calls tick before
// each check.
func (l *rateLimits) run(ctx context.Context, tick func()) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			tick()
			l.limiter.Limiter.Expire(now)
		case <-ctx.Done():
			return
		}
	}
}

// apply sets the limits and the number of live routers from a snapshot. It ignores a
// snapshot whose table is older than the one applied last.
func (l *rateLimits) apply(snapshot *fleet.Snapshot) {
	if snapshot.Table == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if snapshot.Table.Version < l.tableVersion {
		return
	}
	l.tableVersion = snapshot.Table.Version
	l.limiter.Limiter.SetLimits(limit.RateLimits(snapshot.Table))
	l.limiter.Limiter.SetRouterCount(countRouters(snapshot))
}

// countRouters returns the number of live routers, at least 1.
func countRouters(snapshot *fleet.Snapshot) int {
	n := 0
	for _, vm := range snapshot.VMs {
		if vm.Role == target.RoleRouter && snapshot.State(vm) == target.StateLive {
			n++
		}
	}
	return max(n, 1)
}

// merge stores the totals that a failure domain has reported.
func (l *rateLimits) merge(d *wire.Digest) {
	i := slices.IndexFunc(d.Pools, func(p wire.PoolTotals) bool { return p.Pool == limit.RouterPool })
	if i < 0 {
		return
	}
	from := limit.ReportHeader{
		ID:       source.ID{Name: d.Domain, Incarnation: d.Incarnation},
		Sequence: d.Sequence,
	}
	l.limiter.Limiter.Merge(from, d.Pools[i].Totals, time.Now())
}

// report returns the totals of this router.
func (l *rateLimits) report() []wire.PoolTotals {
	return []wire.PoolTotals{{Pool: limit.RouterPool, Totals: l.limiter.Limiter.LocalTotals()}}
}
