package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testInstance(id string) Instance {
	return Instance{ID: id, Addr: "10.0.0.1:1", Service: "letters", Domain: "a", Slots: 4, StartedMillis: 1, Hash: HashID(id)}
}

func TestDrainingAndRemovedTargetsUnavailable(t *testing.T) {
	d := NewDirectory(nil)
	a, b := testInstance("a"), testInstance("b")
	c := d.Replace([]Instance{a, b}, 0, false)
	require.ElementsMatch(t, []string{"a", "b"}, c.Added)
	require.Len(t, d.Current().Available("letters"), 2)

	a.Draining = true
	c = d.Replace([]Instance{a}, time.Second, false)
	require.Equal(t, []string{"a"}, c.Draining)
	require.Equal(t, []string{"b"}, c.Removed)
	require.Empty(t, d.Current().Available("letters"))
}

func TestExpiredEntriesRetainedAfterStoreReturn(t *testing.T) {
	d := NewDirectory(nil)
	a, b := testInstance("a"), testInstance("b")
	d.Replace([]Instance{a, b}, 0, false)

	// The store is back, but b has not written its entry again yet.
	c := d.Replace([]Instance{a}, 10*time.Second, true)
	require.True(t, c.Empty())
	require.Len(t, d.Current().Available("letters"), 2)
	c = d.Replace([]Instance{a}, 12*time.Second, false)
	require.True(t, c.Empty(), "2 s are within the grace period")
	c = d.Replace([]Instance{a, b}, 12*time.Second, false)
	require.True(t, c.Empty(), "the entry reappeared")
	require.Len(t, d.Current().Available("letters"), 2)

	_, found := d.NextExpiry(12 * time.Second)
	require.False(t, found)

	d.Replace([]Instance{a}, 20*time.Second, true)
	remaining, found := d.NextExpiry(21 * time.Second)
	require.True(t, found)
	require.Equal(t, storeReturnGrace-time.Second, remaining)
	c = d.Replace([]Instance{a}, 23*time.Second, false)
	require.Equal(t, []string{"b"}, c.Removed)
}

// Guards against retained targets that only a further list removes.
func TestRetainedTargetRemovedAtEndOfGracePeriod(t *testing.T) {
	d := NewDirectory(nil)
	a, b := testInstance("a"), testInstance("b")
	d.Replace([]Instance{a, b}, 0, false)
	c := d.Replace([]Instance{a}, 10*time.Second, true)
	require.Equal(t, []string{"b"}, c.Retained)
	c = d.Replace([]Instance{a}, 11*time.Second, false)
	require.Empty(t, c.Retained, "reported once")
	require.True(t, d.RemoveExpired(10*time.Second+storeReturnGrace-1).Empty())
	require.Len(t, d.Current().Available("letters"), 2)
	c = d.RemoveExpired(10*time.Second + storeReturnGrace)
	require.Equal(t, Change{Removed: []string{"b"}}, c)
	require.Len(t, d.Current().Available("letters"), 1)
	_, pending := d.NextExpiry(13 * time.Second)
	require.False(t, pending)
}

// The entry of a draining target expires while the store is unavailable: it gets no grace
// period.
func TestDrainingTargetNotRetainedAfterExpiry(t *testing.T) {
	d := NewDirectory(nil)
	a := testInstance("a")
	a.Draining = true
	d.Replace([]Instance{a}, 0, false)
	c := d.Replace(nil, time.Second, true)
	require.Equal(t, []string{"a"}, c.Removed)
}

func TestRestartUnderSameIDReportedAsAdded(t *testing.T) {
	d := NewDirectory(nil)
	a := testInstance("a")
	d.Replace([]Instance{a}, 0, false)
	a.StartedMillis = 2
	c := d.Replace([]Instance{a}, time.Second, false)
	require.Equal(t, []string{"a"}, c.Added)
}

