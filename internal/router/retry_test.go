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

// withTiming returns a change of settings.
func withTiming(change func(*Timing)) func(*Config) {
	return func(c *Config) {
		c.Timing = DefaultTiming()
		change(&c.Timing)
	}
}

// TestNotRunTruthTable runs a request through attempts with every pair of
// outcomes. "not_run" is said only if both are known not to have run.
func TestNotRunTruthTable(t *testing.T) {
	const failing = request.ReasonTargetFailed
	outcomes := []request.Outcome{request.OutcomeNotRun, request.OutcomeUnknown, request.OutcomeCompleted}
	for _, once := range []bool{false, true} {
		for _, keyed := range []bool{false, true} {
			for _, first := range outcomes {
				for _, second := range outcomes {
					synctest.Test(t, func(t *testing.T) {
						f := newFixture(t, withTiming(func(t *Timing) { t.MaxRetries = 1 }), agent("a1", "north", "north-a"), shop("s1"))
						streams := inTurn(grantThen(accepted, fail(first, failing)), grantThen(accepted, fail(second, failing)))
						f.fleet.set("a1", streams)
						f.fleet.set("s1", streams)
						var fields []string
						if keyed {
							fields = []string{"Idempotency-Key: k"}
						}
						req := post(pathCompletions, chatBody, fields...)
						if once {
							req = post(order, "{}", fields...)
						}
						rec, _ := f.serve(req)
						p := decodeProblem(t, rec)
						mayRepeat := !once && !keyed
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

// TestRefusalsAndRetriesByReason refuses an offer, or fails an attempt, for
// each reason, and checks what follows and what is counted.
func TestRefusalsAndRetriesByReason(t *testing.T) {
	for reason := range kinds {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil, agent("a1", "north", "north-a"))
				f.fleet.set("a1", sends(refusal(reason)))
				rec, _ := f.serve(post(pathCompletions, chatBody))
				p := decodeProblem(t, rec)
				require.Equal(t, kinds[reason].status, rec.Code)
				require.Equal(t, reason != request.ReasonInProgress, p.NotRun)
				passes := rec.Code == http.StatusTooManyRequests || rec.Code == http.StatusServiceUnavailable
				require.Equal(t, passes, rec.Header().Get("Retry-After") != "")
				tries := 1.0
				if retryable[reason] {
					tries += float64(DefaultTiming().MaxRetries)
				}
				require.InDelta(t, tries, value(f.router.metrics.offerRefusals, string(reason)), 0)
				require.InDelta(t, tries-1, value(f.router.metrics.retries, string(reason), "not_run"), 0)
				require.InDelta(t, 1, value(f.router.metrics.refusals, string(reason)), 0)
			})
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil, agent("a1", "north", "north-a"))
				f.fleet.set("a1", grantThen(accepted, fail(request.OutcomeUnknown, reason)))
				rec, _ := f.serve(post(pathCompletions, chatBody))
				require.False(t, decodeProblem(t, rec).NotRun)
				tries := 1
				if retryable[reason] {
					tries += DefaultTiming().MaxRetries
				}
				require.Equal(t, tries, f.fleet.runCount())
				require.InDelta(t, tries-1, value(f.router.metrics.retries, string(reason), "unknown"), 0)
			})
		})
	}
}

// TestOverloadIsFinalAtOnce checks that a refusal for overload costs one offer
// and no time, and says when to come back.
func TestOverloadIsFinalAtOnce(t *testing.T) {
	for reason := range overload {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, nil, agent("a1", "north", "north-a"), agent("a2", "north", "north-a"))
			full := sends(func(id request.AttemptID) wire.Message {
				return &wire.Refuse{Attempt: id, Reason: reason, RetryAfter: 2500 * time.Millisecond}
			})
			f.fleet.set("a1", full)
			f.fleet.set("a2", full)
			began := time.Now()
			rec, _ := f.serve(post(pathCompletions, chatBody))
			require.Equal(t, http.StatusTooManyRequests, rec.Code)
			require.Equal(t, "3", rec.Header().Get("Retry-After"))
			require.Zero(t, time.Since(began))
			require.Equal(t, 1, f.fleet.offerCount())
		})
	}
}

// TestRetryBudgetBoundsRetries checks that under steady failure the hand-overs
// stay below the requests plus the share that the budget allows.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 100
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.set("a1", grantThen(fail(request.OutcomeNotRun, request.ReasonTargetFailed)))
		for range requests {
			f.serve(post(pathCompletions, chatBody))
		}
		timing := DefaultTiming()
		bound := requests + int(timing.RetryBurst+requests*timing.RetryRatio)
		require.LessOrEqual(t, f.fleet.runCount(), bound)
		require.Greater(t, f.fleet.runCount(), requests)
		require.Positive(t, value(f.router.metrics.refusals, string(request.ReasonRetryBudget)))
	})
}

