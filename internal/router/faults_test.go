package router

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/placement"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// inTurn returns a script whose streams follow the scripts in turn, the last
// one for all that are left.
func inTurn(scripts ...script) script {
	next := make(chan script, len(scripts))
	for _, s := range scripts[:len(scripts)-1] {
		next <- s
	}
	return func(ctx context.Context, s transport.Stream, first wire.Message) {
		select {
		case turn := <-next:
			turn(ctx, s, first)
		default:
			scripts[len(scripts)-1](ctx, s, first)
		}
	}
}

// wrong returns a maker of m's message under another attempt ID.
func wrong(m maker) maker {
	return func(request.AttemptID) wire.Message { return m("another-attempt") }
}

// later returns a maker that sends m after a time that is shorter than the one
// after which a stream counts as silent.
func later(m maker) maker {
	return func(id request.AttemptID) wire.Message {
		time.Sleep(DefaultTiming().Progress * 9 / 10)
		return m(id)
	}
}

func granted(id request.AttemptID) wire.Message { return &wire.Grant{Attempt: id} }

const order = "/services/shop-api/orders"

// TestAnswerUnderFaults hands a request to one agent whose stream fails. Only
// the whole answer of the caller's own attempt, or a plain failure, comes back.
func TestAnswerUnderFaults(t *testing.T) {
	const events = contentTypeEvents
	whole := answers("text/plain", "abcdef")
	tests := []struct {
		name string
		// agent's streams in turn
		streams []script
		once    bool // an order, which may not be repeated
		body    string
		reason  request.Reason // of the problem document
		notRun  bool
		aborted bool
		runs    int // hand-overs of the body
		resumes int
	}{
		{name: "granted twice", streams: []script{grantThen(append([]maker{granted}, whole...)...)}, body: "abcdef", runs: 1},
		{
			name: "chunk lost", runs: 1, resumes: 1, body: "abcdef",
			streams: []script{grantThen(accepted, head("text/plain"), chunk(0, "ab"), chunk(4, "ef"), end(6)), sends(accepted, chunk(2, "cdef"), end(6))},
		},
		{
			name: "chunk repeated", runs: 1, resumes: 1, body: "abcdef",
			streams: []script{grantThen(accepted, head("text/plain"), chunk(0, "abc"), chunk(0, "abc")), sends(chunk(3, "def"), end(6))},
		},
		{
			name: "crossed with another attempt", runs: 1, resumes: 1, body: "abcdef",
			streams: []script{grantThen(accepted, head("text/plain"), chunk(0, "ab"), wrong(chunk(2, "XX"))), sends(chunk(2, "cdef"), end(6))},
		},
		{
			name: "end of another attempt", runs: 1, resumes: 1, body: "abcdef",
			streams: []script{grantThen(accepted, head("text/plain"), chunk(0, "ab"), wrong(end(2))), sends(chunk(2, "cdef"), end(6))},
		},
		{
			name: "end too early", runs: 1, resumes: 1, body: "abcdef",
			streams: []script{grantThen(accepted, head("text/plain"), chunk(0, "ab"), end(6)), sends(chunk(2, "cdef"), end(6))},
		},
		{
			name: "cut before the head", runs: 1, resumes: 1, body: "abcdef",
			streams: []script{grantThen(accepted, lost), sends(whole...)},
		},
		{
			name: "cut in the middle", runs: 1, resumes: 1, body: "abcdef",
			streams: []script{grantThen(accepted, head("text/plain"), chunk(0, "abc"), lost), sends(accepted, chunk(3, "def"), end(6))},
		},
		{
			name: "silent in the middle", runs: 1, resumes: 1, body: "abcdef",
			streams: []script{grantThen(accepted, head("text/plain"), chunk(0, "abc")), sends(accepted, chunk(3, "def"), end(6))},
		},
		{
			name: "silent, but answers anew", runs: 1, resumes: 2, body: "abcdef",
			streams: []script{grantThen(accepted), sends(accepted), sends(append([]maker{accepted}, whole[1:]...)...)},
		},
		{
			name: "slow, but alive", runs: 1, body: "abcdef",
			streams: []script{grantThen(accepted, later(accepted), later(accepted), later(whole[1]), whole[2], whole[3])},
		},
		{
			name: "never fits", runs: 1, resumes: 4, once: true, reason: request.ReasonAnswerInvalid,
			streams: []script{grantThen(accepted, head("text/plain"), end(6)), sends(accepted, end(6))},
		},
		{
			name: "killed after Run, repeatable", runs: 2, resumes: 1, body: "abcdef",
			streams: []script{grantThen(accepted, lost), sends(fail(request.OutcomeUnknown, request.ReasonUnknownAttempt)), grantThen(whole...)},
		},
		{
			name: "killed after Run, not repeatable", runs: 1, resumes: 1, once: true, reason: request.ReasonUnknownAttempt,
			streams: []script{grantThen(accepted, lost), sends(fail(request.OutcomeUnknown, request.ReasonUnknownAttempt)), grantThen(whole...)},
		},
		{
			name: "Run lost on the way, not repeatable", runs: 2, resumes: 1, once: true, body: "abcdef",
			streams: []script{grantThen(lost), sends(fail(request.OutcomeNotRun, request.ReasonUnknownAttempt)), grantThen(whole...)},
		},
		{
			name: "crashed after the first byte", runs: 1, aborted: true, body: "abc", reason: request.ReasonTargetCrashed,
			streams: []script{grantThen(accepted, head("text/plain"), chunk(0, "abc"), fail(request.OutcomeUnknown, request.ReasonTargetCrashed)), grantThen(whole...)},
		},
		{
			name: "agent says not run after the head", runs: 1, once: true, reason: request.ReasonTargetFailed,
			streams: []script{grantThen(accepted, head("text/plain"), fail(request.OutcomeNotRun, request.ReasonTargetFailed)), grantThen(whole...)},
		},
		{
			name: "claim cannot be made", runs: 1, once: true, notRun: true, reason: request.ReasonClaimUnavailable,
			streams: []script{grantThen(accepted, fail(request.OutcomeNotRun, request.ReasonClaimUnavailable))},
		},
		{
			name: "request has started before", runs: 1, once: true, reason: request.ReasonInProgress,
			streams: []script{grantThen(accepted, fail(request.OutcomeNotRun, request.ReasonInProgress))},
		},
		{
			name: "events cut for good", runs: 1, aborted: true, resumes: 1, reason: request.ReasonUnknownAttempt, body: "data: a\n\n",
			streams: []script{grantThen(accepted, head(events), chunk(0, "data: a\n\n"), lost), sends(fail(request.OutcomeUnknown, request.ReasonUnknownAttempt))},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil, agent("a1", "north", "north-a"), shop("a1-shop"))
				f.fleet.set("a1", inTurn(tt.streams...))
				f.fleet.set("a1-shop", inTurn(tt.streams...))
				req := post(pathCompletions, chatBody)
				if tt.once {
					req = post(order, "{}")
				}
				rec, aborted := f.serve(req)
				synctest.Wait()
				require.Equal(t, tt.aborted, aborted)
				require.Equal(t, tt.runs, f.fleet.runCount())
				require.Len(t, f.fleet.seen().resumed, tt.resumes)
				switch {
				case aborted:
					require.InDelta(t, 1, value(f.router.metrics.aborted, string(tt.reason)), 0)
					requireBrokenOff(t, rec.Body.String(), tt.body, rec.Header().Get("Content-Type"))
				case tt.reason != "":
					p := decodeProblem(t, rec)
					require.Equal(t, problemPrefix+string(tt.reason), p.Type)
					require.Equal(t, tt.notRun, p.NotRun)
				default:
					require.Equal(t, http.StatusOK, rec.Code)
					require.Equal(t, tt.body, rec.Body.String())
					require.Empty(t, f.fleet.seen().withdrawn, "a resumed attempt was withdrawn")
					require.Empty(t, f.fleet.seen().forgotten, "a connection that answers was dropped")
				}
			})
		})
	}
}

