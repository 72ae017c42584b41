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

// backloggedTotals returns the totals of backlogged workspaces, whose row IDs are spread
// over ten times as many rows.
func backloggedTotals(rows int) wire.PoolTotals {
	p := wire.PoolTotals{Pool: pool, Free: 3, Queued: 4000}
	for n := range rows {
		p.Totals = append(p.Totals, wire.Total{
			Workspace: workspace.RowID(10*n + 1), Service: 50_000_000, Started: 50_000, Running: 7, Queued: 40,
		})
	}
	return p
}

// increaseTotals increases all totals by the typical service of a workspace in a second.
func increaseTotals(p *wire.PoolTotals, second int) {
	for i := range p.Totals {
		s := &p.Totals[i]
		s.Service += 530 + uint64(second%7)
		s.Started += uint64(second % 2)
		s.Running = 7 + uint32(second%3)
		s.Queued = 40 + uint32(second%5)
	}
}

// BenchmarkDigestBytes reports the size of a digest of backlogged workspaces, without
// packet overhead.
func BenchmarkDigestBytes(b *testing.B) {
	for _, rows := range []int{15, 47, 470} {
		b.Run(fmt.Sprint("workspaces=", rows), func(b *testing.B) {
			encoder := fleet.NewDigestEncoder("r1")
			totals := backloggedTotals(rows)
			encoder.Encode([]wire.PoolTotals{totals})
			measureTotals(b, &totals, func(int) wire.Message { return encoder.Encode([]wire.PoolTotals{totals}) })
		})
	}
}

// measureTotals reports the size and the encoding time of the messages that newMessage
// returns for increasing totals.
func measureTotals(b *testing.B, totals *wire.PoolTotals, newMessage func(n int) wire.Message) {
	bytes, rows := 0, len(totals.Totals)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		increaseTotals(totals, n)
		frame, err := wire.Append(nil, newMessage(n))
		require.NoError(b, err)
		bytes += len(frame)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B")
	b.ReportMetric(float64(bytes)/float64(b.N*rows), "B/row")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*rows), "ns/row")
}

// BenchmarkReportBytes reports the size of an agent's report.
func BenchmarkReportBytes(b *testing.B) {
	for _, rows := range []int{8, 15, 470} {
		b.Run(fmt.Sprint("workspaces=", rows), func(b *testing.B) {
			totals := backloggedTotals(rows)
			measureTotals(b, &totals, func(n int) wire.Message {
				return &wire.Report{Member: "agent-1", Incarnation: 1 << 60, Sequence: uint64(n), Pools: []wire.PoolTotals{totals}}
			})
		})
	}
}

// BenchmarkConfigBytes reports the sizes of a workspace table and of a VM list.
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

// BenchmarkPlan measures the choice of a request's home agent, and the ordering of all
// agents for a request.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{20, 200, 1429} {
		d := Muistopurkki()
		d.Agents = n
		w := newSimulation(d, Scenario{}, FleetPolicy())
		vms, r := w.liveVMs(), w.routers[0]
		site := placement.Site{Region: regionName(0), Domain: regionName(0)}
		for name, plan := range map[string]func(placement.RequestHashes){
			"home": func(c placement.RequestHashes) { placement.Home(vms, site, c) },
			"all":  func(c placement.RequestHashes) { placement.NewPlan(vms, site, c, r.hasFreeSlots) },
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
