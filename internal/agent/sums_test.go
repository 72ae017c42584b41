package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/fairness"
	"github.com/mastichollow/mastichollow/internal/wire"
)

func TestDigestsCountOthersOnce(t *testing.T) {
	// step is a report of the agent itself, of domain "a", or a digest.
	type step struct {
		domain  string // empty: own report
		service uint64
	}
	tests := []struct {
		name  string
		steps []step
		want  float64 // service of others
	}{
		{"growth of another domain", []step{{"b", 100}, {"b", 130}}, 30},
		{"repeated and late", []step{{"b", 100}, {"b", 130}, {"b", 130}, {"b", 120}, {"b", 131}}, 31},
		{"own domain contains the own report", []step{{"", 50}, {"a", 50}, {"", 90}, {"a", 90}}, 0},
		{"others beside the own report", []step{{"", 50}, {"a", 60}, {"", 90}, {"a", 125}}, 25},
		{"digest lags behind the own report", []step{{"", 50}, {"a", 50}, {"", 90}, {"a", 50}, {"a", 70}, {"a", 97}}, 7},
		{"relay that has not counted the own past", []step{{"", 5000}, {"a", 0}, {"", 5040}, {"a", 55}}, 15},
		{"two domains", []step{{"b", 7}, {"c", 9}, {"b", 10}, {"c", 10}}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ledger := fairness.NewLedger()
			r := newRemote(testPool, "a", ledger)
			for _, s := range tt.steps {
				sums := []wire.Sum{{Workspace: 1, Service: s.service}}
				if s.domain == "" {
					r.noteReport(sums)
					continue
				}
				pools := []wire.PoolSums{{Pool: "another", Sums: sums}, {Pool: testPool, Sums: sums}}
				r.apply(&wire.Digest{Domain: s.domain, Pools: pools}, time.Unix(0, 0))
			}
			require.InDelta(t, tt.want, ledger.Level(1), 0)
		})
	}
}
