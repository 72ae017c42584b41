package experiment

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/placement"
	"github.com/mastichollow/mastichollow/internal/target"
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
			encoder := fleet.NewDigestEncoder("r1")
			sums := sumsOf(rows)
			encoder.Encode([]wire.PoolSums{sums})
			measureSums(b, &sums, func(int) wire.Message { return encoder.Encode([]wire.PoolSums{sums}) })
		})
	}
}

// measureSums reports the bytes and the time of the messages that message
// makes of growing sums, one for each n.
func measureSums(b *testing.B, sums *wire.PoolSums, message func(n int) wire.Message) {
	bytes, rows := 0, len(sums.Sums)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		grow(sums, n)
		frame, err := wire.Append(nil, message(n))
		require.NoError(b, err)
		bytes += len(frame)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B")
	b.ReportMetric(float64(bytes)/float64(b.N*rows), "B/row")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*rows), "ns/row")
}

// BenchmarkReportBytes reports the bytes of an agent's report.
func BenchmarkReportBytes(b *testing.B) {
	for _, rows := range []int{8, 15, 470} {
		b.Run(fmt.Sprint("workspaces=", rows), func(b *testing.B) {
			sums := sumsOf(rows)
			measureSums(b, &sums, func(n int) wire.Message {
				return &wire.Report{Member: "agent-1", Incarnation: 1 << 60, Sequence: uint64(n), Pools: []wire.PoolSums{sums}}
			})
		})
	}
}

// BenchmarkConfigBytes reports the bytes of a table and of a VM list.
func BenchmarkConfigBytes(b *testing.B) {
	for _, n := range []int{15, 4700} {
		table := &workspace.Table{Version: 10_000, ChangeID: strings.Repeat("c", 36), NextID: workspace.RowID(n)}
		for i := range n {
			table.Rows = append(table.Rows, workspace.Row{
				ID: workspace.RowID(i), Name: fmt.Sprint("workspace-", i), KeyHashes: []string{strings.Repeat("a", 64)},
				Weight: 1.5, RateLimit: 50, Concurrency: 40, QueueLimit: 1000, Pools: []string{"letter-writer", "shop-api"},
			})
		}
		b.Run(fmt.Sprint("rows=", n), func(b *testing.B) { reportConfig(b, &wire.Config{Table: table}, n) })
	}
	for _, n := range []int{29, 12_600} {
		var vms []target.VM
		for i := range n {
			vms = append(vms, target.VM{
				ID: fmt.Sprintf("vm-%08d", i), Addr: "10.120.130.140:7000", Role: target.RoleAgent, Region: "north",
				Domain: "north-1", Pool: "letter-writer", Kind: target.KindModel, State: target.StateLive,
			})
		}
		b.Run(fmt.Sprint("vms=", n), func(b *testing.B) { reportConfig(b, &wire.Config{VMs: vms}, n) })
	}
}

func reportConfig(b *testing.B, c *wire.Config, n int) {
	bytes := 0
	for b.Loop() {
		frame, err := wire.Append(nil, c)
		require.NoError(b, err)
		bytes = len(frame)
	}
	b.ReportMetric(float64(bytes), "B")
	b.ReportMetric(float64(bytes)/float64(n), "B/entry")
}

// BenchmarkPlan measures the choice of the home agent of a request and the order
// of all agents.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{20, 200, 1429} {
		d := Muistopurkki()
		d.Agents = n
		w := newWorld(d, Scenario{}, Chosen())
		vms, r := w.live(), w.routers[0]
		site := placement.Site{Region: regionName(0), Domain: regionName(0)}
		for name, plan := range map[string]func(placement.RequestHashes){
			"home": func(c placement.RequestHashes) { placement.Home(vms, site, c) },
			"all":  func(c placement.RequestHashes) { placement.NewPlan(vms, site, c, r.hasFree) },
		} {
			b.Run(fmt.Sprintf("%s/agents=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for i := uint64(0); b.Loop(); i++ {
					plan(placement.RequestHashes{Fingerprint: binary.BigEndian.AppendUint64(nil, i)})
				}
			})
		}
	}
}
