package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Numbers of backlogged workspaces. The slope over them is the cost per workspace.
var benchWorkspaceCounts = []int{15, 120, 470}

// benchTotals returns the totals of one source after the given number of
// seconds.
func benchTotals(workspaces, second int) *poolTotals {
	totals := newPoolTotals()
	totals.loads["letter-writer"] = Load{Free: second % 4, Queued: workspaces * 10}
	for i := range workspaces {
		ws := workspace.RowID(i + 1)
		totals.rows[rowKey{"letter-writer", ws}] = wire.Total{
			Workspace: ws,
			Service:   uint64(second * (unitsPerSecond + i)),
			Started:   uint64(second/2 + i),
			Running:   uint32((second + i) % 3),
			Queued:    uint32(200 + (second+i)%5),
		}
	}
	return totals
}

// benchReports returns successive reports of one member, one second apart.
func benchReports(workspaces int) []*wire.Report {
	const count = 64
	reports := make([]*wire.Report, count)
	p := newPacker()
	for i := range reports {
		reports[i] = &wire.Report{
			Sequence:     uint64(i + 1),
			TableVersion: 1 << 20,
			Full:         i == 0,
			Packed:       p.pack(benchTotals(workspaces, i+1)),
		}
	}
	return reports
}

func forEachSize(b *testing.B, run func(b *testing.B, workspaces int)) {
	for _, workspaces := range benchWorkspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			b.ReportAllocs()
			run(b, workspaces)
		})
	}
}

func frameLen(b *testing.B, m wire.Message) float64 {
	b.Helper()
	frame, err := wire.Append(nil, m)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(frame))
}

// BenchmarkRelayReport measures the cost of one report at a relay: decoding,
// unpacking and aggregating. bytes/report is the size of its frame.
func BenchmarkRelayReport(b *testing.B) {
	forEachSize(b, func(b *testing.B, workspaces int) {
		reports := benchReports(workspaces)
		frames := make([][]byte, len(reports))
		for i, r := range reports {
			frame, err := wire.Append(nil, r)
			if err != nil {
				b.Fatal(err)
			}
			frames[i] = frame
		}
		agg, u := newAggregator(), newUnpacker()
		now := time.Now()
		for sequence := uint64(0); b.Loop(); sequence++ {
			m, err := wire.Decode(wire.TypeReport, frames[sequence%uint64(len(frames))][5:])
			if err != nil {
				b.Fatal(err)
			}
			r := m.(*wire.Report)
			if r.Full {
				u = newUnpacker()
			}
			if r.Pools, err = u.unpack(r.Packed); err != nil {
				b.Fatal(err)
			}
			r.Sequence = sequence + 1
			agg.add(r, now)
		}
		b.ReportMetric(frameLen(b, reports[1]), "bytes/report")
	})
}

// BenchmarkRelayTotals measures the cost of computing the totals of a failure
// domain of 20 members at a relay, once per period, without the reports.
func BenchmarkRelayTotals(b *testing.B) {
	forEachSize(b, func(b *testing.B, workspaces int) {
		const members = 20
		agg := newAggregator()
		for i := range members {
			agg.add(&wire.Report{
				Member: fmt.Sprint(i), Sequence: 1, Pools: changedPools(nil, benchTotals(workspaces, 1)),
			}, time.Now())
		}
		for b.Loop() {
			agg.currentTotals()
		}
	})
}

// BenchmarkRelayDigest measures the cost of one digest of one failure domain at
// a relay, which does not depend on the number of links. bytes/digest is the
// size of its frame.
func BenchmarkRelayDigest(b *testing.B) {
	forEachSize(b, func(b *testing.B, workspaces int) {
		const count = 64
		var totals [count]*poolTotals
		for i := range totals {
			totals[i] = benchTotals(workspaces, i+1)
		}
		p := newPacker()
		p.pack(totals[0])
		second := 0
		for b.Loop() {
			second++
			p.pack(totals[second%count])
		}
		p = newPacker()
		p.pack(totals[0])
		packed := p.pack(totals[1])
		b.ReportMetric(frameLen(b, &wire.Digest{Sequence: 1000, Packed: packed}), "bytes/digest")
	})
}

// BenchmarkMemberDigest measures the cost of one digest of one failure domain
// at a member: unpacking and merging.
func BenchmarkMemberDigest(b *testing.B) {
	forEachSize(b, func(b *testing.B, workspaces int) {
		const count = 64
		var packed [count][]byte
		p := newPacker()
		for i := range packed {
			packed[i] = p.pack(benchTotals(workspaces, i+1))
		}
		u, s := newUnpacker(), NewStore()
		sequence := uint64(0)
		for b.Loop() {
			if sequence%count == 0 {
				u = newUnpacker()
			}
			pools, err := u.unpack(packed[sequence%count])
			if err != nil {
				b.Fatal(err)
			}
			sequence++
			s.ApplyDigest(&wire.Digest{Domain: "south-d1", Relay: "r", Incarnation: 1, Sequence: sequence, Pools: pools})
		}
	})
}

// BenchmarkStoreMemory measures, as B/op, the memory that a member needs for
// the totals of one origin of one failure domain.
func BenchmarkStoreMemory(b *testing.B) {
	forEachSize(b, func(b *testing.B, workspaces int) {
		pools := changedPools(nil, benchTotals(workspaces, 1))
		for b.Loop() {
			NewStore().ApplyDigest(&wire.Digest{Domain: "south-d1", Relay: "r", Incarnation: 1, Sequence: 1, Pools: pools})
		}
	})
}
