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

// sumsModel is a failure domain of members and relays whose reports and
// digests are lost, late and repeated, and one receiver.
type sumsModel struct {
	now      time.Time
	members  []*modelMember
	relays   []*modelRelay
	receiver *domainSums
	truth    uint64 // service of all members
}

type modelMember struct {
	report wire.Report
	sum    uint64
	sent   []*wire.Report
}

type modelRelay struct {
	tally    *tally
	digest   wire.Digest
	sequence uint64
	heard    []*wire.Report
	sent     []*wire.Digest
}

func (r *modelRelay) hear(report *wire.Report, now time.Time) {
	r.tally.add(report, now)
	r.heard = append(r.heard, report)
}

func newSumsModel() *sumsModel {
	m := &sumsModel{now: time.Unix(1, 0), receiver: newDomainSums()}
	for _, name := range []string{"m1", "m2", "m3"} {
		m.members = append(m.members, &modelMember{report: wire.Report{Member: name, Incarnation: 1}})
	}
	for _, name := range []string{"r1", "r2"} {
		m.relays = append(m.relays, &modelRelay{tally: newTally(), digest: wire.Digest{Relay: name, Incarnation: 1}})
	}
	return m
}

func (m *sumsModel) grow(i int, units uint64) {
	m.members[i].sum += units
	m.truth += units
}

// newReport makes the next report of a member.
func (m *sumsModel) newReport(i int) *wire.Report {
	member := m.members[i]
	member.report.Sequence++
	r := member.report
	r.Pools = []wire.PoolSums{{Pool: "pool", Sums: []wire.Sum{{Workspace: 1, Service: member.sum}}}}
	member.sent = append(member.sent, &r)
	return &r
}

// newDigest makes the next digest of a relay.
func (m *sumsModel) newDigest(i int) *wire.Digest {
	relay := m.relays[i]
	relay.sequence++
	d := relay.digest
	d.Sequence = relay.sequence
	d.Pools = diff(nil, relay.tally.digest())
	relay.sent = append(relay.sent, &d)
	return &d
}

// settle delivers a report of each member to each relay and a digest of each
// relay to the receiver.
func (m *sumsModel) settle() {
	for i := range m.members {
		r := m.newReport(i)
		for _, relay := range m.relays {
			relay.hear(r, m.now)
		}
	}
	for i := range m.relays {
		m.receiver.merge(m.newDigest(i))
	}
}

func (m *sumsModel) merged() uint64 { return m.receiver.merged.rows[testKey].Service }

// actions are steps in which messages are lost, late or repeated and processes
// start again with nothing in memory.
func (m *sumsModel) actions() map[string]func(*rapid.T) {
	member := func(t *rapid.T) int { return rapid.IntRange(0, len(m.members)-1).Draw(t, "member") }
	relay := func(t *rapid.T) int { return rapid.IntRange(0, len(m.relays)-1).Draw(t, "relay") }
	return map[string]func(*rapid.T){
		"grow": func(t *rapid.T) { m.grow(member(t), rapid.Uint64Range(1, 100).Draw(t, "units")) },
		"report": func(t *rapid.T) {
			m.relays[relay(t)].hear(m.newReport(member(t)), m.now)
		},
		"late report": func(t *rapid.T) {
			if sent := m.members[member(t)].sent; len(sent) > 0 {
				m.relays[relay(t)].hear(rapid.SampledFrom(sent).Draw(t, "report"), m.now)
			}
		},
		"repeated report": func(t *rapid.T) {
			r := m.relays[relay(t)]
			if len(r.heard) > 0 {
				r.tally.add(rapid.SampledFrom(r.heard).Draw(t, "report"), m.now)
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
			old.report.Sequence, old.sum = 0, 0
		},
		"restart a relay": func(t *rapid.T) {
			old := m.relays[relay(t)]
			old.digest.Incarnation++
			old.tally, old.sequence = newTally(), 0
			old.heard, old.sent = nil, nil
		},
	}
}

func TestMergedSumsNeverFallAndCountGrowthOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSumsModel()
		last := uint64(0)
		actions := m.actions()
		actions[""] = func(t *rapid.T) {
			require.GreaterOrEqual(t, m.merged(), last, "merged sum fell")
			last = m.merged()
		}
		t.Repeat(actions)
		m.settle()
		merged, truth := m.merged(), m.truth
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			m.grow(rapid.IntRange(0, 2).Draw(t, "member"), rapid.Uint64Range(1, 100).Draw(t, "units"))
			actions[rapid.SampledFrom([]string{
				"report", "repeated report", "digest", "repeated digest",
			}).Draw(t, "action")](t)
		}
		m.settle()
		require.Equal(t, m.truth-truth, m.merged()-merged, "growth after the faults counts once")
	})
}

