package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/prompt"
	"github.com/mastichollow/mastichollow/internal/quarantine"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
)

func newEngines(n int) []target.Instance {
	all := make([]target.Instance, n)
	for i := range all {
		id := fmt.Sprintf("e%d", i)
		all[i] = target.Instance{ID: id, Service: "letters", Domain: "d", Slots: 64, Hash: target.HashID(id)}
	}
	return all
}

func newTestController() *Controller {
	return NewController(Config{
		Site:  Site{Region: "r", Domain: "d", Regions: map[string]string{"d": "r", "remote-domain": "s"}},
		Retry: RetryBudget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second},
	})
}

func letterRequest(workspace string, shared uint64, n int) *Request {
	return &Request{
		Workspace: workspace, Service: "letters", Slots: 64, CacheTokens: 400_000,
		Parts:        []prompt.Part{{Hash: shared, Tokens: 5000}, {Hash: uint64(1_000_000 + n), Tokens: 1000}},
		PromptTokens: 6000, OutputTokens: 300, FirstTokenObjective: time.Second, Hash: uint64(n), Fingerprint: quarantine.Fingerprint(n),
	}
}

func TestAdmitSharedPromptSameTarget(t *testing.T) {
	c := newTestController()
	seen := make(map[string]int)
	for n := range 50 {
		d := c.Admit(0, letterRequest("w", 7, n), newEngines(12))
		require.Empty(t, d.Refused)
		seen[d.Target.ID]++
		d.Lease.Began(0)
		d.Lease.End(0, ResultDone, nil)
	}
	require.Len(t, seen, 1)
}

func TestSharedPromptCachedAfterFirstRequest(t *testing.T) {
	c := newTestController()
	first := c.Admit(0, letterRequest("w", 7, 1), newEngines(1))
	require.Equal(t, 6000, first.UncachedTokens)
	second := c.Admit(0, letterRequest("w", 7, 2), newEngines(1))
	require.Equal(t, 1000, second.UncachedTokens)
}

func TestAdmitRespectsBatchLimit(t *testing.T) {
	c := newTestController()
	all := newEngines(3)
	perTarget := make(map[string]int)
	refused := 0
	for n := range 1000 {
		d := c.Admit(0, letterRequest("w", uint64(n), n), all)
		if d.Refused != "" {
			require.Equal(t, request.ReasonOverloaded, d.Refused)
			refused++
			continue
		}
		d.Lease.Began(0)
		perTarget[d.Target.ID]++
	}
	require.Positive(t, refused)
	for id, n := range perTarget {
		require.LessOrEqual(t, n, 40, "%s: 0.62 of 64 slots", id)
	}
}

func TestAdmitCountsPeerLoad(t *testing.T) {
	c := newTestController()
	c.Merge(0, "peer", Report{Loads: map[string]Load{"e0": {InFlight: 64}}})
	require.Equal(t, request.ReasonOverloaded, c.Admit(time.Second, letterRequest("w", 7, 1), newEngines(1)).Refused)
	require.Empty(t, c.Admit(10*time.Second, letterRequest("w", 7, 1), newEngines(1)).Refused, "the report of the peer has expired")
}

func TestLeaseEndReleasesLoad(t *testing.T) {
	c := newTestController()
	for n, result := range []Result{ResultDone, ResultRejected, ResultFailed, ResultLost, ResultMisdirected, ResultWithdrawn} {
		d := c.Admit(time.Duration(n)*time.Hour, letterRequest("w", 7, n), newEngines(1))
		require.Empty(t, d.Refused, result)
		d.Lease.End(0, result, newEngines(1))
		d.Lease.End(0, result, newEngines(1)) // a second End changes nothing
		d.Lease.Began(0)
		require.Empty(t, c.Report(0).Loads, result)
	}
}

func TestUnreachableTargetEjectedTemporarily(t *testing.T) {
	c := newTestController()
	all := newEngines(4)
	d := c.Admit(0, letterRequest("w", 7, 1), all)
	ejected := d.Target.ID
	d.Lease.End(0, ResultUnreachable, all)
	require.NotEqual(t, ejected, c.Admit(minEjection/2, letterRequest("w", 7, 2), all).Target.ID)
	require.Equal(t, ejected, c.Admit(minEjection, letterRequest("w", 7, 3), all).Target.ID)
}

