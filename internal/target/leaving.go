package target

import (
	"slices"
	"time"
)

const (
	// leavingMemory is how long a target that said that it leaves, and is not
	// listed any more, is remembered: its entry may come back with the store's.
	leavingMemory = 2 * time.Minute
	// leavingNews is how long this gate tells its peers of such a target: ten
	// reports to other regions, of which some get lost.
	leavingNews = 4 * time.Second
)

// leaving is a target that said that it leaves.
type leaving struct {
	born int64 // start of the target, Unix milliseconds
	seen time.Duration
	// own: it said so to this gate.
	own bool
}

// Leave notes that the target said that it leaves. It takes no new work from now
// on, and so does no later entry of the same start. own says that the target
// told this gate and not a peer. It reports whether that is news.
func (d *Directory) Leave(id string, born int64, now time.Duration, own bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A peer's word may be older than this gate's; a target's own is not.
	if known, found := d.leaving[id]; found && (known.born == born || known.born > born && !own) {
		return false
	}
	d.leaving[id] = leaving{born: born, seen: now, own: own}
	in, listed := d.Current().byID[id]
	if !listed || in.Born != born || in.Leaving {
		return true
	}
	instances := make([]Instance, 0, d.Current().Len())
	for other, one := range d.Current().byID {
		one.Leaving = one.Leaving || other == id
		instances = append(instances, one)
	}
	d.current.Store(newListing(instances))
	return true
}

// Left returns the targets that said to this gate a short while ago that they
// leave, with their starts.
func (d *Directory) Left(now time.Duration) map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	news := make(map[string]int64)
	for id, l := range d.leaving {
		if l.own && now-l.seen < leavingNews {
			news[id] = l.born
		}
	}
	return news
}

// markLeaving returns the list with those marked that said that they leave, and
// forgets those that started anew or are long gone.
func (d *Directory) markLeaving(instances []Instance, now time.Duration) []Instance {
	if len(d.leaving) == 0 {
		return instances
	}
	instances = slices.Clone(instances)
	for i := range instances {
		in := &instances[i]
		l, known := d.leaving[in.ID]
		switch {
		case !known:
		case l.born < in.Born:
			delete(d.leaving, in.ID)
		case l.born == in.Born:
			in.Leaving = true
			l.seen = max(l.seen, now-leavingNews) // not news again
			d.leaving[in.ID] = l
		}
	}
	for id, l := range d.leaving {
		if now-l.seen > leavingMemory {
			delete(d.leaving, id)
		}
	}
	return instances
}
