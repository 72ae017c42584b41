package admission

import (
	"slices"
	"time"
)

// shareWindow is the span over which shares are counted: that over which the
// platform owes them (quota_window_s, 4 s).
const shareWindow = 4 * time.Second

const shareBuckets = 8

// Usage is what a workspace asked for and got over the share window, in tokens
// of work.
type Usage struct {
	Asked, Served float64
}

// shares counts the work of workspaces at this gate and at its peers.
type shares struct {
	own   map[string]*window
	peers map[string]peerUsage
}

type peerUsage struct {
	at    time.Duration
	usage map[string]Usage
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
	return &shares{own: make(map[string]*window), peers: make(map[string]peerUsage)}
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

func (s *shares) setPeer(now time.Duration, node string, usage map[string]Usage) {
	s.peers[node] = peerUsage{at: now, usage: usage}
}

// fleet returns the usage over all gates that were heard of lately.
func (s *shares) fleet(now time.Duration) map[string]Usage {
	all := s.local(now)
	for node, p := range s.peers {
		if now-p.at > peerLifetime {
			delete(s.peers, node)
			continue
		}
		for ws, u := range p.usage {
			sum := all[ws]
			sum.Asked += u.Asked
			sum.Served += u.Served
			all[ws] = sum
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
