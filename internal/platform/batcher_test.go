package platform_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/standin"
)

// result is the result of one caller's commit.
type result struct {
	version uint64
	err     error
}

// commitConcurrently makes each of commits from a goroutine of its own.
func commitConcurrently(ctx context.Context, b *platform.Batcher, commits ...[]platform.Write) []result {
	return commitEachThen(ctx, b, func() {}, commits)
}

// commitInOrder makes the commits concurrently within one interval. They reach the
// batcher in the given order.
func commitInOrder(ctx context.Context, b *platform.Batcher, commits ...[]platform.Write) []result {
	return commitEachThen(ctx, b, synctest.Wait, commits)
}

// commitEachThen makes each of commits from a goroutine of its own and calls pause after
// starting each. It returns the results when all are known.
func commitEachThen(ctx context.Context, b *platform.Batcher, pause func(), commits [][]platform.Write) []result {
	results := make([]result, len(commits))
	var callers sync.WaitGroup
	for i, writes := range commits {
		callers.Go(func() { results[i].version, results[i].err = b.Commit(ctx, writes...) })
		pause()
	}
	callers.Wait()
	return results
}

func create(key string) []platform.Write { return []platform.Write{{Key: key}} }

// withBatcher runs check in a synctest bubble on a batcher that wraps a stand-in table.
func withBatcher(t *testing.T, maxWrites int, check func(*testing.T, *standin.Table, *platform.Batcher)) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		check(t, table, runBatcher(t, table, maxWrites))
	})
}

// runBatcher runs a batcher that wraps table until the test ends.
func runBatcher(t *testing.T, table platform.TableService, maxWrites int) *platform.Batcher {
	b := platform.NewBatcher(table, batchInterval, maxWrites)
	go func() { _ = b.Run(t.Context()) }()
	return b
}

func requireTransactions(t *testing.T, table *standin.Table, want uint64) {
	t.Helper()
	_, writes := table.Calls()
	require.Equal(t, want, writes, "transactions")
}

func TestBatcherSendsOneTransactionPerInterval(t *testing.T) {
	withBatcher(t, 1000, func(t *testing.T, table *standin.Table, b *platform.Batcher) {
		var commits [][]platform.Write
		for i := range 100 {
			commits = append(commits, create(fmt.Sprint(i)))
		}
		began := time.Now()
		for _, r := range commitConcurrently(t.Context(), b, commits...) {
			require.NoError(t, r.err)
			require.Equal(t, uint64(1), r.version)
		}
		require.Equal(t, batchInterval, time.Since(began))
		requireTransactions(t, table, 1)
	})
}

func TestBatcherLimitsWritesPerTransaction(t *testing.T) {
	withBatcher(t, 10, func(t *testing.T, table *standin.Table, b *platform.Batcher) {
		var commits [][]platform.Write
		for i := range 20 {
			writes := []platform.Write{{Key: fmt.Sprint("a", i)}, {Key: fmt.Sprint("b", i)}, {Key: fmt.Sprint("c", i)}}
			commits = append(commits, writes)
		}
		for _, r := range commitConcurrently(t.Context(), b, commits...) {
			require.NoError(t, r.err)
		}
		requireTransactions(t, table, 7)
	})
}

func TestBatcherFailsOnlyConflictingCallers(t *testing.T) {
	withBatcher(t, 1000, func(t *testing.T, table *standin.Table, b *platform.Batcher) {
		_, err := table.Commit(t.Context(), create("taken")...)
		require.NoError(t, err)
		results := commitConcurrently(t.Context(), b,
			create("a"), append(create("b"), create("taken")...), create("c"))
		require.NoError(t, results[0].err)
		require.NoError(t, results[2].err)
		var conflict *platform.ConflictError
		require.ErrorAs(t, results[1].err, &conflict)
		require.Equal(t, []string{"taken"}, conflict.Keys)
		_, err = table.Get(t.Context(), "b")
		require.ErrorIs(t, err, platform.ErrNotFound)
		requireTransactions(t, table, 3)
	})
}

