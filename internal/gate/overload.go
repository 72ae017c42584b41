package gate

import (
	"net/http"
	"strconv"
	"time"

	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/intake"
	"github.com/mastichollow/mastichollow/internal/request"
)

const (
	// maxTurns bounds the requests that are decoded, admitted and prepared at once while the
	// scheduling delay is high. Each takes some 0.2 ms: together a tenth of readyMaxDelay on
	// a whole core, and about all of it on the smallest share (0.109).
	maxTurns = 32
	// maxWaitingForTurn bounds the requests that wait for a turn: what a fifth of a core
	// prepares in maxTurnWait.
	maxWaitingForTurn = 256
	// maxTurnWait is half of the shortest latency objective of streams, like overloadDelay.
	maxTurnWait = overloadDelay
	// maxTurnHold is far longer than a turn takes whose body has arrived.
	maxTurnHold = 100 * time.Millisecond
	// minRequestBound is the value below which a high delay does not lower the bound of
	// requests in flight, so that a late gate still serves.
	minRequestBound = 32
	// maxRetryAfterDelay bounds the delay that a late gate names. It is below a third of the
	// time that callers of streams have, up to which they honour it.
	maxRetryAfterDelay = time.Second
	// discardTimeout bounds the wait for the body of a request that was refused by its head.
	discardTimeout = time.Second
)

func newIntake(maxRequests int) *intake.Control {
	return intake.New(intake.Config{
		MaxInFlight: maxRequests, MinInFlight: min(minRequestBound, maxRequests), Turns: maxTurns,
		MaxWaiting: maxWaitingForTurn, MaxWait: maxTurnWait, MaxHold: maxTurnHold,
		HighDelay: readyMaxDelay, OverloadDelay: overloadDelay,
	})
}

// stage is what a request in the gate waits for or does.
type stage uint8

const (
	stageDecode    stage = iota // its head
	stageTurn                   // waits for its turn
	stageBody                   // reads the body
	stageAdmission              // chooses a target, connects and sends
	stageTarget                 // waits for the head of the response
	stageWrite                  // forwards the response
	stageCount
)

// stageNames are the labels in metrics.
var stageNames = [stageCount]string{"decode", "turn", "body", "admission", "target", "write"}

// enterStage counts the request in another stage.
func (c *call) enterStage(s stage) {
	if c.stage == s {
		return
	}
	c.gate.stages[c.stage].Add(-1)
	c.stage = s
	c.gate.stages[s].Add(1)
}

// end gives back what the call holds of the gate.
func (c *call) end() {
	c.releaseTurn()
	if c.entered {
		c.gate.intake.Leave(c.workspace)
	}
	c.releaseBody()
	c.gate.stages[c.stage].Add(-1)
}

func (c *call) releaseTurn() {
	if c.turn != nil {
		c.gate.intake.Release(c.gate.config.Now(), c.turn)
		c.turn = nil
	}
}

// enter counts the request as in flight and waits for its turn. It returns nil if the request
// may go on.
func (c *call) enter() *refusal {
	g := c.gate
	if c.entered = g.intake.Enter(c.workspace); !c.entered {
		return unavailable(request.ReasonOverloaded, g.overloadRetryAfter(), eventlog.Text("detail", "too many requests in flight"))
	}
	if c.turn = g.intake.Acquire(g.config.Now(), c.workspace); c.turn == nil {
		return nil
	}
	c.enterStage(stageTurn)
	select {
	case <-c.turn.Decided():
	case <-c.r.Context().Done():
		c.abort(request.ReasonCallerGone, eventlog.Text("detail", "while it waited for its turn"))
	}
	if c.turn.Refused() {
		c.turn = nil
		return unavailable(request.ReasonOverloaded, g.overloadRetryAfter(), eventlog.Text("detail", "no turn in time"))
	}
	return nil
}

// overloadRetryAfter returns when a caller that the gate refuses for its own load may come
// back: at once if its connection is closed, since the load balancer then routes it to
// another gate, and otherwise after twice the time that the gate is late.
func (g *Gate) overloadRetryAfter() time.Duration {
	if g.delay.sustained() {
		return retryAfterOtherGate
	}
	return min(max(retryAfterShort, 2*time.Duration(g.delay.mean.Load())), maxRetryAfterDelay)
}

