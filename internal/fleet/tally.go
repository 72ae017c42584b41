package fleet

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/wire"
)

// tallyMemory is how long a relay keeps the last sums of a member that it no
// longer hears from.
const tallyMemory = time.Minute

// memberID names one start of a member's process.
type memberID struct {
	member      string
	incarnation uint64
}

// tally adds up the reports of the members of one failure domain at a relay.
//
// The total of a workspace is the growth that the relay itself has seen: the
// first report of a member sets where its growth is counted from, unless it is
// the first report that the process ever sent. So a relay that starts with
// nothing in memory never takes old service for new.
type tally struct {
	total   *poolSums
	members map[memberID]*memberTally
	// present is the latest start of each member, for loads.
	present map[string]memberID
}

// memberTally is the last report of a member.
type memberTally struct {
	heard    time.Time
	sequence uint64
	last     *poolSums
}

func newTally() *tally {
	return &tally{
		total:   newPoolSums(),
		members: make(map[memberID]*memberTally),
		present: make(map[string]memberID),
	}
}

// add adds the growth in r. A report older than the last one is ignored.
func (t *tally) add(r *wire.Report, now time.Time) {
	id := memberID{r.Member, r.Incarnation}
	m, known := t.members[id]
	if !known {
		m = &memberTally{last: newPoolSums()}
		t.members[id] = m
	}
	if _, present := t.present[r.Member]; !known || !present {
		t.present[r.Member] = id
	}
	m.heard = now
	if known && r.Sequence <= m.sequence {
		return
	}
	m.sequence = r.Sequence
	counted := known || r.Sequence == 1
	for _, p := range r.Pools {
		m.last.loads[p.Pool] = Load{Free: int(p.Free), Queued: int(p.Queued)}
		for _, row := range p.Sums {
			t.addRow(m, rowKey{p.Pool, row.Workspace}, row, counted)
		}
	}
}

// addRow adds the growth of one row of m.
func (t *tally) addRow(m *memberTally, key rowKey, row wire.Sum, counted bool) {
	before := m.last.rows[key]
	row.Service = max(before.Service, row.Service)
	row.Started = max(before.Started, row.Started)
	m.last.rows[key] = row
	total := t.total.rows[key]
	total.Workspace = key.ws
	if counted {
		total.Service += row.Service - before.Service
		total.Started += row.Started - before.Started
	}
	t.total.rows[key] = total
}

// absent takes the load of a member out of the sums until it reports again.
func (t *tally) absent(id memberID) {
	if t.present[id.member] == id {
		delete(t.present, id.member)
	}
}

// digest returns the sums of the domain, with the loads and running requests
// of the members that are present.
func (t *tally) digest() *poolSums {
	sums := newPoolSums()
	for key, row := range t.total.rows {
		sums.rows[key] = wire.Sum{Workspace: key.ws, Service: row.Service, Started: row.Started}
	}
	for _, id := range t.present {
		sums.addLoad(t.members[id].last)
	}
	return sums
}

// addLoad adds the loads and the waiting and running requests of a member.
func (s *poolSums) addLoad(m *poolSums) {
	for pool, load := range m.loads {
		sum := s.loads[pool]
		s.loads[pool] = Load{Free: sum.Free + load.Free, Queued: sum.Queued + load.Queued}
	}
	for key, row := range m.rows {
		sum := s.rows[key]
		sum.Running += row.Running
		sum.Queued += row.Queued
		s.rows[key] = sum
	}
}

// forget drops the absent members that were last heard from before limit.
// Their growth stays in the total.
func (t *tally) forget(limit time.Time) {
	for id, m := range t.members {
		if t.present[id.member] == id || m.heard.After(limit) {
			continue
		}
		delete(t.members, id)
	}
}
