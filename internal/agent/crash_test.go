package agent

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/suspect"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// poison is the request body that crashes each target that runs it.
var poison = []byte("poison")

// crashOnPoison makes the target crash one second after it received poison.
func crashOnPoison(h *harness) {
	h.target.script = func(call engine.Call) ([]step, error) {
		if !bytes.Equal(call.Body, poison) {
			return []step{{data: "hello "}, {after: 10 * time.Second, data: "world"}}, nil
		}
		go func() {
			time.Sleep(time.Second)
			h.target.mu.Lock()
			defer h.target.mu.Unlock()
			h.target.crash()
		}()
		return []step{{after: time.Hour}}, nil
	}
}

// reroutedReasons are the reasons for which a router offers a request to the
// next agent.
var reroutedReasons = map[request.Reason]bool{
	request.ReasonTargetDown: true,
	request.ReasonNotReady:   true,
	request.ReasonDraining:   true,
}

// sendRequest sends a request like a router. The home agent is first, and its
// stream stays open while the others are tried. When a target failed, the
// request is sent again, up to four times in total.
func sendRequest(agents []*harness, home int, body []byte) (answer string, last wire.Message) {
	suspected := false
	for range 4 {
		answer, last = sendOnce(agents, home, body, suspected)
		fail, failed := last.(*wire.Fail)
		if !failed {
			return answer, last
		}
		suspected = suspected || fail.Suspect
	}
	return answer, last
}

func sendOnce(agents []*harness, home int, body []byte, suspected bool) (answer string, last wire.Message) {
	var homeConn *routerConn
	id := request.NewID()
	defer func() {
		if fail, failed := last.(*wire.Fail); failed && fail.Suspect {
			_ = homeConn.stream.Send(context.Background(), &wire.Withdraw{Attempt: homeConn.id, Suspect: true})
		}
		_ = homeConn.stream.CloseSend()
	}()
	for i := range agents {
		c := agents[(home+i)%len(agents)].offer(func(o *wire.Offer) {
			o.Request, o.Fingerprint, o.Home, o.Suspect = id, body, i == 0, suspected
		})
		if i == 0 {
			homeConn = c
		}
		answer, last = c.runWhenGranted(body, i == 0)
		if last != nil && !reroutedReasons[reasonOf(last)] {
			return answer, last
		}
	}
	return answer, last
}

// runWhenGranted runs the request once its offer is granted. If a home agent
// queues the offer, the offer is withdrawn and the last message is nil.
func (c *routerConn) runWhenGranted(body []byte, home bool) (answer string, last wire.Message) {
	for {
		switch m := c.recv().(type) {
		case *wire.Queued:
			if home && !m.Duplicate {
				_ = c.stream.Send(context.Background(), &wire.Withdraw{Attempt: c.id})
				return "", nil
			}
		case *wire.Grant:
			c.send(&wire.Run{Attempt: c.id, Body: body})
			return c.readAnswer()
		default:
			return "", m
		}
	}
}

// TestCrashingRequestIsBounded guards against a request that crashes one target
// after the other: it is sent through many routers at once, together with
// harmless requests, and must crash only two targets.
func TestCrashingRequestIsBounded(t *testing.T) {
	t.Run("home agent has a free slot", func(t *testing.T) { testCrashBound(t, 0) })
	t.Run("home agent is busy", func(t *testing.T) { testCrashBound(t, 3) })
}

func testCrashBound(t *testing.T, busy int) {
	synctest.Test(t, func(t *testing.T) {
		registry := newTestRegistry()
		var agents []*harness
		for range 6 {
			h := newHarness(t, func(c *Config) { c.Suspects = registry })
			defer h.stop()
			crashOnPoison(h)
			agents = append(agents, h)
		}
		for range busy {
			agents[0].offer(nil).run()
		}
		const resends = 20
		crashing := make(chan wire.Message, resends)
		harmless := make(chan string, resends)
		for i := range resends {
			go func() {
				answer, _ := sendRequest(agents, 0, []byte{byte(i)})
				harmless <- answer
			}()
			go func() {
				_, last := sendRequest(agents, 0, poison)
				crashing <- last
			}()
		}
		for range resends {
			require.Equal(t, "hello world", <-harmless)
			last := <-crashing
			require.NotEmptyf(t, reasonOf(last), "%T %+v", last, last)
		}
		synctest.Wait()
		crashes := 0
		for _, h := range agents {
			crashes += h.target.crashes
		}
		require.Equal(t, 2, crashes)
		require.Equal(t, map[string]bool{string(poison): true}, registry.list(t), "the harmless requests are cleared")
	})
}

