package gate

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/request"
)

// Reasons why the gate is not ready. The readiness endpoint returns these texts.
var (
	errDraining         = errors.New("gate is draining")
	errNoTable          = errors.New("no table is known yet")
	errNoTargets        = errors.New("no targets are known yet")
	errStaleTable       = errors.New("table is too old to take keys")
	errSchedulingDelay  = errors.New("gate runs late")
	errManyConnections  = errors.New("gate has too many connections")
	errManyRequests     = errors.New("gate has too many requests in flight")
	errStoreUnreachable = errors.New("gate cannot reach the metadata store itself")
)

const (
	// retryAfterShort is for conditions that may end within most latency objectives
	// (0.5 to 1.2 s): a high scheduling delay, an exhausted retry budget.
	retryAfterShort = 200 * time.Millisecond
	// retryAfterLong is for conditions that last longer: no target of the service, a
	// request in quarantine, no memory for request bodies.
	retryAfterLong = time.Second
	// retryAfterOtherGate is for callers of a gate that is shutting down or lacks a
	// fresh table: the load balancer routes their next connection to another gate. If
	// no gate has a fresh table, a longer delay would rarely outlast the store's
	// outage.
	retryAfterOtherGate = 20 * time.Millisecond
	// retryAfterJitter is the largest random extension, as a fraction of the delay.
	retryAfterJitter = 0.5
)

// refusal is a response that the gate itself gives instead of a target's.
type refusal struct {
	status     int
	reason     request.Reason
	retryAfter time.Duration    // 0: no Retry-After field
	detail     []eventlog.Field // inputs of the decision, for the event log
}

// unavailable returns a temporary refusal of a request that did not run and never will.
func unavailable(reason request.Reason, retryAfter time.Duration, detail ...eventlog.Field) *refusal {
	return &refusal{http.StatusServiceUnavailable, reason, retryAfter, detail}
}

// denied returns a permanent refusal of a request that did not run.
func denied(status int, reason request.Reason, detail ...eventlog.Field) *refusal {
	return &refusal{status, reason, 0, detail}
}

// failure returns the response for a request that may have run.
func failure(status int, reason request.Reason, detail ...eventlog.Field) *refusal {
	return &refusal{status, reason, 0, detail}
}

func (r *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	if r.retryAfter > 0 {
		jitter := 1 + retryAfterJitter*rand.Float64()
		h["Retry-After"] = []string{retryAfterText(time.Duration(jitter * float64(r.retryAfter)))}
	}
	body := `{"reason":"` + string(r.reason) + `"}` + "\n"
	h["Content-Type"] = contentTypeJSON
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(r.status)
	_, _ = io.WriteString(w, body)
}