// TestDeadlineIsCarriedAlong checks the time left in the offers, and that a
// request is given up at its deadline, not before and not after.
func TestDeadlineIsCarriedAlong(t *testing.T) {
	tests := []struct {
		name   string
		script script
		notRun bool
	}{
		{"waits in the queue", sends(queued(false)), true},
		{"runs", grantThen(accepted), false},
		{"agent hangs before its answer", sends(), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil, agent("a1", "north", "north-a"))
				f.fleet.set("a1", tt.script)
				began := time.Now()
				rec, _ := f.serve(post(pathCompletions, chatBody, "X-Request-Timeout: 7.5"))
				require.Equal(t, 7500*time.Millisecond, time.Since(began))
				require.Equal(t, http.StatusGatewayTimeout, rec.Code)
				p := decodeProblem(t, rec)
				require.Equal(t, tt.notRun, p.NotRun)
				require.Equal(t, 7500*time.Millisecond, f.fleet.seen().offers["a1"][0].Deadline)
				synctest.Wait()
				require.NotEmpty(t, f.fleet.seen().withdrawn)
			})
		})
	}
}

// TestCallerGoneWithdraws checks that a caller that hangs up frees what its
// request holds.
func TestCallerGoneWithdraws(t *testing.T) {
	for name, s := range map[string]script{
		"waiting": sends(queued(false)),
		"running": grantThen(accepted, head("text/plain"), chunk(0, "a")),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil, agent("a1", "north", "north-a"))
				f.fleet.set("a1", s)
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
				require.Len(t, f.fleet.seen().withdrawn, 1)
			})
		})
	}
}

// TestSuspectIsOfferedAsSuch checks that a request that ran at a crash is
// offered again as a suspect.
func TestSuspectIsOfferedAsSuch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.set("a1", inTurn(
			grantThen(accepted, crash),
			grantThen(answers("text/plain", "ok")...),
		))
		rec, _ := f.serve(post(pathCompletions, chatBody))
		require.Equal(t, http.StatusOK, rec.Code)
		require.False(t, f.fleet.seen().offers["a1"][0].Suspect)
		require.True(t, f.fleet.seen().offers["a1"][1].Suspect)
	})
}

// TestResumeIsBounded checks that an agent that is gone for good is given up,
// and its connection dropped once for all requests that found it silent.
func TestResumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, shop("s1"))
		f.fleet.set("s1", func(ctx context.Context, s transport.Stream, first wire.Message) {
			if _, ok := first.(*wire.Offer); ok {
				grantThen(accepted)(ctx, s, first)
				return
			}
			drain(ctx, s) // takes Resume and stays silent
		})
		const requests = 5
		done := make(chan int, requests)
		for range requests {
			go func() {
				rec, _ := f.serve(post(order, "{}"))
				done <- rec.Code
			}()
		}
		for range requests {
			require.Equal(t, http.StatusBadGateway, <-done)
		}
		resumes := DefaultTiming().MaxResumes
		require.Len(t, f.fleet.seen().resumed, requests*resumes)
		require.Equal(t, requests, f.fleet.runCount())
		require.NotEmpty(t, f.fleet.seen().forgotten)
		require.LessOrEqual(t, len(f.fleet.seen().forgotten), resumes+1)
	})
}

// TestRetryAvoidsTheAgentThatFailed checks that a retry asks the other agents
// before the one at which the attempt failed.
func TestRetryAvoidsTheAgentThatFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, withTiming(func(t *Timing) { t.OffersPerStep = 1 }),
			agent("a1", "north", "north-a"), agent("a2", "north", "north-a"), agent("a3", "north", "north-a"))
		plan := f.planOf(chatBody)
		f.fleet.set(plan.Home.ID, sends(queued(false)))
		f.fleet.set(plan.LocalRegion[0].ID, grantThen(fail(request.OutcomeNotRun, request.ReasonTargetFailed)))
		f.fleet.set(plan.LocalRegion[1].ID, grantThen(answers("text/plain", "ok")...))
		rec, _ := f.serve(post(pathCompletions, chatBody))
		require.Equal(t, http.StatusOK, rec.Code)
		require.Len(t, f.fleet.seen().offers[plan.LocalRegion[0].ID], 1)
	})
}

// TestEveryReasonIsShown checks that the registry has the counter of each reason
// before its first event.
func TestEveryReasonIsShown(t *testing.T) {
	f := newFixture(t, nil)
	for name, want := range map[string]int{"refusals": len(kinds), "offer_refusals": len(kinds), "retries": 2 * len(retryable)} {
		got, err := testutil.GatherAndCount(f.reg, "mastichollow_router_"+name+"_total")
		require.NoError(t, err)
		require.Equal(t, want, got, name)
	}
}
