package agent

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mastichollow/mastichollow/internal/fairness"
	_ "github.com/mastichollow/mastichollow/internal/fixedseed"
	"github.com/mastichollow/mastichollow/internal/limit"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	machineSlots       = 2
	machineBatchSlots  = 1
	machineConcurrency = 2 // of workspace 2
	machineQueueLimit  = 5
)

// machine calls the methods of a scheduler in random order.
type machine struct {
	s             *scheduler
	attempts      []*attempt
	previousPhase map[*attempt]phase
	closed        bool
}

func newMachine() *machine {
	m := &machine{
		s:             newScheduler(fairness.NewLedger(), limit.NewConcurrencyLimiter(""), machineSlots, machineBatchSlots),
		previousPhase: make(map[*attempt]phase),
	}
	m.s.limits.SetLimits(map[workspace.RowID]limit.Limits{2: {Concurrency: machineConcurrency}})
	m.s.isSuspect = func([]byte) bool { return false }
	m.s.onSlotReleased = func(time.Duration) {}
	return m
}

// anyAttempt returns a random attempt in any phase, mostly one that has not
// ended.
func (m *machine) anyAttempt(t *rapid.T) *attempt {
	if len(m.attempts) == 0 {
		t.Skip("no attempts")
	}
	live := slices.DeleteFunc(slices.Clone(m.attempts), func(at *attempt) bool { return at.phase >= phaseDropped })
	if len(live) > 0 && rapid.IntRange(0, 3).Draw(t, "live") > 0 {
		return rapid.SampledFrom(live).Draw(t, "attempt")
	}
	return rapid.SampledFrom(m.attempts).Draw(t, "attempt")
}

func (m *machine) offer(t *rapid.T) {
	o := &wire.Offer{
		Attempt:   request.AttemptID(fmt.Sprint(len(m.attempts))),
		Workspace: workspace.RowID(rapid.IntRange(1, 3).Draw(t, "workspace")),
		Class:     request.Class(rapid.IntRange(0, 1).Draw(t, "class")),
		Suspect:   rapid.IntRange(0, 9).Draw(t, "suspect") == 0,
		Home:      rapid.Bool().Draw(t, "home"),
	}
	at := newAttempt(context.Background(), o, 1, time.Now())
	m.attempts = append(m.attempts, at)
	if rapid.IntRange(0, 4).Draw(t, "duplicate") == 0 {
		m.s.block(at)
		return
	}
	m.enqueue(t, at)
}

func (m *machine) enqueue(t *rapid.T, at *attempt) {
	if at.phase != phaseNew && (at.phase != phaseDropped || at.refusal == nil) {
		return // enqueued before
	}
	_, refusal, err := m.s.enqueue(at, machineQueueLimit)
	refused := refusal != nil || err != nil
	require.Equal(t, refused, at.phase == phaseDropped)
	require.True(t, refused || !m.closed)
}

func (m *machine) finish(t *rapid.T) {
	if at := m.anyAttempt(t); at.phase == phaseRunning {
		m.s.finish(at, rapid.Bool().Draw(t, "completed"))
	}
}

func (m *machine) stage(t *rapid.T) {
	at := m.anyAttempt(t)
	previous := at.phase
	require.Equal(t, previous == phaseGranted, m.s.stage(at, &wire.Run{}, 1))
}

// stageAll delivers the Run of all granted attempts.
func (m *machine) stageAll(t *rapid.T) {
	for _, at := range m.inPhase(phaseGranted) {
		require.True(t, m.s.stage(at, &wire.Run{}, 1))
	}
}

func (m *machine) drop(t *rapid.T) {
	at := m.anyAttempt(t)
	previous := at.phase
	require.Equal(t, m.s.drop(at), at.phase == phaseDropped)
	if previous == phaseStaged {
		require.Equal(t, previous, at.phase, "an attempt with a Run outlives its stream")
	}
}

func (m *machine) unstage(t *rapid.T) {
	at := m.anyAttempt(t)
	require.Equal(t, m.s.unstage(at), at.phase == phaseDropped)
}

func (m *machine) withdraw(t *rapid.T) {
	at := m.anyAttempt(t)
	require.Equal(t, m.s.withdraw(at), at.phase == phaseDropped)
	if at.phase == phaseRunning && !at.forwarded {
		require.False(t, m.s.markForwarded(at), "a withdrawn attempt must not be forwarded")
	}
}

func (m *machine) markForwarded(t *rapid.T) {
	at := m.anyAttempt(t)
	require.Equal(t, at.phase == phaseRunning && !at.withdrawn, m.s.markForwarded(at))
}

