package router

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/limit"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// claimingAgent returns a script of agents that share one table of claims: a request
// runs once per claim. runs counts the runs. If fault is not nil, it ends the stream
// of the first run instead of an answer.
func claimingAgent(runs *int, fault messageMaker) agentScript {
	var mu sync.Mutex
	started := make(map[string]bool)
	return func(ctx context.Context, s transport.Stream, first wire.Message) {
		offer, ok := first.(*wire.Offer)
		if !ok {
			sendMessages(ctx, s, firstAttempt(first), fail(request.OutcomeUnknown, request.ReasonUnknownAttempt))
			return
		}
		_ = s.Send(ctx, &wire.Grant{Attempt: offer.Attempt})
		if awaitRun(ctx, s) == nil {
			return
		}
		mu.Lock()
		alreadyStarted := started[string(offer.Claim)]
		started[string(offer.Claim)] = true
		if !alreadyStarted {
			*runs++
		}
		mu.Unlock()
		switch {
		case alreadyStarted:
			sendMessages(ctx, s, offer.Attempt, accepted, fail(request.OutcomeUnknown, request.ReasonInProgress))
		case fault != nil:
			sendMessages(ctx, s, offer.Attempt, accepted, fault)
		default:
			sendMessages(ctx, s, offer.Attempt, completeAnswer("text/plain", "ordered")...)
		}
		drain(ctx, s)
	}
}

// TestSameIdempotencyKeyAtThreeRoutersRunsOnce sends one order with one idempotency
// key to three routers at once. All must send the same claim, none may send the order
// to an agent again, and none may report that it did not run.
func TestSameIdempotencyKeyAtThreeRoutersRunsOnce(t *testing.T) {
	for name, fault := range map[string]messageMaker{"answered": nil, "stream lost": closeStream, "target crashed": fail(request.OutcomeUnknown, request.ReasonTargetCrashed)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runs := 0
				script := claimingAgent(&runs, fault)
				codes := make(chan int, 3)
				for range 3 {
					f := newFixture(t, nil, serviceAgent("s1"), serviceAgent("s2"))
					f.fleet.setScript("s1", script)
					f.fleet.setScript("s2", script)
					go func() {
						rec, _ := f.serve(post(orderPath, "{}", "Idempotency-Key: order-7"))
						if rec.Code != http.StatusOK {
							assert.NotContains(t, rec.Body.String(), "not_run")
						}
						codes <- rec.Code
					}()
				}
				ok := 0
				for range 3 {
					if <-codes == http.StatusOK {
						ok++
					}
				}
				require.Equal(t, 1, runs)
				require.Equal(t, fault == nil, ok == 1)
				require.LessOrEqual(t, ok, 1)
			})
		})
	}
}

// TestSpillToRemoteRegion checks when agents of a remote region get offers, and that
// offers and bytes are counted by the class of the link.
func TestSpillToRemoteRegion(t *testing.T) {
	tests := []struct {
		name   string
		remote *wire.PoolTotals // load of the remote region, nil: unknown
		home   agentScript
		after  time.Duration // until the remote agent gets the offer; < 0: never
	}{
		{"free remote slots", &wire.PoolTotals{Free: 1}, sendThenDrain(queued(false)), 0},
		{"remote load unknown", nil, sendThenDrain(queued(false)), time.Second},
		{"remote queue not empty", &wire.PoolTotals{Free: 1, Queued: 1}, sendThenDrain(queued(false)), time.Second},
		{"no free remote slots", &wire.PoolTotals{}, sendThenDrain(queued(false)), time.Second},
		{"no local agent left", nil, sendThenDrain(refusal(request.ReasonDraining)), 0},
		{"home agent grants", &wire.PoolTotals{Free: 1}, grantThen(completeAnswer("text/plain", "ok")...), -1},
		{"duplicate waits at the home agent", &wire.PoolTotals{Free: 1}, sendThenDrain(queued(true)), -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil, agent("a1", "north", "north-b"), agent("remote", "south", "south-a"))
				if tt.remote != nil {
					tt.remote.Pool = testModel
					f.store.ApplyDigest(&wire.Digest{Domain: "south-a", Pools: []wire.PoolTotals{*tt.remote}})
				}
				f.fleet.setScript("a1", tt.home)
				f.fleet.setScript("remote", grantThen(completeAnswer("text/plain", "remote")...))
				began := time.Now()
				rec, _ := f.serve(post(pathCompletions, chatBody, "X-Request-Timeout: 5"))
				require.InDelta(t, 1, counterValue(f.router.metrics.offers, "region"), 0)
				if tt.after < 0 {
					require.Zero(t, counterValue(f.router.metrics.offers, "cross_region"))
					return
				}
				require.Equal(t, "remote", rec.Body.String())
				require.GreaterOrEqual(t, time.Since(began), tt.after)
				require.LessOrEqual(t, time.Since(began), tt.after+DefaultTiming().HedgeInterval)
				require.InDelta(t, 1, counterValue(f.router.metrics.offers, "cross_region"), 0)
				require.InDelta(t, len("remote"), counterValue(f.router.metrics.relayedBytes, "cross_region", "received"), 0)
				require.InDelta(t, len(chatBody), counterValue(f.router.metrics.relayedBytes, "cross_region", "sent"), 0)
			})
		})
	}
}

