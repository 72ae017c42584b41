package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

var testKey = rowKey{"pool", 1}

// totalsModel models the members and relays of one failure domain, whose
// reports and digests may be lost, delayed or duplicated, and one receiver of
// the digests.
type totalsModel struct {
	now           time.Time
	members       []*modelMember
	relays        []*modelRelay
	receiver      *domainTotals
	actualService uint64 // total over all members
}

type modelMember struct {
	report  wire.Report
	service uint64
	sent    []*wire.Report
}

type modelRelay struct {
	aggregator *aggregator
	digest     wire.Digest
	sequence   uint64
	received   []*wire.Report
	sent       []*wire.Digest
}

func (r *modelRelay) receive(report *wire.Report, now time.Time) {
	r.aggregator.add(report, now)
	r.received = append(r.received, report)
}

func newTotalsModel() *totalsModel {
	m := &totalsModel{now: time.Unix(1, 0), receiver: newDomainTotals()}
	for _, name := range []string{"m1", "m2", "m3"} {
		m.members = append(m.members, &modelMember{report: wire.Report{Member: name, Incarnation: 1}})
	}
	for _, name := range []string{"r1", "r2"} {
		m.relays = append(m.relays, &modelRelay{aggregator: newAggregator(), digest: wire.Digest{Relay: name, Incarnation: 1}})
	}
	return m
}

func (m *totalsModel) grow(i int, units uint64) {
	m.members[i].service += units
	m.actualService += units
}

// newReport returns the next report of a member.
func (m *totalsModel) newReport(i int) *wire.Report {
	member := m.members[i]
	member.report.Sequence++
	r := member.report
	r.Pools = []wire.PoolTotals{{Pool: "pool", Totals: []wire.Total{{Workspace: 1, Service: member.service}}}}
	member.sent = append(member.sent, &r)
	return &r
}

// newDigest returns the next digest of a relay.
func (m *totalsModel) newDigest(i int) *wire.Digest {
	relay := m.relays[i]
	relay.sequence++
	d := relay.digest
	d.Sequence = relay.sequence
	d.Pools = changedPools(nil, relay.aggregator.currentTotals())
	relay.sent = append(relay.sent, &d)
	return &d
}

// deliverAll delivers a report of each member to each relay and a digest of
// each relay to the receiver.
func (m *totalsModel) deliverAll() {
	for i := range m.members {
		r := m.newReport(i)
		for _, relay := range m.relays {
			relay.receive(r, m.now)
		}
	}
	for i := range m.relays {
		m.receiver.merge(m.newDigest(i))
	}
}

func (m *totalsModel) merged() uint64 { return m.receiver.merged.rows[testKey].Service }

// actions returns the steps of the model: growth, delivery, loss, delay and
// duplication of messages, and restarts of processes without state. rapid draws
// from the sorted names, so renaming a step changes the sequences that a seed
// gives.
func (m *totalsModel) actions() map[string]func(*rapid.T) {
	member := func(t *rapid.T) int { return rapid.IntRange(0, len(m.members)-1).Draw(t, "member") }
	relay := func(t *rapid.T) int { return rapid.IntRange(0, len(m.relays)-1).Draw(t, "relay") }
	return map[string]func(*rapid.T){
		"grow": func(t *rapid.T) { m.grow(member(t), rapid.Uint64Range(1, 100).Draw(t, "units")) },
		"report": func(t *rapid.T) {
			m.relays[relay(t)].receive(m.newReport(member(t)), m.now)
		},
		"late report": func(t *rapid.T) {
			if sent := m.members[member(t)].sent; len(sent) > 0 {
				m.relays[relay(t)].receive(rapid.SampledFrom(sent).Draw(t, "report"), m.now)
			}
		},
		"repeated report": func(t *rapid.T) {
			r := m.relays[relay(t)]
			if len(r.received) > 0 {
				r.aggregator.add(rapid.SampledFrom(r.received).Draw(t, "report"), m.now)
			}
		},
		"digest": func(t *rapid.T) {
			m.receiver.merge(m.newDigest(relay(t)))
		},
		"repeated digest": func(t *rapid.T) {
			if sent := m.relays[relay(t)].sent; len(sent) > 0 {
				m.receiver.merge(rapid.SampledFrom(sent).Draw(t, "digest"))
			}
		},
		"restart a member": func(t *rapid.T) {
			old := m.members[member(t)]
			old.report.Incarnation++
			old.report.Sequence, old.service = 0, 0
		},
		"restart a relay": func(t *rapid.T) {
			old := m.relays[relay(t)]
			old.digest.Incarnation++
			old.aggregator, old.sequence = newAggregator(), 0
			old.received, old.sent = nil, nil
		},
	}
}

