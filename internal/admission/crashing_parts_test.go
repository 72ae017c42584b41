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

const (
	crashing  = uint64(0xbad)  // a part that crashes engines
	companion = uint64(0xc0de) // a part that sound requests share with it
)

// crashLab is a fleet of gates with engines that requests crash.
type crashLab struct {
	gates   []*Controller
	starts  []time.Duration // of the gates, from which their clocks run
	now     time.Duration
	started int // engines
	engines []target.Instance
	sent    int
}

func newCrashLab(gates int) *crashLab {
	lab := &crashLab{}
	for range gates {
		lab.gates, lab.starts = append(lab.gates, newTestController()), append(lab.starts, 0)
	}
	for range 6 {
		lab.start()
	}
	return lab
}

// restart replaces a gate by one that knows nothing.
func (l *crashLab) restart(gate int) {
	l.gates[gate], l.starts[gate] = newTestController(), l.now
}

// clock returns the time at a gate.
func (l *crashLab) clock(gate int) time.Duration { return l.now - l.starts[gate] }

// start starts an engine under a new ID.
func (l *crashLab) start() {
	l.started++
	id := fmt.Sprintf("e%d", l.started)
	l.engines = append(l.engines, target.Instance{ID: id, Service: "letters", Domain: "d", Slots: 64, Hash: target.HashID(id)})
}

func (l *crashLab) admit(gate int, workspace string, parts ...uint64) Decision {
	l.sent++
	r := letterRequest(workspace, 0, l.sent)
	r.Parts = nil
	for _, hash := range append(parts, uint64(1_000_000+l.sent)) {
		r.Parts = append(r.Parts, prompt.Part{Hash: hash, Tokens: 10})
	}
	return l.gates[gate].Admit(l.clock(gate), r, l.engines)
}

// crash sends a request that crashes its engine and is lost alone, and reports whether
// it was admitted. The engine refuses the next connection of another gate.
func (l *crashLab) crash(gate int, workspace string, parts ...uint64) bool {
	d := l.admit(gate, workspace, parts...)
	if d.Lease == nil {
		return false
	}
	l.loseAlone(gate, d)
	return true
}

// loseAlone crashes the engine of a request whose response has begun.
func (l *crashLab) loseAlone(gate int, d Decision) {
	d.Lease.Responded(l.clock(gate))
	l.now += 100 * time.Millisecond
	d.Lease.End(l.clock(gate), ResultLost, l.engines)
	other := (gate + 1) % len(l.gates)
	l.gates[other].quarantine.RecordUnreachable(l.clock(other)+50*time.Millisecond, &d.Target)
	l.engines = removeID(l.engines, d.Target.ID)
	l.start()
	l.exchange(300 * time.Millisecond)
}

// complete sends a request that completes, and reports whether it was admitted.
func (l *crashLab) complete(gate int, workspace string, parts ...uint64) bool {
	d := l.admit(gate, workspace, parts...)
	if d.Lease == nil {
		return false
	}
	d.Lease.Began(l.clock(gate))
	d.Lease.End(l.clock(gate)+50*time.Millisecond, ResultDone, l.engines)
	return true
}

// exchange delivers a report of each gate to all others after the delay.
func (l *crashLab) exchange(delay time.Duration) {
	reports := make([]Report, len(l.gates))
	for i, gate := range l.gates {
		reports[i] = gate.Report(l.clock(i))
	}
	l.now += delay
	for i, gate := range l.gates {
		for j, report := range reports {
			if i != j {
				gate.Merge(l.clock(i), fmt.Sprint("gate", j), report)
			}
		}
	}
}

// settle lets crashes take effect at all gates.
func (l *crashLab) settle() {
	for range 3 {
		l.exchange(400 * time.Millisecond)
	}
}

func workspaceOf(i int) string { return fmt.Sprint("w", i) }

// crashToLimit has the part crash as many engines as it takes to block it, by requests of
// different workspaces at different gates.
func (l *crashLab) crashToLimit() {
	for i := range quarantine.PartCrashLimit {
		l.crash(i%len(l.gates), workspaceOf(i), crashing)
	}
}

