package gate

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/target"
)

// targetsOf returns the targets that got requests.
func (f *fleet) targetsOf(skip int) map[string]int {
	got := make(map[string]int)
	for _, r := range f.arrivals()[skip:] {
		got[r.target]++
	}
	return got
}

func TestTargetThatSaysItLeavesGetsNothingNew(t *testing.T) {
	for name, leaves := range map[string]behaviour{
		"with its answer":     answers(200, "Mark: m\r\nLeaving: 1\r\n", "whole"),
		"with a rejection":    answers(503, "Not-Run: 1\r\nLeaving: 1\r\n", ""),
		"with a failure":      answers(500, "Leaving: 1\r\n", "sorry"),
		"with a caller's 404": answers(404, "Leaving: 1\r\n", "none"),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, routeOf(idempotent), leaves, good("whole"))
			for len(f.arrivals()) == 0 || f.targetsOf(0)["t0"] == 0 {
				f.ask("/p/", "b")
			}
			before := len(f.arrivals())
			for range 20 {
				require.Equal(t, 200, f.ask("/p/", "b").status)
			}
			require.Equal(t, map[string]int{"t1": 20}, f.targetsOf(before))

			// The store may say otherwise for a while.
			all := f.listed()
			f.dir.Replace(all, time.Second, false)
			f.dir.Replace(all[1:], 2*time.Second, false)
			f.dir.Replace(all, 3*time.Second, true)
			before = len(f.arrivals())
			for range 5 {
				require.Equal(t, 200, f.ask("/p/", "b").status)
			}
			require.Zero(t, f.targetsOf(before)["t0"])

			// A restarted target is a new one.
			all[0].Born++
			f.dir.Replace(all, 4*time.Second, false)
			require.Len(t, f.dir.Current().Of("letters"), 2)
		})
	}
}

// listed returns the targets as the store lists them.
func (f *fleet) listed() []target.Instance {
	var all []target.Instance
	for _, id := range []string{"t0", "t1"} {
		all = append(all, target.Instance{ID: id, Addr: f.dir.Current().Addr(id), Service: "letters", Domain: "d", Slots: 8})
	}
	return all
}

func TestAnswerOfAnotherTargetSaysNothingOfTheOneMeant(t *testing.T) {
	f := newFleet(t, routeOf(once), answers(421, "Leaving: 1\r\n", ""), answers(421, "Leaving: 1\r\n", ""))
	f.ask("/p/", "b")
	require.Len(t, f.dir.Current().Of("letters"), 2)
}

func TestPausingTargetIsLeftAlone(t *testing.T) {
	paused := answers(503, "Not-Run: 1\r\nPause: 0.3\r\n", "")
	f := newFleet(t, routeOf(once), firstThen(paused, good("whole")), good("whole"))
	for f.targetsOf(0)["t0"] == 0 {
		require.Equal(t, 200, f.ask("/p/", "b").status, "another target has room")
	}
	since, before := time.Now(), len(f.arrivals())
	for time.Since(since) < 200*time.Millisecond {
		require.Equal(t, 200, f.ask("/p/", "b").status)
	}
	require.Zero(t, f.targetsOf(before)["t0"])
	require.Eventually(t, func() bool {
		f.ask("/p/", "b")
		return f.targetsOf(before)["t0"] > 0
	}, 5*time.Second, 10*time.Millisecond, "it is used again")
}

func TestCallersAreToldWhenThePauseOfAllTargetsEnds(t *testing.T) {
	paused := answers(503, "Not-Run: 1\r\nPause: 2.5\r\n", "")
	f := newFleet(t, routeOf(once), paused, paused)
	f.ask("/p/", "b")
	before := len(f.arrivals())
	got := f.ask("/p/", "b")
	require.Equal(t, 503, got.status)
	require.Len(t, f.arrivals(), before, "nothing is sent")
	after := got.header.Get("Retry-After")
	require.True(t, strings.HasPrefix(after, "2.") || strings.HasPrefix(after, "3."), after)
}
