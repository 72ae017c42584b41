package router

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mastichollow/mastichollow/internal/placement"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	pathModels      = "/v1/models"
	pathCompletions = "/v1/chat/completions"
	prefixServices  = "/services/"

	bytesPerToken     = 4    // estimated bytes of prompt per token, for cost hints
	sharedPrefixBytes = 2048 // bytes of the first message that count for placement by prefix
)

// call is a caller's validated request, ready to be offered.
type call struct {
	id              request.ID
	row             *workspace.Row
	tableVersion    uint64 // of the workspace table used to validate the request
	pool            string
	class           request.Class
	repeatable      bool
	key             string // idempotency key, from the caller or generated
	hasCallerKey    bool   // key is from the caller
	claim           []byte // empty: the call may run more than once
	content         placement.RequestHashes
	suspect         bool // an identical request was running when a target crashed
	costHint        int64
	deadline        time.Time
	runMessage      wire.Run // its Attempt is not set
	bodyReservation *bodyReservation
}

// envelope holds what is read from the header of every request, before its body.
type envelope struct {
	id           request.ID
	index        *index
	row          *workspace.Row
	class        request.Class
	key          string
	hasCallerKey bool
	timeout      time.Duration
}

// checkEnvelope validates a request's header.
func (r *Router) checkEnvelope(id request.ID, req *http.Request) (envelope, *request.RefusedError) {
	e := envelope{id: id, index: r.index.get()}
	if size := headerSize(req.Header); size > r.cfg.Limits.Header {
		return e, newRefusal(request.ReasonHeaderTooLarge, "header has %d bytes, the limit is %d", size, r.cfg.Limits.Header)
	}
	var refused *request.RefusedError
	if e.row, refused = authenticate(e.index, req.Header); refused != nil {
		return e, refused
	}
	if e.key, e.hasCallerKey, refused = parseIdempotencyKey(req.Header); refused != nil {
		return e, refused
	}
	if e.class, refused = parsePriority(req.Header); refused != nil {
		return e, refused
	}
	e.timeout, refused = parseTimeout(req.Header, r.cfg.Timing)
	return e, refused
}

// reserveBody reserves memory for the body: its declared length, or the body limit if
// no length is declared.
func (r *Router) reserveBody(e envelope, req *http.Request) (*bodyReservation, *request.RefusedError) {
	size, limit := req.ContentLength, r.cfg.Limits.Body
	if size > limit {
		return nil, newRefusal(request.ReasonTooLarge, "body has %d bytes, the limit is %d", size, limit)
	}
	if size < 0 {
		size = limit
	}
	return r.bodyMemory.reserve(e.row.ID, size)
}

// readBody reads the body, up to the body limit. Its read deadline has no effect if w
// does not support deadlines; those of net/http do.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request) ([]byte, *request.RefusedError) {
	limit := r.cfg.Limits.Body
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(r.cfg.Timing.BodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, newRefusal(request.ReasonTooLarge, "body exceeds %d bytes", limit)
	case err != nil:
		return nil, newRefusal(request.ReasonMalformed, "body could not be read")
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// newCall returns a call with the fields that models and plain services have in
// common.
func (e envelope) newCall(poolName string, mayRepeat bool, req *http.Request, path string, body []byte) *call {
	c := &call{
		id:           e.id,
		row:          e.row,
		tableVersion: e.index.snapshot.Table.Version,
		pool:         poolName,
		class:        e.class,
		repeatable:   mayRepeat,
		deadline:     time.Now().Add(e.timeout),
	}
	c.runMessage = wire.Run{Method: req.Method, Path: path, Header: forwardedFields(req.Header, e.id), Body: body}
	c.content.Fingerprint = hash(e.row.ID, req.Method, path, string(body))
	c.suspect = e.index.suspect(c.content.Fingerprint)
	e.addClaim(c, safe(req.Method))
	return c
}

// addClaim gives c a claim if it may not run more than once, or if the caller sent an
// idempotency key. A key is ignored if the method is safe.
func (e envelope) addClaim(c *call, isSafe bool) {
	if c.repeatable && (!e.hasCallerKey || isSafe) {
		return
	}
	key := e.key
	if !e.hasCallerKey {
		key = uuid.NewString()
		c.runMessage.Header = append(c.runMessage.Header, wire.Field{Name: headerIdempotencyKey, Value: key})
	}
	c.repeatable = false
	c.hasCallerKey = e.hasCallerKey
	c.key = key
	c.claim = hash(e.row.ID, key)
}

// hash returns the SHA-256 of the workspace and the parts, each preceded by its
// length.
func hash(row workspace.RowID, parts ...string) []byte {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(row))
	_, _ = h.Write(n[:])
	for _, p := range parts {
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		_, _ = h.Write(n[:])
		_, _ = io.WriteString(h, p)
	}
	return h.Sum(nil)
}

