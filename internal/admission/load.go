package admission

import "time"

// peerLifetime is how long what a peer said of its load counts: four reports
// at the slowest pace between regions (1 s), so that a lost datagram or two
// does not make its load vanish.
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

// setPeer takes the report of a peer and forgets peers that fell silent.
func (l *loads) setPeer(now time.Duration, node string, reported map[string]Load) {
	l.peers[node] = peerLoads{at: now, loads: reported}
	l.refresh(now)
}

func (l *loads) refresh(now time.Duration) {
	clear(l.sums)
	for node, p := range l.peers {
		if now-p.at > peerLifetime {
			delete(l.peers, node)
			continue
		}
		for id, load := range p.loads {
			l.sums[id] = l.sums[id].plus(load)
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