// TestBatcherSameKeyCommitsNeedFewTransactions checks that many creates of one key do not
// cost one transaction each.
func TestBatcherSameKeyCommitsNeedFewTransactions(t *testing.T) {
	for name, taken := range map[string]bool{"new key": false, "existing key": true} {
		t.Run(name, func(t *testing.T) {
			withBatcher(t, 1000, func(t *testing.T, table *standin.Table, b *platform.Batcher) {
				if taken {
					_, err := table.Commit(t.Context(), create("key")...)
					require.NoError(t, err)
				}
				commits := make([][]platform.Write, 100)
				for i := range commits {
					commits[i] = create("key")
				}
				won := 0
				for _, r := range commitConcurrently(t.Context(), b, commits...) {
					if r.err == nil {
						won++
						continue
					}
					require.ErrorIs(t, r.err, platform.ErrConflict)
				}
				if taken {
					require.Zero(t, won)
					requireTransactions(t, table, 2)
					return
				}
				require.Equal(t, 1, won)
				requireTransactions(t, table, 1)
			})
		})
	}
}

func TestBatcherOrdersCommitsOfOneKey(t *testing.T) {
	const version = 1 // version of the key before the commits
	update := []platform.Write{{Key: "key", If: version}}
	remove := []platform.Write{{Key: "key", Delete: true, If: version}}
	for name, c := range map[string]struct {
		first, second       []platform.Write
		firstErr, secondErr error
	}{
		"update after update":        {update, update, nil, platform.ErrConflict},
		"create after delete":        {remove, create("key"), nil, nil},
		"delete after delete":        {remove, remove, nil, platform.ErrConflict},
		"update after failed create": {create("key"), update, platform.ErrConflict, nil},
		"create after failed create": {create("key"), create("key"), platform.ErrConflict, platform.ErrConflict},
	} {
		t.Run(name, func(t *testing.T) {
			withBatcher(t, 1000, func(t *testing.T, table *standin.Table, b *platform.Batcher) {
				_, err := table.Commit(t.Context(), create("key")...)
				require.NoError(t, err)
				results := commitInOrder(t.Context(), b, c.first, c.second)
				require.ErrorIs(t, results[0].err, c.firstErr)
				require.ErrorIs(t, results[1].err, c.secondErr)
			})
		})
	}
}

// TestBatcherDoesNotSendCommitAfterUncertainOne checks that a commit that overlaps an
// uncertain one is not sent: the version of its key is not known.
func TestBatcherDoesNotSendCommitAfterUncertainOne(t *testing.T) {
	withBatcher(t, 1000, func(t *testing.T, table *standin.Table, b *platform.Batcher) {
		failNextCalls(table, 1, standin.FaultResponseLost)
		results := commitInOrder(t.Context(), b, create("key"), create("key"))
		require.ErrorIs(t, results[0].err, platform.ErrUncertain)
		require.ErrorIs(t, results[1].err, platform.ErrUnavailable)
		requireTransactions(t, table, 1)
	})
}

// conflictsWithoutKeys is a table service whose conflicts do not name keys.
type conflictsWithoutKeys struct{ *standin.Table }

func (c conflictsWithoutKeys) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
	version, err := c.Table.Commit(ctx, writes...)
	if err != nil {
		return 0, platform.ErrConflict
	}
	return version, nil
}

func TestBatcherResolvesConflictWithoutKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		_, err := table.Commit(t.Context(), create("taken")...)
		require.NoError(t, err)
		b := runBatcher(t, conflictsWithoutKeys{table}, 10)
		results := commitConcurrently(t.Context(), b, create("a"), create("taken"), create("b"))
		require.NoError(t, results[0].err)
		require.ErrorIs(t, results[1].err, platform.ErrConflict)
		require.NoError(t, results[2].err)
	})
}

func TestBatcherReturnsTransactionErrorToEachCaller(t *testing.T) {
	for fault, want := range map[standin.Fault]error{
		standin.FaultResponseLost: platform.ErrUncertain,
		standin.FaultRequestLost:  platform.ErrUncertain,
		standin.FaultDown:         platform.ErrUnavailable,
	} {
		withBatcher(t, 1000, func(t *testing.T, table *standin.Table, b *platform.Batcher) {
			failNextCalls(table, 1, fault)
			for _, r := range commitConcurrently(t.Context(), b, create("a"), create("b"), create("c")) {
				require.ErrorIs(t, r.err, want)
			}
			requireTransactions(t, table, 1)
		})
	}
}