func TestMisdirectedTargetEjected(t *testing.T) {
	c := newTestController()
	all := newEngines(4)
	d := c.Admit(0, letterRequest("w", 7, 1), all)
	misdirected := d.Target.ID
	d.Lease.End(0, ResultMisdirected, all)
	for n := range 30 {
		now := time.Duration(n) * 100 * time.Millisecond // before the platform's list shows the change
		decision := c.Admit(now, letterRequest("w", 7, 2+n), all)
		require.Empty(t, decision.Refused)
		require.NotEqual(t, misdirected, decision.Target.ID)
		decision.Lease.End(now, ResultDone, all)
	}
}

func TestOutlierEjectedUnlessAllTargetsFail(t *testing.T) {
	c := newTestController()
	all := newEngines(4)
	fail := func(instance target.Instance, result Result) bool {
		lease := &Lease{controller: c, target: instance, load: Load{InFlight: 1}}
		return lease.End(0, result, all)
	}
	ejected := false
	for range 30 {
		ejected = fail(all[0], ResultFailed) || ejected
		fail(all[1], ResultDone)
		fail(all[2], ResultDone)
		fail(all[3], ResultDone)
	}
	require.True(t, ejected)

	c = newTestController()
	for range 200 {
		for _, instance := range all {
			require.False(t, fail(instance, ResultFailed))
		}
	}
}

func TestEjectionIgnoredWhenMoreThanHalfEjected(t *testing.T) {
	c := newTestController()
	all := newEngines(4)
	for _, instance := range all {
		(&Lease{controller: c, target: instance, load: Load{InFlight: 1}}).End(0, ResultUnreachable, all)
	}
	require.Empty(t, c.Admit(0, letterRequest("w", 1, 1), all).Refused)
}

func TestPlainServicePrefersNearestFreeTarget(t *testing.T) {
	c := newTestController()
	local := target.Instance{ID: "local", Service: "orders", Domain: "d", Slots: 2}
	remote := target.Instance{ID: "remote", Service: "orders", Domain: "remote-domain", Slots: 2}
	order := func() Decision { return c.Admit(0, &Request{Service: "orders"}, []target.Instance{remote, local}) }
	require.Equal(t, "local", order().Target.ID)
	require.Equal(t, "local", order().Target.ID)
	require.Equal(t, "remote", order().Target.ID, "the local target has no free slot")
	for range 9 {
		require.Empty(t, order().Refused)
	}
	require.Equal(t, request.ReasonOverloaded, order().Refused, "limit is 3 times the slots of both targets")
}

func TestRetryBudgetSharedByGates(t *testing.T) {
	c := newTestController()
	c.SetGateCount(2)
	for n := range 100 {
		c.Admit(0, &Request{Service: "orders", Hash: uint64(n)}, nil)
	}
	retried := 0
	for range 100 {
		if c.AcquireRetry(0, "orders") != nil {
			retried++
		}
	}
	require.LessOrEqual(t, retried, 25, "0.2 of 100 requests and half of the slack of 10")
	require.Greater(t, retried, 10)
	require.Nil(t, c.AcquireRetry(9*time.Second, "orders"), "the retries are still within the window")
}

func TestCrashingRequestQuarantined(t *testing.T) {
	c := newTestController()
	all := newEngines(8)
	crash := func(n int) string {
		d := c.Admit(time.Duration(n)*time.Second, letterRequest("w", 7, 1), all)
		if d.Refused != "" {
			return string(d.Refused)
		}
		concurrent := &Lease{controller: c, target: d.Target, fingerprint: quarantine.Fingerprint(1000 + n), load: Load{InFlight: 1}}
		c.loads.add(d.Target.ID, concurrent.load)
		now := time.Duration(n) * time.Second
		d.Lease.End(now, ResultLost, all)
		concurrent.End(now, ResultLost, all)
		all = removeID(all, d.Target.ID)
		return ""
	}
	require.Empty(t, crash(0))
	require.Empty(t, crash(1))
	require.Empty(t, crash(2))
	require.Equal(t, string(request.ReasonQuarantined), crash(3))
	require.Empty(t, c.Admit(5*time.Second, letterRequest("w", 7, 1000), all).Refused, "a request in flight at a single crash is admitted")

	other := newTestController()
	other.Merge(4*time.Second, "peer", c.Report(4*time.Second))
	require.Equal(t, request.ReasonQuarantined, other.Admit(5*time.Second, letterRequest("w", 7, 1), newEngines(3)).Refused)
	require.Empty(t, c.Admit(time.Hour, letterRequest("w", 7, 1), newEngines(3)).Refused, "the quarantine expires")
}

