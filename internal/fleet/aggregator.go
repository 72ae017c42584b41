package fleet

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/wire"
)

// memberRetention is how long a relay retains the last totals of an absent
// member after its last report.
const memberRetention = time.Minute

// memberID identifies one incarnation of a member's process.
type memberID struct {
	member      string
	incarnation uint64
}

// aggregator aggregates, at a relay, the reports of the members of one failure
// domain.
//
// The total of a workspace is the growth that this relay has seen itself: the
// first report that it gets of a member is the baseline from which growth
// counts, unless it is the first report that the process ever sent. A relay
// that starts with no state thus never counts old service as new.
type aggregator struct {
	totals  *poolTotals
	members map[memberID]*memberState
	// present is the latest incarnation of each connected member, by VM ID.
	// Only present members count for loads, running and waiting requests.
	present map[string]memberID
}

// memberState is the latest known state of a member.
type memberState struct {
	lastSeen time.Time
	sequence uint64
	totals   *poolTotals
}

func newAggregator() *aggregator {
	return &aggregator{
		totals:  newPoolTotals(),
		members: make(map[memberID]*memberState),
		present: make(map[string]memberID),
	}
}

// add adds the growth in r to the totals and marks a new or absent member as
// present. The totals in a report that is not newer than the last one are
// ignored.
func (a *aggregator) add(r *wire.Report, now time.Time) {
	id := memberID{r.Member, r.Incarnation}
	m, known := a.members[id]
	if !known {
		m = &memberState{totals: newPoolTotals()}
		a.members[id] = m
	}
	if _, present := a.present[r.Member]; !known || !present {
		a.present[r.Member] = id
	}
	m.lastSeen = now
	if known && r.Sequence <= m.sequence {
		return
	}
	m.sequence = r.Sequence
	countGrowth := known || r.Sequence == 1
	for _, p := range r.Pools {
		m.totals.loads[p.Pool] = Load{Free: int(p.Free), Queued: int(p.Queued)}
		for _, row := range p.Totals {
			a.addRow(m, rowKey{p.Pool, row.Workspace}, row, countGrowth)
		}
	}
}

// addRow updates one row of m and, if countGrowth is set, adds its growth to
// the totals.
func (a *aggregator) addRow(m *memberState, key rowKey, row wire.Total, countGrowth bool) {
	previous := m.totals.rows[key]
	row.Service = max(previous.Service, row.Service)
	row.Started = max(previous.Started, row.Started)
	m.totals.rows[key] = row
	total := a.totals.rows[key]
	total.Workspace = key.workspace
	if countGrowth {
		total.Service += row.Service - previous.Service
		total.Started += row.Started - previous.Started
	}
	a.totals.rows[key] = total
}

// markAbsent excludes the load and requests of a member until it reports again.
func (a *aggregator) markAbsent(id memberID) {
	if a.present[id.member] == id {
		delete(a.present, id.member)
	}
}

// currentTotals returns the totals of the domain, with the loads and the
// waiting and running requests of the present members.
func (a *aggregator) currentTotals() *poolTotals {
	totals := newPoolTotals()
	for key, row := range a.totals.rows {
		totals.rows[key] = wire.Total{Workspace: key.workspace, Service: row.Service, Started: row.Started}
	}
	for _, id := range a.present {
		totals.addLoad(a.members[id].totals)
	}
	return totals
}

// addLoad adds the loads and the waiting and running requests of a member.
func (t *poolTotals) addLoad(member *poolTotals) {
	for pool, load := range member.loads {
		total := t.loads[pool]
		t.loads[pool] = Load{Free: total.Free + load.Free, Queued: total.Queued + load.Queued}
	}
	for key, row := range member.rows {
		total := t.rows[key]
		total.Running += row.Running
		total.Queued += row.Queued
		t.rows[key] = total
	}
}

// expireMembers drops the absent members whose last report is not after limit.
// Their growth stays in the totals.
func (a *aggregator) expireMembers(limit time.Time) {
	for id, m := range a.members {
		if a.present[id.member] == id || m.lastSeen.After(limit) {
			continue
		}
		delete(a.members, id)
	}
}
