package e2e

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/caller"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/process/processtest"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/standin/standintest"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const longLetter = 400 // tokens

// me is the caller of the workspace under test.
var me = caller.Caller{Key: apiKey, Timeout: processtest.WaitTimeout}

func TestMain(m *testing.M) {
	os.Exit(processtest.Main(m, "../../cmd/mastichollow-router", "../../cmd/mastichollow-agent"))
}

// requireWhole checks that the caller got the whole answer to its own request.
func requireWhole(t *testing.T, l *caller.Letter) {
	t.Helper()
	r := <-l.Reply
	require.True(t, r.Whole, "%s", r)
	require.Equal(t, l.Want, r.Text)
}

func runsOf(name string, services ...*standin.Service) int {
	n := 0
	for _, s := range services {
		n += s.Count(name)
	}
	return n
}

// begun sends a long letter and waits until its answer has begun.
func (f *fleet) begun(router, prompt string) *caller.Letter {
	l := me.Write(f.t.Context(), router, prompt, longLetter)
	<-l.First
	return l
}

func TestRequestsOfEachKindPassThroughSeparateProcesses(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{})
	d := f.domains[0]
	requireWhole(t, me.Write(t.Context(), d.routerURL, "whole path", 20))
	placed := me.Order(t.Context(), d.routerURL, "k", "o")
	require.Equal(t, http.StatusCreated, placed.Status, placed)
	status := me.Send(t.Context(), http.MethodGet, d.routerURL+"/services/"+caller.Shop+"/orders/o", "", "")
	require.Equal(t, http.StatusOK, status.Status, status)
}

func TestStoppedAgentCutsNoRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{domains: 2})
	agent := f.domains[0].letters
	var running []*caller.Letter
	for i := range 4 {
		running = append(running, me.Write(t.Context(), f.domains[0].routerURL, fmt.Sprint("stop ", i), longLetter))
	}
	for _, l := range running {
		<-l.First
	}
	agent.Stop()
	agent.Stop() // further signals during the first stop cut nothing either
	agent.Signal(syscall.SIGINT)
	requireWhole(t, me.Write(t.Context(), f.domains[0].routerURL, "after the stop", 5))
	for _, l := range running {
		requireWhole(t, l)
	}
	agent.WaitExited()
}

func TestStoppedRouterCutsNoRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{})
	d := f.domains[0]
	l := f.begun(d.routerURL, "long")
	f.platform.SetFaults(standin.Faults{Down: true}) // the store may be down meanwhile
	d.router.Stop()
	processtest.Eventually(t, "router says that it is not ready", func() bool { return processtest.ReadyStatus(d.routerAdmin) != http.StatusOK })
	d.router.Stop()
	requireWhole(t, l)
	d.router.WaitExited()
}

func TestKilledAgentShowsNoShortAnswer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{domains: 2})
	l := f.begun(f.domains[0].routerURL, "killed")
	for _, d := range f.domains {
		if len(d.engine.Executions()) > 0 {
			d.letters.Kill()
		}
	}
	r := <-l.Reply
	require.False(t, r.Whole, r)
	require.NotEqual(t, l.Want, r.Text)
	requireWhole(t, me.Write(t.Context(), f.domains[0].routerURL, "after the kill", 5))
}

func TestKilledRouterShowsNoShortAnswer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{})
	l := f.begun(f.domains[0].routerURL, "killed")
	f.domains[0].router.Kill()
	r := <-l.Reply
	require.False(t, r.Whole, r)
}

func TestOrderResentThroughManyRoutersAtOnceRunsOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{domains: 3})
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() { me.Order(t.Context(), f.domains[i%3].routerURL, "same-key", "many") })
	}
	wg.Wait()
	require.Equal(t, 1, runsOf("many", f.domains[0].service, f.domains[1].service, f.domains[2].service))
	last := me.Order(t.Context(), f.domains[1].routerURL, "same-key", "many")
	require.Equal(t, http.StatusCreated, last.Status, last)
}

