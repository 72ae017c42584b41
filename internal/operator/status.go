package operator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// ProcessStatus is the version of the table that a process has confirmed to have in force.
type ProcessStatus struct {
	VM      target.VM
	State   target.State // with the marks of the table applied
	Version uint64       // 0: none
	Pending bool         // the process is live and has not confirmed the current version
}

// Status reports which version of the table each process has in force.
type Status struct {
	Version   uint64 // of the table in the table service
	ChangeID  string
	Processes []ProcessStatus // sorted by failure domain and VM ID
}

// PendingError lists the live processes that have not confirmed a version. It matches
// ErrPending.
type PendingError struct {
	Version uint64
	VMs     []string
}

// Error implements error.
func (e *PendingError) Error() string {
	return fmt.Sprintf("version %d is committed and not yet confirmed by %d live processes: %s",
		e.Version, len(e.VMs), strings.Join(e.VMs, ", "))
}

// Is reports whether target is ErrPending.
func (e *PendingError) Is(target error) bool { return target == ErrPending }

// Err returns a *PendingError if processes are pending, otherwise nil.
func (s *Status) Err() error { return s.pendingError(s.Version) }

// pendingError returns a *PendingError if live processes have not confirmed version,
// otherwise nil.
func (s *Status) pendingError(version uint64) error {
	pending := s.pendingAt(version)
	if len(pending) == 0 {
		return nil
	}
	return &PendingError{Version: version, VMs: pending}
}

// pendingAt returns the IDs of the live processes that have not confirmed
// version.
func (s *Status) pendingAt(version uint64) []string {
	var pending []string
	for _, p := range s.Processes {
		if p.State == target.StateLive && p.Version < version {
			pending = append(pending, p.VM.ID)
		}
	}
	return pending
}

// Status reads the table, the VM list and the confirmed versions from the platform.
func (o *Operator) Status(ctx context.Context) (*Status, error) {
	table, err := o.Current(ctx)
	if err != nil {
		return nil, err
	}
	vms, err := o.VMs.List(ctx)
	if err != nil {
		return nil, markPlatformError(errors.Wrap(err, "reading the VM list"))
	}
	confirmed, err := o.confirmed(ctx)
	if err != nil {
		return nil, err
	}
	return newStatus(table, vms, confirmed), nil
}

// confirmed returns the version that each process has confirmed, by VM ID.
func (o *Operator) confirmed(ctx context.Context) (map[string]uint64, error) {
	items, err := o.Table.List(ctx, platform.PrefixStatus)
	if err != nil {
		return nil, markPlatformError(errors.Wrap(err, "reading the confirmed versions"))
	}
	confirmed := make(map[string]uint64)
	for _, item := range items {
		row, err := fleet.DecodeStatus(item.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "item %q", item.Key)
		}
		for id, c := range row.Members {
			confirmed[id] = c.Version
		}
	}
	return confirmed, nil
}

func newStatus(table *workspace.Table, vms []target.VM, confirmed map[string]uint64) *Status {
	s := &Status{Version: table.Version, ChangeID: table.ChangeID}
	marks := &fleet.Snapshot{Table: table}
	for _, vm := range vms {
		state := marks.State(vm)
		version := confirmed[vm.ID]
		s.Processes = append(s.Processes, ProcessStatus{
			VM:      vm,
			State:   state,
			Version: version,
			Pending: state == target.StateLive && version < table.Version,
		})
	}
	slices.SortFunc(s.Processes, func(a, b ProcessStatus) int {
		return cmp.Or(cmp.Compare(a.VM.Domain, b.VM.Domain), cmp.Compare(a.VM.ID, b.VM.ID))
	})
	return s
}

// WaitInForce waits until every live process has confirmed version or a newer one. It calls
// progress with the VM IDs of the pending processes whenever these change. It returns an
// error marked ErrPending if processes are still pending after timeout.
func (o *Operator) WaitInForce(ctx context.Context, version uint64, timeout time.Duration, progress func(pending []string)) error {
	deadline := time.Now().Add(timeout)
	var lastPending []string
	for {
		status, err := o.Status(ctx)
		if err == nil {
			pending := status.pendingAt(version)
			if !slices.Equal(pending, lastPending) {
				progress(pending)
			}
			lastPending = pending
			err = status.pendingError(version)
		}
		if err == nil || time.Now().After(deadline) || !clock.Sleep(ctx, orDefault(o.PollInterval, defaultPollInterval)) {
			return err
		}
	}
}
