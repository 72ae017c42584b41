package platformtest

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/platform"
)

// concurrentCreates is the number of concurrent creates of one key.
const concurrentCreates = 16

func checkConcurrentCreates(ctx context.Context, table Table) error {
	var group errgroup.Group
	won := make(chan string, concurrentCreates)
	for i := range concurrentCreates {
		group.Go(func() error {
			value := strconv.Itoa(i)
			_, err := table.create(ctx, "a", value)
			if err == nil {
				won <- value
				return nil
			}
			return wantMark("losing create", err, platform.ErrConflict)
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if len(won) != 1 {
		return errors.Newf("%d of %d creates succeeded, want 1", len(won), concurrentCreates)
	}
	item, err := table.Get(ctx, "a")
	if err != nil {
		return err
	}
	if winner := <-won; string(item.Value) != winner {
		return errors.Newf("value is %q, want that of the winner, %q", item.Value, winner)
	}
	return nil
}

func checkDown(ctx context.Context, table Table) error {
	version, err := table.create(ctx, "a", "1")
	if err != nil {
		return err
	}
	table.SetFault(FaultDown)
	_, getErr := table.Get(ctx, "a")
	_, listErr := table.List(ctx, "a")
	_, commitErr := table.Commit(ctx, platform.Write{Key: "a", Value: []byte("2"), If: version})
	table.SetFault(FaultNone)
	return firstError(
		func() error { return wantMark("Get", getErr, platform.ErrUnavailable) },
		func() error { return wantMark("List", listErr, platform.ErrUnavailable) },
		func() error { return wantMark("Commit", commitErr, platform.ErrUnavailable) },
		func() error { return table.wantItem(ctx, "a", "1", version) },
	)
}

func checkAnswerLost(ctx context.Context, table Table) error {
	table.SetFault(FaultResponseLost)
	_, err := table.Commit(ctx, platform.Write{Key: "a", Value: []byte("1")})
	table.SetFault(FaultNone)
	if err := wantMark("Commit", err, platform.ErrUncertain); err != nil {
		return err
	}
	item, err := table.Get(ctx, "a")
	if err != nil {
		return err
	}
	_, err = table.Commit(ctx, platform.Write{Key: "a", Value: []byte("1")})
	return firstError(
		func() error { return wantMark("second Commit", err, platform.ErrConflict) },
		func() error { return table.wantItem(ctx, "a", "1", item.Version) },
	)
}

func checkRequestLost(ctx context.Context, table Table) error {
	table.SetFault(FaultRequestLost)
	_, err := table.Commit(ctx, platform.Write{Key: "a", Value: []byte("1")})
	table.SetFault(FaultNone)
	return firstError(
		func() error { return wantMark("Commit", err, platform.ErrUncertain) },
		func() error { return table.wantMissing(ctx, "a") },
		func() error { _, err := table.create(ctx, "a", "2"); return err },
	)
}

func checkCancelled(ctx context.Context, table Table) error {
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err := table.Commit(cancelled, platform.Write{Key: "a", Value: []byte("1")})
	switch {
	case err == nil || errors.Is(err, platform.ErrUncertain):
		return nil
	case errors.Is(err, platform.ErrUnavailable):
		return table.wantMissing(ctx, "a")
	default:
		return errors.Newf("error %v is marked neither unavailable nor uncertain", err)
	}
}
