package gate

import (
	"context"
	"time"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/target"
)

// targetCheckDelay is the time between the loss of a connection and the check of its target,
// in which a target that crashes closes its listener.
const targetCheckDelay = 20 * time.Millisecond

// checkTarget tests, after a connection was lost, whether the target still accepts
// connections. Without it, a request that is the only one at a target could crash one
// target after the other: a single lost connection is no evidence of a crash, since
// targets also lose responses.
func (g *Gate) checkTarget(instance target.Instance) {
	if _, running := g.targetChecks.LoadOrStore(instance.Addr, struct{}{}); running {
		return
	}
	go func() {
		defer g.targetChecks.Delete(instance.Addr)
		time.Sleep(targetCheckDelay)
		if g.pool.Refused(context.Background(), instance.Addr) {
			g.controller.RecordRefused(g.config.Now(), &instance)
			g.directory.MarkUnreachable(instance.ID, g.config.Now())
		}
	}()
}

// markUnreachable tells the directory of targets that may have restarted, as far as the result
// of a send to the target tells: they may be cold when they are back.
func (g *Gate) markUnreachable(id string, result admission.Result) {
	switch result {
	case admission.ResultUnreachable, admission.ResultMisdirected:
		g.directory.MarkUnreachable(id, g.config.Now())
	case admission.ResultLost:
		for _, crashed := range g.controller.TakeCrashedTargets() {
			g.directory.MarkUnreachable(crashed, g.config.Now())
		}
	}
}