// TestWaitingRequestOfferedToEveryAgent checks that a waiting request is offered to
// every agent of its pool, also to one that joins while it waits, so that no slot
// stays idle.
func TestWaitingRequestOfferedToEveryAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var vms []target.VM
		for _, id := range []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9"} {
			vms = append(vms, agent(id, "north", "north-a"))
		}
		f := newFixture(t, nil, vms...)
		for _, vm := range vms {
			f.fleet.setScript(vm.Addr, sendThenDrain(queued(false)))
		}
		f.fleet.setScript("late", grantThen(completeAnswer("text/plain", "late")...))
		done := make(chan string)
		go func() {
			rec, _ := f.serve(post(pathCompletions, chatBody))
			done <- rec.Body.String()
		}()
		time.Sleep(DefaultTiming().SpillAfter)
		require.Len(t, f.fleet.received().offers, len(vms))
		f.store.ApplyVMs(append(vms, agent("late", "north", "north-a")))
		require.Equal(t, "late", <-done)
	})
}

// TestFleetRateLimitAtRouter checks that limits are taken from the newest table, that
// requests admitted by other routers count, and that a refused request is not offered.
func TestFleetRateLimitAtRouter(t *testing.T) {
	tableWithRateLimit := func(version uint64, rate float64) *workspace.Table {
		table := testTable(version)
		table.Rows[0].RateLimit = rate
		return table
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.setScript("a1", grantThen(completeAnswer("text/plain", "ok")...))
		f.store.ApplyTable(tableWithRateLimit(2, 1))
		rec, _ := f.serve(post(pathCompletions, chatBody))
		require.Equal(t, http.StatusOK, rec.Code)
		rec, _ = f.serve(post(pathCompletions, chatBody))
		require.Equal(t, http.StatusTooManyRequests, rec.Code)
		require.Equal(t, "1", rec.Header().Get("Retry-After"))
		p := decodeProblem(t, rec)
		require.Equal(t, problemPrefix+string(request.ReasonRateLimit), p.Type)
		require.True(t, p.NotRun)
		require.Equal(t, 1, f.fleet.offerCount())
		require.Equal(t, uint64(1), f.router.Report()[0].Totals[0].Started)
		f.store.ApplyTable(tableWithRateLimit(3, 0))
		rec, _ = f.serve(post(pathCompletions, chatBody))
		require.Equal(t, http.StatusOK, rec.Code)
	})
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.setScript("a1", grantThen(completeAnswer("text/plain", "ok")...))
		f.store.ApplyTable(tableWithRateLimit(2, 10))
		for _, started := range []uint64{100, 1000} {
			f.store.ApplyDigest(&wire.Digest{Domain: "south-a", Pools: []wire.PoolTotals{{
				Pool: limit.RouterPool, Totals: []wire.Total{{Workspace: 1, Started: started}},
			}}})
		}
		rec, _ := f.serve(post(pathCompletions, chatBody))
		require.Equal(t, http.StatusTooManyRequests, rec.Code)
		require.Zero(t, f.fleet.offerCount())
	})
}

// TestQuarantinedRequestRefused checks that a quarantined request is not offered, and
// that a suspect one is offered as a suspect.
func TestQuarantinedRequestRefused(t *testing.T) {
	for _, quarantined := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, nil, agent("a1", "north", "north-a"))
			f.fleet.setScript("a1", grantThen(completeAnswer("text/plain", "ok")...))
			fingerprint := hash(1, http.MethodPost, pathCompletions, chatBody)
			f.store.ApplySuspects([]wire.Suspect{{Fingerprint: fingerprint, Quarantined: quarantined}}, time.Now())
			rec, _ := f.serve(post(pathCompletions, chatBody))
			if quarantined {
				require.Equal(t, http.StatusUnprocessableEntity, rec.Code)
				require.Zero(t, f.fleet.offerCount())
				return
			}
			require.True(t, f.fleet.received().offers["a1"][0].Suspect)
		})
	}
}