// refuseEarly refuses a request by its head alone if the gate is overloaded or has the most
// requests in flight that it can hold: first those above their workspace's fair share or even
// portion. It reports whether it did. The refusal costs little: the body is not read here,
// and the log line is formatted only if it is written.
func (g *Gate) refuseEarly(w http.ResponseWriter, r *http.Request) bool {
	overloaded, crowded := g.delay.overloaded(), g.intake.Crowded()
	if !overloaded && !crowded {
		return false
	}
	meta := g.codec.DecodeSize(r.Header)
	workspace, known := g.workspaceOf(meta.Key)
	detail := ""
	switch {
	case overloaded && (!known || g.controller.ExceedsFairShare(g.config.Now(), workspace, meta.PromptTokens, meta.expectedOutput(0))):
		detail = "gate scheduling delay above limit"
	case crowded && !g.intake.Allows(workspace):
		detail = "too many requests in flight"
	default:
		return false
	}
	g.metrics.earlyRefusals.Inc()
	limitDiscard(w, r)
	// The recorders of tests have no deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(unreadBodyTimeout))
	refused := unavailable(request.ReasonOverloaded, g.overloadRetryAfter())
	refused.write(w)
	g.metrics.overloaded.Inc()
	if g.config.Events.AllowBulk() {
		c := &call{gate: g, w: w, r: r, meta: meta, started: time.Now(), workspace: workspace, status: refused.status}
		c.logRequestEnd(string(refused.reason), eventlog.Text("detail", detail), eventlog.Text("workspace", workspace))
		return true
	}
	g.metrics.unavailable.Inc()
	return true
}

// workspaceOf returns the name of the workspace with the key, by the newest table.
func (g *Gate) workspaceOf(key string) (name string, known bool) {
	table, _ := g.tableCache.Current()
	if table == nil {
		return "", false
	}
	ws := table.Authenticate(key)
	if ws == nil {
		return "", false
	}
	return ws.Name, true
}

// limitDiscard bounds what http.Server reads of a body that the gate does not: it discards
// the rest, before the response if the connection is kept and after it otherwise, since
// closing a connection with unread bytes resets it, and the caller would lose the refusal. Of a
// body of unknown length the server discards 256 kB at most and then closes the connection.
func limitDiscard(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if r.ContentLength > maxDiscardedBody {
		w.Header()["Connection"] = closeOption
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout)) // the server sets it anew for each request
}

// publishQueues publishes where requests wait in the gate and, while it limits them, logs
// it.
func (g *Gate) publishQueues() {
	counts := make(map[string]int, stageCount+2)
	counts["accept"] = g.connections.backlog()
	counts["read"] = int(max(0, g.connections.active.Load()-g.inFlight.Load()))
	for i, name := range stageNames {
		counts[name] = int(g.stages[i].Load())
	}
	fields := make([]eventlog.Field, 0, len(counts)+6)
	for _, name := range queueNames {
		g.metrics.queues.WithLabelValues(name).Set(float64(counts[name]))
		fields = append(fields, eventlog.Int(name, counts[name]))
	}
	stats, open := g.intake.Stats(), int(g.connections.open.Load())
	delay := time.Duration(g.delay.mean.Load())
	g.metrics.openConnections.Set(float64(open))
	g.metrics.requestBound.Set(float64(stats.Bound))
	g.metrics.schedulingDelay.Set(delay.Seconds())
	if !g.delay.high() && !g.intake.Crowded() {
		return
	}
	g.config.Events.Event(logModule, "gate is overloaded", append(fields,
		eventlog.Millis("delay_ms", delay), eventlog.Int("in_flight", stats.InFlight), eventlog.Int("bound", stats.Bound),
		eventlog.Int("workspaces", stats.Workspaces), eventlog.Int("connections", open))...)
}

// queueNames are the labels of the places where requests wait, in their order.
var queueNames = append([]string{"accept", "read"}, stageNames[:]...)

// closeOption and contentTypeJSON are shared by all responses, which don't modify them.
var (
	closeOption     = []string{"close"}
	contentTypeJSON = []string{"application/json"}
)

// retryAfterText returns the value of a Retry-After field, in seconds.
func retryAfterText(d time.Duration) string {
	var buf [16]byte
	return string(strconv.AppendFloat(buf[:0], d.Seconds(), 'f', 2, 64))
}
