package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testColdPhase = 10 * time.Second

func newColdDirectory(listed ...Instance) *Directory {
	d := NewDirectory(nil)
	d.SetColdPhases(map[string]time.Duration{"letters": testColdPhase})
	d.Replace(listed, time.Minute, false)
	return d
}

// reporting returns the target with an entry that says that it is cold until a time; 0: warm.
func reporting(instance Instance, until time.Duration) Instance {
	instance.ColdReported, instance.ReportedColdUntil = true, until
	return instance
}

func (d *Directory) coldUntilOf(t *testing.T, id string) time.Duration {
	t.Helper()
	for _, instance := range d.Current().Available("letters") {
		if instance.ID == id {
			return instance.ColdUntil
		}
	}
	t.Fatalf("%s is not available", id)
	return 0
}

// A target that is wrongly taken for warm gets far more requests than it tolerates while cold,
// and crashes.
func TestTargetsNotKnownToBeWarm(t *testing.T) {
	a, b := testInstance("a"), testInstance("b")
	b.Addr, b.Domain = "10.0.0.2:1", "b"
	restarted, moved, reusing := reporting(b, 0), reporting(b, 0), reporting(testInstance("c"), 0)
	restarted.StartedMillis, moved.Addr, reusing.Addr = 2, "10.0.0.3:1", b.Addr
	const at = 2 * time.Minute
	doubted := at + testColdPhase + coldMargin
	replace := func(listed ...Instance) func(d *Directory) {
		return func(d *Directory) { d.Replace(listed, at, false) }
	}
	for name, c := range map[string]struct {
		first  []Instance
		change func(d *Directory)
		id     string
		want   time.Duration
	}{
		"first list, reported warm":    {[]Instance{reporting(a, 0)}, func(*Directory) {}, "a", 0},
		"first list, reported cold":    {[]Instance{reporting(a, 64*time.Second)}, func(*Directory) {}, "a", 64 * time.Second},
		"first list, nothing reported": {[]Instance{a}, func(*Directory) {}, "a", time.Minute + testColdPhase},
		"new, reported warm":           {[]Instance{a}, replace(a, reporting(b, 0)), "b", 0},
		"new, nothing reported":        {[]Instance{a}, replace(a, b), "b", at + testColdPhase},
		"new, reported warm later":     {[]Instance{a}, func(d *Directory) { replace(a, b)(d); replace(a, reporting(b, 0))(d) }, "b", 0},
		"cold again":                   {[]Instance{reporting(a, 0)}, replace(reporting(a, at+time.Hour)), "a", at + time.Hour},
		"warm earlier than said":       {[]Instance{reporting(a, at+time.Hour)}, replace(reporting(a, 0)), "a", 0},
		"restarted":                    {[]Instance{reporting(b, 0)}, replace(restarted), "b", doubted},
		"restarted, cold for longer":   {[]Instance{reporting(b, 0)}, replace(reporting(restarted, at+time.Hour)), "b", at + time.Hour},
		"other address":                {[]Instance{reporting(b, 0)}, replace(moved), "b", doubted},
		"back": {[]Instance{reporting(a, 0), reporting(b, 0)}, func(d *Directory) {
			d.Replace([]Instance{reporting(a, 0)}, at-time.Minute, false)
			d.Replace([]Instance{reporting(a, 0), reporting(b, 0)}, at, false)
		}, "b", doubted},
		"address of a listed target": {[]Instance{reporting(b, 0)}, replace(reusing), "c", doubted},
		"address of a removed target": {[]Instance{reporting(a, 0), reporting(b, 0)}, func(d *Directory) {
			d.Replace([]Instance{reporting(a, 0)}, at-time.Minute, false)
			d.Replace([]Instance{reporting(a, 0), reusing}, at, false)
		}, "c", doubted},
		"unreachable": {[]Instance{reporting(a, 0)}, func(d *Directory) { d.MarkUnreachable("a", at) }, "a", doubted},
		"unreachable twice": {[]Instance{reporting(a, 0)}, func(d *Directory) {
			d.MarkUnreachable("a", at-time.Second)
			d.MarkUnreachable("a", at)
			d.MarkUnreachable("a", at+1)
		}, "a", doubted},
		"unreachable, then listed as before": {[]Instance{reporting(a, 0)}, func(d *Directory) {
			d.MarkUnreachable("a", at)
			d.Replace([]Instance{reporting(a, 0)}, at+time.Second, false)
		}, "a", doubted},
		"evacuation ended": {[]Instance{reporting(b, 0)}, func(d *Directory) {
			d.SetEvacuated([]string{"b"}, at-time.Minute)
			d.SetEvacuated(nil, at)
		}, "b", doubted},
		"evacuation of another domain ended": {[]Instance{reporting(b, 0)}, func(d *Directory) {
			d.SetEvacuated([]string{"a"}, at-time.Minute)
			d.SetEvacuated(nil, at)
		}, "b", 0},
		"retained while the store returns": {[]Instance{reporting(a, 0)}, func(d *Directory) {
			d.Replace(nil, at, true)
			d.Replace([]Instance{reporting(a, 0)}, at+time.Second, false)
		}, "a", 0},
		"no cold phase": {[]Instance{b}, func(d *Directory) {
			d.SetColdPhases(nil)
			d.MarkUnreachable("b", at)
			d.Replace([]Instance{reporting(restarted, at+time.Hour)}, at, false)
		}, "b", 0},
		"cold phase of the table known later": {nil, func(d *Directory) {
			d.SetColdPhases(nil)
			d.Replace([]Instance{a}, at, false)
			d.SetColdPhases(map[string]time.Duration{"letters": testColdPhase})
		}, "a", at + testColdPhase},
	} {
		t.Run(name, func(t *testing.T) {
			d := newColdDirectory(c.first...)
			c.change(d)
			require.Equal(t, c.want, d.coldUntilOf(t, c.id))
		})
	}
}

// A gate that was suspended has an old list, whose targets may have restarted. One that cannot
// reach the store keeps what it knows.
func TestListOutdatedAfterSuspension(t *testing.T) {
	d := NewDirectory(nil)
	require.False(t, d.Outdated(time.Hour), "no list yet")
	d.Replace([]Instance{testInstance("a")}, time.Second, false)
	d.MarkListed(time.Minute)
	require.False(t, d.Outdated(time.Minute+maxListAge))
	require.True(t, d.Outdated(time.Minute+maxListAge+1))
	d.MarkStoreLost()
	require.False(t, d.Outdated(time.Hour))
	d.MarkListed(time.Hour)
	require.False(t, d.Outdated(time.Hour))
	require.True(t, d.Outdated(2*time.Hour))
}

// The copy from which the store was restored may hold an entry from before the target became
// cold: the target would get the full rate until it writes the next one.
func TestEntryOfRestoredStoreDoesNotEndColdPhase(t *testing.T) {
	const until = time.Minute + testColdPhase
	d := newColdDirectory(reporting(testInstance("a"), until))
	d.MarkRestored(time.Minute + time.Second)
	d.Replace([]Instance{reporting(testInstance("a"), 0)}, time.Minute+time.Second, true)
	require.Equal(t, until, d.coldUntilOf(t, "a"))
	d.Replace([]Instance{reporting(testInstance("a"), 0)}, time.Minute+2*time.Second, false)
	require.Equal(t, until, d.coldUntilOf(t, "a"))
	d.Replace([]Instance{reporting(testInstance("a"), 0)}, time.Minute+time.Second+restoredRowLifetime+1, false)
	require.Zero(t, d.coldUntilOf(t, "a"), "entries of the copy have expired")
}
