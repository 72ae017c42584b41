// Package source stores the latest totals that other processes reported and computes
// their growth.
//
// Problem: reports are lost, late and repeated; processes restart with empty
// counters; two relays may report the same failure domain at the same time.
//
// Invariants:
//   - The total of a name never decreases.
//   - Sources of one name cover the same service and are not added up.
//   - The first total of a workspace from a source is the baseline of its growth,
//     unless an earlier full report implied that it was zero.
//   - A source that has not reported for GaugeLifetime has no running and no waiting
//     requests.
//
// The package does no I/O and reads no clock: callers pass the time. A Set is not safe
// for concurrent use.
package source

import (
	"maps"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	// GaugeLifetime is how long the running and waiting requests of a source count
	// after its last report.
	GaugeLifetime = 10 * time.Second
	// Retention is how long the totals of a source are retained after its last report.
	Retention = 10 * time.Minute
	// maxIncarnations is how many incarnations of one name are retained.
	maxIncarnations = 4
)

// ID identifies a reporter of grow-only totals: an incarnation of an agent, a router
// or a relay that adds up a failure domain. Name is what the totals cover, the process
// or the failure domain, whichever process reports them.
type ID struct {
	Name        string
	Incarnation uint64
}

// Gauges are the current numbers of requests of a workspace at a source.
type Gauges struct {
	Running, Queued uint32
}

// Total is what a source reports of one workspace. Counter, service units or admitted
// requests, only grows within an incarnation.
type Total struct {
	Workspace workspace.RowID
	Counter   uint64
	Gauges
}

// Change describes what a report or an expiry changed for one workspace.
type Change struct {
	Name          string
	Workspace     workspace.RowID
	Growth        uint64 // of the total
	Before, After Gauges
}

// Set is the state of all sources, by name.
type Set map[string]*sourceState

// Report is one report of a source.
type Report struct {
	ID
	// Sequence orders the reports of an incarnation. Gauges in a report that
	// arrives late are ignored. 0: not ordered.
	Sequence uint64
	// Full is set when the counters of all workspaces that are not in Totals are
	// zero at the source.
	Full   bool
	Totals []Total
	At     time.Time
}

// sourceState is the state of the sources of one name.
type sourceState struct {
	lastSeen      time.Time
	gaugesExpired bool // the gauges were cleared since the last report
	workspaces    map[workspace.RowID]workspaceState
	incarnations  map[uint64]*incarnation
}

// workspaceState is the state of one workspace at the sources of one name.
type workspaceState struct {
	total uint64 // growth since the name was first seen
	Gauges
}

// incarnation is the state of one source. Adding an offset to one of its counters,
// modulo 2^64, gives the total of its name.
type incarnation struct {
	lastSeen       time.Time
	sequence       uint64
	fullReportSeen bool // a full report was received
	offsets        map[workspace.RowID]uint64
}

// Apply stores a report and calls visit for each of its totals.
func (s Set) Apply(report Report, visit func(Change)) {
	state := s.state(report.Name)
	state.lastSeen = report.At
	state.gaugesExpired = false
	inc := state.incarnation(report.Incarnation, report.At)
	inOrder := report.Sequence == 0 || report.Sequence > inc.sequence
	inc.sequence = max(inc.sequence, report.Sequence)
	for _, total := range report.Totals {
		change := state.apply(inc, total, inOrder)
		change.Name = report.Name
		visit(change)
	}
	if report.Full {
		inc.fullReportSeen = true
		state.assumeZeroCounters(inc)
	}
}

// Expire clears the gauges of sources that have not reported for GaugeLifetime and
// removes those that have not reported for Retention. It calls visit for each
// workspace whose gauges were cleared.
func (s Set) Expire(now time.Time, visit func(Change)) {
	for _, name := range slices.Sorted(maps.Keys(s)) {
		state := s[name]
		state.setMissingTimes(now)
		age := now.Sub(state.lastSeen)
		if age > GaugeLifetime && !state.gaugesExpired {
			state.gaugesExpired = true
			state.clearGauges(name, visit)
		}
		if age > Retention {
			delete(s, name)
			continue
		}
		state.expireIncarnations(now)
	}
}