// orderAtTarget sends an order and returns the domain whose target runs it, and
// its reply to come.
func (f *fleet) orderAtTarget(name string) (*domain, <-chan caller.Reply) {
	f.t.Helper()
	first := make(chan caller.Reply, 1)
	go func() { first <- me.Order(f.t.Context(), f.domains[0].routerURL, name, name) }()
	var holder *domain
	processtest.Eventually(f.t, "order is at a target", func() bool {
		for _, d := range f.domains {
			if len(d.service.Executions()) > 0 {
				holder = d
			}
		}
		return holder != nil
	})
	return holder, first
}

// TestFrozenAgentNeverRunsAnOrderTwice freezes the agent while its order is at
// the target, has the caller resend it elsewhere, and wakes the agent.
func TestFrozenAgentNeverRunsAnOrderTwice(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{domains: 2, service: standin.ServiceConfig{Slots: 4, Time: 500 * time.Millisecond}})
	holder, first := f.orderAtTarget("frozen")
	holder.shop.Suspend()
	var resent []caller.Reply
	for i := range 3 {
		resent = append(resent, me.Order(t.Context(), f.domains[i%2].routerURL, "frozen", "frozen"))
	}
	holder.shop.Resume()
	for _, r := range append(resent, <-first) {
		require.False(t, r.Problem().NotRun, "told that an order did not run which did: %s", r)
	}
	require.Equal(t, 1, runsOf("frozen", f.domains[0].service, f.domains[1].service))
}

func TestKilledOrderIsNeverRunAgain(t *testing.T) {
	kills := map[string]func(*domain){
		"agent":  func(d *domain) { d.shop.Kill() },
		"target": func(d *domain) { d.service.SetFaults(standin.Faults{Crash: true, RestartMS: 100}) },
	}
	for name, kill := range kills {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, options{domains: 2, service: standin.ServiceConfig{Slots: 4, Time: 300 * time.Millisecond}})
			holder, first := f.orderAtTarget("killed")
			kill(holder)
			require.False(t, (<-first).Problem().NotRun)
			again := me.Order(t.Context(), f.domains[1].routerURL, "killed", "killed")
			require.False(t, again.Problem().NotRun, "%s", again)
			require.Equal(t, 1, len(f.domains[0].service.Executions())+len(f.domains[1].service.Executions()))
		})
	}
}

// TestStoppedAgentKeepsTheAnswerOfItsOrder stops the agent while its order is at
// the target: the answer is stored before the agent ends, and replayed.
func TestStoppedAgentKeepsTheAnswerOfItsOrder(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{domains: 2, service: standin.ServiceConfig{Slots: 4, Time: 300 * time.Millisecond}})
	holder, first := f.orderAtTarget("stopped")
	holder.shop.Stop()
	placed := <-first
	require.Equal(t, http.StatusCreated, placed.Status, placed)
	holder.shop.WaitExited()
	again := me.Order(t.Context(), f.domains[0].routerURL, "stopped", "stopped")
	require.Equal(t, http.StatusCreated, again.Status, again)
	require.Equal(t, 1, runsOf("stopped", f.domains[0].service, f.domains[1].service))
}

// TestStoreOutage checks that work that needs no claim goes on while the store
// is down, and that an order is refused at once and truthfully.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{})
	d := f.domains[0]
	f.platform.SetFaults(standin.Faults{Down: true})
	refused := me.Order(t.Context(), d.routerURL, "down", "down")
	require.Equal(t, http.StatusServiceUnavailable, refused.Status, refused)
	require.Equal(t, caller.Problem{SubmissionNotRun: true}, refused.Problem(),
		"no one knows whether an earlier submission under the key ran: %s", refused)
	require.NotEmpty(t, refused.Header.Get("Retry-After"))
	require.Zero(t, d.service.Count("down"))
	requireWhole(t, me.Write(t.Context(), d.routerURL, "store down", 5))
	f.platform.SetFaults(standin.Faults{})
	processtest.Eventually(t, "orders run again", func() bool {
		return me.Order(t.Context(), d.routerURL, "up", "up").Status == http.StatusCreated
	})
	require.Equal(t, 1, d.service.Count("up"))
	for _, served := range [][2]string{
		{d.routerAdmin, "mastichollow_platform_calls_total{"},
		{d.shopAdmin, "mastichollow_platform_calls_total{"},
		{d.shopAdmin, "mastichollow_platform_batch_transactions_total "},
	} {
		require.Contains(t, me.Send(t.Context(), http.MethodGet, "http://"+served[0]+"/metrics", "", "").Text, served[1])
	}
}

