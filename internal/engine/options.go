package engine

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mastichollow/mastichollow/internal/httpsend"
)

// Headers that a client adds to each call.
const (
	HeaderFence   = "Mastichollow-Fence"   // fencing number, decimal
	HeaderAttempt = "Mastichollow-Attempt" // attempt ID
)

// headerRequestLimit is the header with which an answer names the requests per second
// (decimal) that the target accepts, for as long as its answers name it.
const headerRequestLimit = "Mastichollow-Request-Limit"

// RequestLimit returns the request limit that the header of an answer names. named is false
// if it names none; valid is false if it cannot be read.
func RequestLimit(h http.Header) (perSecond float64, named, valid bool) {
	text := strings.TrimSpace(h.Get(headerRequestLimit))
	if text == "" {
		return 0, false, true
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	valid = err == nil && perSecond >= 0 && !math.IsInf(perSecond, 0)
	return perSecond, valid, valid
}

// ProblemFenced is the last path element of the problem type with which a target
// rejects a call whose fencing number is too low (status 409).
const ProblemFenced = "fenced"

// Defaults of Options.
const (
	defaultDialTimeout            = time.Second
	defaultBeginTimeout           = 60 * time.Second
	defaultProgressTimeout        = 30 * time.Second
	defaultProbeTimeout           = 2 * time.Second
	defaultMaxBufferedAnswerBytes = 32 << 20 // bytes
	defaultMaxEventBytes          = 1 << 20  // bytes
	defaultMaxAnswerMemoryBytes   = 64 << 20 // bytes; side VMs have 216 MB
	idleTimeout                   = 30 * time.Second
	maxIdleConns                  = 256
)

// Options are the settings of a client. Zero fields take their defaults.
type Options struct {
	DialTimeout            time.Duration // default 1 s
	BeginTimeout           time.Duration // from the call to the header of its answer; default 60 s
	ProgressTimeout        time.Duration // longest wait for the next bytes of an answer's body; default 30 s
	ProbeTimeout           time.Duration // default 2 s
	MaxBufferedAnswerBytes int           // of a model's answer that is not streamed; default 32 MiB
	MaxEventBytes          int           // of one server-sent event; default 1 MiB
	MaxAnswerMemoryBytes   int           // of what is kept of all answers together; default 64 MiB
	Dial                   httpsend.Dial // opens connections to the target; default: TCP
}

func (o Options) withDefaults() Options {
	o.DialTimeout = durationOrDefault(o.DialTimeout, defaultDialTimeout)
	o.BeginTimeout = durationOrDefault(o.BeginTimeout, defaultBeginTimeout)
	o.ProgressTimeout = durationOrDefault(o.ProgressTimeout, defaultProgressTimeout)
	o.ProbeTimeout = durationOrDefault(o.ProbeTimeout, defaultProbeTimeout)
	if o.MaxBufferedAnswerBytes <= 0 {
		o.MaxBufferedAnswerBytes = defaultMaxBufferedAnswerBytes
	}
	if o.MaxEventBytes <= 0 {
		o.MaxEventBytes = defaultMaxEventBytes
	}
	if o.MaxAnswerMemoryBytes <= 0 {
		o.MaxAnswerMemoryBytes = defaultMaxAnswerMemoryBytes
	}
	return o
}

func durationOrDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// hopByHopHeaders apply to one connection and are not forwarded (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of h without the hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	if forwarded == nil {
		forwarded = make(http.Header)
	}
	for _, list := range h.Values("Connection") {
		for _, name := range splitList(list) {
			forwarded.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
