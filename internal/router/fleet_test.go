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

// claimingAgent returns a script that runs a request once per claim, as agents
// with one table of claims do, and counts the runs. fault, if not nil, ends the
// first run's stream in place of its answer.
func claimingAgent(runs *int, fault maker) script {
	var mu sync.Mutex
	started := make(map[string]bool)
	return func(ctx context.Context, s transport.Stream, first wire.Message) {
		offer, ok := first.(*wire.Offer)
		if !ok {
			sendAll(ctx, s, firstAttempt(first), fail(request.OutcomeUnknown, request.ReasonUnknownAttempt))
			return
		}
		_ = s.Send(ctx, &wire.Grant{Attempt: offer.Attempt})
		if awaitRun(ctx, s) == nil {
			return
		}
		mu.Lock()
		again := started[string(offer.Claim)]
		started[string(offer.Claim)] = true
		if !again {
			*runs++
		}
		mu.Unlock()
		switch {
		case again:
			sendAll(ctx, s, offer.Attempt, accepted, fail(request.OutcomeUnknown, request.ReasonInProgress))
		case fault != nil:
			sendAll(ctx, s, offer.Attempt, accepted, fault)
		default:
			sendAll(ctx, s, offer.Attempt, answers("text/plain", "ordered")...)
		}
		drain(ctx, s)
	}
}

// TestOneKeyThroughThreeRoutersRunsOnce sends one order through three routers
// at once: the claim is the same at each, no router hands it over again, and
// none says of it that it did not run.
func TestOneKeyThroughThreeRoutersRunsOnce(t *testing.T) {
	for name, fault := range map[string]maker{"answered": nil, "agent lost": lost, "target crashed": fail(request.OutcomeUnknown, request.ReasonTargetCrashed)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runs := 0
				shared := claimingAgent(&runs, fault)
				codes := make(chan int, 3)
				for range 3 {
					f := newFixture(t, nil, shop("s1"), shop("s2"))
					f.fleet.set("s1", shared)
					f.fleet.set("s2", shared)
					go func() {
						rec, _ := f.serve(post(order, "{}", "Idempotency-Key: order-7"))
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

// TestSpill checks when agents of another region are asked, and that their
// offers and bytes are counted by the class of the link.
func TestSpill(t *testing.T) {
	tests := []struct {
		name  string
		far   *wire.PoolSums // load of the other region, nil: unknown
		home  script
		after time.Duration // until the far agent answers; < 0: never
	}{
		{"free slots elsewhere", &wire.PoolSums{Free: 1}, sends(queued(false)), 0},
		{"load unknown", nil, sends(queued(false)), time.Second},
		{"others wait there", &wire.PoolSums{Free: 1, Queued: 1}, sends(queued(false)), time.Second},
		{"no slots elsewhere", &wire.PoolSums{}, sends(queued(false)), time.Second},
		{"nobody left here", nil, sends(refusal(request.ReasonDraining)), 0},
		{"home has a slot", &wire.PoolSums{Free: 1}, grantThen(answers("text/plain", "ok")...), -1},
		{"duplicate waits at home", &wire.PoolSums{Free: 1}, sends(queued(true)), -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, nil, agent("a1", "north", "north-b"), agent("far", "south", "south-a"))
				if tt.far != nil {
					tt.far.Pool = testModel
					f.store.ApplyDigest(&wire.Digest{Domain: "south-a", Pools: []wire.PoolSums{*tt.far}})
				}
				f.fleet.set("a1", tt.home)
				f.fleet.set("far", grantThen(answers("text/plain", "from afar")...))
				began := time.Now()
				rec, _ := f.serve(post(pathCompletions, chatBody, "X-Request-Timeout: 5"))
				require.InDelta(t, 1, value(f.router.metrics.offers, "region"), 0)
				if tt.after < 0 {
					require.Zero(t, value(f.router.metrics.offers, "cross_region"))
					return
				}
				require.Equal(t, "from afar", rec.Body.String())
				require.GreaterOrEqual(t, time.Since(began), tt.after)
				require.LessOrEqual(t, time.Since(began), tt.after+DefaultTiming().Widen)
				require.InDelta(t, 1, value(f.router.metrics.offers, "cross_region"), 0)
				require.InDelta(t, len("from afar"), value(f.router.metrics.bytes, "cross_region", "received"), 0)
				require.InDelta(t, len(chatBody), value(f.router.metrics.bytes, "cross_region", "sent"), 0)
			})
		})
	}
}