// TestPendingLimiterBoundsQueue floods a router whose agents are all busy. At most the
// workspace's queue limit may wait; the other requests are refused at once with
// Retry-After.
func TestPendingLimiterBoundsQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.setScript("a1", sendThenDrain(queued(false)))
		const requests = 50 // of a workspace whose queue limit is 2
		refusals := make(chan http.Header, requests)
		for range requests {
			go func() {
				req := post(pathCompletions, chatBody, "Authorization: Bearer "+otherKey, "X-Request-Timeout: 100")
				if rec, _ := f.serve(req); rec.Code == http.StatusTooManyRequests {
					refusals <- rec.Header()
				}
			}()
		}
		synctest.Wait()
		require.Len(t, refusals, requests-2)
		require.Equal(t, "5", (<-refusals).Get("Retry-After"))
		rec, _ := f.serve(post(pathCompletions, chatBody, "X-Request-Timeout: 1"))
		require.Equal(t, http.StatusGatewayTimeout, rec.Code, "a request of another workspace must be queued")
		time.Sleep(100 * time.Second)
		synctest.Wait()
		require.Empty(t, f.router.pending.counts)
	})
}

// TestSpillToBusyRegionsOncePerSpillAfter checks that a waiting request is offered to
// one remote agent per SpillAfter while no remote region is known to have free slots,
// and that free remote slots are used at the next step.
func TestSpillToBusyRegionsOncePerSpillAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := []target.VM{agent("a1", "north", "north-a")}
		for _, id := range []string{"f1", "f2", "f3", "f4", "f5", "f6"} {
			vms = append(vms, agent(id, "south", "south-a"))
		}
		f := newFixture(t, nil, vms...)
		for _, vm := range vms {
			f.fleet.setScript(vm.Addr, sendThenDrain(queued(false)))
		}
		busy := wire.PoolTotals{Pool: testModel, Queued: 3}
		f.store.ApplyDigest(&wire.Digest{Domain: "south-a", Pools: []wire.PoolTotals{busy}})
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.serve(post(pathCompletions, chatBody, "X-Request-Timeout: 5.5"))
		}()
		for second := range 4 {
			time.Sleep(time.Second)
			synctest.Wait()
			require.InDelta(t, second+1, counterValue(f.router.metrics.offers, "cross_region"), 0)
		}
		free := wire.PoolTotals{Pool: testModel, Free: 2}
		f.store.ApplyDigest(&wire.Digest{Domain: "south-a", Pools: []wire.PoolTotals{free}})
		<-done
		require.InDelta(t, 6, counterValue(f.router.metrics.offers, "cross_region"), 0)
	})
}

// TestBodyMemoryBounded checks that a workspace that floods a router with large bodies
// gets a quarter of the memory for them, that another workspace is still served, and
// that the memory is released with the first byte of an answer.
func TestBodyMemoryBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 1000 // of a body
		limits := Limits{Body: size, Header: 1000, Prompt: size, BodyMemory: 12 * size, PendingOffers: 100}
		f := newFixture(t, func(c *Config) { c.Limits = limits }, agent("a1", "north", "north-a"))
		f.fleet.setScript("a1", grantThen(accepted, delayed(accepted), head("text/plain"), chunk(0, "a"), delayed(end(1))))
		f.serve(post(pathCompletions, "{"))
		require.Zero(t, f.reservedBodyBytes(), "a refused request must not hold memory")
		body := chatBody + strings.Repeat(" ", size-len(chatBody))
		codes := make(chan int, 10)
		for range cap(codes) {
			go func() {
				rec, _ := f.serve(post(pathCompletions, body))
				codes <- rec.Code
			}()
		}
		synctest.Wait()
		require.Len(t, codes, 7)
		require.Equal(t, http.StatusServiceUnavailable, <-codes)
		require.InDelta(t, 7, counterValue(f.router.metrics.refusals, string(request.ReasonOverloaded)), 0)
		go f.serve(post(pathCompletions, body, "Authorization: Bearer "+otherKey))
		synctest.Wait()
		require.Equal(t, int64(4*size), f.reservedBodyBytes())
		time.Sleep(DefaultTiming().ProgressTimeout * 91 / 100) // the first bytes have arrived, the ends have not
		synctest.Wait()
		require.Zero(t, f.reservedBodyBytes())
		require.Len(t, codes, 6)
		time.Sleep(DefaultTiming().ProgressTimeout)
		synctest.Wait()
		require.Len(t, codes, 9)
	})
}

func (f *fixture) reservedBodyBytes() int64 {
	total, _ := f.router.bodyMemory.Used(0)
	return total
}