// requireBrokenOff checks that an aborted answer holds what was relayed and, if
// it is a stream of events, an error in place of the closing event.
func requireBrokenOff(t *testing.T, got, relayed, contentType string) {
	t.Helper()
	require.Equal(t, relayed, got[:len(relayed)])
	rest := got[len(relayed):]
	if contentType != contentTypeEvents {
		require.Empty(t, rest)
		return
	}
	require.Contains(t, rest, "event: error\ndata: {\"error\":")
	require.NotContains(t, got, "[DONE]")
}

func TestOthersAreAskedWhenHomeIsBusy(t *testing.T) {
	tests := []struct {
		name      string
		home      script
		wantOther bool
	}{
		{"home has no free slot", sends(queued(false)), true},
		{"home refuses", sends(refusal(request.ReasonDraining)), true},
		{"home is silent", sends(), true},
		{"home answers another offer", sends(wrong(granted)), true},
		{"home sends what does not belong there", sends(end(0)), true},
		{"home is not reached", nil, true},
		{"home runs the same request", sends(queued(true)), false},
		{"home says that the queue is full", sends(refusal(request.ReasonQueueFull)), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil, agent("a1", "north", "north-a"), agent("a2", "north", "north-a"))
				home, other := f.homeOf(chatBody)
				f.fleet.set(home, tt.home)
				f.fleet.set(other, grantThen(answers("text/plain", "ok")...))
				rec, _ := f.serve(post(pathCompletions, chatBody, "X-Request-Timeout: 5"))
				require.Equal(t, tt.wantOther, rec.Code == http.StatusOK, rec.Body.String())
				require.Equal(t, tt.wantOther, f.fleet.runCount() == 1)
			})
		})
	}
}

