package connlimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/metric"
)

// logInterval is the least time between two log lines of the same cause.
const logInterval = 10 * time.Second

// Stats counts and logs the connections that are closed because of a limit. A nil Stats does
// nothing.
type Stats struct {
	log      hclog.Logger
	closes   *prometheus.CounterVec
	refusals *prometheus.CounterVec
	lastLine sync.Map // of *atomic.Int64, by message, listener and cause: time in ns
	started  time.Time

	mu       sync.Mutex
	accounts map[string]*Account
}

// NewStats returns the stats of the listeners of a process.
func NewStats(reg prometheus.Registerer, log hclog.Logger) *Stats {
	f := metric.NewFactory(reg, "mastichollow_connections")
	s := &Stats{
		log: log, started: time.Now(), accounts: make(map[string]*Account),
		closes:   f.CounterVec("closed_total", "Connections closed to keep a limit, by listener and limit.", "listener", "limit"),
		refusals: f.CounterVec("refused_total", "Connections, heads and bodies that did not fit into a limit, by listener and limit.", "listener", "limit"),
	}
	if reg != nil {
		reg.MustRegister(s)
	}
	return s
}

var (
	heldDesc = prometheus.NewDesc("mastichollow_connections_held_bytes", "Memory charged for the connections of a listener and what they sent.", []string{"listener"}, nil)
	openDesc = prometheus.NewDesc("mastichollow_connections_open", "Connections of a listener.", []string{"listener"}, nil)
)

// Describe implements prometheus.Collector.
func (s *Stats) Describe(ch chan<- *prometheus.Desc) {
	ch <- heldDesc
	ch <- openDesc
}

// Collect implements prometheus.Collector.
func (s *Stats) Collect(ch chan<- prometheus.Metric) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, account := range s.accounts {
		bytes, conns := account.Used()
		ch <- prometheus.MustNewConstMetric(heldDesc, prometheus.GaugeValue, float64(bytes), name)
		ch <- prometheus.MustNewConstMetric(openDesc, prometheus.GaugeValue, float64(conns), name)
	}
}

func (s *Stats) watch(name string, account *Account) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accounts[name] = account
}

func (s *Stats) closed(listener string, cause Cause) {
	if s == nil {
		return
	}
	s.closes.WithLabelValues(listener, string(cause)).Inc()
	s.logLine("connections closed to keep a limit", listener, cause)
}

func (s *Stats) refused(listener string, cause Cause) {
	if s == nil || cause == "" {
		return
	}
	s.refusals.WithLabelValues(listener, string(cause)).Inc()
	s.logLine("connections or requests refused to keep a limit", listener, cause)
}

// logLine logs a line at most once per logInterval, listener and cause.
func (s *Stats) logLine(message, listener string, cause Cause) {
	entry, _ := s.lastLine.LoadOrStore(message+listener+string(cause), new(atomic.Int64))
	last := entry.(*atomic.Int64) //nolint:forcetypeassert // only this type is stored
	now, previous := int64(time.Since(s.started)), last.Load()
	if previous != 0 && now-previous < int64(logInterval) || !last.CompareAndSwap(previous, now) {
		return
	}
	s.log.Warn(message, "listener", listener, "limit", string(cause))
}
