package agenda

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEventsRunByTimeThenCreation(t *testing.T) {
	var s Scheduler
	var seen []string
	record := func(name string) func() {
		return func() { seen = append(seen, name+"@"+s.Now().String()) }
	}
	s.After(2*time.Second, record("late"))
	s.After(time.Second, record("first"))
	s.After(time.Second, func() {
		record("second")()
		s.After(-time.Second, record("at once"))
	})
	s.Every(500*time.Millisecond, time.Second, record("tick"))
	s.Run(1500 * time.Millisecond)
	require.Equal(t, []string{"tick@500ms", "first@1s", "second@1s", "at once@1s", "tick@1.5s"}, seen)
	require.Equal(t, 1500*time.Millisecond, s.Now())
}

func TestDrainRunsAllEvents(t *testing.T) {
	var s Scheduler
	ran := 0
	s.After(time.Hour, func() { s.After(time.Hour, func() { ran++ }) })
	s.Drain()
	require.Equal(t, 1, ran)
	require.Equal(t, 2*time.Hour, s.Now())
}
