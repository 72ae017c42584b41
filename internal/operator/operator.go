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
	defaultAttempts = 5                      // writes of one change whose effect stays uncertain
	defaultPause    = 500 * time.Millisecond // between them
	defaultPoll     = 500 * time.Millisecond // between reads of the confirmed versions
	markAttempts    = 8                      // races that a mark may lose
)

// Operator changes the workspace table on behalf of an operator.
type Operator struct {
	Table platform.TableService
	VMs   platform.VMList

	Attempts int           // writes of one change whose effect stays uncertain; default 5
	Pause    time.Duration // between them; default 0.5 s
	Poll     time.Duration // between reads of confirmed versions; default 0.5 s
}

func (o *Operator) attempts() int {
	if o.Attempts <= 0 {
		return defaultAttempts
	}
	return o.Attempts
}

func orDefault(d, value time.Duration) time.Duration {
	if d <= 0 {
		return value
	}
	return d
}

// Current returns the table in the table service, or an empty table of version
// 0 when there is none.
func (o *Operator) Current(ctx context.Context) (*workspace.Table, error) {
	item, err := o.Table.Get(ctx, platform.KeyTable)
	if errors.Is(err, platform.ErrNotFound) {
		return workspace.New(), nil
	}
	if err != nil {
		return nil, translate(errors.Wrap(err, "reading the table"))
	}
	return workspace.Decode(item.Value, item.Version)
}

// Plan is the difference that a set of rows would make.
type Plan struct {
	Against     uint64 // version of the table that the plan was made against
	Differences []workspace.Difference
}

// Plan returns the difference between the current table and rows.
func (o *Operator) Plan(ctx context.Context, rows []workspace.Row) (*Plan, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return nil, err
	}
	next, err := current.Apply(workspace.Change{Against: current.Version, Rows: rows, HasRows: true})
	if err != nil {
		return nil, err
	}
	return &Plan{Against: current.Version, Differences: workspace.Diff(current, next)}, nil
}

// Result is a change that was applied.
type Result struct {
	Version     uint64 // of the table with the change
	Differences []workspace.Difference
}

// Apply replaces the rows of the table if it still has the version against. No
// differences: nothing is written and the result has the current version.
func (o *Operator) Apply(ctx context.Context, rows []workspace.Row, against uint64) (*Result, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return nil, err
	}
	change := workspace.Change{ID: uuid.NewString(), Against: against, Rows: rows, HasRows: true}
	return o.change(ctx, current, change)
}

// Mark marks a VM. A mark does not depend on other changes: a lost race is
// tried again on the newer table. A VM that the platform's list does not name
// is an error marked ErrUnlisted unless unlisted is set.
func (o *Operator) Mark(ctx context.Context, vm string, mark workspace.Mark, unlisted bool) (*Result, error) {
	if err := o.checkListed(ctx, vm, unlisted); err != nil {
		return nil, err
	}
	for attempt := 1; ; attempt++ {
		current, err := o.Current(ctx)
		if err != nil {
			return nil, err
		}
		result, err := o.change(ctx, current, workspace.Change{
			ID:      uuid.NewString(),
			Against: current.Version,
			Marks:   map[string]workspace.Mark{vm: mark},
		})
		if !errors.Is(err, ErrConflict) || attempt == markAttempts {
			return result, err
		}
	}
}

func (o *Operator) checkListed(ctx context.Context, id string, unlisted bool) error {
	if unlisted {
		return nil
	}
	vms, err := o.VMs.List(ctx)
	if err != nil {
		return translate(errors.Wrap(err, "reading the VM list"))
	}
	for _, vm := range vms {
		if vm.ID == id {
			return nil
		}
	}
	return errors.Wrapf(ErrUnlisted, "VM %q", id)
}

// change commits change on current.
func (o *Operator) change(ctx context.Context, current *workspace.Table, change workspace.Change) (*Result, error) {
	next, err := current.Apply(change)
	if errors.Is(err, workspace.ErrVersion) {
		return nil, conflict(change.Against, current)
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

func conflict(against uint64, current *workspace.Table) error {
	return &ConflictError{Against: against, Current: current.Version, ChangeID: current.ChangeID}
}