// completion holds the fields of a chat completion that the router reads.
type completion struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	MaxTokens           int64     `json:"max_tokens"`
	MaxCompletionTokens int64     `json:"max_completion_tokens"`
}

// message is one message of a prompt.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// completionCall validates a chat completion.
func (r *Router) completionCall(e envelope, req *http.Request, body []byte) (*call, *request.RefusedError) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, newRefusal(request.ReasonMalformed, "body is not a chat completion: %v", err)
	}
	if c.Model == "" || len(c.Messages) == 0 {
		return nil, newRefusal(request.ReasonMalformed, "a chat completion needs a model and messages")
	}
	size := c.promptSize()
	if size > r.cfg.Limits.Prompt {
		return nil, newRefusal(request.ReasonPromptTooLarge, "prompt has %d bytes, the limit is %d", size, r.cfg.Limits.Prompt)
	}
	if refused := checkPool(e, c.Model, target.KindModel); refused != nil {
		return nil, refused
	}
	out := e.newCall(c.Model, true, req, req.URL.RequestURI(), body)
	out.content.Prefix = c.prefix(e.row.ID)
	out.costHint = int64(size/bytesPerToken) + max(c.MaxTokens, c.MaxCompletionTokens, 0)
	return out, nil
}

// promptSize returns the total bytes of all message contents.
func (c *completion) promptSize() int {
	size := 0
	for _, m := range c.Messages {
		size += len(m.Content)
	}
	return size
}

// prefix returns the hash of the beginning of the prompt, which other requests of the
// workspace are likely to share.
func (c *completion) prefix(row workspace.RowID) []byte {
	first := c.Messages[0]
	text := first.Content[:min(len(first.Content), sharedPrefixBytes)]
	return hash(row, c.Model, first.Role, string(text))
}

// serviceCall validates a call of a plain service.
func (r *Router) serviceCall(e envelope, req *http.Request, body []byte) (*call, *request.RefusedError) {
	name, path, refused := splitService(req.URL.EscapedPath())
	if refused != nil {
		return nil, refused
	}
	if refused := checkPool(e, name, target.KindService); refused != nil {
		return nil, refused
	}
	mayRepeat := repeatable(r.cfg.Routes, name, req.Method, path)
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	return e.newCall(name, mayRepeat, req, path, body), nil
}

// splitService splits "/services/{service}/path". Paths with dot segments are refused:
// a target could resolve them to another path than the one that the routes were
// matched against.
func splitService(escaped string) (name, path string, refused *request.RefusedError) {
	rest := strings.TrimPrefix(escaped, prefixServices)
	name, path, _ = strings.Cut(rest, "/")
	if name == "" {
		return "", "", newRefusal(request.ReasonNotFound, "path names no service")
	}
	for segment := range strings.SplitSeq(path, "/") {
		plain := strings.ReplaceAll(strings.ToLower(segment), "%2e", ".")
		if plain == "." || plain == ".." {
			return "", "", newRefusal(request.ReasonMalformed, "path has a dot segment")
		}
	}
	return name, "/" + path, nil
}

// checkPool checks that the workspace may call the pool, and that the pool is of the
// wanted kind or its kind is not known.
func checkPool(e envelope, name string, want target.Kind) *request.RefusedError {
	p, refused := findPool(e.index, e.row, name)
	if refused != nil {
		return refused
	}
	if p.kind != "" && p.kind != want {
		return newRefusal(request.ReasonUnknownPool, "pool %q is not a %s", name, want)
	}
	return nil
}
