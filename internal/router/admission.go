package router

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/fairness/source"
	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/limit"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// admissionPeriod is the time between two checks for sources that fell silent.
const admissionPeriod = time.Second

// admission holds the rate and queue limits of all pools at this router. A
// request that was admitted waits until it is granted or given up.
//
// Lock order: admission.mu before that of a limit.Admission.
type admission struct {
	domain string // own failure domain

	mu      sync.Mutex
	version uint64 // of the table that the limits are from
	limits  map[workspace.RowID]limit.Limits
	routers int
	pools   map[string]*limit.Admission
}

// admitted is a request that was admitted. It is used by one goroutine.
type admitted struct {
	pool *limit.Admission
	row  workspace.RowID
	over bool
}

func newAdmission(domain string) *admission {
	return &admission{domain: domain, routers: 1, pools: make(map[string]*limit.Admission)}
}

// admit takes a request in or refuses it.
func (a *admission) admit(row workspace.RowID, pool string) (*admitted, *request.RefusedError) {
	p := a.pool(pool)
	err := p.Admit(row, time.Now())
	if err == nil {
		return &admitted{pool: p, row: row}, nil
	}
	var refused *request.RefusedError
	if !errors.As(err, &refused) {
		refused = refuse(request.ReasonQueueFull, "%v", err)
	}
	return nil, refused
}

// done notes that the request waits no more.
func (d *admitted) done() {
	if d.over {
		return
	}
	d.over = true
	d.pool.Done(d.row, time.Now())
}

// pool returns the limits of one pool.
func (a *admission) pool(name string) *limit.Admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[name]
	if p == nil {
		p = limit.NewAdmission(a.domain)
		p.SetLimits(a.limits)
		p.SetMembers(a.routers)
		a.pools[name] = p
	}
	return p
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
	a.routers = countRouters(snapshot)
	a.limits = make(map[workspace.RowID]limit.Limits, len(snapshot.Table.Rows))
	for i := range snapshot.Table.Rows {
		row := &snapshot.Table.Rows[i]
		a.limits[row.ID] = limit.LimitsOf(row)
	}
	for _, p := range a.pools {
		p.SetLimits(a.limits)
		p.SetMembers(a.routers)
	}
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
	from := limit.Source{
		ID:       source.ID{Name: d.Domain, Incarnation: d.Incarnation},
		Sequence: d.Sequence,
	}
	for _, p := range d.Pools {
		a.pool(p.Pool).Merge(from, p.Sums, time.Now())
	}
}

// expire gives up the waiting requests of sources that fell silent.
func (a *admission) expire() {
	for _, p := range a.all() {
		p.Expire(time.Now())
	}
}

// report returns the sums of this router.
func (a *admission) report() []wire.PoolSums {
	all := a.all()
	sums := make([]wire.PoolSums, 0, len(all))
	for name, p := range all {
		if own := p.Own(); len(own) > 0 {
			sums = append(sums, wire.PoolSums{Pool: name, Sums: own})
		}
	}
	return sums
}

// all returns a copy of the pools.
func (a *admission) all() map[string]*limit.Admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	pools := make(map[string]*limit.Admission, len(a.pools))
	for name, p := range a.pools {
		pools[name] = p
	}
	return pools
}
