package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/quarantine"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
)

const poison quarantine.Fingerprint = 7

// crashAlone plays a crash of a target at which the gate had only the request poison.
func crashAlone(c *Controller, now time.Duration, instance *target.Instance) {
	c.mu.Lock()
	c.quarantine.RecordLoss(now, instance, quarantine.InFlight{Run: quarantine.RunOf(instance), Fingerprint: poison})
	c.mu.Unlock()
}

func isQuarantined(c *Controller, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Quarantined(now, poison, nil)
}

// A target that starts again under its ID crashes again: each run counts.
func TestCrashesOfTargetThatKeepsItsIDCounted(t *testing.T) {
	c := newTestController()
	for n := range quarantine.CrashLimit {
		now := time.Duration(n) * 4 * time.Second
		require.False(t, isQuarantined(c, now), n)
		instance := &target.Instance{ID: "i-1", StartedMillis: int64(1000 * (n + 1))}
		crashAlone(c, now, instance)
		c.RecordRefused(now+20*time.Millisecond, instance)
		c.RecordRefused(now+40*time.Millisecond, instance)
	}
	require.True(t, isQuarantined(c, 12*time.Second))
	d := c.Admit(13*time.Second, &Request{Workspace: "w", Service: "s", Fingerprint: poison}, newEngines(3))
	require.Equal(t, request.ReasonQuarantined, d.Refused)
}

// The gate has no other request at the target. The evidence is a peer's, which arrives before
// or after the loss.
func TestPeerEvidenceCountsAgainstLoneRequest(t *testing.T) {
	c := newTestController()
	for n := range quarantine.CrashLimit {
		now := time.Duration(n) * 4 * time.Second
		instance := &target.Instance{ID: "i-1", StartedMillis: int64(n + 1)}
		evidence := Report{Report: quarantine.Report{Crashes: map[quarantine.TargetRun]time.Duration{quarantine.RunOf(instance): 100 * time.Millisecond}}}
		if n%2 == 0 {
			crashAlone(c, now, instance)
			c.Merge(now+200*time.Millisecond, "peer", evidence)
		} else {
			c.Merge(now, "peer", evidence)
			crashAlone(c, now+100*time.Millisecond, instance)
		}
	}
	require.True(t, isQuarantined(c, 12*time.Second))
}

func TestLoneLossWithoutEvidenceIsNoCrash(t *testing.T) {
	c := newTestController()
	for n := range 2 * quarantine.CrashLimit {
		crashAlone(c, time.Duration(n)*time.Second, &target.Instance{ID: "i-1", StartedMillis: int64(n)})
	}
	require.False(t, isQuarantined(c, 6*time.Second))
}

// quarantinePoison plays quarantine.CrashLimit crashes.
func quarantinePoison(t *testing.T, c *Controller) {
	t.Helper()
	for n := range quarantine.CrashLimit {
		instance := &target.Instance{ID: "i-1", StartedMillis: int64(n + 1)}
		crashAlone(c, time.Duration(n)*time.Second, instance)
		c.RecordRefused(time.Duration(n)*time.Second, instance)
	}
	require.True(t, isQuarantined(c, quarantine.CrashLimit*time.Second))
}

// Gates are stopped and started in turn, several times: those that start learn the quarantine
// of those that run. It expires all the same.
func TestQuarantineOutlastsRollsOfGates(t *testing.T) {
	gates := []*Controller{newTestController(), newTestController()}
	quarantinePoison(t, gates[0])
	gates[1].Merge(4*time.Second, "gate", gates[0].Report(4*time.Second))
	now := 20 * time.Second
	for restarted := range 6 {
		i := restarted % len(gates)
		gates[i] = newTestController()
		gates[i].Merge(now, "gate", gates[1-i].Report(now))
		require.True(t, isQuarantined(gates[i], now), "restart %d", restarted)
		now += 10 * time.Second
	}
	last := (quarantine.CrashLimit - 1) * time.Second // the last crash
	for ; now <= last+quarantine.SuspectLifetime+time.Second; now += time.Second {
		for i := range gates {
			gates[i].Merge(now, "gate", gates[1-i].Report(now))
		}
	}
	require.False(t, isQuarantined(gates[0], now), "gates must not keep it alive for each other")
	require.False(t, isQuarantined(gates[1], now))
}

