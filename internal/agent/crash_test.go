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

// poison is the body that crashes each target that runs it.
var poison = []byte("poison")

// crashOn makes r's target crash a second after it was given poison.
func crashOn(r *rig) {
	r.target.script = func(call engine.Call) ([]step, error) {
		if !bytes.Equal(call.Body, poison) {
			return []step{{data: "hello "}, {after: 10 * time.Second, data: "world"}}, nil
		}
		go func() {
			time.Sleep(time.Second)
			r.target.mu.Lock()
			defer r.target.mu.Unlock()
			r.target.crash()
		}()
		return []step{{after: time.Hour}}, nil
	}
}

// elsewhere are the reasons for which a router turns to the next agent.
var elsewhere = map[request.Reason]bool{
	request.ReasonTargetDown: true,
	request.ReasonNotReady:   true,
	request.ReasonDraining:   true,
}

// deliver sends a request as a router does: first to its home agent, whose
// stream it keeps open, then to the others; again when the target crashed.
func deliver(agents []*rig, home int, body []byte) (answer string, last wire.Message) {
	suspected := false
	for range 4 {
		answer, last = deliverOnce(agents, home, body, suspected)
		fail, failed := last.(*wire.Fail)
		if !failed {
			return answer, last
		}
		suspected = suspected || fail.Suspect
	}
	return answer, last
}

func deliverOnce(agents []*rig, home int, body []byte, suspected bool) (answer string, last wire.Message) {
	var homeConn *conn
	id := request.NewID()
	defer func() {
		if fail, failed := last.(*wire.Fail); failed && fail.Suspect {
			_ = homeConn.s.Send(context.Background(), &wire.Withdraw{Attempt: homeConn.id, Suspect: true})
		}
		_ = homeConn.s.CloseSend()
	}()
	for i := range agents {
		c := agents[(home+i)%len(agents)].offer(func(o *wire.Offer) {
			o.Request, o.Fingerprint, o.Home, o.Suspect = id, body, i == 0, suspected
		})
		if i == 0 {
			homeConn = c
		}
		answer, last = c.deliver(body, i == 0)
		if last != nil && !elsewhere[reasonOf(last)] {
			return answer, last
		}
	}
	return answer, last
}

// deliver runs the request once its offer is granted. At a busy home agent the
// offer is withdrawn, and the last message is nil.
func (c *conn) deliver(body []byte, home bool) (answer string, last wire.Message) {
	for {
		switch m := c.recv().(type) {
		case *wire.Queued:
			if home && !m.Duplicate {
				_ = c.s.Send(context.Background(), &wire.Withdraw{Attempt: c.id})
				return "", nil
			}
		case *wire.Grant:
			c.send(&wire.Run{Attempt: c.id, Body: body})
			return c.read()
		default:
			return "", m
		}
	}
}

// TestCrashingRequestIsBounded sends a request that crashes each target that
// runs it through many routers at once, beside innocent ones.
func TestCrashingRequestIsBounded(t *testing.T) {
	t.Run("its home agent has a free slot", func(t *testing.T) { testCrashBound(t, 0) })
	t.Run("its home agent is busy", func(t *testing.T) { testCrashBound(t, 3) })
}

func testCrashBound(t *testing.T, busy int) {
	synctest.Test(t, func(t *testing.T) {
		registry := newTestRegistry()
		var agents []*rig
		for range 6 {
			r := newRig(t, func(c *Config) { c.Suspects = registry })
			defer r.stop()
			crashOn(r)
			agents = append(agents, r)
		}
		for range busy {
			agents[0].offer(nil).run()
		}
		const resends = 20
		poisoned := make(chan wire.Message, resends)
		innocent := make(chan string, resends)
		for i := range resends {
			go func() {
				answer, _ := deliver(agents, 0, []byte{byte(i)})
				innocent <- answer
			}()
			go func() {
				_, last := deliver(agents, 0, poison)
				poisoned <- last
			}()
		}
		for range resends {
			require.Equal(t, "hello world", <-innocent)
			last := <-poisoned
			require.NotEmptyf(t, reasonOf(last), "%T %+v", last, last)
		}
		synctest.Wait()
		crashes := 0
		for _, r := range agents {
			crashes += r.target.crashes
		}
		require.Equal(t, 2, crashes)
		require.Equal(t, map[string]bool{string(poison): true}, registry.list(t), "the innocent ones are acquitted")
	})
}

