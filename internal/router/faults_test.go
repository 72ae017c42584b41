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

// inSequence returns a script that follows each of the scripts on one stream, in
// order, and the last one on all further streams.
func inSequence(scripts ...agentScript) agentScript {
	next := make(chan agentScript, len(scripts))
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

// withOtherAttempt returns a maker of m's message with the ID of another attempt.
func withOtherAttempt(m messageMaker) messageMaker {
	return func(request.AttemptID) wire.Message { return m("another-attempt") }
}

// delayed returns a maker that sleeps for less than ProgressTimeout before it makes
// m's message.
func delayed(m messageMaker) messageMaker {
	return func(id request.AttemptID) wire.Message {
		time.Sleep(DefaultTiming().ProgressTimeout * 9 / 10)
		return m(id)
	}
}

func granted(id request.AttemptID) wire.Message { return &wire.Grant{Attempt: id} }

const orderPath = "/services/shop-api/orders"

// TestAnswerUnderFaults sends a request to one agent whose stream fails. The
// caller must get either the complete answer of its own attempt or a plain failure.
func TestAnswerUnderFaults(t *testing.T) {
	const eventStream = contentTypeEventStream
	complete := completeAnswer("text/plain", "abcdef")
	tests := []struct {
		name string
		// of the agent's streams, in order
		streams       []agentScript
		notRepeatable bool // the request is an order, which must not run twice
		body          string
		reason        request.Reason // of the problem document, or of the aborted answer
		notRun        bool
		aborted       bool
		runs          int // number of Run messages
		resumes       int
	}{
		{name: "grant repeated", streams: []agentScript{grantThen(append([]messageMaker{granted}, complete...)...)}, body: "abcdef", runs: 1},
		{
			name: "chunk lost", runs: 1, resumes: 1, body: "abcdef",
			streams: []agentScript{grantThen(accepted, head("text/plain"), chunk(0, "ab"), chunk(4, "ef"), end(6)), sendThenDrain(accepted, chunk(2, "cdef"), end(6))},
		},
		{
			name: "chunk repeated", runs: 1, resumes: 1, body: "abcdef",
			streams: []agentScript{grantThen(accepted, head("text/plain"), chunk(0, "abc"), chunk(0, "abc")), sendThenDrain(chunk(3, "def"), end(6))},
		},
		{
			name: "chunk of another attempt", runs: 1, resumes: 1, body: "abcdef",
			streams: []agentScript{grantThen(accepted, head("text/plain"), chunk(0, "ab"), withOtherAttempt(chunk(2, "XX"))), sendThenDrain(chunk(2, "cdef"), end(6))},
		},
		{
			name: "end of another attempt", runs: 1, resumes: 1, body: "abcdef",
			streams: []agentScript{grantThen(accepted, head("text/plain"), chunk(0, "ab"), withOtherAttempt(end(2))), sendThenDrain(chunk(2, "cdef"), end(6))},
		},
		{
			name: "end before the last chunk", runs: 1, resumes: 1, body: "abcdef",
			streams: []agentScript{grantThen(accepted, head("text/plain"), chunk(0, "ab"), end(6)), sendThenDrain(chunk(2, "cdef"), end(6))},
		},
		{
			name: "stream lost before the head", runs: 1, resumes: 1, body: "abcdef",
			streams: []agentScript{grantThen(accepted, closeStream), sendThenDrain(complete...)},
		},
		{
			name: "stream lost within the body", runs: 1, resumes: 1, body: "abcdef",
			streams: []agentScript{grantThen(accepted, head("text/plain"), chunk(0, "abc"), closeStream), sendThenDrain(accepted, chunk(3, "def"), end(6))},
		},
		{
			name: "unresponsive within the body", runs: 1, resumes: 1, body: "abcdef",
			streams: []agentScript{grantThen(accepted, head("text/plain"), chunk(0, "abc")), sendThenDrain(accepted, chunk(3, "def"), end(6))},
		},
		{
			name: "unresponsive until the second resumption", runs: 1, resumes: 2, body: "abcdef",
			streams: []agentScript{grantThen(accepted), sendThenDrain(accepted), sendThenDrain(append([]messageMaker{accepted}, complete[1:]...)...)},
		},
		{
			name: "slow, with heartbeats", runs: 1, body: "abcdef",
			streams: []agentScript{grantThen(accepted, delayed(accepted), delayed(accepted), delayed(complete[1]), complete[2], complete[3])},
		},
		{
			name: "invalid message on every stream", runs: 1, resumes: 4, notRepeatable: true, reason: request.ReasonAnswerInvalid,
			streams: []agentScript{grantThen(accepted, head("text/plain"), end(6)), sendThenDrain(accepted, end(6))},
		},
		{
			name: "agent restarted after Run, repeatable", runs: 2, resumes: 1, body: "abcdef",
			streams: []agentScript{grantThen(accepted, closeStream), sendThenDrain(fail(request.OutcomeUnknown, request.ReasonUnknownAttempt)), grantThen(complete...)},
		},
		{
			name: "agent restarted after Run, not repeatable", runs: 1, resumes: 1, notRepeatable: true, reason: request.ReasonUnknownAttempt,
			streams: []agentScript{grantThen(accepted, closeStream), sendThenDrain(fail(request.OutcomeUnknown, request.ReasonUnknownAttempt)), grantThen(complete...)},
		},
		{
			name: "Run not received, not repeatable", runs: 2, resumes: 1, notRepeatable: true, body: "abcdef",
			streams: []agentScript{grantThen(closeStream), sendThenDrain(fail(request.OutcomeNotRun, request.ReasonUnknownAttempt)), grantThen(complete...)},
		},
		{
			name: "target crashed after the first byte", runs: 1, aborted: true, body: "abc", reason: request.ReasonTargetCrashed,
			streams: []agentScript{grantThen(accepted, head("text/plain"), chunk(0, "abc"), fail(request.OutcomeUnknown, request.ReasonTargetCrashed)), grantThen(complete...)},
		},
		{
			name: "agent reports not run after the head", runs: 1, notRepeatable: true, reason: request.ReasonTargetFailed,
			streams: []agentScript{grantThen(accepted, head("text/plain"), fail(request.OutcomeNotRun, request.ReasonTargetFailed)), grantThen(complete...)},
		},
		{
			name: "claim unavailable", runs: 1, notRepeatable: true, notRun: true, reason: request.ReasonClaimUnavailable,
			streams: []agentScript{grantThen(accepted, fail(request.OutcomeNotRun, request.ReasonClaimUnavailable))},
		},
		{
			name: "claim belongs to an earlier attempt", runs: 1, notRepeatable: true, reason: request.ReasonInProgress,
			streams: []agentScript{grantThen(accepted, fail(request.OutcomeNotRun, request.ReasonInProgress))},
		},
		{
			name: "event stream lost, attempt unknown", runs: 1, aborted: true, resumes: 1, reason: request.ReasonUnknownAttempt, body: "data: a\n\n",
			streams: []agentScript{grantThen(accepted, head(eventStream), chunk(0, "data: a\n\n"), closeStream), sendThenDrain(fail(request.OutcomeUnknown, request.ReasonUnknownAttempt))},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil, agent("a1", "north", "north-a"), serviceAgent("a1-shop"))
				f.fleet.setScript("a1", inSequence(tt.streams...))
				f.fleet.setScript("a1-shop", inSequence(tt.streams...))
				req := post(pathCompletions, chatBody)
				if tt.notRepeatable {
					req = post(orderPath, "{}")
				}
				rec, aborted := f.serve(req)
				synctest.Wait()
				require.Equal(t, tt.aborted, aborted)
				require.Equal(t, tt.runs, f.fleet.runCount())
				require.Len(t, f.fleet.received().resumes, tt.resumes)
				switch {
				case aborted:
					require.InDelta(t, 1, counterValue(f.router.metrics.abortedAnswers, string(tt.reason)), 0)
					requireErrorEvent(t, rec.Body.String(), tt.body, rec.Header().Get("Content-Type"))
				case tt.reason != "":
					p := decodeProblem(t, rec)
					require.Equal(t, problemPrefix+string(tt.reason), p.Type)
					require.Equal(t, tt.notRun, p.NotRun)
				default:
					require.Equal(t, http.StatusOK, rec.Code)
					require.Equal(t, tt.body, rec.Body.String())
					require.Empty(t, f.fleet.received().withdraws, "a resumed attempt must not be withdrawn")
					require.Empty(t, f.fleet.received().droppedConnections, "a responsive connection must not be dropped")
				}
			})
		})
	}
}

