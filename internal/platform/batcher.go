package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxInFlight bounds the transactions of a Batcher that are under way.
	maxInFlight = 4
	// queueLength bounds the commits that wait in a Batcher.
	queueLength = 8192
)

// Batcher is a TableService that groups the commits of many callers into one
// transaction per tick.
//
// Invariants: a caller's writes are in one transaction, all or none; a caller
// whose own conditions hold is not refused for another caller's conflict; an
// uncertain transaction is uncertain for each of its callers.
//
// Commits that write a common key never share a transaction. When one of them
// has taken effect, the others that were waiting conflict: they were made
// before its version was known.
//
// The table must bound the time of its calls.
type Batcher struct {
	TableService
	tick      time.Duration
	maxWrites int
	queue     chan *commit
	inFlight  chan struct{}
	ended     chan struct{}
	metrics   *batchMetrics
}

// commit is one caller's commit.
type commit struct {
	writes []Write
	done   chan committed // of length 1

	mu        sync.Mutex
	withdrawn bool
	sent      bool
}

// committed is the result of a commit.
type committed struct {
	version uint64
	err     error
}

// NewBatcher returns a batcher for table. A transaction goes out a tick after
// its first commit came, or as soon as it has maxWrites writes. Nothing is
// committed until Run is called.
func NewBatcher(table TableService, tick time.Duration, maxWrites int) *Batcher {
	return &Batcher{
		TableService: table,
		tick:         tick,
		maxWrites:    maxWrites,
		queue:        make(chan *commit, queueLength),
		inFlight:     make(chan struct{}, maxInFlight),
		ended:        make(chan struct{}),
		metrics:      newBatchMetrics(),
	}
}

// Register registers the batcher's counters.
func (b *Batcher) Register(reg prometheus.Registerer) { b.metrics.register(reg) }

// Commit implements TableService. A commit whose context ends before it is
// sent is withdrawn and has no effect.
func (b *Batcher) Commit(ctx context.Context, writes ...Write) (uint64, error) {
	c := &commit{writes: writes, done: make(chan committed, 1)}
	select {
	case <-b.ended:
		return 0, b.refuse(refusedStopped)
	default:
	}
	select {
	case b.queue <- c:
	default:
		return 0, b.refuse(refusedQueueFull)
	}
	return b.await(ctx, c)
}

func (b *Batcher) await(ctx context.Context, c *commit) (uint64, error) {
	select {
	case result := <-c.done:
		return result.version, result.err
	case <-ctx.Done():
		return b.abandon(c, refusedWithdrawn)
	case <-b.ended:
		return b.abandon(c, refusedStopped)
	}
}

// abandon ends the wait for c. Its result is uncertain if it was sent.
func (b *Batcher) abandon(c *commit, reason string) (uint64, error) {
	if c.withdraw() {
		return 0, b.refuse(reason)
	}
	select {
	case result := <-c.done:
		return result.version, result.err
	default:
		return 0, errors.Wrap(ErrUncertain, "result of a transaction was not awaited")
	}
}

func (b *Batcher) refuse(reason string) error {
	b.metrics.refused.WithLabelValues(reason).Inc()
	return errors.Wrapf(ErrUnavailable, "commit was not sent (%s)", reason)
}

// withdraw reports whether c has not been sent and now never will be.
func (c *commit) withdraw() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn = !c.sent
	return c.withdrawn
}

// send reports whether c is to be sent, that is, was not withdrawn.
func (c *commit) send() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = !c.withdrawn
	return c.sent
}

// Run sends transactions until ctx ends, then sends what it has gathered and
// waits for the transactions under way.
func (b *Batcher) Run(ctx context.Context) error {
	var sending sync.WaitGroup
	defer close(b.ended)
	defer sending.Wait()
	var carried *commit // did not fit into the last transaction
	for {
		commits, next, err := b.collect(ctx, carried)
		if err != nil {
			return nil
		}
		carried = next
		sending.Go(func() {
			defer func() { <-b.inFlight }()
			b.transact(commits)
		})
	}
}

