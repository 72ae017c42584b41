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

const longStreamTokens = 400

// testCaller is the caller of the workspace under test.
var testCaller = caller.Caller{Key: apiKey, Timeout: processtest.WaitTimeout}

func TestMain(m *testing.M) {
	os.Exit(processtest.Main(m, "../../cmd/mastichollow-router", "../../cmd/mastichollow-agent"))
}

// requireComplete checks that the caller received the complete response to its own
// request.
func requireComplete(t *testing.T, stream *caller.RunningStream) {
	t.Helper()
	r := <-stream.Response
	require.True(t, r.Complete, "%s", r)
	require.Equal(t, stream.ExpectedText, r.Text)
}

// countRuns counts the runs of an order over services.
func countRuns(name string, services ...*standin.Service) int {
	n := 0
	for _, s := range services {
		n += s.Count(name)
	}
	return n
}

// startLongStream starts a long stream and waits for its first token.
func (f *fleet) startLongStream(router, prompt string) *caller.RunningStream {
	stream := testCaller.StartStream(f.t.Context(), router, prompt, longStreamTokens)
	<-stream.FirstToken
	return stream
}

func TestEachRequestKindServed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{})
	d := f.domains[0]
	requireComplete(t, testCaller.StartStream(t.Context(), d.routerURL, "whole path", 20))
	placed := testCaller.PlaceOrder(t.Context(), d.routerURL, "k", "o")
	require.Equal(t, http.StatusCreated, placed.Status, placed)
	status := testCaller.Send(t.Context(), http.MethodGet, d.routerURL+"/services/"+caller.ServicePool+"/orders/o", "", "")
	require.Equal(t, http.StatusOK, status.Status, status)
}

func TestStreamsCompleteDuringAgentStop(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{domains: 2})
	agent := f.domains[0].modelAgent
	var streams []*caller.RunningStream
	for i := range 4 {
		streams = append(streams, testCaller.StartStream(t.Context(), f.domains[0].routerURL, fmt.Sprint("stop ", i), longStreamTokens))
	}
	for _, stream := range streams {
		<-stream.FirstToken
	}
	agent.Stop()
	agent.Stop() // further signals during the first stop truncate nothing either
	agent.Signal(syscall.SIGINT)
	requireComplete(t, testCaller.StartStream(t.Context(), f.domains[0].routerURL, "after the stop", 5))
	for _, stream := range streams {
		requireComplete(t, stream)
	}
	agent.WaitExited()
}

func TestStreamCompletesDuringRouterStop(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{})
	d := f.domains[0]
	stream := f.startLongStream(d.routerURL, "long")
	f.platform.SetFaults(standin.Faults{Down: true}) // a drain must not need the store
	d.router.Stop()
	processtest.Eventually(t, "router reports that it is not ready", func() bool { return processtest.ReadyStatus(d.routerAdmin) != http.StatusOK })
	d.router.Stop()
	requireComplete(t, stream)
	d.router.WaitExited()
}

// TestTruncationDetectableAfterAgentKill kills the agent of a running stream. The
// truncated response must not look complete to the caller.
func TestTruncationDetectableAfterAgentKill(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{domains: 2})
	stream := f.startLongStream(f.domains[0].routerURL, "killed")
	for _, d := range f.domains {
		if len(d.engine.Executions()) > 0 {
			d.modelAgent.Kill()
		}
	}
	r := <-stream.Response
	require.False(t, r.Complete, r)
	require.NotEqual(t, stream.ExpectedText, r.Text)
	requireComplete(t, testCaller.StartStream(t.Context(), f.domains[0].routerURL, "after the kill", 5))
}

func TestTruncationDetectableAfterRouterKill(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{})
	stream := f.startLongStream(f.domains[0].routerURL, "killed")
	f.domains[0].router.Kill()
	r := <-stream.Response
	require.False(t, r.Complete, r)
}

func TestConcurrentDuplicateOrdersRunOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{domains: 3})
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() { testCaller.PlaceOrder(t.Context(), f.domains[i%3].routerURL, "same-key", "many") })
	}
	wg.Wait()
	require.Equal(t, 1, countRuns("many", f.domains[0].service, f.domains[1].service, f.domains[2].service))
	last := testCaller.PlaceOrder(t.Context(), f.domains[1].routerURL, "same-key", "many")
	require.Equal(t, http.StatusCreated, last.Status, last)
}