// A crash that one gate disproves is cleared at its peers, whose older reports do not bring
// it back.
func TestDisprovedCrashClearedAtPeers(t *testing.T) {
	disproving, peer := newTestController(), newTestController()
	instance := &target.Instance{ID: "i-1", StartedMillis: 1}
	for _, c := range []*Controller{disproving, peer} {
		crashAlone(c, 0, instance)
		c.RecordRefused(0, instance)
	}
	before := peer.Report(time.Second)
	require.Contains(t, before.Suspects, poison)
	disproving.mu.Lock()
	disproving.quarantine.RecordResponse(500*time.Millisecond, instance)
	disproving.mu.Unlock()
	disproving.Merge(time.Second, "peer", before)
	require.Empty(t, disproving.Report(time.Second).Suspects)
	peer.Merge(time.Second, "disproving", disproving.Report(time.Second))
	require.Empty(t, peer.Report(time.Second).Suspects)
	crashAlone(peer, 2*time.Second, instance)
	peer.RecordRefused(2*time.Second, instance)
	disproving.Merge(2*time.Second, "peer", peer.Report(2*time.Second))
	require.Contains(t, disproving.Report(2*time.Second).Suspects, poison, "a later crash of the run counts")
}

// TestReasonsToSuspectReported guards against crashes whose part cannot be found from logs and
// metrics: how far responses had got, what cleared a part and why a suspect was admitted.
func TestReasonsToSuspectReported(t *testing.T) {
	lab := newCrashLab(1)
	gate := lab.gates[0]
	crash := func(respond func(*Lease)) {
		d := lab.admit(0, "w0", companion, crashing)
		respond(d.Lease)
		d.Lease.End(lab.now, ResultLost, lab.engines)
		gate.RecordRefused(lab.now, &d.Target)
		gate.RecordRefused(lab.now, &d.Target) // the same crash
		lab.engines = removeID(lab.engines, d.Target.ID)
		lab.start()
	}
	crash(func(*Lease) {})
	crash(func(l *Lease) { l.Responded(lab.now) })
	crash(func(l *Lease) {
		l.Responded(lab.now)
		lab.now += 2 * quarantine.CrashDelay
	})
	require.Equal(t, map[quarantine.CrashPhase]int{quarantine.PhaseWaiting: 1, quarantine.PhaseBegun: 1, quarantine.PhaseLasting: 1}, gate.TakeLossesInCrashes())
	require.Zero(t, gate.TakeLossesInCrashes()[quarantine.PhaseBegun], "taken")
	require.Equal(t, 1, gate.TakePresumedCrashes()[2].Phases[quarantine.PhaseLasting])
	require.Empty(t, gate.TakePartClearings())
	require.True(t, lab.complete(0, "w0", companion))
	clearings := gate.TakePartClearings()
	require.Len(t, clearings, 1)
	require.Equal(t, companion, clearings[0].Part)
	require.Equal(t, quarantine.ClearedByCompletion, clearings[0].Cause)
	for range quarantine.PartCrashLimit {
		crash(func(l *Lease) { l.Responded(lab.now) })
	}
	lab.now += quarantine.PartSettleTime
	lab.admit(0, "w1", companion, crashing)
	require.Equal(t, 1, gate.TakeAdmittedSuspects()[quarantine.AdmittedOtherWorkspace])
}

// endUnframed has a response without length or chunks end with its connection, after an event.
func (l *crashLab) endUnframed(gate int, parts ...uint64) (Decision, bool) {
	d := l.admit(gate, "w0", parts...)
	if d.Lease == nil {
		return d, false
	}
	d.Lease.Responded(l.clock(gate))
	d.Lease.MarkUnframed()
	d.Lease.Began(l.clock(gate))
	d.Lease.End(l.clock(gate), ResultDone, l.engines)
	return d, true
}

// TestEndOfTargetIsNoEndOfResponse guards against parts that are cleared by the crashes that they
// cause, as the end of a target ends unframed responses in order. The evidence is the gate's own or
// a peer's, before or after the end of the response.
func TestEndOfTargetIsNoEndOfResponse(t *testing.T) {
	lab := newCrashLab(2)
	for i := range quarantine.PartCrashLimit {
		gate := i % 2
		d, admitted := lab.endUnframed(gate, companion, crashing)
		require.True(t, admitted, "crash %d", i)
		lab.now += 20 * time.Millisecond
		lab.gates[(gate+i/2)%2].RecordRefused(lab.clock(gate), &d.Target)
		lab.engines = removeID(lab.engines, d.Target.ID)
		lab.start()
		lab.exchange(300 * time.Millisecond)
		require.True(t, lab.complete(gate, "w0", companion))
	}
	lab.settle()
	for gate := range 2 {
		_, admitted := lab.endUnframed(gate, companion, crashing)
		require.False(t, admitted, "gate %d", gate)
	}
}

func TestUnframedResponseOfLiveTargetClearsPart(t *testing.T) {
	lab := newCrashLab(2)
	for range 3 {
		for i := range quarantine.PartCrashLimit - 1 {
			require.True(t, lab.crash(i%2, workspaceOf(i), companion))
		}
		_, admitted := lab.endUnframed(0, companion)
		require.True(t, admitted)
		lab.now += 2 * quarantine.PeerEvidenceWindow
		lab.settle()
	}
	require.True(t, lab.complete(1, "w0", companion))
}
