package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func instance(id string) Instance {
	return Instance{ID: id, Addr: "10.0.0.1:1", Service: "letters", Domain: "a", Slots: 4, Born: 1, Hash: HashID(id)}
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

func TestTargetThatSaidItLeavesStaysLeaving(t *testing.T) {
	d := NewDirectory()
	a, b := instance("a"), instance("b")
	d.Replace([]Instance{a, b}, 0, false)
	require.True(t, d.Leave("a", a.Born, 0, true))
	require.False(t, d.Leave("a", a.Born, 0, true), "no news")
	require.Equal(t, []Instance{b}, d.Current().Of("letters"))
	require.True(t, d.Current().Knows("a"))

	d.Replace([]Instance{a, b}, time.Second, false)
	require.Equal(t, []Instance{b}, d.Current().Of("letters"), "its entry says otherwise")
	d.Replace([]Instance{b}, 2*time.Second, false)
	d.Replace([]Instance{a, b}, 3*time.Second, true)
	require.Equal(t, []Instance{b}, d.Current().Of("letters"), "its entry came back with the store's")

	a.Born++
	d.Replace([]Instance{a, b}, 4*time.Second, false)
	require.Len(t, d.Current().Of("letters"), 2, "a new start")
	require.False(t, d.Leave("a", a.Born-1, 4*time.Second, false) && len(d.Current().Of("letters")) < 2, "an old word of a peer")
	require.Len(t, d.Current().Of("letters"), 2)
}

func TestTargetThatLeavesBeforeItIsListed(t *testing.T) {
	d := NewDirectory()
	a := instance("a")
	d.Leave("a", a.Born, 0, false)
	d.Replace([]Instance{a}, time.Second, false)
	require.Empty(t, d.Current().Of("letters"))
}

func TestOnlyOwnAndFreshNewsOfLeavingTargetsIsTold(t *testing.T) {
	d := NewDirectory()
	d.Leave("own", 1, 0, true)
	d.Leave("told", 1, 0, false)
	require.Equal(t, map[string]int64{"own": 1}, d.Left(leavingNews-time.Millisecond))
	require.Empty(t, d.Left(leavingNews), "news that went round for ever would never be forgotten")
	d.Replace(nil, leavingMemory+time.Second, false)
	require.Empty(t, d.leaving)
}

func TestLeavingTargetIsRememberedWhileItIsListed(t *testing.T) {
	d := NewDirectory()
	a := instance("a")
	d.Replace([]Instance{a}, 0, false)
	d.Leave("a", a.Born, 0, true)
	for now := time.Duration(0); now < 3*leavingMemory; now += leavingMemory / 2 {
		d.Replace([]Instance{a}, now, false)
		require.Empty(t, d.Current().Of("letters"))
	}
}