func TestCrashingPartBlockedAtAllGates(t *testing.T) {
	lab := newCrashLab(5)
	for i := range quarantine.PartCrashLimit {
		require.True(t, lab.crash(i%5, workspaceOf(i), uint64(100+i), crashing))
	}
	lab.settle()
	for gate := range 5 {
		d := lab.admit(gate, "w9", 200, crashing)
		require.Equal(t, request.ReasonQuarantined, d.Refused, "gate %d", gate)
		require.Positive(t, d.RetryAfter)
		require.True(t, lab.complete(gate, "w9", 200), "gate %d: a request without the part", gate)
	}
}

// crashBesideSound has a request with the parts crash an engine at which the response to a sound
// request has just begun, and reports whether it was admitted. respond is called with its lease.
func (l *crashLab) crashBesideSound(gate int, sound uint64, respond func(*Lease), parts ...uint64) bool {
	all := l.engines
	l.engines = all[len(all)-1:] // both go to the same engine
	crashing, beside := l.admit(gate, "w0", parts...), l.admit(gate, "w0", sound)
	l.engines = all
	if crashing.Lease == nil {
		return false
	}
	respond(crashing.Lease)
	if beside.Lease != nil {
		beside.Lease.Responded(l.clock(gate))
	}
	l.now += 20 * time.Millisecond
	for _, d := range []Decision{crashing, beside} {
		if d.Lease != nil {
			d.Lease.End(l.clock(gate), ResultLost, all)
		}
	}
	l.engines = removeID(all, crashing.Target.ID)
	l.start()
	l.exchange(300 * time.Millisecond)
	return true
}

// TestPartThatCrashesBeforeResponseBlocked guards against crashes that count only against the
// responses that had just begun.
func TestPartThatCrashesBeforeResponseBlocked(t *testing.T) {
	lab := newCrashLab(3)
	for i := range quarantine.PartCrashBound {
		require.True(t, lab.crashBesideSound(i%3, uint64(100+i), func(*Lease) {}, companion, crashing))
		require.True(t, lab.complete(i%3, "w0", companion))
	}
	lab.settle()
	for gate := range 3 {
		require.False(t, lab.crash(gate, "w0", companion, crashing), "gate %d", gate)
		for i := range quarantine.PartCrashBound {
			require.True(t, lab.complete(gate, "w0", companion, uint64(100+i)), "gate %d", gate)
		}
	}
}

// TestSoundPartInFlightAtEachCrashGivesWay covers a sound part that is blocked for crashes shortly
// before which its responses began, until the part that causes them has been in flight at more.
func TestSoundPartInFlightAtEachCrashGivesWay(t *testing.T) {
	lab := newCrashLab(2)
	for i := range quarantine.PartCrashLimit {
		require.True(t, lab.crashBesideSound(i%2, companion, func(*Lease) {}, crashing))
	}
	lab.settle()
	for range quarantine.MinFurtherCrashes {
		require.True(t, lab.crashBesideSound(0, 300, func(*Lease) {}, crashing))
	}
	lab.settle()
	require.False(t, lab.crash(0, "w0", crashing))
	require.True(t, lab.complete(1, "w0", companion))
}

// TestLastPartThatCrashesBlocked covers the last part, which the requests of a session share.
func TestLastPartThatCrashesBlocked(t *testing.T) {
	lab := newCrashLab(3)
	crash := func(gate int) bool {
		r := letterRequest("w0", 0, lab.sent)
		lab.sent++
		r.Parts = []prompt.Part{{Hash: companion, Tokens: 10}, {Hash: crashing, Tokens: 10}}
		d := lab.gates[gate].Admit(lab.clock(gate), r, lab.engines)
		if d.Lease == nil {
			return false
		}
		lab.loseAlone(gate, d)
		return true
	}
	for i := range quarantine.PartCrashLimit {
		require.True(t, crash(i%3), "crash %d", i)
		require.True(t, lab.complete(i%3, "w0", companion))
	}
	lab.settle()
	for gate := range 3 {
		require.False(t, crash(gate), "gate %d", gate)
		require.True(t, lab.complete(gate, "w0", companion), "gate %d", gate)
	}
}

