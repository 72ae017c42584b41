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

	bytesPerToken = 4    // of a prompt, for cost hints
	sharedPrefix  = 2048 // bytes of the first message that count for affinity
)

// call is a caller's request, checked and ready to be offered.
type call struct {
	id         request.ID
	row        *workspace.Row
	version    uint64 // of the table that it was checked against
	pool       string
	class      request.Class
	repeatable bool
	key        string // idempotency key, given or generated
	keyed      bool   // the caller gave the key
	claim      []byte // empty: may be repeated
	content    placement.RequestHashes
	suspect    bool // a request like it ran at a crash of a target
	costHint   int64
	deadline   time.Time
	run        wire.Run // without an attempt
	held       *heldBody
}

// envelope holds what every request has, checked before its body is read.
type envelope struct {
	id      request.ID
	idx     *index
	row     *workspace.Row
	class   request.Class
	key     string
	keyed   bool
	timeout time.Duration
}

// checkEnvelope checks a request's header.
func (r *Router) checkEnvelope(id request.ID, req *http.Request) (envelope, *request.RefusedError) {
	e := envelope{id: id, idx: r.index.get()}
	if size := headerSize(req.Header); size > r.cfg.Limits.Header {
		return e, refuse(request.ReasonHeaderTooLarge, "header has %d bytes, the limit is %d", size, r.cfg.Limits.Header)
	}
	var refused *request.RefusedError
	if e.row, refused = authenticate(e.idx, req.Header); refused != nil {
		return e, refused
	}
	if e.key, e.keyed, refused = parseIdempotencyKey(req.Header); refused != nil {
		return e, refused
	}
	if e.class, refused = parsePriority(req.Header); refused != nil {
		return e, refused
	}
	e.timeout, refused = parseTimeout(req.Header, r.cfg.Timing)
	return e, refused
}

// holdBody takes memory for the body: its length, or the limit when the length
// is not known.
func (r *Router) holdBody(e envelope, req *http.Request) (*heldBody, *request.RefusedError) {
	size, limit := req.ContentLength, r.cfg.Limits.Body
	if size > limit {
		return nil, refuse(request.ReasonTooLarge, "body has %d bytes, the limit is %d", size, limit)
	}
	if size < 0 {
		size = limit
	}
	return r.bodies.hold(e.row.ID, size)
}

// readBody reads the body within its limit. The deadline on reading needs a
// writer that supports it, as those of net/http do.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request) ([]byte, *request.RefusedError) {
	limit := r.cfg.Limits.Body
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(r.cfg.Timing.Body))
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refuse(request.ReasonTooLarge, "body exceeds %d bytes", limit)
	case err != nil:
		return nil, refuse(request.ReasonMalformed, "body could not be read")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// newCall fills in what models and services have in common.
func (e envelope) newCall(poolName string, mayRepeat bool, req *http.Request, path string, body []byte) *call {
	c := &call{
		id:         e.id,
		row:        e.row,
		version:    e.idx.snapshot.Table.Version,
		pool:       poolName,
		class:      e.class,
		repeatable: mayRepeat,
		deadline:   time.Now().Add(e.timeout),
	}
	c.run = wire.Run{Method: req.Method, Path: path, Header: forwarded(req.Header, e.id), Body: body}
	c.content.Fingerprint = hash(e.row.ID, req.Method, path, string(body))
	c.suspect = e.idx.suspect(c.content.Fingerprint)
	e.addClaim(c, safe(req.Method))
	return c
}

// addClaim gives c a claim if it may not be repeated or the caller gave a key.
// A key on a safe method has no meaning.
func (e envelope) addClaim(c *call, isSafe bool) {
	if c.repeatable && (!e.keyed || isSafe) {
		return
	}
	key := e.key
	if !e.keyed {
		key = uuid.NewString()
		c.run.Header = append(c.run.Header, wire.Field{Name: headerIdempotencyKey, Value: key})
	}
	c.repeatable = false
	c.keyed = e.keyed
	c.key = key
	c.claim = hash(e.row.ID, key)
}

// hash returns the SHA-256 of the workspace and parts, each with its length.
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

// completion is the part of a chat completion that the router reads.
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

// completionCall checks a chat completion.
func (r *Router) completionCall(e envelope, req *http.Request, body []byte) (*call, *request.RefusedError) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, refuse(request.ReasonMalformed, "body is not a chat completion: %v", err)
	}
	if c.Model == "" || len(c.Messages) == 0 {
		return nil, refuse(request.ReasonMalformed, "a chat completion needs a model and messages")
	}
	size := c.promptSize()
	if size > r.cfg.Limits.Prompt {
		return nil, refuse(request.ReasonPromptTooLarge, "prompt has %d bytes, the limit is %d", size, r.cfg.Limits.Prompt)
	}
	if refused := checkPool(e, c.Model, target.KindModel); refused != nil {
		return nil, refused
	}
	out := e.newCall(c.Model, true, req, req.URL.RequestURI(), body)
	out.content.Prefix = c.prefix(e.row.ID)
	out.costHint = int64(size/bytesPerToken) + max(c.MaxTokens, c.MaxCompletionTokens, 0)
	return out, nil
}

// promptSize returns the bytes of all message contents.
func (c *completion) promptSize() int {
	size := 0
	for _, m := range c.Messages {
		size += len(m.Content)
	}
	return size
}

// prefix returns the hash of the part of the prompt that other requests of the
// workspace are likely to share.
func (c *completion) prefix(row workspace.RowID) []byte {
	first := c.Messages[0]
	text := first.Content[:min(len(first.Content), sharedPrefix)]
	return hash(row, c.Model, first.Role, string(text))
}

// serviceCall checks a call of a plain service.
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

// splitService splits "/services/{service}/path". Dot segments are refused,
// since targets could read them as another path than the routes say.
func splitService(escaped string) (name, path string, refused *request.RefusedError) {
	rest := strings.TrimPrefix(escaped, prefixServices)
	name, path, _ = strings.Cut(rest, "/")
	if name == "" {
		return "", "", refuse(request.ReasonNotFound, "path names no service")
	}
	for segment := range strings.SplitSeq(path, "/") {
		plain := strings.ReplaceAll(strings.ToLower(segment), "%2e", ".")
		if plain == "." || plain == ".." {
			return "", "", refuse(request.ReasonMalformed, "path has a dot segment")
		}
	}
	return name, "/" + path, nil
}

// checkPool checks that the workspace may call the pool and that it is of the
// given kind.
func checkPool(e envelope, name string, want target.Kind) *request.RefusedError {
	p, refused := findPool(e.idx, e.row, name)
	if refused != nil {
		return refused
	}
	if p.kind != "" && p.kind != want {
		return refuse(request.ReasonUnknownPool, "pool %q is not a %s", name, want)
	}
	return nil
}
