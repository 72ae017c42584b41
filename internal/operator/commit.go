package operator

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// commit writes next on the condition that the table has the base version of change, and
// returns the new version.
//
// After a write whose effect is uncertain it reads the table. While the table still has the
// base version, the write may take effect later, so it is retried on that version: the
// table service applies at most one of these writes, and the change ID shows whether it
// did.
func (o *Operator) commit(ctx context.Context, next *workspace.Table, change workspace.Change) (uint64, error) {
	writes, err := o.transaction(ctx, next, change)
	if err != nil {
		return 0, err
	}
	uncertain := false
	for attempt := 1; ; attempt++ {
		version, err := o.Table.Commit(ctx, writes...)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, platform.ErrConflict):
			return o.resolveConflict(ctx, change, uncertain)
		case errors.Is(err, platform.ErrUncertain):
			uncertain = true
			if current, readErr := o.Current(ctx); readErr == nil && current.Version != change.BaseVersion {
				return includedVersion(current, change)
			}
		case !errors.Is(err, platform.ErrUnavailable):
			return 0, err
		}
		if attempt == o.maxWrites() || !clock.Sleep(ctx, orDefault(o.RetryInterval, defaultRetryInterval)) {
			return 0, unwrittenError(err, change, uncertain)
		}
	}
}

// transaction returns the writes that replace the base version of change by next in one
// transaction.
func (o *Operator) transaction(ctx context.Context, next *workspace.Table, change workspace.Change) ([]platform.Write, error) {
	data, err := next.Encode()
	if err != nil {
		return nil, err
	}
	item, err := o.Table.Get(ctx, platform.KeyTableVersion)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, markPlatformError(errors.Wrap(err, "reading the version of the table"))
	}
	return []platform.Write{
		{Key: platform.KeyTable, Value: data, If: change.BaseVersion},
		{Key: platform.KeyTableVersion, Value: []byte(change.ID), If: item.Version},
	}, nil
}

// resolveConflict reads the table after a write failed because the table no longer has the
// base version. If an earlier write of the change took effect, it returns the version of
// the table. uncertain says that an earlier write may have taken effect.
func (o *Operator) resolveConflict(ctx context.Context, change workspace.Change, uncertain bool) (uint64, error) {
	var err error
	for range o.maxWrites() {
		var current *workspace.Table
		current, err = o.Current(ctx)
		if err == nil {
			return includedVersion(current, change)
		}
		if !clock.Sleep(ctx, orDefault(o.RetryInterval, defaultRetryInterval)) {
			break
		}
	}
	if uncertain {
		return 0, unwrittenError(err, change, true)
	}
	return 0, errors.Mark(errors.Wrapf(err, "change against version %d conflicted with another change; nothing was changed, "+
		"and the current version could not be read", change.BaseVersion), ErrConflict)
}

// includedVersion returns the version of current if the change is part of it, otherwise a
// *ConflictError. current must have another version than the change's base version, so
// that a change that is not part of it never will be.
func includedVersion(current *workspace.Table, change workspace.Change) (uint64, error) {
	if current.IncludesChange(change.ID) {
		return current.Version, nil
	}
	return 0, conflictError(change.BaseVersion, current)
}

// unwrittenError returns the error of a change whose write did not succeed, marked
// ErrUncertain or ErrPlatform.
func unwrittenError(err error, change workspace.Change, uncertain bool) error {
	if uncertain {
		return errors.Mark(errors.Wrapf(err, "change %q against version %d may or may not take effect; "+
			"check with \"table status\" and plan again", change.ID, change.BaseVersion), ErrUncertain)
	}
	return errors.Mark(errors.Wrapf(err, "change against version %d was not written", change.BaseVersion), ErrPlatform)
}
