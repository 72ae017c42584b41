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

// VMs is an in-memory VM list, which can lag and freeze. It is safe for
// concurrent use.
type VMs struct {
	mu      sync.Mutex
	current []target.VM
	history []vmChange // changes that are not yet seen, oldest first
	seen    []target.VM
	lag     time.Duration
	frozen  bool
	down    bool
}

// vmChange is a list of VMs and when it was set.
type vmChange struct {
	at  time.Time
	vms []target.VM
}

// NewVMs returns an empty list without faults.
func NewVMs() *VMs { return &VMs{seen: []target.VM{}} }

// Set replaces the list.
func (v *VMs) Set(vms []target.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.set(slices.Clone(vms))
}

// set replaces the list. v.mu is held.
func (v *VMs) set(vms []target.VM) {
	v.current = vms
	v.history = append(v.history, vmChange{at: time.Now(), vms: vms})
}

// SetState changes the state of one VM and reports whether it is in the list.
func (v *VMs) SetState(id string, state target.State) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	vms := slices.Clone(v.current)
	i := slices.IndexFunc(vms, func(vm target.VM) bool { return vm.ID == id })
	if i < 0 {
		return false
	}
	vms[i].State = state
	v.set(vms)
	return true
}

// SetFaults sets the lag of the list, whether it is frozen as it is seen now,
// and whether it is down.
func (v *VMs) SetFaults(lag time.Duration, frozen, down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.advance()
	v.lag, v.frozen, v.down = lag, frozen, down
}

// List implements platform.VMList.
func (v *VMs) List(context.Context) ([]target.VM, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down {
		return nil, errors.Wrap(platform.ErrUnavailable, "listing VMs")
	}
	v.advance()
	return slices.Clone(v.seen), nil
}

// advance shows the changes that are older than the lag. v.mu is held.
func (v *VMs) advance() {
	if v.frozen {
		return
	}
	for len(v.history) > 0 && time.Since(v.history[0].at) >= v.lag {
		v.seen = v.history[0].vms
		v.history = v.history[1:]
	}
}
