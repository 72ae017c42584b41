package eventlog

import (
	"io"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
)

// BenchmarkLine measures the time that logging a line through hclog takes the caller.
func BenchmarkLine(b *testing.B) {
	l := New(io.Discard, prometheus.NewRegistry())
	l.limiter.SetLimit(1e9)
	go l.Run(b.Context())
	log := l.Logger("gate", hclog.Info)
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request ended", "request", "9378804a4f7359cb", "outcome", "overloaded", "status", 503, "ms", 12,
			"first_ms", 0, "age_ms", 120, "sends", 0, "version", 7, "route", "r-m4jedck", "workspace", "shop",
			"service", "letters", "first_choice", "i-1", "running", 12, "reading", 800, "missing", 700, "over_share", true, "after", "")
	}
}

// BenchmarkEvent measures the same line through Log.Event, which uses no reflection.
func BenchmarkEvent(b *testing.B) {
	l := New(io.Discard, prometheus.NewRegistry())
	l.limiter.SetLimit(1e9)
	go l.Run(b.Context())
	b.ReportAllocs()
	for b.Loop() {
		l.Event("gate", "request ended", Text("request", "9378804a4f7359cb"), Text("outcome", "overloaded"), Int("status", 503),
			Int("ms", 12), Int("first_ms", 0), Int("age_ms", 120), Int("sends", 0), Int("version", 7), Text("route", "r-m4jedck"),
			Text("workspace", "shop"), Text("service", "letters"), Text("first_choice", "i-1"), Int("running", 12), Int("reading", 800),
			Int("missing", 700), Bool("over_share", true), Text("after", ""))
	}
}
