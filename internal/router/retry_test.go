package router

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// withTiming returns a change of a configuration: the default timing, modified by
// change.
func withTiming(change func(*Timing)) func(*Config) {
	return func(c *Config) {
		c.Timing = DefaultTiming()
		change(&c.Timing)
	}
}

// TestNotRunTruthTable runs a request through two attempts with every pair of
// outcomes. The problem document may say "not_run" only if both attempts are known not
// to have run.
func TestNotRunTruthTable(t *testing.T) {
	const reason = request.ReasonTargetFailed
	outcomes := []request.Outcome{request.OutcomeNotRun, request.OutcomeUnknown, request.OutcomeCompleted}
	for _, notRepeatable := range []bool{false, true} {
		for _, keyed := range []bool{false, true} {
			for _, first := range outcomes {
				for _, second := range outcomes {
					synctest.Test(t, func(t *testing.T) {
						f := newFixture(t, withTiming(func(t *Timing) { t.MaxRetries = 1 }), agent("a1", "north", "north-a"), serviceAgent("s1"))
						streams := inSequence(grantThen(accepted, fail(first, reason)), grantThen(accepted, fail(second, reason)))
						f.fleet.setScript("a1", streams)
						f.fleet.setScript("s1", streams)
						var fields []string
						if keyed {
							fields = []string{"Idempotency-Key: k"}
						}
						req := post(pathCompletions, chatBody, fields...)
						if notRepeatable {
							req = post(orderPath, "{}", fields...)
						}
						rec, _ := f.serve(req)
						p := decodeProblem(t, rec)
						mayRepeat := !notRepeatable && !keyed
						retried := first == request.OutcomeNotRun || mayRepeat
						notRun := first == request.OutcomeNotRun && second == request.OutcomeNotRun
						require.Equal(t, retried, f.fleet.runCount() == 2)
						require.Equal(t, notRun && !keyed, p.NotRun)
						require.Equal(t, notRun && keyed, p.SubmissionNotRun)
					})
				}
			}
		}
	}
}

// TestRefusalsAndRetriesByReason refuses an offer, and fails an attempt, for each
// reason. It checks the answer, the number of retries and the counters.
func TestRefusalsAndRetriesByReason(t *testing.T) {
	for reason := range problemKinds {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil, agent("a1", "north", "north-a"))
				f.fleet.setScript("a1", sendThenDrain(refusal(reason)))
				rec, _ := f.serve(post(pathCompletions, chatBody))
				p := decodeProblem(t, rec)
				require.Equal(t, problemKinds[reason].status, rec.Code)
				require.Equal(t, reason != request.ReasonInProgress, p.NotRun)
				temporary := rec.Code == http.StatusTooManyRequests || rec.Code == http.StatusServiceUnavailable
				require.Equal(t, temporary, rec.Header().Get("Retry-After") != "")
				tries := 1.0
				if retryableReasons[reason] {
					tries += float64(DefaultTiming().MaxRetries)
				}
				require.InDelta(t, tries, counterValue(f.router.metrics.offerRefusals, string(reason)), 0)
				require.InDelta(t, tries-1, counterValue(f.router.metrics.retries, string(reason), "not_run"), 0)
				require.InDelta(t, 1, counterValue(f.router.metrics.refusals, string(reason)), 0)
			})
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil, agent("a1", "north", "north-a"))
				f.fleet.setScript("a1", grantThen(accepted, fail(request.OutcomeUnknown, reason)))
				rec, _ := f.serve(post(pathCompletions, chatBody))
				require.False(t, decodeProblem(t, rec).NotRun)
				tries := 1
				if retryableReasons[reason] {
					tries += DefaultTiming().MaxRetries
				}
				require.Equal(t, tries, f.fleet.runCount())
				require.InDelta(t, tries-1, counterValue(f.router.metrics.retries, string(reason), "unknown"), 0)
			})
		})
	}
}

// TestOverloadRefusalNotRetried checks that a refusal for overload is passed on after
// one offer, without delay and with Retry-After.
func TestOverloadRefusalNotRetried(t *testing.T) {
	for reason := range overloadReasons {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, nil, agent("a1", "north", "north-a"), agent("a2", "north", "north-a"))
			full := sendThenDrain(func(id request.AttemptID) wire.Message {
				return &wire.Refuse{Attempt: id, Reason: reason, RetryAfter: 2500 * time.Millisecond}
			})
			f.fleet.setScript("a1", full)
			f.fleet.setScript("a2", full)
			began := time.Now()
			rec, _ := f.serve(post(pathCompletions, chatBody))
			require.Equal(t, http.StatusTooManyRequests, rec.Code)
			require.Equal(t, "3", rec.Header().Get("Retry-After"))
			require.Zero(t, time.Since(began))
			require.Equal(t, 1, f.fleet.offerCount())
		})
	}
}

// TestRetryBudgetBoundsRetries checks that under constant failure the number of Run
// messages does not exceed the number of requests plus the retries that the budget
// allows.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 100
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.setScript("a1", grantThen(fail(request.OutcomeNotRun, request.ReasonTargetFailed)))
		for range requests {
			f.serve(post(pathCompletions, chatBody))
		}
		timing := DefaultTiming()
		bound := requests + int(timing.RetryBurst+requests*timing.RetryRatio)
		require.LessOrEqual(t, f.fleet.runCount(), bound)
		require.Greater(t, f.fleet.runCount(), requests)
		require.Positive(t, counterValue(f.router.metrics.refusals, string(request.ReasonRetryBudget)))
	})
}

