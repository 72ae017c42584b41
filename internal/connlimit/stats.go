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
	held     *prometheus.GaugeVec // collected by Collect, as conns
	conns    *prometheus.GaugeVec
	lastLine sync.Map // of *atomic.Int64, by message, listener and cause: time in ns
	started  time.Time

	mu       sync.Mutex
	accounts map[string]*Account
}

// NewStats returns the stats of the listeners of a process.
func NewStats(reg prometheus.Registerer, log hclog.Logger) *Stats {
	const namespace = "mastichollow_connections"
	f, collected := metric.NewFactory(reg, namespace), metric.NewFactory(nil, namespace)
	s := &Stats{
		log: log, started: time.Now(), accounts: make(map[string]*Account),
		closes:   f.CounterVec("closed_total", "Connections closed to keep a limit, by listener and limit.", "listener", "limit"),
		refusals: f.CounterVec("refused_total", "Connections, heads and bodies that did not fit into a limit, by listener and limit.", "listener", "limit"),
		held:     collected.GaugeVec("held_bytes", "Memory charged for the connections of a listener and what they sent.", "listener"),
		conns:    collected.GaugeVec("open", "Connections of a listener.", "listener"),
	}
	if reg != nil {
		reg.MustRegister(s)
	}
	return s
}

// Describe implements prometheus.Collector.
func (s *Stats) Describe(ch chan<- *prometheus.Desc) {
	s.held.Describe(ch)
	s.conns.Describe(ch)
}

// Collect implements prometheus.Collector: it reads the accounts.
func (s *Stats) Collect(ch chan<- prometheus.Metric) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, account := range s.accounts {
		bytes, conns := account.Used()
		s.held.WithLabelValues(name).Set(float64(bytes))
		s.conns.WithLabelValues(name).Set(float64(conns))
	}
	s.held.Collect(ch)
	s.conns.Collect(ch)
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
