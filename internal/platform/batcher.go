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
	// maxConcurrentTransactions bounds the transactions of a Batcher in flight.
	maxConcurrentTransactions = 4
	// queueLength bounds the commits that wait in a Batcher. Further ones fail at
	// once.
	queueLength = 8192
)

// Batcher is a TableService that groups the commits of many callers into one
// transaction per interval.
//
// Invariants: a caller's writes are in one transaction, all or none; a commit whose
// conditions hold does not fail because of another caller's conflict; an uncertain
// transaction is uncertain for each of its callers.
//
// Commits that write a common key are never in the same transaction. After one of
// them has taken effect, those that were waiting behind it conflict: their callers
// did not know the new version.
//
// The wrapped table must bound the time of its calls, since a Batcher does not cancel
// them.
type Batcher struct {
	TableService
	interval         time.Duration
	maxWrites        int
	queue            chan *pendingCommit
	transactionSlots chan struct{}
	stopped          chan struct{}
	metrics          *batchMetrics
}

// pendingCommit is one caller's commit that waits for its result.
type pendingCommit struct {
	writes []Write
	done   chan commitResult // capacity 1

	mu        sync.Mutex
	withdrawn bool
	sent      bool
}

// commitResult is the version and error to return to a caller.
type commitResult struct {
	version uint64
	err     error
}

// NewBatcher returns a batcher for table. A transaction is sent when interval has
// passed since its first commit arrived, or as soon as it has maxWrites writes.
// Nothing is sent until Run is called.
func NewBatcher(table TableService, interval time.Duration, maxWrites int) *Batcher {
	return &Batcher{
		TableService:     table,
		interval:         interval,
		maxWrites:        maxWrites,
		queue:            make(chan *pendingCommit, queueLength),
		transactionSlots: make(chan struct{}, maxConcurrentTransactions),
		stopped:          make(chan struct{}),
		metrics:          newBatchMetrics(),
	}
}

// Register registers the batcher's metrics.
func (b *Batcher) Register(reg prometheus.Registerer) { b.metrics.register(reg) }

// Commit implements TableService. A commit whose context ends before it is sent has
// no effect.
func (b *Batcher) Commit(ctx context.Context, writes ...Write) (uint64, error) {
	c := &pendingCommit{writes: writes, done: make(chan commitResult, 1)}
	select {
	case <-b.stopped:
		return 0, b.unsentError(reasonStopped)
	default:
	}
	select {
	case b.queue <- c:
	default:
		return 0, b.unsentError(reasonQueueFull)
	}
	return b.awaitResult(ctx, c)
}

func (b *Batcher) awaitResult(ctx context.Context, c *pendingCommit) (uint64, error) {
	select {
	case result := <-c.done:
		return result.version, result.err
	case <-ctx.Done():
		return b.abandon(c, reasonWithdrawn)
	case <-b.stopped:
		return b.abandon(c, reasonStopped)
	}
}

// abandon stops waiting for c. The result is uncertain if c was sent.
func (b *Batcher) abandon(c *pendingCommit, reason string) (uint64, error) {
	if c.withdraw() {
		return 0, b.unsentError(reason)
	}
	select {
	case result := <-c.done:
		return result.version, result.err
	default:
		return 0, errors.Wrap(ErrUncertain, "result of a transaction was not awaited")
	}
}

func (b *Batcher) unsentError(reason string) error {
	b.metrics.unsent.WithLabelValues(reason).Inc()
	return errors.Wrapf(ErrUnavailable, "commit was not sent (%s)", reason)
}

// withdraw cancels c unless it has been sent. It reports whether c will never be
// sent.
func (c *pendingCommit) withdraw() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn = !c.sent
	return c.withdrawn
}

// markSent reports whether c may be sent, which is so unless it was withdrawn. From
// then on c cannot be withdrawn.
func (c *pendingCommit) markSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = !c.withdrawn
	return c.sent
}

// Run sends transactions until ctx ends, then sends the commits that it has collected
// and waits for the transactions in flight. It always returns nil.
func (b *Batcher) Run(ctx context.Context) error {
	var sending sync.WaitGroup
	defer close(b.stopped)
	defer sending.Wait()
	var overflow *pendingCommit // exceeded the size of the previous transaction
	for {
		commits, next, err := b.collectTransaction(ctx, overflow)
		if err != nil {
			return nil
		}
		overflow = next
		sending.Go(func() {
			defer func() { <-b.transactionSlots }()
			b.commitAll(commits)
		})
	}
}