// TestListedSuspects takes suspects from the fleet's list.
func TestListedSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		r.store.ApplySuspects([]wire.Suspect{
			{Fingerprint: []byte("f")},
			{Fingerprint: []byte("q"), Quarantined: true},
		}, time.Now())
		c := r.offer(func(o *wire.Offer) { o.Fingerprint = []byte("f") }).run()
		synctest.Wait()
		require.True(t, r.registry.onTrial("f"))
		refusal := expect[*wire.Refuse](r.offer(func(o *wire.Offer) { o.Fingerprint = []byte("q") }))
		require.Equal(t, request.ReasonQuarantined, refusal.Reason)
		c.whole()
	})
}

// TestHomeLearnsOfSuspect tells the home agent of a crash elsewhere.
func TestHomeLearnsOfSuspect(t *testing.T) {
	print := func(o *wire.Offer) { o.Home, o.Fingerprint = true, []byte("f") }
	tests := []struct {
		name string
		tell func(*rig)
	}{
		{"by the stream of the request's first round", func(r *rig) {
			c := r.offer(print)
			expect[*wire.Grant](c)
			c.send(&wire.Withdraw{Attempt: c.id})
			c.send(&wire.Withdraw{Attempt: c.id, Suspect: true})
			expect[*wire.Refuse](c)
			_ = c.s.CloseSend()
			<-c.done
		}},
		{"by the offer of the next round", func(r *rig) {
			c := r.offer(func(o *wire.Offer) { print(o); o.Suspect = true })
			expect[*wire.Grant](c)
			_ = c.s.CloseSend()
			<-c.done
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil)
				defer r.stop()
				tt.tell(r)
				r.offer(print).run()
				synctest.Wait()
				require.True(t, r.registry.onTrial("f"))
			})
		})
	}
}

// TestDuplicatesOfUnlistedSuspect are not sent to agents that do not know the
// suspect yet, also before it is clear that the target crashed.
func TestDuplicatesOfUnlistedSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		answers(nil, step{after: time.Hour, data: "x"})(r)
		print := func(o *wire.Offer) { o.Fingerprint = []byte("f") }
		r.offer(print).run()
		duplicate := r.offer(print)
		expect[*wire.Queued](duplicate)
		r.target.set("", true)
		refusal := expect[*wire.Refuse](duplicate)
		require.Equal(t, request.ReasonSuspect, refusal.Reason)
		require.Equal(t, suspectRetry, refusal.RetryAfter)
	})
}

func TestSuspectRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		before := r.offer(nil).run()
		suspected := r.offer(func(o *wire.Offer) { o.Fingerprint, o.Suspect, o.Home = []byte("f"), true, true })
		expect[*wire.Queued](suspected)
		after := r.offer(nil)
		expect[*wire.Queued](after)
		require.Equal(t, "hello world", before.whole())
		suspected.run()
		synctest.Wait()
		require.Equal(t, 1, r.target.busy())
		require.True(t, r.registry.onTrial("f"))
		require.Equal(t, "hello world", suspected.whole())
		require.Empty(t, r.registry.list(t))
		require.Equal(t, "hello world", after.run().whole())
	})
}

// TestSuspectFromElsewhereWaits lets others run for a time before the target is
// drained for a suspect whose home is another agent.
func TestSuspectFromElsewhereWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		answers(nil, step{after: 10 * time.Second, data: "x"})(r)
		r.offer(nil).run()
		begun := time.Now()
		suspected := r.offer(func(o *wire.Offer) { o.Fingerprint, o.Suspect = []byte("f"), true })
		expect[*wire.Queued](suspected)
		time.Sleep(suspectPatience - time.Second)
		r.offer(nil).run()
		time.Sleep(2 * time.Second)
		late := r.offer(nil)
		expect[*wire.Queued](late)
		suspected.run().whole()
		require.Equal(t, suspectPatience+19*time.Second, time.Since(begun).Truncate(time.Second), "after both, and alone")
		late.run().whole()
	})
}