func TestBatcherNeverSendsWithdrawnCommit(t *testing.T) {
	withBatcher(t, 1000, func(t *testing.T, table *standin.Table, b *platform.Batcher) {
		ctx, cancel := context.WithTimeout(t.Context(), batchInterval/2)
		defer cancel()
		_, err := b.Commit(ctx, create("a")...)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		time.Sleep(10 * batchInterval)
		requireTransactions(t, table, 0)
	})
}

// slowTable is a table service whose commits take a second.
type slowTable struct{ *standin.Table }

func (s slowTable) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
	time.Sleep(time.Second)
	return s.Table.Commit(ctx, writes...)
}

func TestBatcherCancelledAfterSendIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := slowTable{standin.NewTable()}
		b := runBatcher(t, table, 10)
		ctx, cancel := context.WithTimeout(t.Context(), 2*batchInterval)
		defer cancel()
		_, err := b.Commit(ctx, create("a")...)
		require.ErrorIs(t, err, platform.ErrUncertain)
		time.Sleep(2 * time.Second)
		_, err = table.Get(t.Context(), "a")
		require.NoError(t, err)
	})
}

func TestBatcherStopSendsCollectedCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := platform.NewBatcher(slowTable{standin.NewTable()}, batchInterval, 10)
		running, stop := context.WithCancel(t.Context())
		go func() { _ = b.Run(running) }()
		var sent, late result
		var callers sync.WaitGroup
		callers.Go(func() { sent.version, sent.err = b.Commit(t.Context(), create("a")...) })
		time.Sleep(2 * batchInterval)
		callers.Go(func() { late.version, late.err = b.Commit(t.Context(), create("b")...) })
		time.Sleep(batchInterval / 2)
		stop()
		callers.Wait()
		require.NoError(t, sent.err)
		require.NoError(t, late.err)
		_, err := b.Commit(t.Context(), create("c")...)
		require.ErrorIs(t, err, platform.ErrUnavailable)
	})
}

func TestBatcherCountsUnsentCommitsByReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reg := prometheus.NewRegistry()
		b := platform.NewBatcher(standin.NewTable(), batchInterval, 10)
		b.Register(reg)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		full := make([][]platform.Write, 8192+1) // one more than the queue holds
		for _, r := range commitConcurrently(ctx, b, full...) {
			require.ErrorIs(t, r.err, platform.ErrUnavailable)
		}
		running, stop := context.WithCancel(t.Context())
		stop()
		require.NoError(t, b.Run(running))
		_, err := b.Commit(t.Context(), create("a")...)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		require.NoError(t, testutil.GatherAndCompare(reg, strings.NewReader(`
# HELP mastichollow_platform_batch_refused_total Commits that were not sent, by reason.
# TYPE mastichollow_platform_batch_refused_total counter
mastichollow_platform_batch_refused_total{reason="queue_full"} 1
mastichollow_platform_batch_refused_total{reason="stopped"} 1
mastichollow_platform_batch_refused_total{reason="withdrawn"} 8192
`), "mastichollow_platform_batch_refused_total"))
	})
}

func BenchmarkBatcher(b *testing.B) {
	for _, callers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			table := standin.NewTable()
			batcher := platform.NewBatcher(table, time.Millisecond, 4096)
			go func() { _ = batcher.Run(b.Context()) }()
			b.ResetTimer()
			for round := range b.N {
				commits := make([][]platform.Write, callers)
				for i := range commits {
					commits[i] = create(fmt.Sprint(round, "/", i))
				}
				commitConcurrently(b.Context(), batcher, commits...)
			}
			_, transactions := table.Calls()
			b.ReportMetric(float64(callers*b.N)/float64(transactions), "writes/transaction")
			b.ReportMetric(float64(callers*b.N)/b.Elapsed().Seconds(), "claims/s")
		})
	}
}
