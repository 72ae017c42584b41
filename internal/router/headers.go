package router

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// Header fields that the router reads or sets.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerPriority       = "Priority"
	headerTimeout        = "X-Request-Timeout" // seconds
	headerRequestID      = "Request-Id"
)

const (
	maxIdempotencyKeyLength = 255 // bytes
	defaultUrgency          = 3   // RFC 9218
	maxInteractiveUrgency   = 3   // greater urgency values, which are less urgent, are batch
	maxUrgency              = 7   // RFC 9218
)

// parseIdempotencyKey returns the caller's idempotency key; ok is false if there is
// none.
func parseIdempotencyKey(h http.Header) (key string, ok bool, refused *request.RefusedError) {
	values := h.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return "", false, nil
	}
	if len(values) > 1 {
		return "", false, newRefusal(request.ReasonKeyInvalid, "%d Idempotency-Key headers were sent", len(values))
	}
	key = values[0]
	if key == "" || len(key) > maxIdempotencyKeyLength {
		return "", false, newRefusal(request.ReasonKeyInvalid, "key has %d characters, not 1 to %d", len(key), maxIdempotencyKeyLength)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return "", false, newRefusal(request.ReasonKeyInvalid, "character %d of the key is not visible ASCII", i+1)
		}
	}
	return key, true, nil
}

// parsePriority returns the class that the Priority header requests. Parameters other
// than u are ignored, as RFC 9218 requires.
func parsePriority(h http.Header) (request.Class, *request.RefusedError) {
	urgency := defaultUrgency
	for member := range strings.SplitSeq(strings.Join(h.Values(headerPriority), ","), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(member), "=")
		if name != "u" {
			continue
		}
		value, _, _ = strings.Cut(value, ";")
		u, err := strconv.Atoi(value)
		if !found || err != nil || u < 0 || u > maxUrgency || len(value) != 1 {
			return 0, newRefusal(request.ReasonPriorityInvalid, "urgency %q is not a number from 0 to %d", value, maxUrgency)
		}
		urgency = u
	}
	if urgency > maxInteractiveUrgency {
		return request.ClassBatch, nil
	}
	return request.ClassInteractive, nil
}

// parseTimeout returns the timeout that the caller requests, or the default. A timeout
// above the maximum is refused.
func parseTimeout(h http.Header, t Timing) (time.Duration, *request.RefusedError) {
	values := h.Values(headerTimeout)
	if len(values) == 0 {
		return t.DefaultDeadline, nil
	}
	secs, err := strconv.ParseFloat(values[0], 64)
	if err != nil || len(values) > 1 || math.IsNaN(secs) || secs <= 0 {
		return 0, newRefusal(request.ReasonTimeoutInvalid, "timeout %q is not a positive number of seconds", values[0])
	}
	if secs > t.MaxDeadline.Seconds() {
		return 0, newRefusal(request.ReasonTimeoutInvalid, "timeout of %s s exceeds %s", values[0], t.MaxDeadline)
	}
	return max(time.Duration(secs*float64(time.Second)), time.Millisecond), nil
}

// headerSize returns the total bytes of all names and values.
func headerSize(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// hopByHop are the fields that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// notForwarded are further request fields that are not forwarded to the target.
var notForwarded = map[string]bool{
	"Authorization":  true,
	"Content-Length": true,
	"Expect":         true,
	headerTimeout:    true,
	headerRequestID:  true,
}

// forwardedFields returns the header fields of a request that are forwarded to the
// target.
func forwardedFields(h http.Header, id request.ID) []wire.Field {
	dropped := connectionFields(h)
	fields := make([]wire.Field, 0, len(h)+2)
	for name, values := range h {
		if hopByHop[name] || notForwarded[name] || dropped[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, wire.Field{Name: name, Value: v})
		}
	}
	return append(fields, wire.Field{Name: headerRequestID, Value: string(id)})
}

// connectionFields returns the fields named by the Connection header.
func connectionFields(h http.Header) map[string]bool {
	var named map[string]bool
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// copyAnswerHeader adds the header fields of an answer to h, except hop-by-hop fields
// and those that the router sets itself.
func copyAnswerHeader(h http.Header, fields []wire.Field) {
	for _, f := range fields {
		name := http.CanonicalHeaderKey(f.Name)
		if hopByHop[name] || name == headerRequestID || name == headerIdempotencyKey {
			continue
		}
		h.Add(name, f.Value)
	}
}
