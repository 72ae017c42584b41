package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/target"
)

// VMs is an in-memory VM list. Its visible state can lag or be frozen. It is safe for
// concurrent use.
type VMs struct {
	mu      sync.Mutex
	current []target.VM
	pending []vmChange // changes that are not yet visible, oldest first
	visible []target.VM
	lag     time.Duration
	frozen  bool
	down    bool
}

// vmChange is a VM list with the time at which it was set.
type vmChange struct {
	at  time.Time
	vms []target.VM
}

// NewVMs returns an empty list without faults.
func NewVMs() *VMs { return &VMs{visible: []target.VM{}} }

// Set replaces the list.
func (v *VMs) Set(vms []target.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setLocked(slices.Clone(vms))
}

// setLocked replaces the list. v.mu is held.
func (v *VMs) setLocked(vms []target.VM) {
	v.current = vms
	v.pending = append(v.pending, vmChange{at: time.Now(), vms: vms})
}

// SetState changes the state of one VM. It reports false if the VM is not in the list.
func (v *VMs) SetState(id string, state target.State) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	vms := slices.Clone(v.current)
	i := slices.IndexFunc(vms, func(vm target.VM) bool { return vm.ID == id })
	if i < 0 {
		return false
	}
	vms[i].State = state
	v.setLocked(vms)
	return true
}

// SetFaults sets the delay after which changes become visible, whether the visible list is
// frozen, and whether the list is unavailable.
func (v *VMs) SetFaults(lag time.Duration, frozen, down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyPending()
	v.lag, v.frozen, v.down = lag, frozen, down
}

// List implements platform.VMList.
func (v *VMs) List(context.Context) ([]target.VM, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down {
		return nil, errors.Wrap(platform.ErrUnavailable, "listing VMs")
	}
	v.applyPending()
	return slices.Clone(v.visible), nil
}

// applyPending makes the changes visible that are at least as old as the lag. v.mu is held.
func (v *VMs) applyPending() {
	if v.frozen {
		return
	}
	for len(v.pending) > 0 && time.Since(v.pending[0].at) >= v.lag {
		v.visible = v.pending[0].vms
		v.pending = v.pending[1:]
	}
}
