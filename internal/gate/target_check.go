package gate

import (
	"context"
	"time"

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
		}
	}()
}