// Forget removes the sources of one name. It calls visit for each workspace whose
// gauges were not zero.
func (s Set) Forget(name string, visit func(Change)) {
	if state := s[name]; state != nil {
		state.clearGauges(name, visit)
		delete(s, name)
	}
}

// ForgetRow removes a workspace from all sources.
func (s Set) ForgetRow(ws workspace.RowID) {
	for _, state := range s {
		delete(state.workspaces, ws)
		for _, inc := range state.incarnations {
			delete(inc.offsets, ws)
		}
	}
}

// Incarnations returns the number of retained incarnations of name.
func (s Set) Incarnations(name string) int {
	if state := s[name]; state != nil {
		return len(state.incarnations)
	}
	return 0
}

func (s Set) state(name string) *sourceState {
	state := s[name]
	if state == nil {
		state = &sourceState{
			workspaces:   make(map[workspace.RowID]workspaceState),
			incarnations: make(map[uint64]*incarnation),
		}
		s[name] = state
	}
	return state
}

// apply stores one total. Gauges are stored only if the report arrived in order.
func (s *sourceState) apply(inc *incarnation, total Total, inOrder bool) Change {
	state := s.workspaces[total.Workspace]
	change := Change{Workspace: total.Workspace, Before: state.Gauges}
	change.Growth = inc.growth(total, state.total)
	state.total += change.Growth
	if inOrder {
		state.Gauges = total.Gauges
	}
	change.After = state.Gauges
	s.workspaces[total.Workspace] = state
	return change
}

// assumeZeroCounters records that the counters that inc has not reported are zero.
func (s *sourceState) assumeZeroCounters(inc *incarnation) {
	for ws, state := range s.workspaces {
		if _, known := inc.offsets[ws]; !known {
			inc.offsets[ws] = state.total
		}
	}
}

// growth returns by how much a reported counter exceeds the total of its name.
func (i *incarnation) growth(reported Total, total uint64) uint64 {
	offset, known := i.offsets[reported.Workspace]
	if !known && !i.fullReportSeen {
		offset = total - reported.Counter
	}
	i.offsets[reported.Workspace] = offset
	return uint64(max(int64(reported.Counter+offset-total), 0))
}

// clearGauges sets the gauges to zero.
func (s *sourceState) clearGauges(name string, visit func(Change)) {
	for _, ws := range slices.Sorted(maps.Keys(s.workspaces)) {
		state := s.workspaces[ws]
		if state.Gauges == (Gauges{}) {
			continue
		}
		change := Change{Name: name, Workspace: ws, Before: state.Gauges}
		state.Gauges = Gauges{}
		s.workspaces[ws] = state
		visit(change)
	}
}

// incarnation returns the incarnation with a number and creates it if needed. If there
// are too many, the one with the oldest report is evicted.
func (s *sourceState) incarnation(number uint64, now time.Time) *incarnation {
	inc := s.incarnations[number]
	if inc == nil {
		s.evictOldestIncarnation()
		inc = &incarnation{offsets: make(map[workspace.RowID]uint64)}
		s.incarnations[number] = inc
	}
	inc.lastSeen = now
	return inc
}

func (s *sourceState) evictOldestIncarnation() {
	if len(s.incarnations) < maxIncarnations {
		return
	}
	var oldest uint64
	var oldestSeen time.Time
	for number, inc := range s.incarnations {
		if oldestSeen.IsZero() || inc.lastSeen.Before(oldestSeen) {
			oldest, oldestSeen = number, inc.lastSeen
		}
	}
	delete(s.incarnations, oldest)
}

// setMissingTimes sets the time of reports that had none to now.
func (s *sourceState) setMissingTimes(now time.Time) {
	if s.lastSeen.IsZero() {
		s.lastSeen = now
	}
	for _, inc := range s.incarnations {
		if inc.lastSeen.IsZero() {
			inc.lastSeen = now
		}
	}
}

// expireIncarnations removes the incarnations that have not reported for Retention.
func (s *sourceState) expireIncarnations(now time.Time) {
	for number, inc := range s.incarnations {
		if now.Sub(inc.lastSeen) > Retention {
			delete(s.incarnations, number)
		}
	}
}
