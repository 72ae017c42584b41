package admission

import (
	"slices"
	"time"
)

const (
	// shareWindow is the span over which shares are counted: that over which the
	// platform owes them (quota_window_s, 4 s).
	shareWindow = 4 * time.Second
	// shareBuckets hold twice the window. Usage fades out over it: if it left the
	// window all at once, every gate would make up for it at the same moment,
	// before any of them hears of the others.
	shareBuckets = 16
	bucketSpan   = 2 * shareWindow / shareBuckets
)

// Usage is what a workspace asked for and got over the share window, in tokens
// of work. Older work counts less.
type Usage struct {
	Asked, Served float64
}

// shares counts the work of workspaces at this gate and at its peers.
type shares struct {
	own   map[string]*window
	peers map[string]peerUsage
	sums  map[string]Usage // of all peers
}

type peerUsage struct {
	at    time.Duration
	usage map[string]Usage
}

// window sums usage in buckets, whose weight falls from 1 to 0 over twice the
// shareWindow.
type window struct {
	buckets [shareBuckets]Usage
	numbers [shareBuckets]int64
}

func (w *window) add(now time.Duration, u Usage) {
	number := int64(now / bucketSpan)
	i := number % shareBuckets
	if w.numbers[i] != number {
		w.buckets[i], w.numbers[i] = Usage{}, number
	}
	w.buckets[i].Asked += u.Asked
	w.buckets[i].Served += u.Served
}

func (w *window) sum(now time.Duration) Usage {
	newest := int64(now / bucketSpan)
	var total Usage
	for i, number := range w.numbers {
		age := newest - number
		if age >= shareBuckets {
			continue
		}
		weight := 1 - float64(age)/shareBuckets
		total.Asked += weight * w.buckets[i].Asked
		total.Served += weight * w.buckets[i].Served
	}
	return total
}

func newShares() *shares {
	return &shares{own: make(map[string]*window), peers: make(map[string]peerUsage), sums: make(map[string]Usage)}
}

func (s *shares) add(now time.Duration, workspace string, u Usage) {
	w := s.own[workspace]
	if w == nil {
		w = &window{}
		s.own[workspace] = w
	}
	w.add(now, u)
}

// local returns the usage at this gate alone and forgets idle workspaces.
func (s *shares) local(now time.Duration) map[string]Usage {
	all := make(map[string]Usage, len(s.own))
	for ws, w := range s.own {
		u := w.sum(now)
		if u.Asked <= 0 {
			delete(s.own, ws)
			continue
		}
		all[ws] = u
	}
	return all
}

// setPeer takes the report of a peer in place of the one before.
func (s *shares) setPeer(now time.Duration, node string, usage map[string]Usage) {
	s.addPeer(s.peers[node].usage, -1)
	s.addPeer(usage, 1)
	s.peers[node] = peerUsage{at: now, usage: usage}
}

// leastUsage is what sums of usage may miss zero by, in tokens of work: reports are
// whole numbers on the wire, but not in the model.
const leastUsage = 1e-3

// addPeer adds a report to the sums, or takes it off (sign -1).
func (s *shares) addPeer(usage map[string]Usage, sign float64) {
	for ws, u := range usage {
		sum := s.sums[ws]
		sum.Asked += sign * u.Asked
		sum.Served += sign * u.Served
		if sum.Asked < leastUsage && sum.Served < leastUsage {
			delete(s.sums, ws)
			continue
		}
		s.sums[ws] = Usage{Asked: max(sum.Asked, 0), Served: max(sum.Served, 0)}
	}
}

// fleet returns the usage over all gates that were heard of lately.
func (s *shares) fleet(now, lifetime time.Duration) map[string]Usage {
	for node, p := range s.peers {
		if now-p.at > lifetime {
			s.addPeer(p.usage, -1)
			delete(s.peers, node)
		}
	}
	all := s.local(now)
	for ws, u := range s.sums {
		sum := all[ws]
		sum.Asked += u.Asked
		sum.Served += u.Served
		all[ws] = sum
	}
	return all
}

// pace lets a workspace's share through at one gate, evenly. It may run into
// debt with one request, so that the longest ones pass too.
type pace struct {
	saved float64 // tokens of work
	at    time.Duration
}

// paces are those of one workspace at one gate.
type paces struct {
	share, spare pace
}

// paceDepth is how much unused share a gate saves up for a workspace: callers
// come in clumps, and a goal lasts about a second.
const paceDepth = time.Second

// unusedDepth is the part of that depth above which a share goes unused: with
// short requests alone, a workspace that asks for more stays near zero.
const unusedDepth = 0.5

// open reports whether the share has room for one more request. rate is the
// gate's part of the share, in tokens of work a second.
func (p *pace) open(now time.Duration, rate float64) bool {
	p.saved = min(p.saved+rate*(now-p.at).Seconds(), rate*paceDepth.Seconds())
	p.at = now
	return p.saved > 0
}

// unused reports whether most of what can be saved up is there.
func (p *pace) unused(rate float64) bool {
	return p.saved > unusedDepth*rate*paceDepth.Seconds()
}

// take uses the share.
func (p *pace) take(work float64) { p.saved -= work }

// waterLevel returns the max-min share: the most that any workspace may take so
// that all together take capacity. It is negative if all demand fits.
func waterLevel(asked []float64, capacity float64) float64 {
	slices.Sort(asked)
	left := capacity
	for i, a := range asked {
		level := left / float64(len(asked)-i)
		if a > level {
			return level
		}
		left -= a
	}
	return -1
}
