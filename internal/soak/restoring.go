package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	// restoringSeedStep selects the seeds in which the store is restored from copies, of all
	// profiles.
	restoringSeedStep = 7
	// maxCopyAge bounds the age of a copy, maxRestoreOutage the time for which the store is
	// away, and maxRewriteDelay the time until the operator and the targets have written
	// again what was lost.
	maxCopyAge       = 5 * time.Second
	maxRestoreOutage = 2 * time.Second
	maxRewriteDelay  = 2 * time.Second
)

func restoresStore(seed uint64) bool { return seed%restoringSeedStep == 0 }

// startRestoring restores the store from a copy again and again. The returned function ends
// that.
func (d *deployment) startRestoring(ctx context.Context, seed uint64) func() {
	if !restoresStore(seed) {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	random := rand.New(rand.NewPCG(seed, 1<<42))
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			lost := d.store.Copy()
			clock.Sleep(ctx, upTo(maxCopyAge))
			d.restoreStore(ctx, lost, upTo(maxRestoreOutage), upTo(maxRewriteDelay))
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// restoreStore takes the store away and brings it back from a copy.
func (d *deployment) restoreStore(ctx context.Context, lost standin.StoreCopy, outage, rewriteDelay time.Duration) {
	endDisruption := d.history.BeginDisruption(Subject{Part: PartStore})
	defer endDisruption()
	d.store.SetFault(standin.StoreFault{Unresponsive: true})
	clock.Sleep(ctx, outage)
	d.store.Restore(lost)
	d.store.SetFault(standin.StoreFault{})
	clock.Sleep(ctx, rewriteDelay)
	d.store.Rewrite()
	d.mu.Lock()
	d.restores++
	d.mu.Unlock()
	clock.Sleep(ctx, settleTime)
}