func removeID(all []target.Instance, id string) []target.Instance {
	var rest []target.Instance
	for _, instance := range all {
		if instance.ID != id {
			rest = append(rest, instance)
		}
	}
	return rest
}

func TestSingleLostResponseNoCrash(t *testing.T) {
	c := newTestController()
	all := newEngines(8)
	for n := 0; len(all) > 0; n++ {
		now := time.Duration(n) * time.Second
		d := c.Admit(now, letterRequest("w", 7, 1), all)
		require.Empty(t, d.Refused, "%d responses were lost, no target crashed", n)
		d.Lease.End(now, ResultLost, all)
		all = removeID(all, d.Target.ID)
	}
}

// A reset of all connections to a target looks like a crash until the target responds.
func TestCrashDisprovedByLaterResponse(t *testing.T) {
	c := newTestController()
	peer := newTestController()
	all := newEngines(8)
	for n := range 6 {
		now := time.Duration(n) * 2 * time.Second
		d := c.Admit(now, letterRequest("w", 7, 1), all)
		require.Empty(t, d.Refused, "connections to %d targets were reset, no target crashed", n)
		lease := func(f quarantine.Fingerprint) *Lease {
			c.loads.add(d.Target.ID, Load{InFlight: 1})
			return &Lease{controller: c, target: d.Target, fingerprint: f, load: Load{InFlight: 1}}
		}
		concurrent, next := lease(1000), lease(1001)
		d.Lease.End(now, ResultLost, all)
		concurrent.End(now, ResultLost, all)
		peer.Merge(now, "c", c.Report(now))
		next.End(now+800*time.Millisecond, ResultDone, all)
		c.Merge(now+900*time.Millisecond, "peer", peer.Report(now+900*time.Millisecond))
		all = removeID(all, d.Target.ID)
	}
}

func TestExceedsFairShareOnlyAboveShare(t *testing.T) {
	c := newTestController()
	c.SetCapacity(10_000)
	require.False(t, c.ExceedsFairShare(0, "flood", 6000, 300), "all demand fits")
	exceeding := 0
	for n := range 400 {
		now := time.Duration(n) * 10 * time.Millisecond
		if c.ExceedsFairShare(now, "flood", 6000, 300) {
			exceeding++
			continue
		}
		if d := c.Admit(now, letterRequest("flood", 7, n), newEngines(4)); d.Lease != nil {
			d.Lease.End(now, ResultDone, nil)
		}
	}
	require.Greater(t, exceeding, 300, "660,000 tokens per second requested, capacity is 10,000")
	require.Less(t, exceeding, 400, "the workspace's share is admitted")
	require.False(t, c.ExceedsFairShare(4*time.Second, "small", 600, 30), "the workspace is below its share")
}

// Idle capacity goes to the workspaces that send most requests. One that sends twenty
// times as many must not get more than twice its share while another is below its own.
func TestBusiestWorkspaceCappedAtMaxShareMultiple(t *testing.T) {
	c := newTestController()
	c.SetCapacity(100_000)
	all := newEngines(4)
	now := time.Duration(0)
	for n := range 2000 {
		now = time.Duration(n) * 5 * time.Millisecond
		workspace := "busy"
		if n%20 == 0 {
			workspace = "small"
		}
		if d := c.Admit(now, letterRequest(workspace, uint64(n%3), n), all); d.Lease != nil {
			d.Lease.End(now, ResultDone, all)
		}
	}
	c.refreshFairShareLevel(now + fairShareLevelInterval)
	require.Positive(t, c.fairShareLevel)
	work := letterRequest("busy", 0, 0).work()
	const maxMultiple = 2 // platform rule: no workspace gets less than half of what another gets
	require.LessOrEqual(t, c.fleetUsage["busy"].Served, maxMultiple*c.fairShareLevel+work)
	require.Greater(t, c.fleetUsage["busy"].Served, c.fairShareLevel, "idle capacity is used up to the cap")
}