// TestOneOfTwoGrantsIsTaken lets two agents grant one request: its body goes to
// one of them, and the other learns that its grant is not used. Both have the
// offer before either grants it.
func TestOneOfTwoGrantsIsTaken(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, nil, agent("a1", "north", "north-a"), agent("a2", "north", "north-a"))
			home, other := f.homeOf(chatBody)
			unused := make(chan bool, 2)
			grantAfter := func(delay time.Duration) script {
				return func(ctx context.Context, s transport.Stream, first wire.Message) {
					sendAll(ctx, s, firstAttempt(first), queued(false))
					time.Sleep(delay)
					sendAll(ctx, s, firstAttempt(first), granted)
					if awaitRun(ctx, s) == nil {
						unused <- true
						return
					}
					sendAll(ctx, s, firstAttempt(first), accepted, later(head("text/plain")), chunk(0, "ok"), end(2))
				}
			}
			f.fleet.set(home, grantAfter(delay))
			f.fleet.set(other, grantAfter(time.Millisecond))
			rec, _ := f.serve(post(pathCompletions, chatBody))
			require.Equal(t, "ok", rec.Body.String())
			require.Equal(t, 1, f.fleet.runCount())
			require.True(t, <-unused)
			require.NotEmpty(t, f.fleet.seen().withdrawn)
		})
	}
}

// TestHomeStreamStaysOpen checks that the home agent is told that its offer is
// taken back, sees its stream end only with the request, and is told if the
// answer was whole or the target crashed.
func TestHomeStreamStaysOpen(t *testing.T) {
	for _, last := range []maker{end(2), fail(request.OutcomeUnknown, request.ReasonTargetFailed), crash} {
		synctest.Test(t, func(t *testing.T) {
			once := withTiming(func(t *Timing) { t.MaxRetries = 0 })
			f := newFixture(t, once, agent("a1", "north", "north-a"), agent("a2", "north", "north-a"))
			home, other := f.homeOf(chatBody)
			homeEnded, release := make(chan struct{}), make(chan struct{})
			f.fleet.set(home, func(ctx context.Context, s transport.Stream, first wire.Message) {
				sendAll(ctx, s, firstAttempt(first), queued(false))
				drain(ctx, s)
				close(homeEnded)
			})
			f.fleet.set(other, grantThen(accepted, head("text/plain"), chunk(0, "ok"), func(id request.AttemptID) wire.Message {
				<-release
				return last(id)
			}))
			go f.serve(post(pathCompletions, chatBody))
			synctest.Wait()
			seen := f.fleet.seen()
			id := seen.offers[home][0].Attempt
			want := record{withdrawn: []*wire.Withdraw{{Attempt: id}}}
			require.Equal(t, want.withdrawn, seen.withdrawn)
			select {
			case <-homeEnded:
				t.Fatal("the home agent's stream ended before the request")
			default:
			}
			close(release)
			<-homeEnded
			switch m := last("").(type) {
			case *wire.End:
				want.vouched = []*wire.End{{Attempt: id, Total: 2}}
			case *wire.Fail:
				if m.Suspect {
					want.withdrawn = append(want.withdrawn, &wire.Withdraw{Attempt: id, Suspect: true})
				}
			}
			require.Equal(t, want.withdrawn, f.fleet.seen().withdrawn)
			require.Equal(t, want.vouched, f.fleet.seen().vouched)
		})
	}
}

// homeOf returns the home agent of a completion among two agents, and the other
// one.
func (f *fixture) homeOf(body string) (home, other string) {
	plan := f.planOf(body)
	return plan.Home.ID, plan.LocalRegion[0].ID
}

// planOf returns the order of agents for a completion.
func (f *fixture) planOf(body string) placement.Plan {
	return newBinding(newExecution(f.router, f.callOf(body), nil)).plan()
}

// callOf returns the call of a completion.
func (f *fixture) callOf(body string) *call {
	f.t.Helper()
	req := post(pathCompletions, body)
	e, refused := f.router.checkEnvelope(request.NewID(), req)
	require.Nil(f.t, refused)
	c, refused := f.router.completionCall(e, req, []byte(body))
	require.Nil(f.t, refused)
	return c
}