// TestMergedTotalsMonotonicAndCountedOnce checks that merged totals never
// decrease under faults, and that growth after the faults is counted exactly
// once.
func TestMergedTotalsMonotonicAndCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTotalsModel()
		last := uint64(0)
		actions := m.actions()
		actions[""] = func(t *rapid.T) {
			require.GreaterOrEqual(t, m.merged(), last, "merged total decreased")
			last = m.merged()
		}
		t.Repeat(actions)
		m.deliverAll()
		mergedBefore, actualBefore := m.merged(), m.actualService
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			m.grow(rapid.IntRange(0, 2).Draw(t, "member"), rapid.Uint64Range(1, 100).Draw(t, "units"))
			actions[rapid.SampledFrom([]string{
				"report", "repeated report", "digest", "repeated digest",
			}).Draw(t, "action")](t)
		}
		m.deliverAll()
		require.Equal(t, m.actualService-actualBefore, m.merged()-mergedBefore, "growth after the faults is counted once")
	})
}

// TestAggregatorIgnoresServiceBeforeStart guards against a restarted relay that
// counts service from before its start as new.
func TestAggregatorIgnoresServiceBeforeStart(t *testing.T) {
	now := time.Unix(1, 0)
	report := func(incarnation, sequence, service uint64) *wire.Report {
		return &wire.Report{
			Member: "m", Incarnation: incarnation, Sequence: sequence,
			Pools: []wire.PoolTotals{{Pool: "pool", Free: 2, Totals: []wire.Total{{Workspace: 1, Service: service, Running: 3}}}},
		}
	}
	total := func(agg *aggregator) uint64 { return agg.currentTotals().rows[testKey].Service }

	agg := newAggregator()
	agg.add(report(1, 7, 500), now)
	require.Zero(t, total(agg), "a new relay does not count earlier service")
	agg.add(report(1, 8, 600), now)
	agg.add(report(1, 8, 600), now)
	old := report(1, 7, 500)
	old.Pools[0].Totals[0].Running = 9
	agg.add(old, now)
	require.Equal(t, uint64(100), total(agg))
	require.Equal(t, uint32(3), agg.currentTotals().rows[testKey].Running, "an old report is ignored")
	agg.add(report(2, 1, 40), now)
	require.Equal(t, uint64(140), total(agg), "the first report of an incarnation counts in full")
	agg.add(report(1, 9, 610), now)
	require.Equal(t, uint64(150), total(agg), "a late report of the previous incarnation counts too")

	require.Equal(t, uint32(3), agg.currentTotals().rows[testKey].Running, "only one incarnation of a member counts as running")
	agg.markAbsent(memberID{"m", 2})
	require.Zero(t, agg.currentTotals().rows[testKey].Running)
	require.Empty(t, agg.currentTotals().loads)
	require.Equal(t, uint64(150), total(agg), "service of an absent member is retained")
	agg.expireMembers(now.Add(time.Second))
	require.Equal(t, uint64(150), total(agg), "service is retained after the member expires")
	require.Empty(t, agg.members)
}