// collectTransaction acquires a transaction slot. It returns the commits of the next
// transaction and the commit, if any, that exceeded its size limit.
func (b *Batcher) collectTransaction(ctx context.Context, overflow *pendingCommit) ([]*pendingCommit, *pendingCommit, error) {
	first, err := b.nextFirst(ctx, overflow)
	if err != nil {
		return nil, nil, err
	}
	timer := time.NewTimer(b.interval)
	defer timer.Stop()
	select {
	case b.transactionSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	commits, next := b.collectUntil(ctx, first, timer.C)
	return commits, next, nil
}

func (b *Batcher) nextFirst(ctx context.Context, overflow *pendingCommit) (*pendingCommit, error) {
	if overflow != nil {
		return overflow, nil
	}
	select {
	case c := <-b.queue:
		return c, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// collectUntil adds commits to first until the interval has expired, maxWrites writes
// are collected, or ctx ends. All commits that are queued by then are included.
func (b *Batcher) collectUntil(ctx context.Context, first *pendingCommit, expired <-chan time.Time) ([]*pendingCommit, *pendingCommit) {
	commits, size := []*pendingCommit{first}, len(first.writes)
	for size < b.maxWrites {
		c := b.nextBefore(ctx, expired)
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

// nextBefore returns the next commit, or nil if none arrives before the interval has
// expired or ctx ends.
func (b *Batcher) nextBefore(ctx context.Context, expired <-chan time.Time) *pendingCommit {
	select {
	case c := <-b.queue:
		return c
	default:
	}
	select {
	case c := <-b.queue:
		return c
	case <-expired:
		return nil
	case <-ctx.Done():
		return nil
	}
}

// commitAll sends transactions until each of commits has its result.
func (b *Batcher) commitAll(commits []*pendingCommit) {
	commits = slices.DeleteFunc(commits, func(c *pendingCommit) bool { return !c.markSent() })
	for len(commits) > 0 {
		g, overlapping := splitOverlapping(commits)
		result := b.sendTransaction(g.writes())
		commits = b.deliverResults(g, overlapping, result)
	}
}

func (b *Batcher) sendTransaction(writes []Write) commitResult {
	b.metrics.transactions.Inc()
	b.metrics.writes.Add(float64(len(writes)))
	version, err := b.TableService.Commit(context.Background(), writes...)
	return commitResult{version, err}
}

// deliverResults sends their results to the commits that have one after the
// transaction of g, and returns the commits to send next. overlapping are commits that
// write keys of g and were not sent with it.
func (b *Batcher) deliverResults(g *commitGroup, overlapping []*pendingCommit, result commitResult) []*pendingCommit {
	var conflict *ConflictError
	switch {
	case result.err == nil:
		deliver(g.commits, result)
		return failConflicting(overlapping, g.invalidates)
	case errors.As(result.err, &conflict) && g.writesAny(conflict.Keys):
		fails := func(w Write) bool { return g.conditionFailed(w, conflict.Keys) }
		remaining := failConflicting(slices.Concat(g.commits, overlapping), fails)
		b.metrics.resubmitted.Add(float64(len(remaining)))
		return remaining
	case errors.Is(result.err, ErrConflict) && len(g.commits) > 1:
		b.sendEach(g.commits)
		return overlapping
	default:
		deliver(g.commits, result)
		deliver(overlapping, commitResult{err: errors.Wrap(ErrUnavailable, "commit was not sent after a failed one")})
		return nil
	}
}

// sendEach sends each commit in a transaction of its own. The conflict of their common
// transaction named none of its keys, so it is not known which commit failed.
func (b *Batcher) sendEach(commits []*pendingCommit) {
	for _, c := range commits {
		c.done <- b.sendTransaction(c.writes)
	}
}

// failConflicting sends a ConflictError to each commit with a write whose condition is
// known not to hold, and returns the other commits.
func failConflicting(commits []*pendingCommit, fails func(Write) bool) []*pendingCommit {
	var remaining []*pendingCommit
	for _, c := range commits {
		var keys []string
		for _, w := range c.writes {
			if fails(w) {
				keys = append(keys, w.Key)
			}
		}
		if len(keys) == 0 {
			remaining = append(remaining, c)
			continue
		}
		c.done <- commitResult{err: &ConflictError{Keys: keys}}
	}
	return remaining
}

func deliver(commits []*pendingCommit, result commitResult) {
	for _, c := range commits {
		c.done <- result
	}
}
