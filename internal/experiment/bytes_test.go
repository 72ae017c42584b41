package experiment

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// sumsOf returns the sums of backlogged workspaces, spread over ten times as
// many rows.
func sumsOf(rows int) wire.PoolSums {
	p := wire.PoolSums{Pool: pool, Free: 3, Queued: 4000}
	for n := range rows {
		p.Sums = append(p.Sums, wire.Sum{
			Workspace: workspace.RowID(10*n + 1), Service: 50_000_000, Started: 50_000, Running: 7, Queued: 40,
		})
	}
	return p
}

// grow lets all sums grow by what a workspace gets in a second.
func grow(p *wire.PoolSums, second int) {
	for i := range p.Sums {
		s := &p.Sums[i]
		s.Service += 530 + uint64(second%7)
		s.Started += uint64(second % 2)
		s.Running = 7 + uint32(second%3)
		s.Queued = 40 + uint32(second%5)
	}
}

// BenchmarkDigestBytes reports the bytes of a digest of backlogged workspaces,
// without those of the packet.
func BenchmarkDigestBytes(b *testing.B) {
	for _, rows := range []int{15, 47, 470} {
		b.Run(fmt.Sprint("workspaces=", rows), func(b *testing.B) {
			encoder := fleet.NewEncoder("r1")
			sums := sumsOf(rows)
			encoder.Encode([]wire.PoolSums{sums})
			bytes := 0
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				grow(&sums, n)
				frame, err := wire.Append(nil, encoder.Encode([]wire.PoolSums{sums}))
				require.NoError(b, err)
				bytes += len(frame)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B")
			b.ReportMetric(float64(bytes)/float64(b.N*rows), "B/row")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*rows), "ns/row")
		})
	}
}

// BenchmarkReportBytes reports the bytes of an agent's report.
func BenchmarkReportBytes(b *testing.B) {
	for _, rows := range []int{8, 15, 470} {
		b.Run(fmt.Sprint("workspaces=", rows), func(b *testing.B) {
			sums := sumsOf(rows)
			bytes := 0
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				grow(&sums, n)
				report := wire.Report{Member: "agent-1", Incarnation: 1 << 60, Sequence: uint64(n), Pools: []wire.PoolSums{sums}}
				frame, err := wire.Append(nil, &report)
				require.NoError(b, err)
				bytes += len(frame)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B")
			b.ReportMetric(float64(bytes)/float64(b.N*rows), "B/row")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*rows), "ns/row")
		})
	}
}