// TestWaitingRequestReachesEverySlot checks that a request that waits is offered
// to each agent that may run it, so that no slot idles while it waits, and also
// to one that joins meanwhile.
func TestWaitingRequestReachesEverySlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var vms []target.VM
		for _, id := range []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9"} {
			vms = append(vms, agent(id, "north", "north-a"))
		}
		f := newFixture(t, nil, vms...)
		for _, vm := range vms {
			f.fleet.set(vm.Addr, sends(queued(false)))
		}
		f.fleet.set("late", grantThen(answers("text/plain", "late")...))
		done := make(chan string)
		go func() {
			rec, _ := f.serve(post(pathCompletions, chatBody))
			done <- rec.Body.String()
		}()
		time.Sleep(DefaultTiming().SpillAfter)
		require.Len(t, f.fleet.seen().offers, len(vms))
		f.store.ApplyVMs(append(vms, agent("late", "north", "north-a")))
		require.Equal(t, "late", <-done)
	})
}

// TestLimitsOfTheFleetHoldAtTheRouter checks that limits are taken from the
// table in force, that what other routers admitted counts, and that a refusal
// asks no agent.
func TestLimitsOfTheFleetHoldAtTheRouter(t *testing.T) {
	limited := func(version uint64, rate float64) *workspace.Table {
		table := testTable(version)
		table.Rows[0].RateLimit = rate
		return table
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.set("a1", grantThen(answers("text/plain", "ok")...))
		f.store.ApplyTable(limited(2, 1))
		rec, _ := f.serve(post(pathCompletions, chatBody))
		require.Equal(t, http.StatusOK, rec.Code)
		rec, _ = f.serve(post(pathCompletions, chatBody))
		require.Equal(t, http.StatusTooManyRequests, rec.Code)
		require.Equal(t, "1", rec.Header().Get("Retry-After"))
		p := decodeProblem(t, rec)
		require.Equal(t, problemPrefix+string(request.ReasonRateLimit), p.Type)
		require.True(t, p.NotRun)
		require.Equal(t, 1, f.fleet.offerCount())
		require.Equal(t, uint64(1), f.router.Report()[0].Sums[0].Started)
		f.store.ApplyTable(limited(3, 0))
		rec, _ = f.serve(post(pathCompletions, chatBody))
		require.Equal(t, http.StatusOK, rec.Code)
	})
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.set("a1", grantThen(answers("text/plain", "ok")...))
		f.store.ApplyTable(limited(2, 10))
		for _, started := range []uint64{100, 1000} {
			f.store.ApplyDigest(&wire.Digest{Domain: "south-a", Pools: []wire.PoolSums{{
				Pool: limit.RouterPool, Sums: []wire.Sum{{Workspace: 1, Started: started}},
			}}})
		}
		rec, _ := f.serve(post(pathCompletions, chatBody))
		require.Equal(t, http.StatusTooManyRequests, rec.Code)
		require.Zero(t, f.fleet.offerCount())
	})
}

// TestQuarantinedRequestIsRefusedAtTheRouter checks that a request known to
// crash targets asks no agent, and that a suspect is offered as such.
func TestQuarantinedRequestIsRefusedAtTheRouter(t *testing.T) {
	for _, quarantined := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, nil, agent("a1", "north", "north-a"))
			f.fleet.set("a1", grantThen(answers("text/plain", "ok")...))
			print := hash(1, http.MethodPost, pathCompletions, chatBody)
			f.store.ApplySuspects([]wire.Suspect{{Fingerprint: print, Quarantined: quarantined}}, time.Now())
			rec, _ := f.serve(post(pathCompletions, chatBody))
			if quarantined {
				require.Equal(t, http.StatusUnprocessableEntity, rec.Code)
				require.Zero(t, f.fleet.offerCount())
				return
			}
			require.True(t, f.fleet.seen().offers["a1"][0].Suspect)
		})
	}
}