// TestMergeAlignsRelaysOfDomain merges digests of relays that started at
// different times: the same growth must be counted once.
func TestMergeAlignsRelaysOfDomain(t *testing.T) {
	digest := func(relay string, incarnation, sequence, service uint64) *wire.Digest {
		return &wire.Digest{
			Relay: relay, Incarnation: incarnation, Sequence: sequence,
			Pools: []wire.PoolTotals{{Pool: "pool", Totals: []wire.Total{{Workspace: 1, Service: service}}}},
		}
	}
	s := newDomainTotals()
	for i, step := range []struct {
		digest *wire.Digest
		merged uint64
		why    string
	}{
		{digest("r1", 1, 1, 100), 100, "first relay"},
		{digest("r2", 1, 1, 30), 100, "a relay that started later"},
		{digest("r1", 1, 2, 150), 150, "growth at the first relay"},
		{digest("r2", 1, 2, 40), 150, "a lagging relay"},
		{digest("r2", 1, 3, 80), 150, "growth already reported by the first relay"},
		{digest("r2", 1, 4, 90), 160, "growth at the second relay"},
		{digest("r1", 2, 1, 0), 160, "a restarted relay"},
		{digest("r1", 2, 2, 15), 175, "growth at the restarted relay"},
		{digest("r2", 1, 2, 40), 175, "an older digest"},
	} {
		s.merge(step.digest)
		require.Equal(t, step.merged, s.merged.rows[testKey].Service, "step %d: %s", i, step.why)
	}
	for _, src := range s.origins {
		if src.relay == "r2" {
			require.Equal(t, uint64(90), src.totals.rows[testKey].Service, "an older digest does not replace the totals of its origin")
		}
	}
}

func randomTotals(t *rapid.T) *poolTotals {
	totals := newPoolTotals()
	for _, pool := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "letter-writer"}), rapid.ID).Draw(t, "pools") {
		totals.loads[pool] = Load{Free: rapid.IntRange(0, 1000).Draw(t, "free"), Queued: rapid.IntRange(0, 1000).Draw(t, "queued")}
		for _, ws := range rapid.SliceOfDistinct(rapid.Uint32(), rapid.ID).Draw(t, "workspaces") {
			totals.rows[rowKey{pool, workspace.RowID(ws)}] = wire.Total{
				Workspace: workspace.RowID(ws),
				Service:   rapid.Uint64().Draw(t, "service"),
				Started:   rapid.Uint64().Draw(t, "started"),
				Running:   rapid.Uint32().Draw(t, "running"),
				Queued:    rapid.Uint32().Draw(t, "waiting"),
			}
		}
	}
	return totals
}

// TestUnpackRoundTrip checks that an unpacker, also one that joins late, decodes
// the totals that were packed.
func TestUnpackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, u := newPacker(), newUnpacker()
		got, want := newPoolTotals(), newPoolTotals()
		for range rapid.IntRange(1, 4).Draw(t, "digests") {
			next := randomTotals(t)
			want.set(changedPools(nil, next))
			pools, err := u.unpack(p.pack(next))
			require.NoError(t, err)
			got.set(pools)
			require.Equal(t, want, got)
			require.Empty(t, p.pack(next), "nothing changed")
			if rapid.Bool().Draw(t, "late reader") {
				u = newUnpacker()
				pools, err := u.unpack(p.packAll())
				require.NoError(t, err)
				got = newPoolTotals()
				got.set(pools)
				require.Equal(t, want, got, "all totals")
			}
		}
	})
}

func FuzzUnpack(f *testing.F) {
	p := newPacker()
	totals := newPoolTotals()
	totals.loads["letter-writer"] = Load{Free: 3, Queued: 400}
	totals.rows[rowKey{"letter-writer", 7}] = wire.Total{Workspace: 7, Service: 1 << 40, Started: 3, Running: 2, Queued: 1}
	full := p.pack(totals)
	f.Add(full, full)
	f.Add(full[:len(full)-1], []byte{0})
	f.Add([]byte{0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}, []byte{1})
	f.Add([]byte{0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f}, []byte{0, 0x80})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		u := newUnpacker()
		for _, packed := range [][]byte{first, second} {
			pools, err := u.unpack(packed)
			if err != nil {
				require.ErrorIs(t, err, ErrMalformed)
				return
			}
			require.LessOrEqual(t, len(pools), len(packed))
		}
	})
}