func TestSoundRequestsWithOtherPartsAdmitted(t *testing.T) {
	lab := newCrashLab(3)
	for i := range quarantine.PartCrashLimit + 1 {
		require.True(t, lab.complete(i%3, "w0", companion))
		if lab.crash(i%3, "w0", companion, crashing) {
			lab.settle()
		}
	}
	for gate := range 3 {
		require.False(t, lab.crash(gate, "w0", companion, crashing), "gate %d", gate)
		require.True(t, lab.complete(gate, "w0", companion), "gate %d", gate)
	}
}

// TestPartsNeverSentApartBlockedTogether covers a part of which no sound request came while
// engines crashed.
func TestPartsNeverSentApartBlockedTogether(t *testing.T) {
	lab := newCrashLab(3)
	for i := range quarantine.PartCrashBound {
		lab.crash(i%3, workspaceOf(i), companion, crashing)
	}
	lab.settle()
	require.False(t, lab.crash(0, "w0", companion, crashing))
	require.True(t, lab.complete(1, "w0", companion))
	lab.settle()
	for gate := range 3 {
		require.False(t, lab.crash(gate, "w8", 300, crashing), "the crashing part alone")
		require.True(t, lab.complete(gate, "w0", companion))
	}
}

func TestWorkspaceCannotBlockPartOfAnother(t *testing.T) {
	lab := newCrashLab(3)
	for i := range quarantine.PartCrashBound + 1 {
		lab.crash(i%3, "attacker", companion)
	}
	lab.settle()
	for gate := range 3 {
		require.True(t, lab.complete(gate, "victim", companion), "gate %d", gate)
	}
}

func TestCrashOfSecondWorkspaceBlocksPartForAll(t *testing.T) {
	lab := newCrashLab(3)
	for i := range quarantine.PartCrashBound {
		lab.crash(i%3, "w0", crashing)
	}
	lab.settle()
	require.True(t, lab.crash(0, "w1", crashing), "only one workspace has crashed engines")
	lab.settle()
	require.False(t, lab.crash(1, "w2", crashing))
}

func TestSimultaneousCrashesBlockNoPart(t *testing.T) {
	lab := newCrashLab(3)
	var leases []*Lease
	for i := range 24 {
		leases = append(leases, lab.admit(i%3, workspaceOf(i), companion).Lease)
		leases[i].Responded(lab.now)
	}
	survivor := leases[0].target.ID
	lab.now += 100 * time.Millisecond
	for _, lease := range leases {
		if lease.target.ID != survivor {
			lease.End(lab.now, ResultLost, lab.engines)
		}
	}
	for _, lease := range leases {
		if lease.target.ID == survivor {
			lease.Began(lab.now)
			lease.End(lab.now+100*time.Millisecond, ResultDone, lab.engines)
		}
	}
	lab.settle()
	for gate := range 3 {
		require.True(t, lab.complete(gate, "w0", companion), "gate %d", gate)
	}
}

func TestCrashingRequestBlocksNoPart(t *testing.T) {
	c := newTestController()
	engines := newEngines(8)
	for n := range quarantine.CrashLimit + 2 {
		now := time.Duration(n) * 5 * time.Second
		r := letterRequest(workspaceOf(n), companion, n)
		r.Fingerprint = 77
		d := c.Admit(now, r, engines)
		if d.Lease == nil {
			break
		}
		d.Lease.End(now, ResultLost, engines)
		c.quarantine.RecordUnreachable(now, &d.Target)
		engines = removeID(engines, d.Target.ID)
	}
	now := 40 * time.Second
	r := letterRequest("w0", companion, 99)
	require.Empty(t, c.Admit(now, r, engines).Refused, "the request crashed them all, not its part")
	r.Fingerprint = 77
	require.Equal(t, request.ReasonQuarantined, c.Admit(now, r, engines).Refused)
}