// startOrder sends an order and waits until a target runs it. It returns the domain of
// the target and a channel that receives the response.
func (f *fleet) startOrder(name string) (*domain, <-chan caller.Response) {
	f.t.Helper()
	response := make(chan caller.Response, 1)
	go func() { response <- testCaller.PlaceOrder(f.t.Context(), f.domains[0].routerURL, name, name) }()
	var executing *domain
	processtest.Eventually(f.t, "order runs at a target", func() bool {
		for _, d := range f.domains {
			if len(d.service.Executions()) > 0 {
				executing = d
			}
		}
		return executing != nil
	})
	return executing, response
}

// TestOrderRunsOnceAcrossAgentPause pauses the agent while its order runs at the
// target. The caller resends the order through other routers, then the agent resumes.
func TestOrderRunsOnceAcrossAgentPause(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{domains: 2, service: standin.ServiceConfig{Slots: 4, Time: 500 * time.Millisecond}})
	executing, response := f.startOrder("frozen")
	executing.serviceAgent.Suspend()
	var resent []caller.Response
	for i := range 3 {
		resent = append(resent, testCaller.PlaceOrder(t.Context(), f.domains[i%2].routerURL, "frozen", "frozen"))
	}
	executing.serviceAgent.Resume()
	for _, r := range append(resent, <-response) {
		require.False(t, r.Problem().NotRun, "refusal says not_run for an order that ran: %s", r)
	}
	require.Equal(t, 1, countRuns("frozen", f.domains[0].service, f.domains[1].service))
}

func TestOrderNotRerunAfterKill(t *testing.T) {
	kills := map[string]func(*domain){
		"agent":  func(d *domain) { d.serviceAgent.Kill() },
		"target": func(d *domain) { d.service.SetFaults(standin.Faults{Crash: true, RestartMS: 100}) },
	}
	for name, kill := range kills {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, options{domains: 2, service: standin.ServiceConfig{Slots: 4, Time: 300 * time.Millisecond}})
			executing, response := f.startOrder("killed")
			kill(executing)
			require.False(t, (<-response).Problem().NotRun)
			again := testCaller.PlaceOrder(t.Context(), f.domains[1].routerURL, "killed", "killed")
			require.False(t, again.Problem().NotRun, "%s", again)
			require.Equal(t, 1, len(f.domains[0].service.Executions())+len(f.domains[1].service.Executions()))
		})
	}
}

// TestOrderResponseStoredBeforeAgentStops stops the agent while its order runs at the
// target. The response must be stored before the agent exits, and replayed.
func TestOrderResponseStoredBeforeAgentStops(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{domains: 2, service: standin.ServiceConfig{Slots: 4, Time: 300 * time.Millisecond}})
	executing, response := f.startOrder("stopped")
	executing.serviceAgent.Stop()
	placed := <-response
	require.Equal(t, http.StatusCreated, placed.Status, placed)
	executing.serviceAgent.WaitExited()
	again := testCaller.PlaceOrder(t.Context(), f.domains[0].routerURL, "stopped", "stopped")
	require.Equal(t, http.StatusCreated, again.Status, again)
	require.Equal(t, 1, countRuns("stopped", f.domains[0].service, f.domains[1].service))
}

// TestStoreOutage checks that requests without a claim are served while the store is
// down, and that an order is refused at once, with a refusal that claims nothing about
// earlier submissions.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{})
	d := f.domains[0]
	f.platform.SetFaults(standin.Faults{Down: true})
	refused := testCaller.PlaceOrder(t.Context(), d.routerURL, "down", "down")
	require.Equal(t, http.StatusServiceUnavailable, refused.Status, refused)
	require.Equal(t, caller.Problem{SubmissionNotRun: true}, refused.Problem(),
		"an earlier submission under the key may have run: %s", refused)
	require.NotEmpty(t, refused.Header.Get("Retry-After"))
	require.Zero(t, d.service.Count("down"))
	requireComplete(t, testCaller.StartStream(t.Context(), d.routerURL, "store down", 5))
	f.platform.SetFaults(standin.Faults{})
	processtest.Eventually(t, "orders run again", func() bool {
		return testCaller.PlaceOrder(t.Context(), d.routerURL, "up", "up").Status == http.StatusCreated
	})
	require.Equal(t, 1, d.service.Count("up"))
	for _, metric := range [][2]string{
		{d.routerAdmin, "mastichollow_platform_calls_total{"},
		{d.serviceAgentAdmin, "mastichollow_platform_calls_total{"},
		{d.serviceAgentAdmin, "mastichollow_platform_batch_transactions_total "},
	} {
		require.Contains(t, testCaller.Send(t.Context(), http.MethodGet, "http://"+metric[0]+"/metrics", "", "").Text, metric[1])
	}
}