// collect takes a slot for a transaction and returns the commits that go into
// it, and the commit that did not fit.
func (b *Batcher) collect(ctx context.Context, carried *commit) ([]*commit, *commit, error) {
	first, err := b.first(ctx, carried)
	if err != nil {
		return nil, nil, err
	}
	tick := time.NewTimer(b.tick)
	defer tick.Stop()
	select {
	case b.inFlight <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	commits, next := b.gather(ctx, first, tick.C)
	return commits, next, nil
}

func (b *Batcher) first(ctx context.Context, carried *commit) (*commit, error) {
	if carried != nil {
		return carried, nil
	}
	select {
	case c := <-b.queue:
		return c, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// gather adds commits to first until the tick, or until maxWrites writes are
// gathered or ctx ends. Commits that came before the tick are all taken.
func (b *Batcher) gather(ctx context.Context, first *commit, tick <-chan time.Time) ([]*commit, *commit) {
	commits, size := []*commit{first}, len(first.writes)
	for size < b.maxWrites {
		c := b.nextCommit(ctx, tick)
		if c == nil {
			return commits, nil
		}
		if size+len(c.writes) > b.maxWrites {
			return commits, c
		}
		commits, size = append(commits, c), size+len(c.writes)
	}
	return commits, nil
}

// nextCommit returns the next commit, or nil if none came before the tick or
// the end of ctx.
func (b *Batcher) nextCommit(ctx context.Context, tick <-chan time.Time) *commit {
	select {
	case c := <-b.queue:
		return c
	default:
	}
	select {
	case c := <-b.queue:
		return c
	case <-tick:
		return nil
	case <-ctx.Done():
		return nil
	}
}

// transact sends transactions until each of commits has its result.
func (b *Batcher) transact(commits []*commit) {
	commits = slices.DeleteFunc(commits, func(c *commit) bool { return !c.send() })
	for len(commits) > 0 {
		g, waiting := split(commits)
		result := b.submit(g.writes())
		commits = b.settle(g, waiting, result)
	}
}

func (b *Batcher) submit(writes []Write) committed {
	b.metrics.transactions.Inc()
	b.metrics.writes.Add(float64(len(writes)))
	version, err := b.TableService.Commit(context.Background(), writes...)
	return committed{version, err}
}

// settle tells the commits whose results are known and returns the others.
// waiting are commits that write keys of g and were not sent with it.
func (b *Batcher) settle(g *group, waiting []*commit, result committed) []*commit {
	var conflict *ConflictError
	switch {
	case result.err == nil:
		finish(g.commits, result)
		return refuseConflicting(waiting, g.overwrites)
	case errors.As(result.err, &conflict) && g.writesAny(conflict.Keys):
		holds := func(w Write) bool { return g.failed(w, conflict.Keys) }
		left := refuseConflicting(slices.Concat(g.commits, waiting), holds)
		b.metrics.resubmitted.Add(float64(len(left)))
		return left
	case errors.Is(result.err, ErrConflict) && len(g.commits) > 1:
		b.submitEach(g.commits)
		return waiting
	default:
		finish(g.commits, result)
		finish(waiting, committed{err: errors.Wrap(ErrUnavailable, "commit was not sent after a failed one")})
		return nil
	}
}

// submitEach sends a transaction for each of commits, since it is not known
// which of them conflicts.
func (b *Batcher) submitEach(commits []*commit) {
	for _, c := range commits {
		c.done <- b.submit(c.writes)
	}
}

// refuseConflicting tells the commits with a write whose condition is known
// not to hold, and returns the others.
func refuseConflicting(commits []*commit, fails func(Write) bool) []*commit {
	var left []*commit
	for _, c := range commits {
		var keys []string
		for _, w := range c.writes {
			if fails(w) {
				keys = append(keys, w.Key)
			}
		}
		if len(keys) == 0 {
			left = append(left, c)
			continue
		}
		c.done <- committed{err: &ConflictError{Keys: keys}}
	}
	return left
}

func finish(commits []*commit, result committed) {
	for _, c := range commits {
		c.done <- result
	}
}
