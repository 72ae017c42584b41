package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// remote holds what other agents of the pool reported: it merges their service
// into the ledger and keeps their latest counts of running and waiting
// requests.
//
// A digest of the own failure domain contains what this agent reported itself.
// Since it cannot contain more than the last report, that report is taken off:
// the rest is never more than what the others did, and equals it once the
// digest has caught up.
//
// Two relays of a domain add up the same agents. Only one is followed at a
// time; when it falls silent another one's sums so far set where its growth is
// counted from.
type remote struct {
	pool    string
	domain  string // own failure domain
	timeout time.Duration
	ledger  *fairness.Ledger

	mu       sync.Mutex
	reported map[workspace.RowID]wire.Sum // last report of this agent
	domains  map[string]*domainSums
}

// domainSums is what is known of one failure domain.
type domainSums struct {
	relays   map[relayID]*relaySums
	followed *relaySums
	switches uint64 // makes the source of each followed relay unique
}

// relayID is one incarnation of a relay.
type relayID struct {
	vm          string
	incarnation uint64
}

// relaySums is what one relay reported.
type relaySums struct {
	sequence uint64
	heard    time.Time
	sums     map[workspace.RowID]wire.Sum
}

// Bounds of what is kept of the relays.
const (
	maxRelays    = 8                // of one domain
	countsExpire = 30 * time.Second // silence after which running and waiting requests no longer count
)

func newRemote(pool, domain string, timeout time.Duration, ledger *fairness.Ledger) *remote {
	return &remote{
		pool:     pool,
		domain:   domain,
		timeout:  timeout,
		ledger:   ledger,
		reported: make(map[workspace.RowID]wire.Sum),
		domains:  make(map[string]*domainSums),
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
	known := r.domains[d.Domain]
	if known == nil {
		known = &domainSums{relays: make(map[relayID]*relaySums)}
		r.domains[d.Domain] = known
	}
	relay := known.relay(relayID{d.Relay, d.Incarnation})
	if d.Sequence <= relay.sequence {
		return // late or repeated
	}
	relay.sequence = d.Sequence
	relay.heard = now
	for _, s := range d.Pools[i].Sums {
		relay.sums[s.Workspace] = r.withoutOwn(d.Domain, s)
	}
	if known.follow(relay, now, r.timeout) {
		r.ledger.Merge(known.source(d.Domain), relay.totals())
	}
}

// relay returns the sums of a relay, forgetting the one silent for longest
// when there are too many.
func (d *domainSums) relay(id relayID) *relaySums {
	if known := d.relays[id]; known != nil {
		return known
	}
	if len(d.relays) >= maxRelays {
		delete(d.relays, d.oldest())
	}
	known := &relaySums{sums: make(map[workspace.RowID]wire.Sum)}
	d.relays[id] = known
	return known
}

func (d *domainSums) oldest() relayID {
	var oldest relayID
	var heard time.Time
	for id, relay := range d.relays {
		if heard.IsZero() || relay.heard.Before(heard) {
			oldest, heard = id, relay.heard
		}
	}
	return oldest
}

// follow reports whether relay is followed, taking it over from one that has
// been silent for timeout.
func (d *domainSums) follow(relay *relaySums, now time.Time, timeout time.Duration) bool {
	if d.followed == relay {
		return true
	}
	if d.followed != nil && now.Sub(d.followed.heard) < timeout {
		return false
	}
	d.followed = relay
	d.switches++
	return true
}

// source names the followed relay in the ledger.
func (d *domainSums) source(domain string) fairness.Source {
	return fairness.Source{Name: "domain/" + domain, Incarnation: d.switches}
}

// totals returns the service of all workspaces.
func (s *relaySums) totals() []fairness.Total {
	totals := make([]fairness.Total, 0, len(s.sums))
	for ws, sum := range s.sums {
		totals = append(totals, fairness.Total{Workspace: ws, Service: sum.Service})
	}
	return totals
}

// withoutOwn takes this agent's last report off a sum of domain. r.mu is held.
func (r *remote) withoutOwn(domain string, s wire.Sum) wire.Sum {
	if domain != r.domain {
		return s
	}
	own := r.reported[s.Workspace]
	s.Service -= min(s.Service, own.Service)
	s.Running -= min(s.Running, own.Running)
	s.Queued -= min(s.Queued, own.Queued)
	return s
}

// running returns how many requests of ws run at other agents.
func (r *remote) running(ws workspace.RowID) int {
	return r.total(ws, func(s wire.Sum) uint32 { return s.Running })
}

// queued returns how many requests of ws wait at other agents.
func (r *remote) queued(ws workspace.RowID) int {
	return r.total(ws, func(s wire.Sum) uint32 { return s.Queued })
}

func (r *remote) total(ws workspace.RowID, figure func(wire.Sum) uint32) int {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, d := range r.domains {
		if d.followed != nil && now.Sub(d.followed.heard) < countsExpire {
			n += int(figure(d.followed.sums[ws]))
		}
	}
	return n
}
