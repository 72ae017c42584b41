package platform

import "github.com/prometheus/client_golang/prometheus"

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
	return &batchMetrics{
		transactions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mastichollow_platform_batch_transactions_total",
			Help: "Transactions sent for groups of commits.",
		}),
		writes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mastichollow_platform_batch_writes_total",
			Help: "Writes sent in transactions for groups of commits.",
		}),
		resubmitted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mastichollow_platform_batch_resubmitted_total",
			Help: "Commits sent again because another commit of their transaction conflicted.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastichollow_platform_batch_refused_total",
			Help: "Commits that were not sent, by reason.",
		}, []string{"reason"}),
	}
}

func (m *batchMetrics) register(reg prometheus.Registerer) {
	reg.MustRegister(m.transactions, m.writes, m.resubmitted, m.refused)
}
