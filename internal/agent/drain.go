package agent

import (
	"context"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// Drain permanently stops granting and refuses waiting offers. It returns once
// all granted attempts have ended and their answers were delivered or their
// retention time has passed. It cancels no attempt. If ctx ends first, it
// returns ctx.Err().
func (a *Agent) Drain(ctx context.Context) error {
	a.stopGranting("process is stopping")
	select {
	case <-a.attempts.whenEmpty():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stopGranting refuses waiting offers and all later ones.
func (a *Agent) stopGranting(detail string) {
	a.sched.close(&wire.Refuse{
		Reason:     request.ReasonDraining,
		RetryAfter: notReadyRetryAfter,
		Detail:     detail,
	})
}

// watchStore applies changes of the workspace table and of the VM list until
// ctx ends.
func (a *Agent) watchStore(ctx context.Context) {
	changed := a.cfg.Store.Watch()
	for {
		if a.isLeaving() {
			a.stopGranting("VM is leaving")
		}
		a.table.refresh()
		a.limits.SetAgentCount(max(len(a.cfg.Store.Snapshot().Agents(a.cfg.Pool)), 1))
		a.sched.dispatch()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// isLeaving reports whether this agent's VM is marked or listed as leaving.
func (a *Agent) isLeaving() bool {
	snapshot := a.cfg.Store.Snapshot()
	vm := snapshot.VMs[a.cfg.ID]
	vm.ID = a.cfg.ID
	return snapshot.State(vm) == target.StateLeaving
}