// The store may list a target as live after it announced its drain: the entry is outdated,
// or the store recovered with old entries.
func TestDrainNoticeOverridesStoreEntry(t *testing.T) {
	d := NewDirectory(nil)
	a, b := testInstance("a"), testInstance("b")
	d.Replace([]Instance{a, b}, 0, false)
	require.True(t, d.MarkDraining("a", a.StartedMillis, 0, true))
	require.False(t, d.MarkDraining("a", a.StartedMillis, 0, true), "the notice is a duplicate")
	require.Equal(t, []Instance{b}, d.Current().Available("letters"))
	require.True(t, d.Current().Contains("a"))

	d.Replace([]Instance{a, b}, time.Second, false)
	require.Equal(t, []Instance{b}, d.Current().Available("letters"), "the entry still lists the target as live")
	d.Replace([]Instance{b}, 2*time.Second, false)
	d.Replace([]Instance{a, b}, 3*time.Second, true)
	require.Equal(t, []Instance{b}, d.Current().Available("letters"), "the old entry reappeared when the store recovered")

	a.StartedMillis++
	d.Replace([]Instance{a, b}, 4*time.Second, false)
	require.Len(t, d.Current().Available("letters"), 2, "the target restarted")
	require.False(t, d.MarkDraining("a", a.StartedMillis-1, 4*time.Second, false) && len(d.Current().Available("letters")) < 2, "a peer's notice about the previous run")
	require.Len(t, d.Current().Available("letters"), 2)
}

func TestDrainNoticeBeforeFirstListing(t *testing.T) {
	d := NewDirectory(nil)
	a := testInstance("a")
	d.MarkDraining("a", a.StartedMillis, 0, false)
	d.Replace([]Instance{a}, time.Second, false)
	require.Empty(t, d.Current().Available("letters"))
}

func TestLocalDrainNoticesOnlyLocalAndRecent(t *testing.T) {
	d := NewDirectory(nil)
	d.MarkDraining("local", 1, 0, true)
	d.MarkDraining("reported", 1, 0, false)
	require.Equal(t, map[string]int64{"local": 1}, d.LocalDrainNotices(drainNoticeReportTime-time.Millisecond))
	require.Empty(t, d.LocalDrainNotices(drainNoticeReportTime), "gates that report a notice for ever would never remove it")
	d.Replace(nil, drainNoticeRetention+time.Second, false)
	require.Empty(t, d.drainNotices)
}

func TestDrainNoticeRetainedWhileListed(t *testing.T) {
	d := NewDirectory(nil)
	a := testInstance("a")
	d.Replace([]Instance{a}, 0, false)
	d.MarkDraining("a", a.StartedMillis, 0, true)
	for now := time.Duration(0); now < 3*drainNoticeRetention; now += drainNoticeRetention / 2 {
		d.Replace([]Instance{a}, now, false)
		require.Empty(t, d.Current().Available("letters"))
	}
}

// The copy from which the store was restored lists targets as live that have left since.
func TestDepartedTargetsUnavailableAfterRestore(t *testing.T) {
	d := NewDirectory(nil)
	drained, removed, live := testInstance("drained"), testInstance("removed"), testInstance("live")
	old := []Instance{drained, removed, live}
	d.Replace(old, 0, false)
	leaving := drained
	leaving.Draining = true
	d.Replace([]Instance{leaving, live}, time.Second, false)
	require.Equal(t, []Instance{live}, d.Current().Available("letters"))

	restoredAt := 4 * time.Second
	d.MarkRestored(restoredAt)
	for _, now := range []time.Duration{restoredAt, restoredAt + restoredRowLifetime} {
		d.Replace(old, now, true)
		require.Equal(t, []Instance{live}, d.Current().Available("letters"), "at %v", now)
	}

	d.Replace([]Instance{drained, removed}, restoredAt+time.Second, false)
	d.Replace(old, restoredAt+2*time.Second, false)
	require.Equal(t, []Instance{live}, d.Current().Available("letters"), "live left and came back after the restore")

	restarted := drained
	restarted.StartedMillis++
	d.Replace([]Instance{restarted, removed, live}, restoredAt+3*time.Second, false)
	require.Len(t, d.Current().Available("letters"), 2, "the target restarted")

	d.Replace(old, restoredAt+restoredRowLifetime+time.Second, false)
	require.Len(t, d.Current().Available("letters"), 3, "the entries have not expired: the targets are live")
}

func TestDeparturesForgotten(t *testing.T) {
	d := NewDirectory(nil)
	for n := range 100 {
		instance := testInstance("a")
		instance.ID = string(rune('a' + n))
		d.Replace([]Instance{instance}, time.Duration(n)*time.Minute, false)
	}
	require.LessOrEqual(t, len(d.departures), int(drainNoticeRetention/time.Minute)+1)
}
