package operator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	defaultMaxWrites     = 5                      // writes per change
	defaultRetryInterval = 500 * time.Millisecond // between retries
	defaultPollInterval  = 500 * time.Millisecond // between reads of the confirmed versions
	maxMarkAttempts      = 8                      // writes of a mark that conflicts with other changes
)

// Operator reads and changes the workspace table on behalf of an operator.
type Operator struct {
	Table platform.TableService
	VMs   platform.VMList

	MaxWrites     int           // maximum writes per change, also maximum reads after a conflict; default 5
	RetryInterval time.Duration // between retries of a write or a read; default 0.5 s
	PollInterval  time.Duration // between reads of confirmed versions; default 0.5 s
}

func (o *Operator) maxWrites() int {
	if o.MaxWrites <= 0 {
		return defaultMaxWrites
	}
	return o.MaxWrites
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// Current returns the table in the table service, or an empty table of version
// 0 when there is none.
func (o *Operator) Current(ctx context.Context) (*workspace.Table, error) {
	item, err := o.Table.Get(ctx, platform.KeyTable)
	if errors.Is(err, platform.ErrNotFound) {
		return workspace.NewTable(), nil
	}
	if err != nil {
		return nil, markPlatformError(errors.Wrap(err, "reading the table"))
	}
	return workspace.Decode(item.Value, item.Version)
}

// Plan lists the differences that replacing the rows of the table would make.
type Plan struct {
	BaseVersion uint64 // version of the table that the plan was made against
	Differences []workspace.Difference
}

// Plan returns the differences between the rows of the current table and rows.
func (o *Operator) Plan(ctx context.Context, rows []workspace.Row) (*Plan, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return nil, err
	}
	next, err := current.Apply(workspace.Change{BaseVersion: current.Version, Rows: rows, HasRows: true})
	if err != nil {
		return nil, err
	}
	return &Plan{BaseVersion: current.Version, Differences: workspace.Diff(current, next)}, nil
}

// Result is a change that was applied.
type Result struct {
	Version     uint64 // of the table with the change
	Differences []workspace.Difference
}

// Apply replaces the rows of the table if the table still has baseVersion, otherwise it
// returns a *ConflictError. If there are no differences, nothing is written and the result
// has the current version.
func (o *Operator) Apply(ctx context.Context, rows []workspace.Row, baseVersion uint64) (*Result, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return nil, err
	}
	change := workspace.Change{ID: uuid.NewString(), BaseVersion: baseVersion, Rows: rows, HasRows: true}
	return o.applyChange(ctx, current, change)
}

// Mark sets the mark of a VM. Since a mark does not depend on other changes, it is retried
// on the newer table after a conflict. For a VM that is not in the platform's list it
// returns an error marked ErrUnlisted, unless allowUnlisted is set.
func (o *Operator) Mark(ctx context.Context, vm string, mark workspace.Mark, allowUnlisted bool) (*Result, error) {
	if err := o.checkListed(ctx, vm, allowUnlisted); err != nil {
		return nil, err
	}
	for attempt := 1; ; attempt++ {
		current, err := o.Current(ctx)
		if err != nil {
			return nil, err
		}
		result, err := o.applyChange(ctx, current, workspace.Change{
			ID:          uuid.NewString(),
			BaseVersion: current.Version,
			Marks:       map[string]workspace.Mark{vm: mark},
		})
		if !errors.Is(err, ErrConflict) || attempt == maxMarkAttempts {
			return result, err
		}
	}
}

func (o *Operator) checkListed(ctx context.Context, id string, allowUnlisted bool) error {
	if allowUnlisted {
		return nil
	}
	vms, err := o.VMs.List(ctx)
	if err != nil {
		return markPlatformError(errors.Wrap(err, "reading the VM list"))
	}
	for _, vm := range vms {
		if vm.ID == id {
			return nil
		}
	}
	return errors.Wrapf(ErrUnlisted, "VM %q", id)
}

// applyChange applies change to current and commits the result, unless it has no
// differences and a table exists.
func (o *Operator) applyChange(ctx context.Context, current *workspace.Table, change workspace.Change) (*Result, error) {
	next, err := current.Apply(change)
	if errors.Is(err, workspace.ErrVersionMismatch) {
		return nil, conflictError(change.BaseVersion, current)
	}
	if err != nil {
		return nil, err
	}
	result := &Result{Version: current.Version, Differences: workspace.Diff(current, next)}
	if len(result.Differences) == 0 && current.Version > 0 {
		return result, nil
	}
	result.Version, err = o.commit(ctx, next, change)
	if err != nil {
		return nil, err
	}
	return result, nil
}

func conflictError(baseVersion uint64, current *workspace.Table) error {
	return &ConflictError{BaseVersion: baseVersion, CurrentVersion: current.Version, CurrentChangeID: current.ChangeID}
}
