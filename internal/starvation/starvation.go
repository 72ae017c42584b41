// Package starvation measures how far the service of workspaces is above the platform's
// fairness floor.
//
// Problem: a workspace that is close to starving looks like any other, since the platform
// reports only the one that starves. Whether a change of the admission policy helps shows
// in the margin above the floor, long before it shows in the number of starved workspaces.
//
// Invariants: a window counts only if the workspace waited in each of its seconds; the
// result does not depend on the order in which work is added.
package starvation

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// WindowSeconds is the window of the platform's fairness criterion.
	WindowSeconds = 6
	// minServedFraction is the minimum service of a workspace, as a fraction of its fair
	// share.
	minServedFraction = 0.5
	// slackRequests is a further allowance, in multiples of the largest request.
	slackRequests = 3
)

// Second is the work requested by and served to a workspace in one second, in tokens of
// work.
type Second struct {
	Requested, Served float64 // Served counts requests at their first event
	// Degraded reports whether a request was refused, or waited past its objective.
	Degraded bool
}

// Window is the service of a workspace in one window, in tokens of work.
type Window struct {
	Workspace string  `json:"workspace"`
	From      float64 `json:"from_s"` // start, in seconds
	Requested float64 `json:"requested"`
	// FairShare sums, over the seconds, the work that the workspace requested or the
	// service of the best served workspace, whichever is less.
	FairShare float64 `json:"fair_share"`
	Served    float64 `json:"served"`
	Floor     float64 `json:"floor"`
	// MaxServed is the service of the workspace that was served most in the window.
	MaxServed float64 `json:"most_served"`
}

// Starved reports whether the workspace was served less than the floor.
func (w *Window) Starved() bool { return w.Served < w.Floor }

// Margin returns the service above the floor, as a fraction of the fair share.
func (w *Window) Margin() float64 { return (w.Served - w.Floor) / max(w.FairShare, 1) }

// Meter collects the work of workspaces by second. Seconds begin at offset, so that
// several meters cover windows that slide by less than a second.
type Meter struct {
	offset         time.Duration
	length         int // seconds
	workspaces     map[string][]Second
	maxRequestWork float64
}

// NewMeter returns a meter for the given number of seconds from offset on. Work at other
// times is ignored.
func NewMeter(offset time.Duration, seconds int) *Meter {
	return &Meter{offset: offset, length: seconds, workspaces: make(map[string][]Second)}
}

// second returns the second of a workspace that contains at; a scratch value outside of
// the meter's time.
func (m *Meter) second(workspace string, at time.Duration) *Second {
	seconds := m.workspaces[workspace]
	if seconds == nil {
		seconds = make([]Second, m.length)
		m.workspaces[workspace] = seconds
	}
	i := int(math.Floor((at - m.offset).Seconds()))
	if i < 0 || i >= m.length {
		return &Second{}
	}
	return &seconds[i]
}

// AddRequested adds a request that arrived.
func (m *Meter) AddRequested(workspace string, at time.Duration, work float64) {
	m.second(workspace, at).Requested += work
	m.maxRequestWork = max(m.maxRequestWork, work)
}

// AddServed adds a request whose first event came.
func (m *Meter) AddServed(workspace string, at time.Duration, work float64) {
	m.second(workspace, at).Served += work
}

// MarkDegraded marks the seconds between from and until, in which a request was refused
// or waited past its objective.
func (m *Meter) MarkDegraded(workspace string, from, until time.Duration) {
	for at := from; at < until; at += time.Second {
		m.second(workspace, at).Degraded = true
	}
	m.second(workspace, until).Degraded = true
}

// Seconds returns the seconds of a workspace; nil if it has no work.
func (m *Meter) Seconds(workspace string) []Second { return m.workspaces[workspace] }

// LowestWindows returns for each workspace the window with the least margin above the
// floor, lowest first. A workspace without a window in which each second is degraded is
// left out.
func (m *Meter) LowestWindows() []Window {
	maxServed, mostServed := m.maxServedBySecond(), m.mostServedByWindow()
	var lowest []Window
	for workspace, seconds := range m.workspaces {
		found := false
		var least Window
		for from := 0; from+WindowSeconds <= len(seconds); from++ {
			w, degraded := m.window(workspace, seconds, maxServed, from)
			w.MaxServed = mostServed[from]
			if degraded && (!found || w.Margin() < least.Margin()) {
				least, found = w, true
			}
		}
		if found {
			lowest = append(lowest, least)
		}
	}
	slices.SortFunc(lowest, compareMargins)
	return lowest
}

// Merge combines the lowest windows of several meters: the lowest of each workspace.
func Merge(meters ...*Meter) []Window {
	byWorkspace := make(map[string]Window)
	for _, m := range meters {
		for _, w := range m.LowestWindows() {
			if least, found := byWorkspace[w.Workspace]; !found || compareMargins(w, least) < 0 {
				byWorkspace[w.Workspace] = w
			}
		}
	}
	lowest := make([]Window, 0, len(byWorkspace))
	for _, w := range byWorkspace {
		lowest = append(lowest, w)
	}
	slices.SortFunc(lowest, compareMargins)
	return lowest
}

func compareMargins(a, b Window) int {
	return cmp.Or(cmp.Compare(a.Margin(), b.Margin()), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.From, b.From))
}

func (m *Meter) maxServedBySecond() []float64 {
	maxServed := make([]float64, m.length)
	for _, seconds := range m.workspaces {
		for i := range seconds {
			maxServed[i] = max(maxServed[i], seconds[i].Served)
		}
	}
	return maxServed
}

// mostServedByWindow returns the service of the workspace that was served most in the
// window that begins at each second.
func (m *Meter) mostServedByWindow() []float64 {
	mostServed := make([]float64, m.length)
	for _, seconds := range m.workspaces {
		for from := 0; from+WindowSeconds <= len(seconds); from++ {
			served := 0.0
			for i := from; i < from+WindowSeconds; i++ {
				served += seconds[i].Served
			}
			mostServed[from] = max(mostServed[from], served)
		}
	}
	return mostServed
}

// window returns the window of a workspace from a second on, and whether each of its
// seconds is degraded.
func (m *Meter) window(workspace string, seconds []Second, maxServed []float64, from int) (Window, bool) {
	w := Window{Workspace: workspace, From: float64(from) + m.offset.Seconds()}
	degraded := true
	for i := from; i < from+WindowSeconds; i++ {
		w.Requested += seconds[i].Requested
		w.FairShare += min(seconds[i].Requested, maxServed[i])
		w.Served += seconds[i].Served
		degraded = degraded && seconds[i].Degraded
	}
	w.Floor = minServedFraction*w.FairShare - slackRequests*m.maxRequestWork
	return w, degraded
}
