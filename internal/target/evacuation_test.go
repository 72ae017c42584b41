package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Lists arrive from the store and from peers in any order. An evacuation that ends too early
// sends requests into a failure domain that the operator has emptied.
func TestEvacuationLists(t *testing.T) {
	type step struct {
		at   time.Duration
		list EvacuationList
		want []string
	}
	list := func(era, revision int64, domains ...string) EvacuationList {
		return EvacuationList{Era: era, Revision: revision, Domains: domains}
	}
	a, ab := []string{"a"}, []string{"a", "b"}
	for name, steps := range map[string][]step{
		"added and removed":                {{0, list(1, 5, "a"), a}, {1, list(1, 6, "a", "b"), ab}, {2, list(1, 7, "a"), a}, {3, list(1, 8), nil}},
		"older list":                       {{0, list(1, 5, "a"), a}, {1, list(1, 4), a}, {2, list(1, 5), nil}},
		"first list of a peer without any": {{0, EvacuationList{}, nil}, {1, list(1, 5, "a"), a}, {2, EvacuationList{}, a}},
		"lost in a restore": {
			{0, list(1, 5, "a"), a},
			{time.Second, list(2, 3), a},
			{time.Second + restoredEvacuationHold - 1, list(2, 4), a},
			{time.Second + restoredEvacuationHold, list(2, 4), nil},
		},
		"new row after a restore":       {{0, list(1, 5, "a"), a}, {time.Second, list(2, 3), a}, {2 * time.Second, list(2, 4, "b"), ab}, {10 * time.Second, list(2, 4, "b"), []string{"b"}}},
		"written again after a restore": {{0, list(1, 5, "a"), a}, {time.Second, list(2, 3), a}, {2 * time.Second, list(2, 4, "a"), a}, {20 * time.Second, list(2, 4, "a"), a}},
		"second restore":                {{0, list(1, 5, "a"), a}, {time.Second, list(2, 3, "b"), ab}, {5 * time.Second, list(3, 1), ab}, {10 * time.Second, list(3, 1), []string{"b"}}},
		"peer of an earlier era": {
			{0, list(2, 3), nil},
			{time.Second, list(1, 9, "a"), a},
			{restoredEvacuationHold - 1, list(2, 3), a},
			{restoredEvacuationHold, list(2, 3), nil},
			{restoredEvacuationHold + 1, list(1, 9, "a"), nil},
		},
		"held by a peer": {
			{0, list(2, 3), nil},
			{0, EvacuationList{Era: 2, Revision: 3, Held: map[string]time.Duration{"a": time.Second}}, a},
			{time.Second, list(2, 3), nil},
		},
		"held for ever by a peer": {
			{0, EvacuationList{Era: 2, Revision: 3, Held: map[string]time.Duration{"a": time.Hour}}, a},
			{restoredEvacuationHold, list(2, 3), nil},
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEvacuations()
			for i, s := range steps {
				e.Apply(s.list, s.at)
				require.Equal(t, s.want, e.Evacuated(), "step %d", i)
				copied := NewEvacuations()
				copied.Apply(e.List(s.at), s.at)
				require.Equal(t, s.want, copied.Evacuated(), "a gate that bootstraps after step %d", i)
			}
		})
	}
}

// Lists of targets and evacuations arrive in any order.
func TestEvacuatedTargetsListedButUnavailable(t *testing.T) {
	d := NewDirectory(nil)
	a, b := testInstance("a"), testInstance("b")
	b.Domain = "b"
	require.True(t, d.SetEvacuated([]string{"b"}, 0))
	require.False(t, d.SetEvacuated([]string{"b"}, 0))
	change := d.Replace([]Instance{a, b}, 0, false)
	require.ElementsMatch(t, []string{"a", "b"}, change.Added)
	require.Len(t, d.Current().Available("letters"), 1)
	require.True(t, d.Current().Contains("b"))

	require.True(t, d.SetEvacuated([]string{"a", "b"}, 0))
	require.Empty(t, d.Current().Available("letters"))
	a.Draining = true
	require.Equal(t, []string{"a"}, d.Replace([]Instance{a, b}, time.Second, false).Draining)
	require.True(t, d.MarkDraining("b", b.StartedMillis, time.Second, true))
	require.True(t, d.SetEvacuated(nil, 0))
	require.Empty(t, d.Current().Available("letters"), "draining targets stay unavailable")
}

func TestEvacuatedTargetRetainedWhileStoreReturns(t *testing.T) {
	d := NewDirectory(nil)
	d.Replace([]Instance{testInstance("a")}, 0, false)
	d.SetEvacuated([]string{"a"}, 0)
	require.True(t, d.Replace(nil, time.Second, true).Empty())
	require.Empty(t, d.Current().Available("letters"))
	d.SetEvacuated(nil, 0)
	require.Len(t, d.Current().Available("letters"), 1)
}
