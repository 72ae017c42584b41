package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax    = int64(time.Hour / time.Microsecond) // microseconds
	histogramDigits = 3
	microsPerMilli  = 1000.0
)

// Report is the result of a load.
type Report struct {
	Sent        int            `json:"sent"`
	Succeeded   int            `json:"succeeded"`
	NotSent     int            `json:"not_sent"` // MaxOpen requests were open
	Failed      map[string]int `json:"failed"`   // by reason
	Seconds     float64        `json:"seconds"`  // from the start of the load to the last answer
	RequestsPS  float64        `json:"requests_per_s"`
	FirstToken  Quantiles      `json:"first_token_ms"`
	TotalTime   Quantiles      `json:"whole_ms"`
	ByWorkspace []int          `json:"succeeded_by_workspace"` // in the order of the configuration
}

// Quantiles are quantiles of times in milliseconds, measured from the time at which each
// request was due.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// outcome is the result of one request.
type outcome struct {
	workspace  int
	failure    string // reason of the failure; empty: succeeded
	firstToken time.Duration
	totalTime  time.Duration
}

// recorder aggregates outcomes into a report. It is not safe for concurrent use.
type recorder struct {
	report     Report
	firstToken *hdrhistogram.Histogram // microseconds
	totalTime  *hdrhistogram.Histogram // microseconds
}

func newRecorder(workspaces int) *recorder {
	return &recorder{
		report:     Report{Failed: make(map[string]int), ByWorkspace: make([]int, workspaces)},
		firstToken: hdrhistogram.New(1, histogramMax, histogramDigits),
		totalTime:  hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (r *recorder) add(o outcome) {
	r.report.Sent++
	if o.failure != "" {
		r.report.Failed[o.failure]++
		return
	}
	r.report.Succeeded++
	r.report.ByWorkspace[o.workspace]++
	recordDuration(r.firstToken, o.firstToken)
	recordDuration(r.totalTime, o.totalTime)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// finish completes and returns the report of a load that took elapsed.
func (r *recorder) finish(notSent int, elapsed time.Duration) Report {
	r.report.NotSent = notSent
	r.report.Seconds = elapsed.Seconds()
	if elapsed > 0 {
		r.report.RequestsPS = float64(r.report.Succeeded) / elapsed.Seconds()
	}
	r.report.FirstToken = quantiles(r.firstToken)
	r.report.TotalTime = quantiles(r.totalTime)
	return r.report
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P99: float64(h.ValueAtQuantile(99)) / microsPerMilli,
		Max: float64(h.Max()) / microsPerMilli,
	}
}
