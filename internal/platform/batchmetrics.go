package platform

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/metric"
)

// Reasons for which a Batcher refuses a commit, as labels.
const (
	refusedQueueFull = "queue_full"
	refusedWithdrawn = "withdrawn"
	refusedStopped   = "stopped"
)

// batchMetrics counts the work of a Batcher.
type batchMetrics struct {
	transactions prometheus.Counter
	writes       prometheus.Counter
	resubmitted  prometheus.Counter
	refused      *prometheus.CounterVec // reason
}

func newBatchMetrics() *batchMetrics {
	f := metric.NewFactory(nil, "mastichollow_platform") // register exports them
	return &batchMetrics{
		transactions: f.Counter("batch_transactions_total", "Transactions sent for groups of commits."),
		writes:       f.Counter("batch_writes_total", "Writes sent in transactions for groups of commits."),
		resubmitted:  f.Counter("batch_resubmitted_total", "Commits sent again because another commit of their transaction conflicted."),
		refused:      f.CounterVec("batch_refused_total", "Commits that were not sent, by reason.", "reason"),
	}
}

func (m *batchMetrics) register(reg prometheus.Registerer) {
	reg.MustRegister(m.transactions, m.writes, m.resubmitted, m.refused)
}