// requireErrorEvent checks that an aborted answer consists of what was relayed and, if
// it is an event stream, of an error event after that and no [DONE].
func requireErrorEvent(t *testing.T, got, relayed, contentType string) {
	t.Helper()
	require.Equal(t, relayed, got[:len(relayed)])
	rest := got[len(relayed):]
	if contentType != contentTypeEventStream {
		require.Empty(t, rest)
		return
	}
	require.Contains(t, rest, "event: error\ndata: {\"error\":")
	require.NotContains(t, got, "[DONE]")
}

// TestOffersAfterHomeAgentResponse checks after which responses of the home agent the
// other agent gets an offer and runs the request.
func TestOffersAfterHomeAgentResponse(t *testing.T) {
	tests := []struct {
		name      string
		home      agentScript
		wantOther bool
	}{
		{"home agent queues the offer", sendThenDrain(queued(false)), true},
		{"home agent is draining", sendThenDrain(refusal(request.ReasonDraining)), true},
		{"home agent is unresponsive", sendThenDrain(), true},
		{"home agent grants another attempt", sendThenDrain(withOtherAttempt(granted)), true},
		{"home agent sends an unexpected message", sendThenDrain(end(0)), true},
		{"home agent is unreachable", nil, true},
		{"home agent queues the offer as a duplicate", sendThenDrain(queued(true)), false},
		{"queue is full", sendThenDrain(refusal(request.ReasonQueueFull)), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil, agent("a1", "north", "north-a"), agent("a2", "north", "north-a"))
				home, other := f.homeOf(chatBody)
				f.fleet.setScript(home, tt.home)
				f.fleet.setScript(other, grantThen(completeAnswer("text/plain", "ok")...))
				rec, _ := f.serve(post(pathCompletions, chatBody, "X-Request-Timeout: 5"))
				require.Equal(t, tt.wantOther, rec.Code == http.StatusOK, rec.Body.String())
				require.Equal(t, tt.wantOther, f.fleet.runCount() == 1)
			})
		})
	}
}

