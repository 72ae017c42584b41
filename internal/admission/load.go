package admission

import "time"

// peerLifetime is how long what a peer said of its load counts at least: ten
// reports between regions, so that a lost datagram or two does not make its load
// vanish. Peers of large fleets report less often and count for longer.
const peerLifetime = 4 * time.Second

// Load is the work that gates have given to one target.
type Load struct {
	// Running is the number of requests in hand.
	Running int
	// Reading is the prompt tokens that are not cached, of requests that have
	// not begun to answer.
	Reading int
	// Held is the tokens of all requests in hand.
	Held int
}

func (l Load) plus(o Load) Load {
	return Load{Running: l.Running + o.Running, Reading: l.Reading + o.Reading, Held: l.Held + o.Held}
}

// loads knows the load of each target, by its ID.
type loads struct {
	own   map[string]*Load
	peers map[string]peerLoads
	sums  map[string]Load // of all peers
}

type peerLoads struct {
	at    time.Duration
	loads map[string]Load
}

func newLoads() *loads {
	return &loads{own: make(map[string]*Load), peers: make(map[string]peerLoads), sums: make(map[string]Load)}
}

func (l *loads) of(id string) Load {
	sum := l.sums[id]
	if own := l.own[id]; own != nil {
		sum = sum.plus(*own)
	}
	return sum
}

func (l *loads) add(id string, change Load) {
	own := l.own[id]
	if own == nil {
		own = &Load{}
		l.own[id] = own
	}
	*own = own.plus(change)
	if own.Running == 0 {
		delete(l.own, id)
	}
}

// setPeer takes the report of a peer in place of the one before.
func (l *loads) setPeer(now time.Duration, node string, reported map[string]Load) {
	l.addPeer(l.peers[node].loads, -1)
	l.addPeer(reported, 1)
	l.peers[node] = peerLoads{at: now, loads: reported}
}

// addPeer adds a report to the sums, or takes it off (sign -1).
func (l *loads) addPeer(reported map[string]Load, sign int) {
	for id, load := range reported {
		sum := l.sums[id].plus(Load{Running: sign * load.Running, Reading: sign * load.Reading, Held: sign * load.Held})
		if sum == (Load{}) {
			delete(l.sums, id)
			continue
		}
		l.sums[id] = sum
	}
}

// expire forgets peers that fell silent.
func (l *loads) expire(now, lifetime time.Duration) {
	for node, p := range l.peers {
		if now-p.at > lifetime {
			l.addPeer(p.loads, -1)
			delete(l.peers, node)
		}
	}
}

func (l *loads) local() map[string]Load {
	all := make(map[string]Load, len(l.own))
	for id, load := range l.own {
		all[id] = *load
	}
	return all
}
