package agent

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// FenceFunc returns a fencing number that is greater than all numbers it
// returned before for the same target.
type FenceFunc func(ctx context.Context) (uint64, error)

// Bounds of the delay between two tries to acquire a fencing number.
const (
	minFenceRetryInterval = 100 * time.Millisecond
	maxFenceRetryInterval = 5 * time.Second
)

// TableFence returns a FenceFunc that counts in the table service, under the VM
// ID of the target. A write whose response is lost may have consumed a number;
// the next try returns a greater one.
func TableFence(table platform.TableService, vm string) FenceFunc {
	return func(ctx context.Context) (uint64, error) {
		key := platform.PrefixFence + vm
		item, err := table.Get(ctx, key)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return 0, errors.Wrapf(err, "reading the fencing number of %q", vm)
		}
		last, err := parseFence(item)
		if err != nil {
			return 0, errors.Wrapf(err, "fencing number of %q", vm)
		}
		next := platform.Write{
			Key:   key,
			Value: []byte(strconv.FormatUint(last+1, 10)),
			If:    item.Version,
		}
		if _, err := table.Commit(ctx, next); err != nil {
			return 0, errors.Wrapf(err, "raising the fencing number of %q", vm)
		}
		return last + 1, nil
	}
}

// parseFence returns the number in item; 0 if there is no item.
func parseFence(item platform.Item) (uint64, error) {
	if item.Version == 0 {
		return 0, nil
	}
	return strconv.ParseUint(string(item.Value), 10, 64)
}

// acquireFence acquires the fencing number, retrying until ctx ends.
func (a *Agent) acquireFence(ctx context.Context) {
	if a.cfg.Fence == nil {
		a.fence.set(0)
		return
	}
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = minFenceRetryInterval
	backOff.MaxInterval = maxFenceRetryInterval
	for ctx.Err() == nil {
		number, err := a.callFence(ctx)
		if err == nil {
			a.fence.set(number)
			return
		}
		a.log.Warn("failed to acquire a fencing number; retrying", "error", err)
		a.metrics.retries.WithLabelValues("fence").Inc()
		clock.Sleep(ctx, backOff.NextBackOff())
	}
}

func (a *Agent) callFence(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.Limits.PlatformTimeout)
	defer cancel()
	return a.cfg.Fence(ctx)
}

// stopFenced permanently stops granting: the target has seen a greater fencing
// number and accepts calls only from the newer agent.
func (a *Agent) stopFenced() {
	a.fence.markRefused()
	a.log.Error("target refused the fencing number", "number", a.fence.number())
	a.sched.close(&wire.Refuse{Reason: request.ReasonFenced, RetryAfter: notReadyRetryAfter})
}

// fence holds the fencing number that the agent's calls to the target carry.
type fence struct {
	mu       sync.Mutex
	value    uint64
	acquired bool
	refused  bool // the target has seen a greater number
}

func (f *fence) set(value uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value, f.acquired = value, true
}

func (f *fence) number() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

func (f *fence) markRefused() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused = true
}

func (f *fence) isRefused() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// notReadyReason returns why the agent must not call the target, or an empty
// string.
func (f *fence) notReadyReason() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.refused:
		return "target refused the fencing number"
	case !f.acquired:
		return "no fencing number is known"
	default:
		return ""
	}
}
