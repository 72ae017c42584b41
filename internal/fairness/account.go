package fairness

import (
	"github.com/mastichollow/mastichollow/internal/fairness/source"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// workspaceAccount is the state of one workspace in a ledger.
type workspaceAccount struct {
	workspace        workspace.RowID
	weight           float64
	concurrencyLimit int     // running requests in the fleet, 0: unlimited
	virtualTime      float64 // service in the fleet divided by weight

	localService    uint64 // service units produced by this agent
	running         uint32 // requests running at this agent
	reportedRunning uint32 // running at the last report, see LocalTotals
	queued          uint32 // offers waiting at this agent
	unchargedHints  int64  // service units hinted and not yet charged

	// unacknowledged is the local service that the totals of the source that
	// contains this agent do not include yet. overdue is the part of it that was
	// already unacknowledged at the last call of dropOverdue.
	unacknowledged, overdue uint64

	remote      source.Gauges // totals over the sources that do not contain this agent
	localSource source.Gauges // of the source that contains this agent; Running excludes this agent

	heapIndex int // in Ledger.backlogged, -1: not backlogged
}

// fleetRunning returns the running requests in the fleet, as far as reported.
func (a *workspaceAccount) fleetRunning() uint32 {
	return a.remote.Running + a.localSource.Running + a.running
}

// backlogged reports whether offers wait anywhere in the fleet and the concurrency
// limit allows to grant them.
func (a *workspaceAccount) backlogged() bool {
	if a.queued == 0 && a.localSource.Queued == 0 && a.remote.Queued == 0 {
		return false
	}
	return a.concurrencyLimit <= 0 || a.fleetRunning() < uint32(a.concurrencyLimit)
}

// subtractAcknowledged subtracts from growth the local service that was counted when
// it was charged, and returns the rest, which is the service of other agents.
func (a *workspaceAccount) subtractAcknowledged(growth uint64) uint64 {
	acknowledged := min(growth, a.unacknowledged)
	a.unacknowledged -= acknowledged
	a.overdue -= min(a.overdue, acknowledged)
	return growth - acknowledged
}

// dropOverdue stops waiting for the acknowledgment of local service that was already
// unacknowledged at the previous call.
func (a *workspaceAccount) dropOverdue() {
	a.unacknowledged -= a.overdue
	a.overdue = a.unacknowledged
}

// backloggedHeap is a heap of the backlogged workspaces by virtual time.
type backloggedHeap []*workspaceAccount

func (h backloggedHeap) Len() int { return len(h) }

func (h backloggedHeap) Less(i, j int) bool { return h[i].virtualTime < h[j].virtualTime }

func (h backloggedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *backloggedHeap) Push(x any) {
	account := x.(*workspaceAccount)
	account.heapIndex = len(*h)
	*h = append(*h, account)
}

// Pop implements heap.Interface.
func (h *backloggedHeap) Pop() any {
	last := len(*h) - 1
	account := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	account.heapIndex = -1
	return account
}
