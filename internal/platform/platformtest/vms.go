package platformtest

import (
	"context"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/target"
)

// VMs is a VM list under test, which is empty at the start of a case.
type VMs struct {
	platform.VMList
	Set     func([]target.VM)
	SetDown func(bool)
	// SetFrozen makes the list return its current VMs until it is called with false.
	SetFrozen func(bool)
}

// RunVMs runs the contract of a VM list on the factory's lists.
func RunVMs(t *testing.T, factory func(t *testing.T) VMs) {
	t.Helper()
	run(t, VMCases(), factory)
}

// VMCases returns the contract of a VM list.
func VMCases() []Case[VMs] {
	return []Case[VMs]{
		{"list without VMs is empty", checkNoVMs},
		{"list has all fields of the VMs", checkVMFields},
		{"down: list is unavailable, not empty", checkVMsDown},
		{"frozen list changes when it is unfrozen", checkVMsFrozen},
	}
}

// exampleVMs returns VMs that together set each field.
func exampleVMs() []target.VM {
	return []target.VM{
		{
			ID: "vm-1", Addr: "127.0.0.1:7001", Role: target.RoleAgent, Region: "north", Domain: "north-a",
			Pool: "letters", Kind: target.KindModel, State: target.StateLive,
		},
		{
			ID: "vm-2", Addr: "[::1]:7002", Role: target.RoleRouter, Region: "south", Domain: "south-a",
			State: target.StateLeaving,
		},
	}
}

func (v VMs) wantList(ctx context.Context, want []target.VM) error {
	vms, err := v.List(ctx)
	if err != nil {
		return err
	}
	if !slices.Equal(vms, want) {
		return errors.Newf("list is %+v, want %+v", vms, want)
	}
	return nil
}

func checkNoVMs(ctx context.Context, vms VMs) error { return vms.wantList(ctx, nil) }

func checkVMFields(ctx context.Context, vms VMs) error {
	vms.Set(exampleVMs())
	return vms.wantList(ctx, exampleVMs())
}

func checkVMsDown(ctx context.Context, vms VMs) error {
	vms.Set(exampleVMs())
	vms.SetDown(true)
	_, err := vms.List(ctx)
	vms.SetDown(false)
	return firstError(
		func() error { return wantMark("List", err, platform.ErrUnavailable) },
		func() error { return vms.wantList(ctx, exampleVMs()) },
	)
}

func checkVMsFrozen(ctx context.Context, vms VMs) error {
	vms.Set(exampleVMs())
	if err := vms.wantList(ctx, exampleVMs()); err != nil {
		return err
	}
	vms.SetFrozen(true)
	vms.Set(exampleVMs()[:1])
	if err := vms.wantList(ctx, exampleVMs()); err != nil {
		return errors.Wrap(err, "frozen")
	}
	vms.SetFrozen(false)
	return errors.Wrap(vms.wantList(ctx, exampleVMs()[:1]), "thawed")
}