func TestSuspectsFromFleetListAreHonoured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		h.store.ApplySuspects([]wire.Suspect{
			{Fingerprint: []byte("f")},
			{Fingerprint: []byte("q"), Quarantined: true},
		}, time.Now())
		c := h.offer(func(o *wire.Offer) { o.Fingerprint = []byte("f") }).run()
		synctest.Wait()
		require.True(t, h.registry.onTrial("f"))
		refusal := expect[*wire.Refuse](h.offer(func(o *wire.Offer) { o.Fingerprint = []byte("q") }))
		require.Equal(t, request.ReasonQuarantined, refusal.Reason)
		c.completeAnswer()
	})
}

// TestHomeAgentIsInformedOfSuspect checks that a crash of another agent's
// target makes the request a suspect at its home agent.
func TestHomeAgentIsInformedOfSuspect(t *testing.T) {
	withFingerprint := func(o *wire.Offer) { o.Home, o.Fingerprint = true, []byte("f") }
	tests := []struct {
		name   string
		report func(*harness)
	}{
		{"by Withdraw on the stream of the first offer", func(h *harness) {
			c := h.offer(withFingerprint)
			expect[*wire.Grant](c)
			c.send(&wire.Withdraw{Attempt: c.id})
			c.send(&wire.Withdraw{Attempt: c.id, Suspect: true})
			expect[*wire.Refuse](c)
			_ = c.stream.CloseSend()
			<-c.done
		}},
		{"by the next offer", func(h *harness) {
			c := h.offer(func(o *wire.Offer) { withFingerprint(o); o.Suspect = true })
			expect[*wire.Grant](c)
			_ = c.stream.CloseSend()
			<-c.done
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil)
				defer h.stop()
				tt.report(h)
				h.offer(withFingerprint).run()
				synctest.Wait()
				require.True(t, h.registry.onTrial("f"))
			})
		})
	}
}

// TestDuplicatesOfUnlistedSuspectAreRefused checks that a refusal does not make
// the router try other agents, which may not have the suspect in their list
// yet. This holds even before the crash of the target is confirmed.
func TestDuplicatesOfUnlistedSuspectAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		targetAnswers(nil, step{after: time.Hour, data: "x"})(h)
		withFingerprint := func(o *wire.Offer) { o.Fingerprint = []byte("f") }
		h.offer(withFingerprint).run()
		duplicate := h.offer(withFingerprint)
		expect[*wire.Queued](duplicate)
		h.target.setState("", true)
		refusal := expect[*wire.Refuse](duplicate)
		require.Equal(t, request.ReasonSuspect, refusal.Reason)
		require.Equal(t, suspectPropagationDelay, refusal.RetryAfter)
	})
}

func TestSuspectRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		before := h.offer(nil).run()
		suspected := h.offer(func(o *wire.Offer) { o.Fingerprint, o.Suspect, o.Home = []byte("f"), true, true })
		expect[*wire.Queued](suspected)
		after := h.offer(nil)
		expect[*wire.Queued](after)
		require.Equal(t, "hello world", before.completeAnswer())
		suspected.run()
		synctest.Wait()
		require.Equal(t, 1, h.target.openAnswers())
		require.True(t, h.registry.onTrial("f"))
		require.Equal(t, "hello world", suspected.completeAnswer())
		require.Empty(t, h.registry.list(t))
		require.Equal(t, "hello world", after.run().completeAnswer())
	})
}

// TestSuspectWithRemoteHomeWaitsBeforeDraining checks that other requests
// continue to run for a time before the target is drained for a suspect whose
// home is another agent.
func TestSuspectWithRemoteHomeWaitsBeforeDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		targetAnswers(nil, step{after: 10 * time.Second, data: "x"})(h)
		h.offer(nil).run()
		start := time.Now()
		suspected := h.offer(func(o *wire.Offer) { o.Fingerprint, o.Suspect = []byte("f"), true })
		expect[*wire.Queued](suspected)
		time.Sleep(suspectDrainDelay - time.Second)
		h.offer(nil).run()
		time.Sleep(2 * time.Second)
		late := h.offer(nil)
		expect[*wire.Queued](late)
		suspected.run().completeAnswer()
		require.Equal(t, suspectDrainDelay+19*time.Second, time.Since(start).Truncate(time.Second), "after both other requests, and alone")
		late.run().completeAnswer()
	})
}