// TestLostClaimAnswer loses the answer of the claim's write, after which the
// order still runs once.
func TestLostClaimAnswer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{})
	d := f.domains[0]
	f.platform.SetFaults(standin.Faults{AnswerLost: 1, KeyPrefix: platform.PrefixClaim})
	placed := me.Order(t.Context(), d.routerURL, "lost", "lost")
	again := me.Order(t.Context(), d.routerURL, "lost", "lost")
	require.Equal(t, http.StatusCreated, again.Status, "%s; %s", placed, again)
	require.Equal(t, 1, d.service.Count("lost"))
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{domains: 2})
	f.platform.SetFaults(standin.Faults{VMFreeze: true}) // the VM list lags for good
	l := f.begun(f.domains[0].routerURL, "running")
	_, err := f.operator.Mark(t.Context(), "letters-d1", workspace.MarkLeaving, false)
	require.NoError(t, err)
	f.waitInForce()
	before := len(f.domains[0].engine.Executions())
	for i := range 10 {
		requireWhole(t, me.Write(t.Context(), f.domains[i%2].routerURL, fmt.Sprint("after the mark ", i), 5))
	}
	require.Len(t, f.domains[0].engine.Executions(), before)
	requireWhole(t, l)
}

func TestRestartedRouterServesAfterEmptyStart(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{})
	d := f.domains[0]
	d.router.Kill()
	f.vms = f.vms[:len(f.vms)-1]
	f.addRouter(d)
	f.platform.VMs.Set(f.vms)
	processtest.WaitReady(t, d.routerAdmin)
	requireWhole(t, me.Write(t.Context(), d.routerURL, "after the restart", 5))
}

// TestCrashingRequestTakesDownTwoTargetsAtMost sends one request that crashes
// each target that runs it through all routers of a region at once and again.
func TestCrashingRequestTakesDownTwoTargetsAtMost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{domains: 3})
	for _, d := range f.domains {
		d.engine.SetFaults(standin.Faults{CrashMarker: "poison", RestartMS: 100})
	}
	for range 3 {
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { <-me.Write(t.Context(), f.domains[0].routerURL, "poison", 50).Reply })
		}
		wg.Wait()
	}
	crashes := 0
	for _, d := range f.domains {
		crashes += len(d.engine.Executions())
	}
	require.GreaterOrEqual(t, crashes, 1)
	require.LessOrEqual(t, crashes, 2)
	requireWhole(t, me.Write(t.Context(), f.domains[0].routerURL, "innocent", 5))
}

// TestSilentConnectionsCutNoLetter lets the connections to an agent go silent
// for good while new ones work.
func TestSilentConnectionsCutNoLetter(t *testing.T) {
	t.Parallel()
	links := map[string]*standin.Forwarder{}
	f := newFleet(t, options{advertise: func(id, addr string) string {
		links[id] = standintest.Forward(t, addr)
		return links[id].Addr()
	}})
	l := f.begun(f.domains[0].routerURL, "silent")
	links["letters-d1"].BlackholeFlows()
	requireWhole(t, l)
}

// TestSilentTargetConnection lets the agent's connection to its target go
// silent: the caller is never shown a short answer as if it were whole, and
// new requests are answered.
func TestSilentTargetConnection(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{args: []string{"--progress", "2s"}})
	d := f.domains[0]
	l := f.begun(d.routerURL, "silent")
	d.engine.SetFaults(standin.Faults{Blackhole: true})
	r := <-l.Reply
	require.False(t, r.Whole, r)
	requireWhole(t, me.Write(t.Context(), d.routerURL, "after the silence", 5))
}
