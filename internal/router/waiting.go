package router

import (
	"math"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	drainHalfLife   = 10 * time.Second // of the drain rate's memory
	drainTau        = float64(drainHalfLife) / math.Ln2 / float64(time.Second)
	minRetryAfter   = time.Second
	maxRetryAfter   = time.Minute
	noRateRetryTime = 5 * time.Second // when nothing has drained yet
)

// waitingRoom bounds the requests that each workspace has outstanding per pool
// at this router: those without a first answer of an agent by a limit of the
// router, those that wait in an agent's queue by the workspace's queue limit.
type waitingRoom struct {
	offeredLimit int
	mu           sync.Mutex
	lines        map[lineKey]*line
}

type lineKey struct {
	row  workspace.RowID
	pool string
}

// line holds the outstanding requests of one workspace and pool.
type line struct {
	offered int // without a first answer
	queued  int // in an agent's queue
	drained float64
	updated time.Time
}

// ticket is one outstanding request. It is used by one goroutine.
type ticket struct {
	room  *waitingRoom
	key   lineKey
	limit int // of the workspace's queue
	inQ   bool
}

func newWaitingRoom(offeredLimit int) *waitingRoom {
	return &waitingRoom{offeredLimit: offeredLimit, lines: make(map[lineKey]*line)}
}

// enter lets a request in or refuses it.
func (w *waitingRoom) enter(row *workspace.Row, pool string) (*ticket, *request.RefusedError) {
	key := lineKey{row.ID, pool}
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.lines[key]
	if l == nil {
		l = &line{updated: time.Now()}
		w.lines[key] = l
	}
	if l.offered >= w.offeredLimit {
		return nil, l.full("%d requests are being offered", l.offered)
	}
	l.offered++
	return &ticket{room: w, key: key, limit: row.QueueLimit}, nil
}

// queued notes that an agent has put the request into its queue.
func (t *ticket) queued() *request.RefusedError {
	if t.inQ {
		return nil
	}
	t.room.mu.Lock()
	defer t.room.mu.Unlock()
	l := t.room.lines[t.key]
	if l.queued >= t.limit {
		return l.full("%d requests wait, the limit is %d", l.queued, t.limit)
	}
	t.inQ = true
	l.offered--
	l.queued++
	return nil
}

// granted notes that the request got its slot.
func (t *ticket) granted() {
	t.room.mu.Lock()
	defer t.room.mu.Unlock()
	l := t.room.lines[t.key]
	l.decay()
	l.drained++
}

// leave counts the request out.
func (t *ticket) leave() {
	t.room.mu.Lock()
	defer t.room.mu.Unlock()
	l := t.room.lines[t.key]
	if t.inQ {
		l.queued--
	} else {
		l.offered--
	}
	if l.queued == 0 && l.offered == 0 {
		delete(t.room.lines, t.key)
	}
}

// full returns a refusal with the time in which the line drains.
func (l *line) full(format string, args ...any) *request.RefusedError {
	refused := refuse(request.ReasonQueueFull, format, args...)
	refused.RetryAfter = l.drainTime()
	return refused
}

// drainTime returns the time in which the line drains at its present rate.
func (l *line) drainTime() time.Duration {
	l.decay()
	rate := l.drained / drainTau // requests/s
	if rate <= 0 {
		return noRateRetryTime
	}
	wait := time.Duration(float64(l.queued+l.offered) / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// decay lets the drain rate fade with time.
func (l *line) decay() {
	now := time.Now()
	l.drained *= math.Exp2(-now.Sub(l.updated).Seconds() / drainHalfLife.Seconds())
	l.updated = now
}
