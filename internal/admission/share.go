package admission

import (
	"slices"
	"time"
)

// shareWindow is the span over which shares are counted: that over which the
// platform owes them (quota_window_s, 4 s).
const shareWindow = 4 * time.Second

const shareBuckets = 8

// Flow is the requests of one workspace on one route.
type Flow struct {
	Workspace, Route string
}

// Usage is what a flow asked for and got over the share window, in tokens of
// work.
type Usage struct {
	Asked, Served float64
}

// shares counts the work of flows at this gate and at its peers.
type shares struct {
	own   map[Flow]*window
	peers map[string]peerUsage
}

type peerUsage struct {
	at    time.Duration
	usage map[Flow]Usage
}

// window sums usage over the last shareWindow in buckets.
type window struct {
	buckets [shareBuckets]Usage
	numbers [shareBuckets]int64
}

const bucketSpan = shareWindow / shareBuckets

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
	oldest := int64(now/bucketSpan) - shareBuckets + 1
	var total Usage
	for i, number := range w.numbers {
		if number >= oldest {
			total.Asked += w.buckets[i].Asked
			total.Served += w.buckets[i].Served
		}
	}
	return total
}

func newShares() *shares {
	return &shares{own: make(map[Flow]*window), peers: make(map[string]peerUsage)}
}

func (s *shares) add(now time.Duration, f Flow, u Usage) {
	w := s.own[f]
	if w == nil {
		w = &window{}
		s.own[f] = w
	}
	w.add(now, u)
}

// local returns the usage at this gate alone and forgets idle flows.
func (s *shares) local(now time.Duration) map[Flow]Usage {
	all := make(map[Flow]Usage, len(s.own))
	for f, w := range s.own {
		u := w.sum(now)
		if u.Asked <= 0 {
			delete(s.own, f)
			continue
		}
		all[f] = u
	}
	return all
}

func (s *shares) setPeer(now time.Duration, node string, usage map[Flow]Usage) {
	s.peers[node] = peerUsage{at: now, usage: usage}
}

// fleet returns the usage over all gates that were heard of lately.
func (s *shares) fleet(now time.Duration) map[Flow]Usage {
	all := s.local(now)
	for node, p := range s.peers {
		if now-p.at > peerLifetime {
			delete(s.peers, node)
			continue
		}
		for f, u := range p.usage {
			sum := all[f]
			sum.Asked += u.Asked
			sum.Served += u.Served
			all[f] = sum
		}
	}
	return all
}

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