// TestWaitingRoomBoundsTheQueue floods a router whose agents are all busy: no
// more requests wait than the workspace's queue limit, and the others learn at
// once when to come back.
func TestWaitingRoomBoundsTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.set("a1", sends(queued(false)))
		const requests = 50 // of a workspace that may have 2 waiting
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
		require.Equal(t, http.StatusGatewayTimeout, rec.Code, "another workspace was refused")
		time.Sleep(100 * time.Second)
		synctest.Wait()
		require.Empty(t, f.router.waiting.lines)
	})
}

// TestSpillToBusyRegionsIsSlow checks that a request which waits while no other
// region is known to have free slots costs one offer across regions for each
// SpillAfter, and that a free slot there is found at the next step.
func TestSpillToBusyRegionsIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := []target.VM{agent("a1", "north", "north-a")}
		for _, id := range []string{"f1", "f2", "f3", "f4", "f5", "f6"} {
			vms = append(vms, agent(id, "south", "south-a"))
		}
		f := newFixture(t, nil, vms...)
		for _, vm := range vms {
			f.fleet.set(vm.Addr, sends(queued(false)))
		}
		busy := wire.PoolSums{Pool: testModel, Queued: 3}
		f.store.ApplyDigest(&wire.Digest{Domain: "south-a", Pools: []wire.PoolSums{busy}})
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.serve(post(pathCompletions, chatBody, "X-Request-Timeout: 5.5"))
		}()
		for second := range 4 {
			time.Sleep(time.Second)
			synctest.Wait()
			require.InDelta(t, second+1, value(f.router.metrics.offers, "cross_region"), 0)
		}
		free := wire.PoolSums{Pool: testModel, Free: 2}
		f.store.ApplyDigest(&wire.Digest{Domain: "south-a", Pools: []wire.PoolSums{free}})
		<-done
		require.InDelta(t, 6, value(f.router.metrics.offers, "cross_region"), 0)
	})
}

// TestBodiesInHandAreBounded checks that a workspace that floods a router with
// large bodies takes a quarter of the memory for them, that others still get in,
// and that the memory is given back with the first byte of an answer.
func TestBodiesInHandAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 1000 // of a body
		limits := Limits{Body: size, Header: 1000, Prompt: size, Bodies: 12 * size, Offered: 100}
		f := newFixture(t, func(c *Config) { c.Limits = limits }, agent("a1", "north", "north-a"))
		f.fleet.set("a1", grantThen(accepted, later(accepted), head("text/plain"), chunk(0, "a"), later(end(1))))
		f.serve(post(pathCompletions, "{"))
		require.Zero(t, f.bodiesInHand(), "a refused request holds memory")
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
		require.InDelta(t, 7, value(f.router.metrics.refusals, string(request.ReasonOverloaded)), 0)
		go f.serve(post(pathCompletions, body, "Authorization: Bearer "+otherKey))
		synctest.Wait()
		require.Equal(t, int64(4*size), f.bodiesInHand())
		time.Sleep(DefaultTiming().Progress * 91 / 100) // the first bytes have come, the ends have not
		synctest.Wait()
		require.Zero(t, f.bodiesInHand())
		require.Len(t, codes, 6)
		time.Sleep(DefaultTiming().Progress)
		synctest.Wait()
		require.Len(t, codes, 9)
	})
}

func (f *fixture) bodiesInHand() int64 {
	f.router.bodies.mu.Lock()
	defer f.router.bodies.mu.Unlock()
	return f.router.bodies.sum
}
