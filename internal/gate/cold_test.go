package gate

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/upstream"
	"github.com/mastichollow/mastichollow/internal/warmup"
)

// newColdFixture has a cold phase of an hour. The gate owns no cold target.
func newColdFixture(t *testing.T, routes []route.Route, handlers ...targetHandler) *fixture {
	t.Helper()
	f := newFixture(t, routes, handlers...)
	f.gate.controller.SetWarmupPlans(map[string]warmup.Plan{"letters": {Owners: 1, PerSecond: 1}})
	f.gate.controller.SetGates("g", []warmup.Gate{{Node: "other"}})
	listed := append([]target.Instance(nil), f.directory.Current().Available("letters")...)
	for i := range listed {
		listed[i].ColdReported = true
	}
	f.directory = target.NewDirectory(nil)
	f.gate.directory = f.directory
	f.directory.SetColdPhases(map[string]time.Duration{"letters": time.Hour})
	f.directory.Replace(listed, 0, false)
	return f
}

// setCold makes a target report that it is cold.
func (f *fixture) setCold(id string) {
	var listed []target.Instance
	for _, instance := range f.directory.Current().Available("letters") {
		if instance.ID == id {
			instance.ReportedColdUntil = time.Hour
		}
		listed = append(listed, instance)
	}
	f.directory.Replace(listed, f.gate.config.Now(), false)
}

func TestColdTargetNotUsedByOtherGates(t *testing.T) {
	f := newColdFixture(t, testRoutes(once), succeed("whole"), succeed("whole"))
	f.setCold("t0")
	for range 10 {
		require.Equal(t, 200, f.send("/p/", "body", patient...).status)
	}
	f.requireOnlyAt("t1", 10)
	f.setCold("t1")
	got := f.send("/p/", "body", patient...)
	require.Equal(t, 503, got.status)
	require.Contains(t, got.body, "overloaded")
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// A retry or a resumed stream must not reach a target that became cold since the first send.
func TestRetriesRespectColdTargets(t *testing.T) {
	for name, first := range map[string]targetHandler{"retry": closeConn(), "resumed stream": streamEvents(1, 2, false)} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			var once sync.Once
			handler := func(conn net.Conn, r targetRequest) {
				once.Do(func() { f.setCold(map[string]string{"t0": "t1", "t1": "t0"}[r.target]) })
				first(conn, r)
			}
			f = newColdFixture(t, testRoutes(resumable), handler, handler)
			got := f.send("/p/", "body", patient...)
			require.True(t, got.err != nil || got.status == 502, "status %d", got.status)
			require.Len(t, f.receivedRequests(), 1)
		})
	}
}

// useDirectory replaces the directory by one in which the target is warm.
func (f *fixture) useDirectory(addr string) {
	f.directory = target.NewDirectory(nil)
	f.gate.directory = f.directory
	f.directory.SetColdPhases(map[string]time.Duration{"letters": time.Hour})
	f.directory.Replace([]target.Instance{{ID: "t0", Addr: addr, Service: "letters", Domain: "d", Slots: 8, ColdReported: true}}, 0, false)
}

func (f *fixture) coldCount() int { return f.directory.Current().ColdCount(f.gate.config.Now()) }

// A target that refused a connection may have restarted under its ID: it may be cold when it is
// back.
func TestUnreachableTargetColdWhenBack(t *testing.T) {
	f := newColdFixture(t, testRoutes(once))
	f.useDirectory(closedAddr(t))
	require.Zero(t, f.coldCount())
	require.Equal(t, 503, f.send("/p/", "body", patient...).status)
	require.Equal(t, 1, f.coldCount())
}

// Two connections that are lost at a time show that the target crashed.
func TestCrashedTargetColdWhenBack(t *testing.T) {
	f := newColdFixture(t, testRoutes(once))
	hold := make(chan struct{})
	var arrived, ends sync.WaitGroup
	arrived.Add(2)
	f.useDirectory(f.startTarget("t0", func(c net.Conn, _ targetRequest) {
		arrived.Done()
		<-hold
		c.Close()
	}))
	for range 2 {
		ends.Go(func() { f.send("/p/", "body", patient...) })
	}
	arrived.Wait()
	close(hold)
	ends.Wait()
	require.Equal(t, 1, f.coldCount())
}

// The targets of a gate that was suspended since its last list may have restarted meanwhile.
func TestSuspendedGateTreatsTargetsAsCold(t *testing.T) {
	f := newColdFixture(t, testRoutes(once), succeed("whole"))
	f.directory.MarkListed(f.gate.tableCache.now() - time.Minute)
	require.Equal(t, 503, f.send("/p/", "body", patient...).status)
	f.directory.MarkListed(f.gate.tableCache.now())
	require.Equal(t, 200, f.send("/p/", "body", patient...).status)
	f.requireOnlyAt("t0", 1)
}

// Guards against targets that count as cold because connections from a busy gate time out: a
// flooded gate treated up to 49 of 55 targets as cold that were warm.
func TestSingleTimeoutIsNoRestart(t *testing.T) {
	f := newColdFixture(t, testRoutes(once), succeed("whole"))
	timeout := sendOutcome{result: admission.ResultUnreachable, err: errors.Mark(errors.New("i/o timeout"), upstream.ErrUnreachable)}
	f.gate.markNotWarm("t0", timeout)
	f.gate.markNotWarm("t0", timeout)
	require.Zero(t, f.coldCount())
	f.gate.markNotWarm("t0", sendOutcome{result: admission.ResultUnreachable, err: errors.Wrap(syscall.ECONNREFUSED, "connecting")})
	require.Equal(t, 1, f.coldCount())
}

func TestTimeoutsOfLateGateAreNoRestart(t *testing.T) {
	f := newColdFixture(t, testRoutes(once), succeed("whole"))
	f.gate.delay.mean.Store(int64(2 * readyMaxDelay))
	timeout := sendOutcome{result: admission.ResultUnreachable, err: errors.New("i/o timeout")}
	f.gate.silent.recordTimeout("t0", f.gate.config.Now()-time.Minute)
	f.gate.markNotWarm("t0", timeout)
	require.Zero(t, f.coldCount())
	f.gate.delay.mean.Store(0)
	f.gate.markNotWarm("t0", timeout)
	require.Equal(t, 1, f.coldCount(), "a target that was silent for a minute may have restarted")
}

func TestTargetSilentOnlyWithoutResponse(t *testing.T) {
	var s silentTargets
	require.False(t, s.recordTimeout("a", 0))
	require.False(t, s.recordTimeout("a", minSilence-1))
	require.True(t, s.recordTimeout("a", minSilence))
	s.recordResponse("a")
	require.False(t, s.recordTimeout("a", 2*minSilence))
	require.False(t, s.recordTimeout("b", 5*minSilence))
	s.retain(func(id string) bool { return id == "b" })
	require.False(t, s.recordTimeout("a", 9*minSilence), "forgotten with the target")
}
