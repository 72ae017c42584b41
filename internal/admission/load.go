package admission

import "time"

// minPeerReportLifetime is the minimum time for which a peer's report counts: ten
// reports between regions, so that its load still counts when a few datagrams are lost.
// In large fleets, peers report less often and their reports count for longer.
const minPeerReportLifetime = 4 * time.Second

// Load is the work that gates have placed on one target.
type Load struct {
	// InFlight is the number of requests in flight.
	InFlight int
	// PendingPromptTokens is the number of uncached prompt tokens of requests whose
	// response has not begun.
	PendingPromptTokens int
	// Tokens is the number of prompt and output tokens of all requests in flight.
	Tokens int
}

func (l Load) add(other Load) Load {
	return Load{InFlight: l.InFlight + other.InFlight, PendingPromptTokens: l.PendingPromptTokens + other.PendingPromptTokens, Tokens: l.Tokens + other.Tokens}
}

// loads tracks the load of each target, by target ID.
type loads struct {
	local      map[string]*Load
	peers      map[string]peerLoads
	peerTotals map[string]Load // over all peers
}

type peerLoads struct {
	receivedAt time.Duration
	loads      map[string]Load
}

func newLoads() *loads {
	return &loads{local: make(map[string]*Load), peers: make(map[string]peerLoads), peerTotals: make(map[string]Load)}
}

func (l *loads) total(id string) Load {
	total := l.peerTotals[id]
	if local := l.local[id]; local != nil {
		total = total.add(*local)
	}
	return total
}

func (l *loads) add(id string, change Load) {
	local := l.local[id]
	if local == nil {
		local = &Load{}
		l.local[id] = local
	}
	*local = local.add(change)
	if local.InFlight == 0 {
		delete(l.local, id)
	}
}

// setPeerReport replaces the previous report of a peer.
func (l *loads) setPeerReport(now time.Duration, node string, reported map[string]Load) {
	l.addToPeerTotals(l.peers[node].loads, -1)
	l.addToPeerTotals(reported, 1)
	l.peers[node] = peerLoads{receivedAt: now, loads: reported}
}

// addToPeerTotals adds a report to the totals (sign 1) or subtracts it (sign -1).
func (l *loads) addToPeerTotals(reported map[string]Load, sign int) {
	for id, load := range reported {
		total := l.peerTotals[id].add(Load{InFlight: sign * load.InFlight, PendingPromptTokens: sign * load.PendingPromptTokens, Tokens: sign * load.Tokens})
		if total == (Load{}) {
			delete(l.peerTotals, id)
			continue
		}
		l.peerTotals[id] = total
	}
}

// expire removes the reports of peers that are older than lifetime.
func (l *loads) expire(now, lifetime time.Duration) {
	for node, peer := range l.peers {
		if now-peer.receivedAt > lifetime {
			l.addToPeerTotals(peer.loads, -1)
			delete(l.peers, node)
		}
	}
}

func (l *loads) localLoads() map[string]Load {
	byTarget := make(map[string]Load, len(l.local))
	for id, load := range l.local {
		byTarget[id] = *load
	}
	return byTarget
}