func TestTallyTakesNoOldServiceForNew(t *testing.T) {
	now := time.Unix(1, 0)
	report := func(incarnation, sequence, service uint64) *wire.Report {
		return &wire.Report{
			Member: "m", Incarnation: incarnation, Sequence: sequence,
			Pools: []wire.PoolSums{{Pool: "pool", Free: 2, Sums: []wire.Sum{{Workspace: 1, Service: service, Running: 3}}}},
		}
	}
	total := func(tl *tally) uint64 { return tl.digest().rows[testKey].Service }

	tl := newTally()
	tl.add(report(1, 7, 500), now)
	require.Zero(t, total(tl), "a relay that starts does not count what was before")
	tl.add(report(1, 8, 600), now)
	tl.add(report(1, 8, 600), now)
	old := report(1, 7, 500)
	old.Pools[0].Sums[0].Running = 9
	tl.add(old, now)
	require.Equal(t, uint64(100), total(tl))
	require.Equal(t, uint32(3), tl.digest().rows[testKey].Running, "an old report does not count")
	tl.add(report(2, 1, 40), now)
	require.Equal(t, uint64(140), total(tl), "the first report of a start counts in full")
	tl.add(report(1, 9, 610), now)
	require.Equal(t, uint64(150), total(tl), "a late report of the start before counts too")

	require.Equal(t, uint32(3), tl.digest().rows[testKey].Running, "one start of a member runs")
	tl.absent(memberID{"m", 2})
	require.Zero(t, tl.digest().rows[testKey].Running)
	require.Empty(t, tl.digest().loads)
	require.Equal(t, uint64(150), total(tl), "service of a dead member stays")
	tl.forget(now.Add(time.Second))
	require.Equal(t, uint64(150), total(tl), "also when the member is forgotten")
	require.Empty(t, tl.members)
}

func TestRelaysOfOneDomainAreAligned(t *testing.T) {
	digest := func(relay string, incarnation, sequence, service uint64) *wire.Digest {
		return &wire.Digest{
			Relay: relay, Incarnation: incarnation, Sequence: sequence,
			Pools: []wire.PoolSums{{Pool: "pool", Sums: []wire.Sum{{Workspace: 1, Service: service}}}},
		}
	}
	s := newDomainSums()
	for i, step := range []struct {
		digest *wire.Digest
		merged uint64
		why    string
	}{
		{digest("r1", 1, 1, 100), 100, "the first relay"},
		{digest("r2", 1, 1, 30), 100, "a relay that counts from later"},
		{digest("r1", 1, 2, 150), 150, "growth at the first relay"},
		{digest("r2", 1, 2, 40), 150, "a relay that lags"},
		{digest("r2", 1, 3, 80), 150, "growth that the first relay told before"},
		{digest("r2", 1, 4, 90), 160, "growth at the second relay"},
		{digest("r1", 2, 1, 0), 160, "a relay that has started again"},
		{digest("r1", 2, 2, 15), 175, "its growth"},
		{digest("r2", 1, 2, 40), 175, "an older copy"},
	} {
		s.merge(step.digest)
		require.Equal(t, step.merged, s.merged.rows[testKey].Service, "step %d: %s", i, step.why)
	}
	for _, src := range s.origins {
		if src.relay == "r2" {
			require.Equal(t, uint64(90), src.sums.rows[testKey].Service, "an older copy is not passed on")
		}
	}
}

func drawSums(t *rapid.T) *poolSums {
	sums := newPoolSums()
	for _, pool := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "letter-writer"}), rapid.ID).Draw(t, "pools") {
		sums.loads[pool] = Load{Free: rapid.IntRange(0, 1000).Draw(t, "free"), Queued: rapid.IntRange(0, 1000).Draw(t, "queued")}
		for _, ws := range rapid.SliceOfDistinct(rapid.Uint32(), rapid.ID).Draw(t, "workspaces") {
			sums.rows[rowKey{pool, workspace.RowID(ws)}] = wire.Sum{
				Workspace: workspace.RowID(ws),
				Service:   rapid.Uint64().Draw(t, "service"),
				Started:   rapid.Uint64().Draw(t, "started"),
				Running:   rapid.Uint32().Draw(t, "running"),
				Queued:    rapid.Uint32().Draw(t, "waiting"),
			}
		}
	}
	return sums
}

func TestUnpackReversesPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, u := newPacker(), newUnpacker()
		got, want := newPoolSums(), newPoolSums()
		for range rapid.IntRange(1, 4).Draw(t, "digests") {
			next := drawSums(t)
			want.set(diff(nil, next))
			pools, err := u.unpack(p.pack(next))
			require.NoError(t, err)
			got.set(pools)
			require.Equal(t, want, got)
			require.Empty(t, p.pack(next), "nothing changed")
		}
	})
}

func FuzzUnpack(f *testing.F) {
	p := newPacker()
	sums := newPoolSums()
	sums.loads["letter-writer"] = Load{Free: 3, Queued: 400}
	sums.rows[rowKey{"letter-writer", 7}] = wire.Sum{Workspace: 7, Service: 1 << 40, Started: 3, Running: 2, Queued: 1}
	full := p.pack(sums)
	f.Add(full, full)
	f.Add(full[:len(full)-1], []byte{0})
	f.Add([]byte{0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}, []byte{1})
	f.Add([]byte{0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f}, []byte{0, 0x80})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		u := newUnpacker()
		for _, packed := range [][]byte{first, second} {
			pools, err := u.unpack(packed)
			if err != nil {
				require.ErrorIs(t, err, ErrPacked)
				return
			}
			require.LessOrEqual(t, len(pools), len(packed))
		}
	})
}
