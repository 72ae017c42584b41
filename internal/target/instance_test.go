package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func instance(id string) Instance {
	return Instance{ID: id, Addr: "10.0.0.1:1", Service: "letters", Domain: "a", Slots: 4, Born: 1}
}

func TestLeavingAndGoneTargetsTakeNoNewWork(t *testing.T) {
	d := NewDirectory()
	a, b := instance("a"), instance("b")
	c := d.Replace([]Instance{a, b}, 0, false)
	require.ElementsMatch(t, []string{"a", "b"}, c.New)
	require.Len(t, d.Current().Of("letters"), 2)

	a.Leaving = true
	c = d.Replace([]Instance{a}, time.Second, false)
	require.Equal(t, []string{"a"}, c.Leaving)
	require.Equal(t, []string{"b"}, c.Gone)
	require.Empty(t, d.Current().Of("letters"))
}

func TestEntriesThatLapsedWithTheStoreStayForAWhile(t *testing.T) {
	d := NewDirectory()
	a, b := instance("a"), instance("b")
	d.Replace([]Instance{a, b}, 0, false)

	// The store is back, but b has not written its entry again yet.
	c := d.Replace([]Instance{a}, 10*time.Second, true)
	require.True(t, c.Empty())
	require.Len(t, d.Current().Of("letters"), 2)
	c = d.Replace([]Instance{a}, 12*time.Second, false)
	require.True(t, c.Empty(), "2 s are within the promise")
	c = d.Replace([]Instance{a, b}, 12*time.Second, false)
	require.True(t, c.Empty(), "it came back")
	require.Len(t, d.Current().Of("letters"), 2)

	_, waiting := d.NextLapse(12 * time.Second)
	require.False(t, waiting)

	d.Replace([]Instance{a}, 20*time.Second, true)
	left, waiting := d.NextLapse(21 * time.Second)
	require.True(t, waiting)
	require.Equal(t, returnGrace-time.Second, left)
	c = d.Replace([]Instance{a}, 23*time.Second, false)
	require.Equal(t, []string{"b"}, c.Gone)
}

func TestLeavingTargetIsNotKeptThoughItLapsed(t *testing.T) {
	d := NewDirectory()
	a := instance("a")
	a.Leaving = true
	d.Replace([]Instance{a}, 0, false)
	c := d.Replace(nil, time.Second, true)
	require.Equal(t, []string{"a"}, c.Gone)
}

func TestRestartUnderTheSameIDIsNew(t *testing.T) {
	d := NewDirectory()
	a := instance("a")
	d.Replace([]Instance{a}, 0, false)
	a.Born = 2
	c := d.Replace([]Instance{a}, time.Second, false)
	require.Equal(t, []string{"a"}, c.New)
}
