package gate

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/request"
)

// Reasons for which the gate is not ready.
var (
	errDraining  = errors.New("gate is draining")
	errNoTable   = errors.New("no table is known yet")
	errNoTargets = errors.New("no targets are known yet")
	errOldTable  = errors.New("table is too old to take keys")
	errLag       = errors.New("gate runs late")
	errDetached  = errors.New("gate cannot reach the metadata store itself")
)

const (
	// retrySoon is the pause for what may pass within most goals (0.5 to 1.2 s): a
	// late gate, a spent budget of retries.
	retrySoon = 200 * time.Millisecond
	// retryLater is the pause for what takes longer: no target of the service, a
	// request in quarantine, a gate without room for bodies.
	retryLater = time.Second
	// retryElsewhere is the pause for callers of a gate that ends or lacks a new
	// table: the balancer sends their next connection to another one. If none has
	// one, a longer pause would rarely outlast the store's absence.
	retryElsewhere = 20 * time.Millisecond
	// retrySpread spreads returns over the pause and half of it again.
	retrySpread = 0.5
)

// refusal is an answer of the gate's own.
type refusal struct {
	status     int
	reason     request.Reason
	retryAfter time.Duration    // 0: none
	detail     []eventlog.Field // inputs of the decision
}

func unavailable(reason request.Reason, retryAfter time.Duration, detail ...eventlog.Field) *refusal {
	return &refusal{http.StatusServiceUnavailable, reason, retryAfter, detail}
}

func denied(status int, reason request.Reason, detail ...eventlog.Field) *refusal {
	return &refusal{status, reason, 0, detail}
}

// failed is the answer for a request that may have run.
func failed(status int, reason request.Reason, detail ...eventlog.Field) *refusal {
	return &refusal{status, reason, 0, detail}
}

func (f *refusal) write(w http.ResponseWriter) {
	if f.retryAfter > 0 {
		spread := 1 + retrySpread*rand.Float64()
		w.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds()*spread, 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	body := `{"reason":"` + string(f.reason) + `"}` + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(body))
}
