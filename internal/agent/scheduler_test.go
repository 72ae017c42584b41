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

// machine drives a scheduler by all its calls, in any order.
type machine struct {
	s        *scheduler
	attempts []*attempt
	before   map[*attempt]phase
	closed   bool
}

func newMachine() *machine {
	m := &machine{
		s:      newScheduler(fairness.NewLedger(), limit.NewConcurrencyLimiter(""), machineSlots, machineBatchSlots),
		before: make(map[*attempt]phase),
	}
	m.s.limits.SetLimits(map[workspace.RowID]limit.Limits{2: {Concurrency: machineConcurrency}})
	m.s.isSuspect = func([]byte) bool { return false }
	m.s.onBusy = func(time.Duration) {}
	return m
}

// any draws an attempt, in whatever phase, mostly one that has not ended.
func (m *machine) any(t *rapid.T) *attempt {
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
		m.s.park(at)
		return
	}
	m.admit(t, at)
}

func (m *machine) admit(t *rapid.T, at *attempt) {
	if at.phase != phaseNew && (at.phase != phaseDropped || at.refusal == nil) {
		return // admitted before
	}
	_, refusal, err := m.s.admit(at, machineQueueLimit)
	refused := refusal != nil || err != nil
	require.Equal(t, refused, at.phase == phaseDropped)
	require.True(t, refused || !m.closed)
}

func (m *machine) finish(t *rapid.T) {
	if at := m.any(t); at.phase == phaseRunning {
		m.s.finish(at, rapid.Bool().Draw(t, "whole"))
	}
}

func (m *machine) stage(t *rapid.T) {
	at := m.any(t)
	was := at.phase
	require.Equal(t, was == phaseGranted, m.s.stage(at, &wire.Run{}, 1))
}

// stageAll lets the routers of all granted attempts answer.
func (m *machine) stageAll(t *rapid.T) {
	for _, at := range m.in(phaseGranted) {
		require.True(t, m.s.stage(at, &wire.Run{}, 1))
	}
}

func (m *machine) drop(t *rapid.T) {
	at := m.any(t)
	was := at.phase
	require.Equal(t, m.s.drop(at), at.phase == phaseDropped)
	if was == phaseStaged {
		require.Equal(t, was, at.phase, "an attempt with its Run outlives its stream")
	}
}

func (m *machine) unstage(t *rapid.T) {
	at := m.any(t)
	require.Equal(t, m.s.unstage(at), at.phase == phaseDropped)
}

func (m *machine) withdraw(t *rapid.T) {
	at := m.any(t)
	require.Equal(t, m.s.withdraw(at), at.phase == phaseDropped)
	if at.phase == phaseRunning && !at.handed {
		require.False(t, m.s.handOver(at), "a withdrawn attempt is not handed over")
	}
}

func (m *machine) handOver(t *rapid.T) {
	at := m.any(t)
	require.Equal(t, at.phase == phaseRunning && !at.withdrawn, m.s.handOver(at))
}

func (m *machine) handBack(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "handBack") == 0 {
		m.s.handBack(&wire.Refuse{Reason: request.ReasonTargetDown})
	}
}

func (m *machine) close(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "close") == 0 {
		m.s.close(&wire.Refuse{Reason: request.ReasonDraining})
		m.closed = true
	}
}

func (m *machine) in(p phase) []*attempt {
	return slices.DeleteFunc(slices.Clone(m.attempts), func(at *attempt) bool { return at.phase != p })
}

// check checks what holds after each call.
func (m *machine) check(t *rapid.T) {
	granted, staged, running := m.in(phaseGranted), m.in(phaseStaged), m.in(phaseRunning)
	held := slices.Concat(granted, staged, running)
	require.LessOrEqual(t, len(running), machineSlots)
	batch := countBatch(held)
	require.LessOrEqual(t, batch, machineBatchSlots+spareGrants)
	require.LessOrEqual(t, len(held)-batch+min(batch, machineBatchSlots), machineSlots+spareGrants)
	require.Equal(t, len(held), m.s.occupied())
	require.LessOrEqual(t, countBatch(running), machineBatchSlots)
	require.Equal(t, countBatch(held), m.s.batch)
	require.Equal(t, countBatch(running), m.s.batchRun)
	perWorkspace := map[workspace.RowID]int{}
	alone := false
	for _, at := range held {
		perWorkspace[at.offer.Workspace]++
		alone = alone || at.suspect
	}
	for _, own := range m.s.ledger.LocalTotals() {
		require.EqualValues(t, perWorkspace[own.Workspace], own.Running)
	}
	require.LessOrEqual(t, perWorkspace[2], machineConcurrency)
	require.False(t, alone && len(held) > 1, "a suspect runs beside another request")
	homes := map[workspace.RowID]int{}
	for _, at := range m.in(phaseQueued) {
		if at.offer.Home {
			homes[at.offer.Workspace]++
		}
	}
	require.Equal(t, len(m.in(phaseQueued))-countBatch(m.in(phaseQueued)), m.s.waitingInteractive)
	for ws, n := range m.s.homes {
		require.Equal(t, homes[ws], n)
	}
	m.checkWork(t, staged, running)
	m.checkPhases(t)
}

// checkWork checks that no slot idles while an attempt could have it.
func (m *machine) checkWork(t *rapid.T, staged, running []*attempt) {
	for _, at := range staged {
		free := len(running) < machineSlots
		if at.offer.Class == request.ClassBatch {
			free = free && countBatch(running) < machineBatchSlots
		}
		require.False(t, free, "a staged attempt waits beside a free slot")
	}
	if m.closed {
		require.Empty(t, m.in(phaseQueued))
		require.Empty(t, staged)
		return
	}
	if m.s.alone != nil {
		return
	}
	for _, at := range m.in(phaseQueued) {
		require.False(t, m.s.eligible(at.entry), "an offer waits beside a free grant")
	}
}

// checkPhases checks that phases only move forward and final ones stay.
func (m *machine) checkPhases(t *rapid.T) {
	for _, at := range m.attempts {
		was := m.before[at]
		require.GreaterOrEqual(t, at.phase, was)
		if was == phaseDropped {
			require.Equal(t, phaseDropped, at.phase)
		}
		m.before[at] = at.phase
		require.False(t, at.handed && at.phase == phaseDropped, "an attempt that was handed over counts as not run")
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

func TestSchedulerKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"offer":    m.offer,
			"offers":   func(t *rapid.T) { m.offer(t); m.offer(t); m.offer(t) },
			"stageAll": m.stageAll,
			"promote":  func(t *rapid.T) { m.admit(t, m.any(t)) },
			"stage":    m.stage,
			"finish":   m.finish,
			"drop":     m.drop,
			"unstage":  m.unstage,
			"withdraw": m.withdraw,
			"handOver": m.handOver,
			"handBack": m.handBack,
			"close":    m.close,
		})
	})
}
