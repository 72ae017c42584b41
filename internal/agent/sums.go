package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// countsExpire is the time after which a row that has not changed no longer
// counts for the running and waiting requests of its workspace. Requests that
// run change it by the service that they get.
const countsExpire = 30 * time.Second

// remote holds what other agents of the pool reported: it merges their service
// into the ledger and keeps their latest counts of running and waiting
// requests.
//
// The sums of a failure domain count from some moment of the past, and those of
// the own domain contain what this agent reported. So only growth counts, from
// the first digest on, and of the own domain only growth beyond that of the own
// reports. A digest lags behind the reports by a period: what others did may
// show one period late, and at the first digest the own service of at most one
// period is taken for theirs.
type remote struct {
	pool   string
	domain string // own failure domain
	ledger *fairness.Ledger

	mu       sync.Mutex
	reported map[workspace.RowID]wire.Sum // last report of this agent
	domains  map[string]map[workspace.RowID]*remoteRow
}

// remoteRow is a workspace in a failure domain, this agent left out.
type remoteRow struct {
	base    int64 // service that is not counted
	running uint32
	queued  uint32
	heard   time.Time
}

func newRemote(pool, domain string, ledger *fairness.Ledger) *remote {
	return &remote{
		pool:     pool,
		domain:   domain,
		ledger:   ledger,
		reported: make(map[workspace.RowID]wire.Sum),
		domains:  make(map[string]map[workspace.RowID]*remoteRow),
	}
}

// noteReport records the sums that this agent reports.
func (r *remote) noteReport(sums []wire.Sum) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range sums {
		r.reported[s.Workspace] = s
	}
}

// apply takes in a digest that came at now.
func (r *remote) apply(d *wire.Digest, now time.Time) {
	i := slices.IndexFunc(d.Pools, func(p wire.PoolSums) bool { return p.Pool == r.pool })
	if i < 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := r.domains[d.Domain]
	if rows == nil {
		rows = make(map[workspace.RowID]*remoteRow)
		r.domains[d.Domain] = rows
	}
	totals := make([]fairness.Total, 0, len(d.Pools[i].Sums))
	for _, s := range d.Pools[i].Sums {
		service := r.applyRow(d.Domain, rows, s, now)
		totals = append(totals, fairness.Total{Workspace: s.Workspace, Service: service})
	}
	r.ledger.Merge(fairness.Source{Name: "domain/" + d.Domain}, totals)
}

// applyRow takes in one row and returns the service that others of the domain
// gave the workspace since the first digest. r.mu is held.
func (r *remote) applyRow(domain string, rows map[workspace.RowID]*remoteRow, s wire.Sum, now time.Time) uint64 {
	var own wire.Sum
	if domain == r.domain {
		own = r.reported[s.Workspace]
	}
	others := int64(s.Service) - int64(own.Service)
	row := rows[s.Workspace]
	if row == nil {
		row = &remoteRow{base: others}
		rows[s.Workspace] = row
	}
	row.running = s.Running - min(s.Running, own.Running)
	row.queued = s.Queued - min(s.Queued, own.Queued)
	row.heard = now
	return uint64(max(others-row.base, 0))
}

// running returns how many requests of ws run at other agents.
func (r *remote) running(ws workspace.RowID) int {
	return r.total(ws, func(row *remoteRow) uint32 { return row.running })
}

// queued returns how many requests of ws wait at other agents.
func (r *remote) queued(ws workspace.RowID) int {
	return r.total(ws, func(row *remoteRow) uint32 { return row.queued })
}

func (r *remote) total(ws workspace.RowID, figure func(*remoteRow) uint32) int {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, rows := range r.domains {
		if row := rows[ws]; row != nil && now.Sub(row.heard) < countsExpire {
			n += int(figure(row))
		}
	}
	return n
}