// TestLostClaimResponse drops the response to the write of the claim. The order must
// still run once.
func TestLostClaimResponse(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{})
	d := f.domains[0]
	f.platform.SetFaults(standin.Faults{ResponseLost: 1, KeyPrefix: platform.PrefixClaim})
	placed := testCaller.PlaceOrder(t.Context(), d.routerURL, "lost", "lost")
	again := testCaller.PlaceOrder(t.Context(), d.routerURL, "lost", "lost")
	require.Equal(t, http.StatusCreated, again.Status, "%s; %s", placed, again)
	require.Equal(t, 1, d.service.Count("lost"))
}

func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{domains: 2})
	f.platform.SetFaults(standin.Faults{VMFreeze: true}) // the VM list is never updated
	stream := f.startLongStream(f.domains[0].routerURL, "running")
	_, err := f.operator.Mark(t.Context(), "letters-d1", workspace.MarkLeaving, false)
	require.NoError(t, err)
	f.waitTableInForce()
	before := len(f.domains[0].engine.Executions())
	for i := range 10 {
		requireComplete(t, testCaller.StartStream(t.Context(), f.domains[i%2].routerURL, fmt.Sprint("after the mark ", i), 5))
	}
	require.Len(t, f.domains[0].engine.Executions(), before)
	requireComplete(t, stream)
}

// TestRouterServesAfterRestart replaces a killed router by a new process, which starts
// without state.
func TestRouterServesAfterRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{})
	d := f.domains[0]
	d.router.Kill()
	f.vms = f.vms[:len(f.vms)-1]
	f.addRouter(d)
	f.platform.VMs.Set(f.vms)
	processtest.WaitReady(t, d.routerAdmin)
	requireComplete(t, testCaller.StartStream(t.Context(), d.routerURL, "after the restart", 5))
}

// TestCrashingRequestCrashesAtMostTwoTargets sends one request that crashes each
// target that runs it, concurrently and repeatedly through one router.
func TestCrashingRequestCrashesAtMostTwoTargets(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{domains: 3})
	for _, d := range f.domains {
		d.engine.SetFaults(standin.Faults{CrashMarker: "poison", RestartMS: 100})
	}
	for range 3 {
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { <-testCaller.StartStream(t.Context(), f.domains[0].routerURL, "poison", 50).Response })
		}
		wg.Wait()
	}
	crashes := 0
	for _, d := range f.domains {
		crashes += len(d.engine.Executions())
	}
	require.GreaterOrEqual(t, crashes, 1)
	require.LessOrEqual(t, crashes, 2)
	requireComplete(t, testCaller.StartStream(t.Context(), f.domains[0].routerURL, "innocent", 5))
}

// TestStreamSurvivesUnresponsiveAgentConnections makes the open connections to an
// agent permanently unresponsive while new ones work.
func TestStreamSurvivesUnresponsiveAgentConnections(t *testing.T) {
	t.Parallel()
	forwarders := map[string]*standin.Forwarder{}
	f := newFleet(t, options{advertisedAddr: func(id, addr string) string {
		forwarders[id] = standintest.Forward(t, addr)
		return forwarders[id].Addr()
	}})
	stream := f.startLongStream(f.domains[0].routerURL, "silent")
	forwarders["letters-d1"].BlackholeFlows()
	requireComplete(t, stream)
}

// TestUnresponsiveTargetConnection makes the connection from the agent to its target
// unresponsive. The caller must be able to detect the truncated response, and new
// requests must be served.
func TestUnresponsiveTargetConnection(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{agentArgs: []string{"--progress", "2s"}})
	d := f.domains[0]
	stream := f.startLongStream(d.routerURL, "silent")
	d.engine.SetFaults(standin.Faults{Blackhole: true})
	r := <-stream.Response
	require.False(t, r.Complete, r)
	requireComplete(t, testCaller.StartStream(t.Context(), d.routerURL, "after the silence", 5))
}