func (m *machine) refuseWaiting(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "handBack") == 0 {
		m.s.refuseWaiting(&wire.Refuse{Reason: request.ReasonTargetDown})
	}
}

func (m *machine) close(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "close") == 0 {
		m.s.close(&wire.Refuse{Reason: request.ReasonDraining})
		m.closed = true
	}
}

func (m *machine) inPhase(p phase) []*attempt {
	return slices.DeleteFunc(slices.Clone(m.attempts), func(at *attempt) bool { return at.phase != p })
}

// check checks the invariants that hold after each call.
func (m *machine) check(t *rapid.T) {
	granted, staged, running := m.inPhase(phaseGranted), m.inPhase(phaseStaged), m.inPhase(phaseRunning)
	occupying := slices.Concat(granted, staged, running)
	require.LessOrEqual(t, len(running), machineSlots)
	batch := countBatch(occupying)
	require.LessOrEqual(t, batch, machineBatchSlots+extraGrants)
	require.LessOrEqual(t, len(occupying)-batch+min(batch, machineBatchSlots), machineSlots+extraGrants)
	require.Equal(t, len(occupying), m.s.occupied())
	require.LessOrEqual(t, countBatch(running), machineBatchSlots)
	require.Equal(t, countBatch(occupying), m.s.batchOccupied)
	require.Equal(t, countBatch(running), m.s.batchRunning)
	perWorkspace := map[workspace.RowID]int{}
	exclusive := false
	for _, at := range occupying {
		perWorkspace[at.offer.Workspace]++
		exclusive = exclusive || at.runsAlone
	}
	for _, total := range m.s.ledger.LocalTotals() {
		require.EqualValues(t, perWorkspace[total.Workspace], total.Running)
	}
	require.LessOrEqual(t, perWorkspace[2], machineConcurrency)
	require.False(t, exclusive && len(occupying) > 1, "a suspect must run alone")
	homes := map[workspace.RowID]int{}
	for _, at := range m.inPhase(phaseQueued) {
		if at.offer.Home {
			homes[at.offer.Workspace]++
		}
	}
	require.Equal(t, len(m.inPhase(phaseQueued))-countBatch(m.inPhase(phaseQueued)), m.s.waitingInteractive)
	for ws, n := range m.s.homeWaiting {
		require.Equal(t, homes[ws], n)
	}
	m.checkNoIdleSlot(t, staged, running)
	m.checkPhases(t)
}

// checkNoIdleSlot checks that no slot or grant is unused while an attempt could
// use it.
func (m *machine) checkNoIdleSlot(t *rapid.T, staged, running []*attempt) {
	for _, at := range staged {
		free := len(running) < machineSlots
		if at.offer.Class == request.ClassBatch {
			free = free && countBatch(running) < machineBatchSlots
		}
		require.False(t, free, "a staged attempt waits although a slot is free")
	}
	if m.closed {
		require.Empty(t, m.inPhase(phaseQueued))
		require.Empty(t, staged)
		return
	}
	if m.s.exclusive != nil {
		return
	}
	for _, at := range m.inPhase(phaseQueued) {
		require.False(t, m.s.eligible(at.entry), "an offer waits although it could be granted")
	}
}

// checkPhases checks that phases only move forward and that final phases are
// never left.
func (m *machine) checkPhases(t *rapid.T) {
	for _, at := range m.attempts {
		previous := m.previousPhase[at]
		require.GreaterOrEqual(t, at.phase, previous)
		if previous == phaseDropped {
			require.Equal(t, phaseDropped, at.phase)
		}
		m.previousPhase[at] = at.phase
		require.False(t, at.forwarded && at.phase == phaseDropped, "a forwarded attempt must not be dropped")
	}
}

func countBatch(attempts []*attempt) int {
	n := 0
	for _, at := range attempts {
		if at.offer.Class == request.ClassBatch {
			n++
		}
	}
	return n
}

func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"offer":    m.offer,
			"offers":   func(t *rapid.T) { m.offer(t); m.offer(t); m.offer(t) },
			"stageAll": m.stageAll,
			"promote":  func(t *rapid.T) { m.enqueue(t, m.anyAttempt(t)) },
			"stage":    m.stage,
			"finish":   m.finish,
			"drop":     m.drop,
			"unstage":  m.unstage,
			"withdraw": m.withdraw,
			"handOver": m.markForwarded,
			"handBack": m.refuseWaiting,
			"close":    m.close,
		})
	})
}
