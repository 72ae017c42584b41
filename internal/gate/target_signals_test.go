package gate

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/target"
)

// requestsByTarget counts the requests that each target received, without the first
// skip ones.
func (f *fixture) requestsByTarget(skip int) map[string]int {
	got := make(map[string]int)
	for _, r := range f.receivedRequests()[skip:] {
		got[r.target]++
	}
	return got
}

func TestDrainingTargetGetsNoNewRequests(t *testing.T) {
	for name, draining := range map[string]targetHandler{
		"with a success":   respond(200, "Seal: m\r\nDraining: 1\r\n", "whole"),
		"with a rejection": respond(503, "Not-Run: 1\r\nDraining: 1\r\n", ""),
		"with a failure":   respond(500, "Draining: 1\r\n", "sorry"),
		"with a 404":       respond(404, "Draining: 1\r\n", "none"),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testRoutes(idempotent), draining, succeed("whole"))
			for len(f.receivedRequests()) == 0 || f.requestsByTarget(0)["t0"] == 0 {
				f.send("/p/", "b")
			}
			before := len(f.receivedRequests())
			for range 20 {
				require.Equal(t, 200, f.send("/p/", "b").status)
			}
			require.Equal(t, map[string]int{"t1": 20}, f.requestsByTarget(before))

			// The store may still list the target for a while.
			all := f.listedTargets()
			f.directory.Replace(all, time.Second, false)
			f.directory.Replace(all[1:], 2*time.Second, false)
			f.directory.Replace(all, 3*time.Second, true)
			before = len(f.receivedRequests())
			for range 5 {
				require.Equal(t, 200, f.send("/p/", "b").status)
			}
			require.Zero(t, f.requestsByTarget(before)["t0"])

			// A restarted target counts as a new one.
			all[0].StartedMillis++
			f.directory.Replace(all, 4*time.Second, false)
			require.Len(t, f.directory.Current().Available("letters"), 2)
		})
	}
}

// listedTargets returns the targets as the store lists them.
func (f *fixture) listedTargets() []target.Instance {
	var all []target.Instance
	for _, id := range []string{"t0", "t1"} {
		all = append(all, target.Instance{ID: id, Addr: f.directory.Current().Addr(id), Service: "letters", Domain: "d", Slots: 8})
	}
	return all
}

func TestMisdirectedResponseSignalsIgnored(t *testing.T) {
	f := newFixture(t, testRoutes(once), respond(421, "Draining: 1\r\n", ""), respond(421, "Draining: 1\r\n", ""))
	f.send("/p/", "b")
	require.Len(t, f.directory.Current().Available("letters"), 2)
}

func TestTargetBackoffHonored(t *testing.T) {
	backingOff := respond(503, "Not-Run: 1\r\nBackoff: 0.3\r\n", "")
	f := newFixture(t, testRoutes(once), firstRequestThen(backingOff, succeed("whole")), succeed("whole"))
	for f.requestsByTarget(0)["t0"] == 0 {
		require.Equal(t, 200, f.send("/p/", "b").status, "the other target has capacity")
	}
	since, before := time.Now(), len(f.receivedRequests())
	for time.Since(since) < 200*time.Millisecond {
		require.Equal(t, 200, f.send("/p/", "b").status)
	}
	require.Zero(t, f.requestsByTarget(before)["t0"])
	require.Eventually(t, func() bool {
		f.send("/p/", "b")
		return f.requestsByTarget(before)["t0"] > 0
	}, 5*time.Second, 10*time.Millisecond, "the target is used again after the backoff")
}

func TestRetryAfterWhenAllTargetsBackOff(t *testing.T) {
	backingOff := respond(503, "Not-Run: 1\r\nBackoff: 2.5\r\n", "")
	f := newFixture(t, testRoutes(once), backingOff, backingOff)
	f.send("/p/", "b")
	before := len(f.receivedRequests())
	got := f.send("/p/", "b")
	require.Equal(t, 503, got.status)
	require.Len(t, f.receivedRequests(), before, "nothing is sent")
	retryAfter := got.header.Get("Retry-After")
	require.True(t, strings.HasPrefix(retryAfter, "2.") || strings.HasPrefix(retryAfter, "3."), retryAfter)
}

func TestTargetRequestLimitHonored(t *testing.T) {
	for name, limited := range map[string]targetHandler{
		"with a success":   respond(200, "Seal: m\r\nLimit: 0\r\n", "whole"),
		"with a rejection": respond(503, "Not-Run: 1\r\nLimit: 0\r\n", ""),
		"with a failure":   respond(500, "Limit: 0\r\n", "sorry"),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testRoutes(idempotent), limited, succeed("whole"))
			for f.requestsByTarget(0)["t0"] == 0 {
				f.send("/p/", "b")
			}
			before := len(f.receivedRequests())
			for range 20 {
				require.Equal(t, 200, f.send("/p/", "b").status)
			}
			require.LessOrEqual(t, f.requestsByTarget(before)["t0"], 1, "a limit of 0 leaves an occasional request")
		})
	}
}

// A request that could only go to limited targets is refused at once, with the time after which
// to come back.
func TestLimitedTargetsOnlyRefusedAtOnce(t *testing.T) {
	f := newFixture(t, testRoutes(once), respond(200, "Seal: m\r\nLimit: 0\r\n", "whole"))
	require.Equal(t, 200, f.send("/p/", "b").status)
	refused := f.send("/p/", "b")
	require.Equal(t, 503, refused.status)
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	require.Len(t, f.receivedRequests(), 1)
}

func TestMisdirectedResponseLimitIgnored(t *testing.T) {
	f := newFixture(t, testRoutes(once), respond(421, "Limit: 0\r\n", ""))
	f.send("/p/", "b")
	require.Zero(t, f.controller.LimitedTargets())
}

// Guards against a slow plain target that gets as many requests as the others although it
// states its pace.
func TestSlowPlainTargetGetsFewerRequests(t *testing.T) {
	f := newFixture(t, testRoutes(idempotent), respond(200, "Seal: m\r\nLoad: 4,2,8,400\r\n", "whole"), respond(200, "Seal: m\r\nLoad: 0,0,8,100\r\n", "whole"))
	for range 60 {
		require.Equal(t, 200, f.send("/p/", "b").status)
	}
	got := f.requestsByTarget(20)
	require.Less(t, got["t0"], got["t1"]/2, "%v", got)
}

// A misdirected response comes from another target.
func TestMisdirectedResponseLoadIgnored(t *testing.T) {
	f := newFixture(t, testRoutes(once), respond(421, "Load: 4,2,8,400\r\n", ""))
	f.send("/p/", "b")
	require.Empty(t, f.controller.Speeds(0))
}
