package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Numbers of backlogged workspaces over which slopes are taken.
var benchWorkspaces = []int{15, 120, 470}

// benchSums returns the sums of one source after the given seconds.
func benchSums(workspaces, second int) *poolSums {
	sums := newPoolSums()
	sums.loads["letter-writer"] = Load{Free: second % 4, Queued: workspaces * 10}
	for i := range workspaces {
		ws := workspace.RowID(i + 1)
		sums.rows[rowKey{"letter-writer", ws}] = wire.Sum{
			Workspace: ws,
			Service:   uint64(second * (unitsPerSecond + i)),
			Started:   uint64(second/2 + i),
			Running:   uint32((second + i) % 3),
			Queued:    uint32(200 + (second+i)%5),
		}
	}
	return sums
}

// benchReports returns the reports of one member, a second apart.
func benchReports(workspaces int) []*wire.Report {
	const count = 64
	reports := make([]*wire.Report, count)
	p := newPacker()
	for i := range reports {
		reports[i] = &wire.Report{
			Sequence:  uint64(i + 1),
			Confirmed: 1 << 20,
			Full:      i == 0,
			Packed:    p.pack(benchSums(workspaces, i+1)),
		}
	}
	return reports
}

func eachSize(b *testing.B, run func(b *testing.B, workspaces int)) {
	for _, workspaces := range benchWorkspaces {
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

// BenchmarkRelayReport is what one report costs a relay: decoding and adding
// up. bytes/report is its frame.
func BenchmarkRelayReport(b *testing.B) {
	eachSize(b, func(b *testing.B, workspaces int) {
		reports := benchReports(workspaces)
		frames := make([][]byte, len(reports))
		for i, r := range reports {
			frame, err := wire.Append(nil, r)
			if err != nil {
				b.Fatal(err)
			}
			frames[i] = frame
		}
		tl, u := newTally(), newUnpacker()
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
			tl.add(r, now)
		}
		b.ReportMetric(frameLen(b, reports[1]), "bytes/report")
	})
}

// BenchmarkRelaySum is what adding up a failure domain of 20 members costs a
// relay each period, without the reports.
func BenchmarkRelaySum(b *testing.B) {
	eachSize(b, func(b *testing.B, workspaces int) {
		const members = 20
		tl := newTally()
		for i := range members {
			tl.add(&wire.Report{
				Member: fmt.Sprint(i), Sequence: 1, Pools: diff(nil, benchSums(workspaces, 1)),
			}, time.Now())
		}
		for b.Loop() {
			tl.digest()
		}
	})
}

// BenchmarkRelayDigest is what one digest of one failure domain costs a relay,
// to however many links it goes. bytes/digest is its frame.
func BenchmarkRelayDigest(b *testing.B) {
	eachSize(b, func(b *testing.B, workspaces int) {
		const count = 64
		var sums [count]*poolSums
		for i := range sums {
			sums[i] = benchSums(workspaces, i+1)
		}
		p := newPacker()
		p.pack(sums[0])
		second := 0
		for b.Loop() {
			second++
			p.pack(sums[second%count])
		}
		p = newPacker()
		p.pack(sums[0])
		packed := p.pack(sums[1])
		b.ReportMetric(frameLen(b, &wire.Digest{Sequence: 1000, Packed: packed}), "bytes/digest")
	})
}

// BenchmarkMemberDigest is what one digest of one failure domain costs a
// member: unpacking and merging.
func BenchmarkMemberDigest(b *testing.B) {
	eachSize(b, func(b *testing.B, workspaces int) {
		const count = 64
		var packed [count][]byte
		p := newPacker()
		for i := range packed {
			packed[i] = p.pack(benchSums(workspaces, i+1))
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

// BenchmarkStoreMemory is the memory of the sums of one failure domain of one
// origin at a member, as B/op.
func BenchmarkStoreMemory(b *testing.B) {
	eachSize(b, func(b *testing.B, workspaces int) {
		pools := diff(nil, benchSums(workspaces, 1))
		for b.Loop() {
			NewStore().ApplyDigest(&wire.Digest{Domain: "south-d1", Relay: "r", Incarnation: 1, Sequence: 1, Pools: pools})
		}
	})
}