// TestRequestBesideCrashingPartNotQuarantined covers a request that many callers send alike,
// so that it is in flight at each crash.
func TestRequestBesideCrashingPartNotQuarantined(t *testing.T) {
	lab := newCrashLab(1)
	alike := letterRequest("w0", companion, 7)
	alike.Fingerprint = 7
	for i := range quarantine.PartCrashBound {
		lab.engines = lab.engines[len(lab.engines)-1:] // both go to the same engine
		beside := lab.gates[0].Admit(lab.now, alike, lab.engines)
		require.Empty(t, beside.Refused, "crash %d", i)
		d := lab.admit(0, workspaceOf(i), crashing)
		if d.Lease == nil {
			break
		}
		d.Lease.Responded(lab.now)
		d.Lease.End(lab.now, ResultLost, lab.engines)
		beside.Lease.End(lab.now, ResultLost, lab.engines)
		lab.start()
		lab.now += 3 * time.Second
		if i+1 == quarantine.CrashLimit {
			break
		}
	}
	for i := range quarantine.PartCrashBound { // engines on which the other request was not
		lab.crash(0, workspaceOf(10+i), crashing)
	}
	lab.settle()
	require.Empty(t, lab.gates[0].Admit(lab.now, alike, lab.engines).Refused)
}

// crashWhileLasting has a request with the parts crash an engine when its response has lasted, and
// reports whether it was admitted.
func (l *crashLab) crashWhileLasting(gate int, workspace string, parts ...uint64) bool {
	d := l.admit(gate, workspace, parts...)
	if d.Lease == nil {
		return false
	}
	d.Lease.Began(l.clock(gate))
	l.now += 2 * quarantine.CrashDelay
	d.Lease.Began(l.clock(gate))
	d.Lease.End(l.clock(gate), ResultLost, l.engines)
	l.gates[gate].RecordRefused(l.clock(gate), &d.Target)
	l.engines = removeID(l.engines, d.Target.ID)
	l.start()
	return true
}

// TestResponseThatLastsIsNoDirectEvidence guards against a sound part that is blocked since its
// long responses are in flight when engines crash: it takes as many crashes as a part may cause
// at most, and no response with it that completes in between.
func TestResponseThatLastsIsNoDirectEvidence(t *testing.T) {
	lab := newCrashLab(2)
	for round := range 3 {
		for i := range quarantine.PartCrashBound - 1 {
			require.True(t, lab.crashWhileLasting(i%2, workspaceOf(i), companion), "round %d", round)
		}
		lab.settle()
		require.True(t, lab.complete(round%2, "w0", companion), "round %d", round)
		lab.settle()
	}
}

// TestLastingResponseAtAnyGateIsNoDirectEvidence covers a part whose responses have begun shortly
// before crashes at one gate while they last at another.
func TestLastingResponseAtAnyGateIsNoDirectEvidence(t *testing.T) {
	lab := newCrashLab(2)
	lasting := lab.admit(1, "w9", companion)
	lasting.Lease.Began(lab.clock(1))
	for i := range quarantine.PartCrashLimit {
		require.True(t, lab.crash(0, workspaceOf(i), companion))
	}
	lab.now += 2 * quarantine.CrashDelay
	lasting.Lease.Began(lab.clock(1))
	lab.settle()
	require.True(t, lab.crash(0, "w0", companion))
}

// TestPartThatCrashesWhileStreamingBlocked guards against crashes that clear the part that causes
// them, because the response had lasted.
func TestPartThatCrashesWhileStreamingBlocked(t *testing.T) {
	lab := newCrashLab(2)
	for i := range quarantine.PartCrashBound {
		require.True(t, lab.crashWhileLasting(i%2, workspaceOf(i), companion, crashing))
		require.True(t, lab.complete(i%2, "w0", companion))
	}
	lab.settle()
	for gate := range 2 {
		require.False(t, lab.crashWhileLasting(gate, "w0", companion, crashing), "gate %d", gate)
		require.True(t, lab.complete(gate, "w0", companion), "gate %d", gate)
	}
}

func TestGateThatStartsLearnsBlockedParts(t *testing.T) {
	lab := newCrashLab(3)
	lab.crashToLimit()
	lab.now += time.Minute
	lab.restart(2)
	lab.exchange(200 * time.Millisecond)
	lab.settle()
	for gate := range 3 {
		require.False(t, lab.crash(gate, "w7", crashing), "gate %d", gate)
	}
}

