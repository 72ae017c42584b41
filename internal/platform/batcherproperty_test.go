package platform_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/standin"
)

// recordingTable is a table that records what took effect. Its commits take random times
// and fail at random.
type recordingTable struct {
	*standin.Table
	mu      sync.Mutex
	random  *rand.Rand
	states  []map[string]uint64 // versions of the keys, initially and after each transaction
	applied map[string]int      // number of writes applied, by value
	version map[string]uint64   // version of the transaction that wrote each value
}

func newRecordingTable(seed uint64) *recordingTable {
	return &recordingTable{
		Table:   standin.NewTable(),
		random:  rand.New(rand.NewPCG(seed, seed)),
		states:  []map[string]uint64{{}},
		applied: make(map[string]int),
		version: make(map[string]uint64),
	}
}

func (t *recordingTable) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
	time.Sleep(t.randomDuration(3 * int(batchInterval)))
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := t.random.IntN(20)
	if fault == 0 {
		return 0, platform.ErrUnavailable
	}
	if fault == 1 {
		return 0, platform.ErrUncertain
	}
	version, err := t.Table.Commit(ctx, writes...)
	if err != nil {
		return 0, err
	}
	state := maps.Clone(t.states[len(t.states)-1])
	for _, w := range writes {
		state[w.Key] = version
		if w.Delete {
			delete(state, w.Key)
		}
		t.applied[string(w.Value)]++
		t.version[string(w.Value)] = version
	}
	t.states = append(t.states, state)
	if fault == 2 {
		return 0, platform.ErrUncertain
	}
	return version, nil
}

func (t *recordingTable) randomDuration(n int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.random.IntN(n))
}

// snapshot returns the number of transactions so far and the current versions of the keys.
func (t *recordingTable) snapshot() (int, map[string]uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.states) - 1, t.states[len(t.states)-1]
}

// randomWrites returns one or two writes with the given value, most of them with conditions
// that hold in state.
func randomWrites(random *rand.Rand, state map[string]uint64, value string) []platform.Write {
	var writes []platform.Write
	first := random.IntN(4)
	for i := range 1 + random.IntN(2) {
		key := fmt.Sprint("key", (first+i)%4)
		w := platform.Write{Key: key, Value: []byte(value), If: state[key], Delete: random.IntN(4) == 0}
		if random.IntN(4) == 0 {
			w.If = uint64(random.IntN(3))
		}
		writes = append(writes, w)
	}
	return writes
}

// checkResult checks that a caller's result agrees with what table recorded.
func checkResult(table *recordingTable, began int, writes []platform.Write, r result) error {
	table.mu.Lock()
	defer table.mu.Unlock()
	applied := table.applied[string(writes[0].Value)]
	version := table.version[string(writes[0].Value)]
	var conflict *platform.ConflictError
	switch {
	case r.err == nil:
		if applied != len(writes) || version != r.version {
			return errors.Newf("success at version %d, but %d of %d writes were applied at %d", r.version, applied, len(writes), version)
		}
	case errors.As(r.err, &conflict):
		if applied != 0 {
			return errors.Newf("conflict, but %d writes were applied", applied)
		}
		return checkConflict(table.states[began:], writes, conflict.Keys)
	case errors.Is(r.err, platform.ErrUnavailable):
		if applied != 0 {
			return errors.Newf("unavailable, but %d writes were applied", applied)
		}
	case errors.Is(r.err, platform.ErrUncertain):
		if applied != 0 && applied != len(writes) {
			return errors.Newf("%d of %d writes were applied", applied, len(writes))
		}
	default:
		return r.err
	}
	return nil
}

// checkConflict checks that the condition of each key in keys failed in at least one of
// states, which the table had during the call.
func checkConflict(states []map[string]uint64, writes []platform.Write, keys []string) error {
	failed := make(map[string]bool)
	for _, state := range states {
		for _, w := range writes {
			failed[w.Key] = failed[w.Key] || state[w.Key] != w.If
		}
	}
	for _, key := range keys {
		if !failed[key] {
			return errors.Newf("conflict over %q, whose condition held throughout the call", key)
		}
	}
	return nil
}

// TestBatcherResultsMatchTable checks for random commits, delays and faults that each
// caller's result agrees with what happened to its writes.
func TestBatcherResultsMatchTable(t *testing.T) {
	const seeds, callers = 150, 40
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			table := newRecordingTable(seed)
			b := runBatcher(t, table, 12)
			var running sync.WaitGroup
			for i := range callers {
				running.Go(func() {
					time.Sleep(table.randomDuration(10 * int(batchInterval)))
					began, state := table.snapshot()
					random := rand.New(rand.NewPCG(seed, uint64(i)))
					writes := randomWrites(random, state, fmt.Sprint("value", i))
					ctx, cancel := context.WithTimeout(t.Context(), table.randomDuration(20*int(batchInterval)))
					defer cancel()
					var r result
					r.version, r.err = b.Commit(ctx, writes...)
					if errors.Is(r.err, platform.ErrUncertain) {
						time.Sleep(100 * batchInterval) // until it has taken effect or can no longer do so
					}
					if err := checkResult(table, began, writes, r); err != nil {
						t.Errorf("seed %d, caller %d: %v", seed, i, err)
					}
				})
			}
			running.Wait()
			time.Sleep(100 * batchInterval)
		})
	}
}

func TestCheckResultFindsWrongResults(t *testing.T) {
	table := newRecordingTable(1)
	writes := []platform.Write{{Key: "a", Value: []byte("v")}}
	require.Error(t, checkResult(table, 0, writes, result{version: 1}))
	require.Error(t, checkResult(table, 0, writes, result{err: &platform.ConflictError{Keys: []string{"a"}}}))
	table.applied["v"] = 1
	require.Error(t, checkResult(table, 0, writes, result{err: platform.ErrUnavailable}))
}
