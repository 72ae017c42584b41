package operator

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// commit writes next on the version of change and returns its version. A write
// whose effect is uncertain is looked up; while the table still has the old
// version it may land later, so it is tried again on that version: of all tries
// the table service lets one through at most, and the change ID tells whether
// it did.
func (o *Operator) commit(ctx context.Context, next *workspace.Table, change workspace.Change) (uint64, error) {
	writes, err := o.writes(ctx, next, change)
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
			return o.settle(ctx, change, uncertain)
		case errors.Is(err, platform.ErrUncertain):
			uncertain = true
			if current, readErr := o.Current(ctx); readErr == nil && current.Version != change.Against {
				return outcome(current, change)
			}
		case !errors.Is(err, platform.ErrUnavailable):
			return 0, err
		}
		if attempt == o.attempts() || !clock.Sleep(ctx, orDefault(o.Pause, defaultPause)) {
			return 0, gaveUp(err, change, uncertain)
		}
	}
}

// writes returns the writes of one transaction that put next in the place of the
// version of change.
func (o *Operator) writes(ctx context.Context, next *workspace.Table, change workspace.Change) ([]platform.Write, error) {
	data, err := next.Encode()
	if err != nil {
		return nil, err
	}
	item, err := o.Table.Get(ctx, platform.KeyTableVersion)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, translate(errors.Wrap(err, "reading the version of the table"))
	}
	return []platform.Write{
		{Key: platform.KeyTable, Value: data, If: change.Against},
		{Key: platform.KeyTableVersion, Value: []byte(change.ID), If: item.Version},
	}, nil
}

// settle finds out by reading whether the change is in the table although the
// last write met another version than it was planned against.
func (o *Operator) settle(ctx context.Context, change workspace.Change, uncertain bool) (uint64, error) {
	var err error
	for range o.attempts() {
		var current *workspace.Table
		current, err = o.Current(ctx)
		if err == nil {
			return outcome(current, change)
		}
		if !clock.Sleep(ctx, orDefault(o.Pause, defaultPause)) {
			break
		}
	}
	if uncertain {
		return 0, gaveUp(err, change, true)
	}
	return 0, errors.Mark(errors.Wrapf(err, "change against version %d lost a race; nothing was changed, "+
		"and the current version could not be read", change.Against), ErrConflict)
}

// outcome tells from a table of another version than change was planned against
// whether the change is part of it. If not, it never will be.
func outcome(current *workspace.Table, change workspace.Change) (uint64, error) {
	if current.Includes(change.ID) {
		return current.Version, nil
	}
	return 0, conflict(change.Against, current)
}

// gaveUp is the error of a change that could not be written.
func gaveUp(err error, change workspace.Change, uncertain bool) error {
	if uncertain {
		return errors.Mark(errors.Wrapf(err, "change %q against version %d may or may not take effect; "+
			"look with \"table status\" and plan again", change.ID, change.Against), ErrUncertain)
	}
	return errors.Mark(errors.Wrapf(err, "change against version %d was not written", change.Against), ErrPlatform)
}
