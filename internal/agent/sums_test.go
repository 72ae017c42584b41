package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/fairness"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

func uint32ID(ws int) workspace.RowID { return workspace.RowID(ws) }

func TestDigestsCountOthersOnce(t *testing.T) {
	type in struct {
		domain, relay string
		sequence      uint64
		service       uint64
		after         time.Duration
	}
	tests := []struct {
		name    string
		own     uint64 // charged and reported
		digests []in
		want    float64 // level, own service included
	}{
		{"growth of another domain", 0, []in{{"b", "r", 1, 100, 0}, {"b", "r", 2, 130, 0}}, 30},
		{"repeated and late", 0, []in{{"b", "r", 1, 100, 0}, {"b", "r", 3, 130, 0}, {"b", "r", 3, 130, 0}, {"b", "r", 2, 120, 0}}, 30},
		{"own domain contains the own report", 50, []in{{"a", "r", 1, 50, 0}, {"a", "r", 2, 80, 0}}, 80},
		{"own domain lags behind the own report", 50, []in{{"a", "r", 1, 0, 0}, {"a", "r", 2, 20, 0}, {"a", "r", 3, 57, 0}}, 57},
		{"two relays of a domain", 0, []in{
			{"b", "r", 1, 100, 0},
			{"b", "s", 1, 100, 0},
			{"b", "r", 2, 130, 0},
			{"b", "s", 2, 130, 0},
		}, 30},
		{"second relay takes over", 0, []in{
			{"b", "r", 1, 100, 0},
			{"b", "s", 1, 40, 0},
			{"b", "r", 2, 130, 0},
			{"b", "s", 2, 70, time.Minute},
			{"b", "s", 3, 75, 0},
		}, 35},
		{"restarted relay", 0, []in{{"b", "r", 5, 100, 0}, {"b", "r2", 1, 500, time.Minute}, {"b", "r2", 2, 510, 0}}, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ledger := fairness.NewLedger()
			r := newRemote(testPool, "a", 5*time.Second, ledger)
			ledger.Charge(1, int64(tt.own))
			r.noteReport([]wire.Sum{{Workspace: 1, Service: tt.own}})
			now := time.Unix(0, 0)
			for _, d := range tt.digests {
				now = now.Add(d.after)
				r.apply(&wire.Digest{
					Domain: d.domain, Relay: d.relay, Sequence: d.sequence,
					Pools: []wire.PoolSums{{Pool: testPool, Sums: []wire.Sum{{Workspace: 1, Service: d.service}}}},
				}, now)
			}
			require.InDelta(t, tt.want, ledger.Level(1), 0)
		})
	}
}