func TestTrialOutcomes(t *testing.T) {
	fingerprint := suspect.Fingerprint("f")
	tests := []struct {
		name        string
		setup       func(*harness)
		want        request.Reason
		known       bool // the fingerprint stays a suspect
		quarantined bool
		ran         int
		tried       bool // on trial by another attempt
	}{
		{"complete answer", func(*harness) {}, "", false, false, 1, false},
		{"not sent", targetAnswers(engine.ErrNotSent), request.ReasonTargetDown, true, false, 1, false},
		{"truncated without a crash", targetAnswers(nil, step{err: engine.ErrTruncated}), request.ReasonTargetFailed, true, false, 1, false},
		{"crash", func(h *harness) {
			targetAnswers(nil, step{after: time.Second, err: engine.ErrTruncated})(h)
			time.AfterFunc(500*time.Millisecond, func() { h.target.setState("start-2", false) })
		}, request.ReasonTargetCrashed, true, true, 1, false},
		{"on trial by another attempt", func(h *harness) { _ = h.registry.BeginTrial(context.Background(), fingerprint, "other") }, request.ReasonSuspect, true, false, 0, true},
		{"quarantined by another crash", func(h *harness) { _ = h.registry.RecordCrash(context.Background(), fingerprint, "another crash") }, request.ReasonQuarantined, true, true, 0, false},
		{"registry is unavailable", func(h *harness) { h.registry.setUnavailable(true) }, request.ReasonSuspect, true, false, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil)
				defer h.stop()
				require.NoError(t, h.registry.RecordCrash(context.Background(), fingerprint, "crash"))
				tt.setup(h)
				c := h.offer(func(o *wire.Offer) { o.Fingerprint, o.Suspect = []byte("f"), true }).run()
				_, last := c.readAndClose()
				require.Equal(t, tt.want, reasonOf(last))
				require.Equal(t, tt.ran, h.target.callsOf(c.id))
				h.registry.setUnavailable(false)
				quarantined, known := h.registry.list(t)["f"]
				require.Equal(t, tt.known, known)
				require.Equal(t, tt.quarantined, quarantined)
				if known {
					require.Equal(t, tt.tried, h.registry.onTrial("f"))
				}
			})
		})
	}
}

// TestCrashRecordsAllRunningFingerprints checks that all running fingerprints
// are recorded before any router is informed of the crash.
func TestCrashRecordsAllRunningFingerprints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		targetAnswers(nil, step{after: time.Hour, data: "x"})(h)
		var conns []*routerConn
		for _, fingerprint := range []string{"a", "b"} {
			conns = append(conns, h.offer(func(o *wire.Offer) { o.Fingerprint = []byte(fingerprint) }).run())
		}
		waiting := h.offer(nil).run()
		queued := h.offer(nil)
		expect[*wire.Queued](queued)
		time.Sleep(time.Minute)
		h.target.mu.Lock()
		h.target.crash()
		h.target.mu.Unlock()
		targetAnswers(engine.ErrNotSent)(h)
		for _, c := range conns {
			_, last := c.readAndClose()
			fail, ok := last.(*wire.Fail)
			require.True(t, ok)
			require.True(t, fail.Suspect)
			require.Equal(t, request.OutcomeUnknown, fail.Outcome)
			require.Len(t, h.registry.list(t), 2)
		}
		require.Equal(t, request.ReasonTargetDown, expect[*wire.Refuse](queued).Reason)
		_, last := waiting.readAndClose()
		require.Equal(t, request.ReasonTargetDown, reasonOf(last), "without a slot it did not run")
		require.Equal(t, 1, crashCount(h))
		h.target.setState("start-2", false)
		time.Sleep(2 * time.Second)
		require.NoError(t, h.Ready())
	})
}

// TestCrashRecordIsRetried checks that a suspect is remembered and its record
// retried while the platform is unavailable.
func TestCrashRecordIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		crashOnPoison(h)
		h.registry.setUnavailable(true)
		c := h.offer(func(o *wire.Offer) { o.Fingerprint = poison })
		_, last := c.runWhenGranted(poison, false)
		require.True(t, last.(*wire.Fail).Suspect)
		_ = c.stream.CloseSend()
		<-c.done
		h.target.setState("start-2", false)
		time.Sleep(2 * time.Second)
		again := h.offer(func(o *wire.Offer) { o.Fingerprint = poison }).run()
		_, last = again.readAndClose()
		require.Equal(t, request.ReasonSuspect, reasonOf(last), "no trial while the platform is unavailable")
		time.Sleep(20 * time.Minute)
		require.True(t, h.suspects.has(poison), "the agent remembers the suspect during the outage")
		h.registry.setUnavailable(false)
		time.Sleep(time.Minute)
		require.Contains(t, h.registry.list(t), string(poison))
		require.Equal(t, 1, h.target.callCount())
		require.Positive(t, h.counter(h.metrics.retries, "accuse"))
	})
}
