package gate

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/metric"
	"github.com/mastichollow/mastichollow/internal/request"
)

// latencyBuckets, in seconds, range from a plain response within the failure domain
// (milliseconds) to the longest timeout of callers (15 s).
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 15}

type metrics struct {
	requests            *prometheus.CounterVec
	refusals            *prometheus.CounterVec
	retries             *prometheus.CounterVec
	sends               *prometheus.CounterVec
	withheldSends       prometheus.Counter
	resumedStreams      prometheus.Counter
	drainingTargets     prometheus.Counter
	backoffs            prometheus.Counter
	requestLimitChanges prometheus.Counter
	limitedTargets      prometheus.Gauge
	coldTargets         prometheus.Gauge
	coldSends           prometheus.Counter
	coldDiversions      prometheus.Counter
	stalledStreams      prometheus.Counter
	joinedResponses     prometheus.Counter
	responseEnds        *prometheus.CounterVec
	presumedCrashes     prometheus.Counter
	blockedParts        prometheus.Gauge
	lossesInCrashes     *prometheus.CounterVec
	partClearings       *prometheus.CounterVec
	admittedSuspects    *prometheus.CounterVec
	suspectedParts      prometheus.Gauge
	droppedParts        prometheus.Counter
	firstByte           *prometheus.HistogramVec
	responseDuration    *prometheus.HistogramVec
	prefillSpeed        *prometheus.GaugeVec
	slowTargets         *prometheus.GaugeVec
	tierWork            *prometheus.CounterVec
	forfeitedShare      prometheus.Counter
	unservedWork        prometheus.Counter
	invalidLoads        prometheus.Counter
	learnedSpeeds       *prometheus.GaugeVec
	relativeTime        *prometheus.GaugeVec
	queues              *prometheus.GaugeVec
	openConnections     prometheus.Gauge
	requestBound        prometheus.Gauge
	schedulingDelay     prometheus.Gauge
	earlyRefusals       prometheus.Counter
	closedIdle          prometheus.Counter
	// overloaded and unavailable are those of refusals and requests.
	overloaded, unavailable prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := metric.NewFactory(reg, "mastichollow_gate")
	m := &metrics{
		requests:            f.CounterVec("requests_total", "Requests by the status returned to the caller; 0: none.", "status"),
		refusals:            f.CounterVec("refusals_total", "Requests that the gate refused or aborted, by reason.", "reason"),
		retries:             f.CounterVec("retries_total", "Retries at another target, by the result of the previous send.", "reason"),
		sends:               f.CounterVec("sends_total", "Sends to targets, by result.", "result"),
		withheldSends:       f.Counter("withheld_sends_total", "Sends given up right before the first byte, because the target was no longer available, allowed or warm, or the key no longer accepted."),
		resumedStreams:      f.Counter("resumed_streams_total", "Streams resumed at another target."),
		drainingTargets:     f.Counter("leaving_targets_total", "Targets that announced in a response that they are draining."),
		backoffs:            f.Counter("target_pauses_total", "Backoffs requested by targets that rejected a request."),
		requestLimitChanges: f.Counter("target_limit_changes_total", "Request limits of targets that began, changed or ended, by responses to this gate."),
		limitedTargets:      f.Gauge("limited_targets", "Targets that name a request limit."),
		coldTargets:         f.Gauge("cold_targets", "Available targets that are treated as cold."),
		coldSends:           f.Counter("cold_sends_total", "Requests that were sent to cold targets."),
		coldDiversions:      f.Counter("cold_diversions_total", "Requests whose first choice was a cold target that did not get them."),
		stalledStreams:      f.Counter("stalled_streams_total", "Streams from targets aborted because no event arrived."),
		joinedResponses:     f.Counter("joined_responses_total", "Responses of targets that consist of the bytes of two responses."),
		responseEnds:        f.CounterVec("response_ends_total", "Responses of targets that were forwarded, by framing and by whether they were complete.", "framing", "end"),
		presumedCrashes:     f.Counter("presumed_crashes_total", "Crashes of targets presumed from lost and refused connections."),
		blockedParts:        f.Gauge("blocked_parts", "Parts of prompts that are blocked because they crash targets."),
		lossesInCrashes:     f.CounterVec("losses_in_crashes_total", "Requests lost in presumed crashes of targets, by whether the response was waiting, had begun shortly before, or was lasting.", "phase"),
		partClearings:       f.CounterVec("part_clearings_total", "Removals of crashes held against a part of prompts, by cause.", "cause"),
		admittedSuspects:    f.CounterVec("admitted_suspects_total", "Requests admitted although one of their parts had reached the number of crashes from which parts are blocked, by reason.", "reason"),
		suspectedParts:      f.Gauge("suspected_parts", "Parts of prompts that were in flight at crashes of targets and have not completed since."),
		droppedParts:        f.Counter("dropped_suspect_parts_total", "Parts of requests lost in crashes that are not held against the parts, since too many were lost at once."),
		firstByte:           f.HistogramVec("first_byte_seconds", "Time to the first byte of the response, in seconds.", latencyBuckets, "service"),
		responseDuration:    f.HistogramVec("answer_seconds", "Time to the end of the response, in seconds.", latencyBuckets, "service"),
		prefillSpeed:        f.GaugeVec("engine_read_tokens_per_ms", "Prompt tokens prefilled by an engine per millisecond, queueing included.", "service"),
		slowTargets:         f.GaugeVec("engine_slow_targets", "Targets whose time to the first event is far above that of their service.", "service"),
		tierWork:            f.CounterVec("room_tokens_total", "Tokens of work of workspaces above their fair share, by admission tier and decision.", "room", "decision"),
		forfeitedShare:      f.Counter("forfeited_share_tokens_total", "Tokens of work of fair shares that accrued while the token bucket was full."),
		unservedWork:        f.Counter("unserved_tokens_total", "Tokens of work of workspaces above their fair share, admitted but not begun because the target failed."),
		invalidLoads:        f.Counter("invalid_target_loads_total", "Statements of targets about their load that were invalid and ignored."),
		learnedSpeeds:       f.GaugeVec("learned_speeds", "Whether decisions use the learned speeds of targets (1) or the targets are alike (0).", "service"),
		relativeTime:        f.GaugeVec("target_relative_time", "Learned time that work takes at the slowest and at the fastest target, relative to the mean of the service.", "service", "rank"),
		queues:              f.GaugeVec("queue_requests", "Requests in the gate by where they are: connections in the kernel's backlog (accept), heads being read (read), and the stages of a request.", "queue"),
		openConnections:     f.Gauge("open_connections", "Connections of callers."),
		requestBound:        f.Gauge("request_bound", "Requests in flight above which workspaces with more than an even portion are refused; 0: none."),
		schedulingDelay:     f.Gauge("scheduling_delay_seconds", "Mean time that ready connections and requests wait for processor time, in seconds."),
		earlyRefusals:       f.Counter("early_refusals_total", "Requests that an overloaded gate refused by their head alone."),
		closedIdle:          f.Counter("closed_idle_connections_total", "Idle connections of callers closed because too many were open."),
	}
	m.overloaded = m.refusals.WithLabelValues(string(request.ReasonOverloaded))
	m.unavailable = m.requests.WithLabelValues(statusLabel(http.StatusServiceUnavailable))
	return m
}