// TestBlockedPartSurvivesRestartOfAllGates guards against gates that all lose what they know
// at the same moment.
func TestBlockedPartSurvivesRestartOfAllGates(t *testing.T) {
	lab := newCrashLab(3)
	lab.crashToLimit()
	lab.settle()
	stored := lab.gates[0].DurableEvidence(lab.clock(0))
	require.Len(t, stored.Parts, 1)
	require.Equal(t, []uint64{crashing}, stored.Parts[0].Parts)
	for gate := range 3 {
		lab.restart(gate)
		lab.gates[gate].RestoreEvidence(lab.clock(gate), stored)
	}
	lab.settle()
	for gate := range 3 {
		require.False(t, lab.crash(gate, "w7", crashing), "gate %d", gate)
	}
}

func TestBlockOfPartEndsAndRepeats(t *testing.T) {
	lab := newCrashLab(2)
	lab.crashToLimit()
	lab.settle()
	require.False(t, lab.crash(0, "w0", crashing))
	lab.now += quarantine.PartBlockTime
	require.True(t, lab.crash(0, "w0", crashing), "the block has ended")
	lab.settle()
	require.False(t, lab.crash(0, "w0", crashing), "one more crash blocks it again")
	lab.now += quarantine.PartBlockTime + time.Minute
	require.False(t, lab.crash(0, "w0", crashing), "for twice as long")
	lab.now += quarantine.PartBlockTime
	require.True(t, lab.complete(0, "w0", crashing), "it no longer crashes engines")
	lab.settle()
	for gate := range 2 {
		require.True(t, lab.complete(gate, "w0", crashing))
		require.Zero(t, lab.gates[gate].quarantine.SuspectedParts())
	}
}

// TestPartLostInFewOfManyCrashesAdmitted guards against a sound part of few requests that is blocked
// since many engines crash for other reasons.
func TestPartLostInFewOfManyCrashesAdmitted(t *testing.T) {
	lab := newCrashLab(2)
	for i := range quarantine.PartCrashBound {
		require.True(t, lab.crashWhileLasting(i%2, workspaceOf(i), companion), "crash %d", i)
		for j := range 4 {
			lab.crash(j%2, workspaceOf(j), uint64(1000+10*i+j))
		}
		lab.settle()
	}
	require.True(t, lab.complete(0, "w0", companion))
}

// TestSingleIndirectCrashReportedByItsGatesOnly guards against bytes between regions: after a crash
// most suspects are parts that were in flight once, and all gates would repeat them.
func TestSingleIndirectCrashReportedByItsGatesOnly(t *testing.T) {
	lab := newCrashLab(3)
	require.True(t, lab.crashWhileLasting(0, "w0", companion))
	lab.exchange(0)
	require.Contains(t, lab.gates[0].Report(lab.clock(0)).SuspectParts, companion)
	require.NotContains(t, lab.gates[1].Report(lab.clock(1)).SuspectParts, companion)
	require.True(t, lab.crashWhileLasting(2, "w0", companion))
	lab.exchange(0)
	for gate := range 3 {
		require.Len(t, lab.gates[gate].Report(lab.clock(gate)).SuspectParts[companion], 2, "gate %d", gate)
	}
}

// TestSuspectedPartCountedOnAfterRestartOfAllGates guards against a part that crashes as many engines
// again each time that all gates restart before it is blocked.
func TestSuspectedPartCountedOnAfterRestartOfAllGates(t *testing.T) {
	lab := newCrashLab(3)
	restartAll := func() {
		var stored []quarantine.Evidence
		for gate := range 3 {
			stored = append(stored, lab.gates[gate].DurableEvidence(lab.clock(gate)))
		}
		for gate := range 3 {
			lab.restart(gate)
			for _, evidence := range stored {
				lab.gates[gate].RestoreEvidence(lab.clock(gate), evidence)
			}
		}
	}
	for i := range quarantine.PartCrashLimit {
		require.True(t, lab.crash(i%3, workspaceOf(i), uint64(100+i), crashing), "crash %d", i)
		if i > 0 { // a single crash says little, and is not stored
			lab.settle()
			restartAll()
		}
	}
	lab.settle()
	for gate := range 3 {
		require.False(t, lab.crash(gate, "w9", 200, crashing), "gate %d", gate)
		require.True(t, lab.complete(gate, "w9", 200), "gate %d", gate)
	}
}