// TestRunSentForOneOfTwoGrants lets two agents grant one request: one of them gets the
// body, and the other a Withdraw. Both have received the offer before either grants
// it.
func TestRunSentForOneOfTwoGrants(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, nil, agent("a1", "north", "north-a"), agent("a2", "north", "north-a"))
			home, other := f.homeOf(chatBody)
			unused := make(chan bool, 2)
			grantAfter := func(delay time.Duration) agentScript {
				return func(ctx context.Context, s transport.Stream, first wire.Message) {
					sendMessages(ctx, s, firstAttempt(first), queued(false))
					time.Sleep(delay)
					sendMessages(ctx, s, firstAttempt(first), granted)
					if awaitRun(ctx, s) == nil {
						unused <- true
						return
					}
					sendMessages(ctx, s, firstAttempt(first), accepted, delayed(head("text/plain")), chunk(0, "ok"), end(2))
				}
			}
			f.fleet.setScript(home, grantAfter(delay))
			f.fleet.setScript(other, grantAfter(time.Millisecond))
			rec, _ := f.serve(post(pathCompletions, chatBody))
			require.Equal(t, "ok", rec.Body.String())
			require.Equal(t, 1, f.fleet.runCount())
			require.True(t, <-unused)
			require.NotEmpty(t, f.fleet.received().withdraws)
		})
	}
}

// TestHomeStreamOpenUntilRequestEnds checks that the home agent, if another agent runs
// the request, receives a Withdraw, then sees its stream end only with the request,
// and receives a final message if the answer was complete or the target crashed.
func TestHomeStreamOpenUntilRequestEnds(t *testing.T) {
	for _, lastMessage := range []messageMaker{end(2), fail(request.OutcomeUnknown, request.ReasonTargetFailed), crash} {
		synctest.Test(t, func(t *testing.T) {
			noRetries := withTiming(func(t *Timing) { t.MaxRetries = 0 })
			f := newFixture(t, noRetries, agent("a1", "north", "north-a"), agent("a2", "north", "north-a"))
			home, other := f.homeOf(chatBody)
			homeEnded, release := make(chan struct{}), make(chan struct{})
			f.fleet.setScript(home, func(ctx context.Context, s transport.Stream, first wire.Message) {
				sendMessages(ctx, s, firstAttempt(first), queued(false))
				drain(ctx, s)
				close(homeEnded)
			})
			f.fleet.setScript(other, grantThen(accepted, head("text/plain"), chunk(0, "ok"), func(id request.AttemptID) wire.Message {
				<-release
				return lastMessage(id)
			}))
			go f.serve(post(pathCompletions, chatBody))
			synctest.Wait()
			received := f.fleet.received()
			id := received.offers[home][0].Attempt
			want := fleetRecord{withdraws: []*wire.Withdraw{{Attempt: id}}}
			require.Equal(t, want.withdraws, received.withdraws)
			select {
			case <-homeEnded:
				t.Fatal("the stream to the home agent ended before the request")
			default:
			}
			close(release)
			<-homeEnded
			switch m := lastMessage("").(type) {
			case *wire.End:
				want.ends = []*wire.End{{Attempt: id, Total: 2}}
			case *wire.Fail:
				if m.Suspect {
					want.withdraws = append(want.withdraws, &wire.Withdraw{Attempt: id, Suspect: true})
				}
			}
			require.Equal(t, want.withdraws, f.fleet.received().withdraws)
			require.Equal(t, want.ends, f.fleet.received().ends)
		})
	}
}

// homeOf returns the home agent of a completion and the other one of two agents.
func (f *fixture) homeOf(body string) (home, other string) {
	plan := f.planOf(body)
	return plan.Home.ID, plan.LocalRegion[0].ID
}

// planOf returns the order of agents for a completion.
func (f *fixture) planOf(body string) placement.Plan {
	return newOfferRound(newExecution(f.router, f.callOf(body), nil)).plan()
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