// TestDeadlinePropagatedToAgent checks that offers carry the remaining time, and that
// a request ends exactly at its deadline.
func TestDeadlinePropagatedToAgent(t *testing.T) {
	tests := []struct {
		name   string
		script agentScript
		notRun bool
	}{
		{"waits in the queue", sendThenDrain(queued(false)), true},
		{"runs", grantThen(accepted), false},
		{"agent sends nothing", sendThenDrain(), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil, agent("a1", "north", "north-a"))
				f.fleet.setScript("a1", tt.script)
				began := time.Now()
				rec, _ := f.serve(post(pathCompletions, chatBody, "X-Request-Timeout: 7.5"))
				require.Equal(t, 7500*time.Millisecond, time.Since(began))
				require.Equal(t, http.StatusGatewayTimeout, rec.Code)
				p := decodeProblem(t, rec)
				require.Equal(t, tt.notRun, p.NotRun)
				require.Equal(t, 7500*time.Millisecond, f.fleet.received().offers["a1"][0].Deadline)
				synctest.Wait()
				require.NotEmpty(t, f.fleet.received().withdraws)
			})
		})
	}
}

// TestCallerDisconnectWithdrawsOffer checks that the agent receives a Withdraw when
// the caller disconnects.
func TestCallerDisconnectWithdrawsOffer(t *testing.T) {
	for name, s := range map[string]agentScript{
		"waiting": sendThenDrain(queued(false)),
		"running": grantThen(accepted, head("text/plain"), chunk(0, "a")),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil, agent("a1", "north", "north-a"))
				f.fleet.setScript("a1", s)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					f.serve(post(pathCompletions, chatBody).WithContext(ctx))
				}()
				synctest.Wait()
				cancel()
				<-done
				synctest.Wait()
				require.Len(t, f.fleet.received().withdraws, 1)
			})
		})
	}
}

// TestRetryAfterCrashOfferedAsSuspect checks that a request that was running when a
// target crashed is offered again as a suspect.
func TestRetryAfterCrashOfferedAsSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.setScript("a1", inSequence(
			grantThen(accepted, crash),
			grantThen(completeAnswer("text/plain", "ok")...),
		))
		rec, _ := f.serve(post(pathCompletions, chatBody))
		require.Equal(t, http.StatusOK, rec.Code)
		require.False(t, f.fleet.received().offers["a1"][0].Suspect)
		require.True(t, f.fleet.received().offers["a1"][1].Suspect)
	})
}

// TestResumesBounded checks that an attempt whose agent stays unresponsive is
// abandoned, and that its connection is dropped once for all requests that detect it.
func TestResumesBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, serviceAgent("s1"))
		f.fleet.setScript("s1", func(ctx context.Context, s transport.Stream, first wire.Message) {
			if _, ok := first.(*wire.Offer); ok {
				grantThen(accepted)(ctx, s, first)
				return
			}
			drain(ctx, s) // receives Resume and sends nothing
		})
		const requests = 5
		done := make(chan int, requests)
		for range requests {
			go func() {
				rec, _ := f.serve(post(orderPath, "{}"))
				done <- rec.Code
			}()
		}
		for range requests {
			require.Equal(t, http.StatusBadGateway, <-done)
		}
		resumes := DefaultTiming().MaxResumes
		require.Len(t, f.fleet.received().resumes, requests*resumes)
		require.Equal(t, requests, f.fleet.runCount())
		require.NotEmpty(t, f.fleet.received().droppedConnections)
		require.LessOrEqual(t, len(f.fleet.received().droppedConnections), resumes+1)
	})
}

// TestRetryPrefersOtherAgents checks that a retry offers the request to other agents
// before the one at which an attempt failed.
func TestRetryPrefersOtherAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, withTiming(func(t *Timing) { t.OffersPerStep = 1 }),
			agent("a1", "north", "north-a"), agent("a2", "north", "north-a"), agent("a3", "north", "north-a"))
		plan := f.planOf(chatBody)
		f.fleet.setScript(plan.Home.ID, sendThenDrain(queued(false)))
		f.fleet.setScript(plan.LocalRegion[0].ID, grantThen(fail(request.OutcomeNotRun, request.ReasonTargetFailed)))
		f.fleet.setScript(plan.LocalRegion[1].ID, grantThen(completeAnswer("text/plain", "ok")...))
		rec, _ := f.serve(post(pathCompletions, chatBody))
		require.Equal(t, http.StatusOK, rec.Code)
		require.Len(t, f.fleet.received().offers[plan.LocalRegion[0].ID], 1)
	})
}

// TestReasonCountersExportedAtStart checks that the counter of each reason is exported
// before its first event.
func TestReasonCountersExportedAtStart(t *testing.T) {
	f := newFixture(t, nil)
	for name, want := range map[string]int{"refusals": len(problemKinds), "offer_refusals": len(problemKinds), "retries": 2 * len(retryableReasons)} {
		got, err := testutil.GatherAndCount(f.reg, "mastichollow_router_"+name+"_total")
		require.NoError(t, err)
		require.Equal(t, want, got, name)
	}
}
