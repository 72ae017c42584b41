package agenda

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEventsRunInOrderOfTimeAndThenOfMaking(t *testing.T) {
	var a Agenda
	var seen []string
	note := func(name string) func() {
		return func() { seen = append(seen, name+"@"+a.Now().String()) }
	}
	a.After(2*time.Second, note("late"))
	a.After(time.Second, note("first"))
	a.After(time.Second, func() {
		note("second")()
		a.After(-time.Second, note("at once"))
	})
	a.Every(500*time.Millisecond, time.Second, note("tick"))
	a.Run(1500 * time.Millisecond)
	require.Equal(t, []string{"tick@500ms", "first@1s", "second@1s", "at once@1s", "tick@1.5s"}, seen)
	require.Equal(t, 1500*time.Millisecond, a.Now())
}

func TestDrainRunsAllThatIsLeft(t *testing.T) {
	var a Agenda
	ran := 0
	a.After(time.Hour, func() { a.After(time.Hour, func() { ran++ }) })
	a.Drain()
	require.Equal(t, 1, ran)
	require.Equal(t, 2*time.Hour, a.Now())
}
