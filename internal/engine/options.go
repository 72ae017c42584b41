package engine

import (
	"net/http"
	"time"

	"github.com/mastichollow/mastichollow/internal/httpsend"
)

// Headers that a client adds to the calls of a target.
const (
	HeaderFence   = "Mastichollow-Fence"   // fencing number, decimal
	HeaderAttempt = "Mastichollow-Attempt" // attempt ID
)

// ProblemFenced is the last path element of the problem type by which a target
// refuses an old fencing number (status 409).
const ProblemFenced = "fenced"

// Defaults of Options.
const (
	defaultDialTimeout  = time.Second
	defaultBeginTimeout = 60 * time.Second
	defaultProgress     = 30 * time.Second
	defaultProbeTimeout = 2 * time.Second
	defaultMaxWhole     = 32 << 20 // bytes
	defaultMaxEvent     = 1 << 20  // bytes
	idleTimeout         = 30 * time.Second
	maxIdleConns        = 256
)

// Options are the settings of a client. Zero fields take their defaults.
type Options struct {
	DialTimeout  time.Duration // default 1 s
	BeginTimeout time.Duration // from the call to the head of its answer; default 60 s
	Progress     time.Duration // longest time without a byte of an answer that has begun; default 30 s
	ProbeTimeout time.Duration // default 2 s
	MaxWhole     int           // bytes of a model's answer that is not streamed; default 32 MiB
	MaxEvent     int           // bytes of one server-sent event; default 1 MiB
	Dial         httpsend.Dial // opens connections to the target; default: TCP
}

func (o Options) withDefaults() Options {
	o.DialTimeout = durationOr(o.DialTimeout, defaultDialTimeout)
	o.BeginTimeout = durationOr(o.BeginTimeout, defaultBeginTimeout)
	o.Progress = durationOr(o.Progress, defaultProgress)
	o.ProbeTimeout = durationOr(o.ProbeTimeout, defaultProbeTimeout)
	if o.MaxWhole <= 0 {
		o.MaxWhole = defaultMaxWhole
	}
	if o.MaxEvent <= 0 {
		o.MaxEvent = defaultMaxEvent
	}
	return o
}

func durationOr(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// hopHeaders concern one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without the headers of one connection.
func endToEnd(h http.Header) http.Header {
	kept := h.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, named := range h.Values("Connection") {
		for _, name := range splitList(named) {
			kept.Del(name)
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}
