package agent

import (
	"context"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// Drain stops grants for good, hands back what waits and returns once all that
// was granted has ended and its answers were taken or kept long enough. It
// cuts nothing; ctx ends only the waiting.
func (a *Agent) Drain(ctx context.Context) error {
	a.stopGrants("process is stopping")
	select {
	case <-a.attempts.whenEmpty():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stopGrants refuses what waits and all that comes.
func (a *Agent) stopGrants(why string) {
	a.sched.close(&wire.Refuse{
		Reason:     request.ReasonDraining,
		RetryAfter: notReadyRetry,
		Detail:     why,
	})
}

// watchStore follows the workspace table and the VM list until ctx ends.
func (a *Agent) watchStore(ctx context.Context) {
	changed := a.cfg.Store.Watch()
	for {
		if a.isLeaving() {
			a.stopGrants("VM is leaving")
		}
		a.table.refresh()
		a.limits.SetAgentCount(max(len(a.cfg.Store.Snapshot().Agents(a.cfg.Pool)), 1))
		a.sched.reconsider()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// isLeaving reports whether the agent's own VM is marked or listed as leaving.
func (a *Agent) isLeaving() bool {
	snapshot := a.cfg.Store.Snapshot()
	vm := snapshot.VMs[a.cfg.ID]
	vm.ID = a.cfg.ID
	return snapshot.State(vm) == target.StateLeaving
}
