package limit

import (
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness/source"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Admission keeps the rate and the queue limits of the workspaces of one pool
// at one router.
type Admission struct {
	mu      sync.Mutex
	own     string
	members int
	floor   float64
	limits  map[workspace.RowID]Limits
	rows    map[workspace.RowID]*admissionRow
	sources source.Set
}

// NewAdmission returns an Admission without limits. own is the name of the
// source whose sums contain those of this router, such as its failure domain;
// empty: none.
func NewAdmission(own string) *Admission {
	return &Admission{
		own:     own,
		members: 1,
		floor:   1,
		rows:    make(map[workspace.RowID]*admissionRow),
		sources: make(source.Set),
	}
}

// SetLimits replaces the limits. Workspaces that are not in it are forgotten
// once nothing of them waits here.
func (a *Admission) SetLimits(limits map[workspace.RowID]Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
	for ws, r := range a.rows {
		r.limits = limits[ws]
		if _, ok := limits[ws]; !ok && r.waiting == 0 {
			delete(a.rows, ws)
			a.sources.ForgetRow(ws)
		}
	}
}

// SetMembers sets how many routers admit requests, this one included.
func (a *Admission) SetMembers(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members = max(n, 1)
	a.floor = floorShare(n)
}

// Admit takes in a request of ws, which waits from then on, or returns a
// *request.RefusedError that names the limit and says when to come back.
func (a *Admission) Admit(ws workspace.RowID, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.row(ws, now)
	r.advance(now, a.floor)
	if refused := r.refuse(now); refused != nil {
		return refused
	}
	r.admit()
	return nil
}

// Done ends the wait of an admitted request of ws: it got a slot or was given
// up.
func (a *Admission) Done(ws workspace.RowID, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.row(ws, now)
	r.advance(now, a.floor)
	r.waiting = max(r.waiting-1, 0)
	r.drained++
	r.queue.left++
}

// Own returns the sums of this router to report: admitted and waiting requests.
func (a *Admission) Own() []wire.Sum {
	a.mu.Lock()
	defer a.mu.Unlock()
	sums := make([]wire.Sum, 0, len(a.rows))
	for ws, r := range a.rows {
		if r.total == 0 {
			continue
		}
		sums = append(sums, wire.Sum{Workspace: ws, Started: r.total, Queued: uint32(r.waiting)})
	}
	return sums
}

// Merge takes in the sums that a source reported.
func (a *Admission) Merge(from Source, sums []wire.Sum, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sources.Apply(from.report(sums, a.limits, now), func(c source.Change) { a.change(c, now) })
}

// Expire gives up the waiting requests of sources that fell silent. Call it
// about once a second.
func (a *Admission) Expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sources.Expire(now, func(c source.Change) { a.change(c, now) })
}

// change takes in what changed at a source. a.mu is held.
func (a *Admission) change(c source.Change, now time.Time) {
	r := a.row(c.Workspace, now)
	r.advance(now, a.floor)
	r.merge(c, c.Name == a.own, a.members)
}

// row returns the row of ws and makes it if needed. a.mu is held.
func (a *Admission) row(ws workspace.RowID, now time.Time) *admissionRow {
	r := a.rows[ws]
	if r == nil {
		limits := a.limits[ws]
		r = &admissionRow{limits: limits, at: now}
		r.recent.at = now
		r.local.tokens = room(limits.Rate * a.floor)
		r.global.tokens = room(limits.Rate)
		a.rows[ws] = r
	}
	return r
}

// admissionRow is one workspace at one router.
type admissionRow struct {
	limits  Limits
	at      time.Time // of the newest advance
	total   uint64    // admitted here
	waiting int       // here

	elsewhere int    // waiting at the sources without this router
	around    int    // waiting at the source that contains this router
	unseen    uint64 // admitted here and not yet seen in the sums around

	part    float64 // of each limit that this router may take
	local   bucket  // its part of the rate
	global  bucket  // the whole rate, as known
	queue   allowance
	recent  share
	drained float64 // left the queues of the fleet lately
}

// waitingInFleet returns the requests known to wait in the fleet.
func (r *admissionRow) waitingInFleet() int { return r.elsewhere + max(r.waiting, r.around) }

// advance brings the row up to now. floor is the least share.
func (r *admissionRow) advance(now time.Time, floor float64) {
	passed := max(0, now.Sub(r.at).Seconds())
	r.at = now
	r.part = r.recent.of(floor)
	r.local.fill(r.limits.Rate*r.part, passed)
	r.global.fill(r.limits.Rate, passed)
	r.drained *= fading(passed)
	r.recent.fade(now)
	r.queue.advance(now, r.limits.Queue-r.waitingInFleet(), r.part)
}

// refuse returns why no request may be admitted, or nil.
func (r *admissionRow) refuse(now time.Time) error {
	if r.limits.Rate > 0 && min(r.local.tokens, r.global.tokens) < 1 {
		return refuse(request.ReasonRateLimit, r.untilToken())
	}
	if r.limits.Queue <= 0 {
		return nil
	}
	if r.waitingInFleet() >= r.limits.Queue {
		return refuse(request.ReasonQueueFull, r.untilDrained())
	}
	if r.queue.spent() {
		return refuse(request.ReasonQueueFull, r.queue.opened.Add(window).Sub(now))
	}
	return nil
}

func (r *admissionRow) admit() {
	r.local.tokens--
	r.global.tokens--
	r.queue.left--
	r.recent.own++
	r.total++
	r.unseen++
	r.waiting++
}

// merge takes in what changed at a source.
func (r *admissionRow) merge(c source.Change, own bool, members int) {
	growth := c.Growth
	if own {
		seen := min(growth, r.unseen)
		r.unseen -= seen
		growth -= seen
		r.around = int(c.After.Queued)
	} else {
		r.elsewhere += int(c.After.Queued) - int(c.Before.Queued)
		r.drained += max(0, float64(c.Growth)+float64(c.Before.Queued)-float64(c.After.Queued))
	}
	r.global.owe(float64(growth), r.limits.Rate*debt+float64(members))
	r.recent.others += float64(growth)
}

// untilToken is the time until the rate has a token again.
func (r *admissionRow) untilToken() time.Duration {
	return seconds(max(r.local.wait(r.limits.Rate*r.part), r.global.wait(r.limits.Rate)))
}

// untilDrained is the time in which as many requests leave the queues as wait
// beyond nine tenths of the limit.
func (r *admissionRow) untilDrained() time.Duration {
	excess := max(1, float64(r.waitingInFleet())-0.9*float64(r.limits.Queue))
	if r.drained <= 0 {
		return maxRetryAfter
	}
	return seconds(excess * shareMemory / r.drained)
}
