package platform

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/metric"
)

// Values of the label reason of batch_refused_total.
const (
	reasonQueueFull = "queue_full"
	reasonWithdrawn = "withdrawn"
	reasonStopped   = "stopped"
)

// batchMetrics are the metrics of a Batcher.
type batchMetrics struct {
	transactions prometheus.Counter
	writes       prometheus.Counter
	resubmitted  prometheus.Counter
	unsent       *prometheus.CounterVec // reason
}

func newBatchMetrics() *batchMetrics {
	f := metric.NewFactory(nil, "mastichollow_platform") // not exported until register is called
	return &batchMetrics{
		transactions: f.Counter("batch_transactions_total", "Transactions sent for groups of commits."),
		writes:       f.Counter("batch_writes_total", "Writes sent in transactions for groups of commits."),
		resubmitted:  f.Counter("batch_resubmitted_total", "Commits sent again because another commit of their transaction conflicted."),
		unsent:       f.CounterVec("batch_refused_total", "Commits that were not sent, by reason.", "reason"),
	}
}

func (m *batchMetrics) register(reg prometheus.Registerer) {
	reg.MustRegister(m.transactions, m.writes, m.resubmitted, m.unsent)
}
