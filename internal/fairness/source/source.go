// Package source keeps the latest sums that others reported and tells by how
// much they grew.
//
// Problem: reports are lost, late and repeated; processes restart with empty
// counters; two relays may report the same failure domain at once.
//
// Invariants: the total of a name never falls; sources of one name cover the
// same and are not added up; the first sum of a workspace from a source sets
// where its growth is counted from, unless a full report said before that it was
// zero; a silent source has no running and no
// waiting requests.
//
// The package takes no I/O and no clock. A Set is not safe for concurrent use.
package source

import (
	"maps"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	// GaugeAge is how long the running and waiting requests of a silent
	// source count.
	GaugeAge = 10 * time.Second
	// Retention is how long the sums of a silent source are kept.
	Retention = 10 * time.Minute
	// maxIncarnations is how many incarnations of one name are told apart.
	maxIncarnations = 4
)

// ID is one origin of grow-only sums: an incarnation of an agent, a router or a
// relay that adds up a failure domain. Name is what is summed up, the process
// or the failure domain, whoever does it.
type ID struct {
	Name        string
	Incarnation uint64
}

// Gauges are the latest figures of a workspace at a source.
type Gauges struct {
	Running, Queued uint32
}

// Sum is what a source reports of one workspace. Counter only grows within an
// incarnation.
type Sum struct {
	Workspace workspace.RowID
	Counter   uint64
	Gauges
}

// Change is what a report changed.
type Change struct {
	Name          string
	Workspace     workspace.RowID
	Growth        uint64 // of the counter
	Before, After Gauges
}

// Set is what is known of all sources.
type Set map[string]*origin

// Report is one report of a source.
type Report struct {
	ID
	// Sequence orders the reports of an incarnation; gauges in one that
	// comes late are ignored. 0: not ordered.
	Sequence uint64
	// Full says that the counters of all workspaces that are not in Sums are
	// zero at the source.
	Full bool
	Sums []Sum
	At   time.Time
}

// origin is what is known of the sources of one name.
type origin struct {
	heard        time.Time
	silent       bool // its gauges were given up
	rows         map[workspace.RowID]row
	incarnations map[uint64]*incarnation
}

// row is one workspace at the sources of one name.
type row struct {
	total uint64 // growth since the name was first seen
	Gauges
}

// incarnation is one source. Offsets are what to add to its counters, modulo
// 2^64, to get the totals of its origin.
type incarnation struct {
	heard    time.Time
	sequence uint64
	complete bool // a full report was heard
	offsets  map[workspace.RowID]uint64
}

// Apply takes in r and calls visit for each sum.
func (s Set) Apply(r Report, visit func(Change)) {
	o := s.origin(r.Name)
	o.heard = r.At
	o.silent = false
	inc := o.incarnation(r.Incarnation, r.At)
	fresh := r.Sequence == 0 || r.Sequence > inc.sequence
	inc.sequence = max(inc.sequence, r.Sequence)
	for _, sum := range r.Sums {
		c := o.apply(inc, sum, fresh)
		c.Name = r.Name
		visit(c)
	}
	if r.Full {
		inc.complete = true
		o.align(inc)
	}
}

// Expire gives up the gauges of the sources not heard for GaugeAge and forgets
// those not heard for Retention.
func (s Set) Expire(now time.Time, visit func(Change)) {
	for _, name := range slices.Sorted(maps.Keys(s)) {
		o := s[name]
		o.stamp(now)
		age := now.Sub(o.heard)
		if age > GaugeAge && !o.silent {
			o.silent = true
			o.clear(name, visit)
		}
		if age > Retention {
			delete(s, name)
			continue
		}
		o.expire(now)
	}
}

// Forget drops the sources of one name.
func (s Set) Forget(name string, visit func(Change)) {
	if o := s[name]; o != nil {
		o.clear(name, visit)
		delete(s, name)
	}
}

// ForgetRow drops a workspace.
func (s Set) ForgetRow(ws workspace.RowID) {
	for _, o := range s {
		delete(o.rows, ws)
		for _, inc := range o.incarnations {
			delete(inc.offsets, ws)
		}
	}
}

// Incarnations returns how many incarnations of name are remembered.
func (s Set) Incarnations(name string) int {
	if o := s[name]; o != nil {
		return len(o.incarnations)
	}
	return 0
}

func (s Set) origin(name string) *origin {
	o := s[name]
	if o == nil {
		o = &origin{
			rows:         make(map[workspace.RowID]row),
			incarnations: make(map[uint64]*incarnation),
		}
		s[name] = o
	}
	return o
}

// apply notes one sum. Gauges count only when they are fresh.
func (o *origin) apply(inc *incarnation, sum Sum, fresh bool) Change {
	r := o.rows[sum.Workspace]
	c := Change{Workspace: sum.Workspace, Before: r.Gauges}
	c.Growth = inc.growth(sum, r.total)
	r.total += c.Growth
	if fresh {
		r.Gauges = sum.Gauges
	}
	c.After = r.Gauges
	o.rows[sum.Workspace] = r
	return c
}

// align notes that the counters that inc has not reported are zero.
func (o *origin) align(inc *incarnation) {
	for ws, r := range o.rows {
		if _, known := inc.offsets[ws]; !known {
			inc.offsets[ws] = r.total
		}
	}
}

// growth returns by how much sum exceeds the total of its origin.
func (i *incarnation) growth(sum Sum, total uint64) uint64 {
	offset, known := i.offsets[sum.Workspace]
	if !known && !i.complete {
		offset = total - sum.Counter
	}
	i.offsets[sum.Workspace] = offset
	return uint64(max(int64(sum.Counter+offset-total), 0))
}

// clear sets the gauges to zero.
func (o *origin) clear(name string, visit func(Change)) {
	for _, ws := range slices.Sorted(maps.Keys(o.rows)) {
		r := o.rows[ws]
		if r.Gauges == (Gauges{}) {
			continue
		}
		c := Change{Name: name, Workspace: ws, Before: r.Gauges}
		r.Gauges = Gauges{}
		o.rows[ws] = r
		visit(c)
	}
}

// incarnation returns the incarnation numbered n. The one not heard for the
// longest gives way when there are too many.
func (o *origin) incarnation(n uint64, now time.Time) *incarnation {
	inc := o.incarnations[n]
	if inc == nil {
		o.makeRoom()
		inc = &incarnation{offsets: make(map[workspace.RowID]uint64)}
		o.incarnations[n] = inc
	}
	inc.heard = now
	return inc
}

func (o *origin) makeRoom() {
	if len(o.incarnations) < maxIncarnations {
		return
	}
	var oldest uint64
	var when time.Time
	for n, inc := range o.incarnations {
		if when.IsZero() || inc.heard.Before(when) {
			oldest, when = n, inc.heard
		}
	}
	delete(o.incarnations, oldest)
}

// stamp dates what was heard when no time was known.
func (o *origin) stamp(now time.Time) {
	if o.heard.IsZero() {
		o.heard = now
	}
	for _, inc := range o.incarnations {
		if inc.heard.IsZero() {
			inc.heard = now
		}
	}
}

// expire drops the incarnations not heard for Retention.
func (o *origin) expire(now time.Time) {
	for n, inc := range o.incarnations {
		if now.Sub(inc.heard) > Retention {
			delete(o.incarnations, n)
		}
	}
}