func TestTrialOutcomes(t *testing.T) {
	print := suspect.Fingerprint("f")
	tests := []struct {
		name        string
		setup       func(*rig)
		want        request.Reason
		known       bool // the fingerprint stays a suspect
		quarantined bool
		ran         int
		tried       bool // by another attempt
	}{
		{"whole answer", func(*rig) {}, "", false, false, 1, false},
		{"not sent", answers(engine.ErrNotSent), request.ReasonTargetDown, true, false, 1, false},
		{"cut without a crash", answers(nil, step{err: engine.ErrTruncated}), request.ReasonTargetFailed, true, false, 1, false},
		{"crash", func(r *rig) {
			answers(nil, step{after: time.Second, err: engine.ErrTruncated})(r)
			time.AfterFunc(500*time.Millisecond, func() { r.target.set("start-2", false) })
		}, request.ReasonTargetCrashed, true, true, 1, false},
		{"on trial elsewhere", func(r *rig) { _ = r.registry.BeginTrial(context.Background(), print, "other") }, request.ReasonSuspect, true, false, 0, true},
		{"quarantined elsewhere", func(r *rig) { _ = r.registry.RecordCrash(context.Background(), print, "another crash") }, request.ReasonQuarantined, true, true, 0, false},
		{"registry is unavailable", func(r *rig) { r.registry.setUnavailable(true) }, request.ReasonSuspect, true, false, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil)
				defer r.stop()
				require.NoError(t, r.registry.RecordCrash(context.Background(), print, "crash"))
				tt.setup(r)
				c := r.offer(func(o *wire.Offer) { o.Fingerprint, o.Suspect = []byte("f"), true }).run()
				_, last := c.answer()
				require.Equal(t, tt.want, reasonOf(last))
				require.Equal(t, tt.ran, r.target.ran(c.id))
				r.registry.setUnavailable(false)
				quarantined, known := r.registry.list(t)["f"]
				require.Equal(t, tt.known, known)
				require.Equal(t, tt.quarantined, quarantined)
				if known {
					require.Equal(t, tt.tried, r.registry.onTrial("f"))
				}
			})
		})
	}
}

// TestCrashAccusesAllThatRan tells the fleet of all fingerprints before any
// router learns of the crash.
func TestCrashAccusesAllThatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		answers(nil, step{after: time.Hour, data: "x"})(r)
		var conns []*conn
		for _, print := range []string{"a", "b"} {
			conns = append(conns, r.offer(func(o *wire.Offer) { o.Fingerprint = []byte(print) }).run())
		}
		waiting := r.offer(nil).run()
		queued := r.offer(nil)
		expect[*wire.Queued](queued)
		time.Sleep(time.Minute)
		r.target.mu.Lock()
		r.target.crash()
		r.target.mu.Unlock()
		answers(engine.ErrNotSent)(r)
		for _, c := range conns {
			_, last := c.answer()
			fail, ok := last.(*wire.Fail)
			require.True(t, ok)
			require.True(t, fail.Suspect)
			require.Equal(t, request.OutcomeUnknown, fail.Outcome)
			require.Len(t, r.registry.list(t), 2)
		}
		require.Equal(t, request.ReasonTargetDown, expect[*wire.Refuse](queued).Reason)
		_, last := waiting.answer()
		require.Equal(t, request.ReasonTargetDown, reasonOf(last), "it had no slot: it did not run")
		require.Equal(t, 1, crashesOf(r))
		r.target.set("start-2", false)
		time.Sleep(2 * time.Second)
		require.NoError(t, r.Ready())
	})
}

// TestAccusationIsRepeated keeps a suspect while the platform is out.
func TestAccusationIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		crashOn(r)
		r.registry.setUnavailable(true)
		c := r.offer(func(o *wire.Offer) { o.Fingerprint = poison })
		_, last := c.deliver(poison, false)
		require.True(t, last.(*wire.Fail).Suspect)
		_ = c.s.CloseSend()
		<-c.done
		r.target.set("start-2", false)
		time.Sleep(2 * time.Second)
		again := r.offer(func(o *wire.Offer) { o.Fingerprint = poison }).run()
		_, last = again.answer()
		require.Equal(t, request.ReasonSuspect, reasonOf(last), "no trial without the platform")
		time.Sleep(20 * time.Minute)
		require.True(t, r.suspects.has(poison), "the agent itself remembers it so long")
		r.registry.setUnavailable(false)
		time.Sleep(time.Minute)
		require.Contains(t, r.registry.list(t), string(poison))
		require.Equal(t, 1, r.target.count())
		require.Positive(t, r.counter(r.metrics.retries, "accuse"))
	})
}
