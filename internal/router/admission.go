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

// admissionPeriod is the time between two checks for sources that fell silent.
const admissionPeriod = time.Second

// admission holds the rate limits of the workspaces over the fleet at this
// router. What all routers admitted travels in the sums of limit.Pool.
type admission struct {
	gate limit.RateLimiter

	mu      sync.Mutex
	version uint64 // of the table that the limits are from
}

func newAdmission(domain string) *admission {
	return &admission{gate: limit.RateLimiter{Limiter: limit.NewAdmissionLimiter(domain), Now: time.Now}}
}

// run gives up the figures of silent sources until ctx ends. tick is called as
// often.
func (a *admission) run(ctx context.Context, tick func()) {
	ticker := time.NewTicker(admissionPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			tick()
			a.gate.Limiter.Expire(now)
		case <-ctx.Done():
			return
		}
	}
}

// apply takes the limits and the number of routers from a snapshot, unless a
// newer table is in force.
func (a *admission) apply(snapshot *fleet.Snapshot) {
	if snapshot.Table == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if snapshot.Table.Version < a.version {
		return
	}
	a.version = snapshot.Table.Version
	a.gate.Limiter.SetLimits(limit.RateLimits(snapshot.Table))
	a.gate.Limiter.SetRouterCount(countRouters(snapshot))
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

// merge takes in the sums of a failure domain.
func (a *admission) merge(d *wire.Digest) {
	i := slices.IndexFunc(d.Pools, func(p wire.PoolSums) bool { return p.Pool == limit.RouterPool })
	if i < 0 {
		return
	}
	from := limit.ReportHeader{
		ID:       source.ID{Name: d.Domain, Incarnation: d.Incarnation},
		Sequence: d.Sequence,
	}
	a.gate.Limiter.Merge(from, d.Pools[i].Sums, time.Now())
}

// report returns the sums of this router.
func (a *admission) report() []wire.PoolSums {
	return []wire.PoolSums{{Pool: limit.RouterPool, Sums: a.gate.Limiter.LocalTotals()}}
}
