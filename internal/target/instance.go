package target

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Instance is one start of a target as the platform lists it.
type Instance struct {
	ID      string
	Addr    string // IP:port
	Service string
	Domain  string // failure domain
	Slots   int
	// Leaving targets finish what they have and take no new work.
	Leaving bool
	// Born is the target's start in Unix milliseconds. A target that starts
	// again under its old ID has another Born and knows nothing of before.
	Born int64
	// Hash is that of the ID; a Directory sets it.
	Hash uint64
}

// HashID returns the hash by which a target is chosen.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// returnGrace is how long entries may still come back after the store's return:
// the platform promises about 2 s for a live target. What left while a gate was
// cut off must be dropped within 3 s of the cut's end, of which a gate may need
// 0.7 s to reach the store again.
const returnGrace = 2200 * time.Millisecond

// Directory is what is known about the live targets of all services.
//
// Invariants: an instance that was seen leaving or gone is not usable again
// until its entry says so anew; one that said itself that it leaves is not
// usable again, whatever its entry says, until it starts anew; entries that
// lapsed while the store was out of reach stay usable until returnGrace after
// its return.
type Directory struct {
	current atomic.Pointer[Listing]

	mu sync.Mutex // held while the listing is replaced
	// lapsed holds how long entries may still come back, by ID, on the clock of
	// the caller.
	lapsed map[string]time.Duration
	// leaving holds the targets that said that they leave, by ID.
	leaving map[string]leaving
}

// Listing is one state of a Directory; it never changes.
type Listing struct {
	services map[string][]Instance
	byID     map[string]Instance
}

// NewDirectory returns a directory with no targets.
func NewDirectory() *Directory {
	d := &Directory{lapsed: make(map[string]time.Duration), leaving: make(map[string]leaving)}
	d.current.Store(newListing(nil))
	return d
}

func newListing(instances []Instance) *Listing {
	l := &Listing{services: make(map[string][]Instance), byID: make(map[string]Instance, len(instances))}
	for _, in := range instances {
		in.Hash = HashID(in.ID)
		l.byID[in.ID] = in
		if !in.Leaving {
			l.services[in.Service] = append(l.services[in.Service], in)
		}
	}
	for _, list := range l.services {
		slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	}
	return l
}

// Current returns the newest listing.
func (d *Directory) Current() *Listing { return d.current.Load() }

// Replace takes a whole new list, read at now. disturbed says that the store
// was out of reach since the list before, so that entries may have lapsed
// though their targets live; those stay until the grace ends. It returns the
// IDs that are new, leaving or gone.
func (d *Directory) Replace(instances []Instance, now time.Duration, disturbed bool) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.Current()
	instances = d.markLeaving(instances, now)
	listed := newListing(instances)
	var c Change
	for id, in := range old.byID {
		if _, still := listed.byID[id]; still {
			delete(d.lapsed, id)
			continue
		}
		if d.keepLapsed(in, now, disturbed) {
			instances = append(instances, in)
			continue
		}
		c.Gone = append(c.Gone, id)
	}
	for id, in := range listed.byID {
		before, known := old.byID[id]
		switch {
		case !known || before.Born != in.Born:
			c.New = append(c.New, id)
		case in.Leaving && !before.Leaving:
			c.Leaving = append(c.Leaving, id)
		}
	}
	d.current.Store(newListing(instances))
	return c
}

// NextLapse returns how long the first of the entries that may still come back
// has left at now; false: there are none.
func (d *Directory) NextLapse(now time.Duration) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	left, found := time.Duration(0), false
	for _, until := range d.lapsed {
		if one := max(until-now, 0); !found || one < left {
			left, found = one, true
		}
	}
	return left, found
}

func (d *Directory) keepLapsed(in Instance, now time.Duration, disturbed bool) bool {
	if in.Leaving {
		return false
	}
	until, waiting := d.lapsed[in.ID]
	if !waiting {
		if !disturbed {
			return false
		}
		until = now + returnGrace
		d.lapsed[in.ID] = until
	}
	if now < until {
		return true
	}
	delete(d.lapsed, in.ID)
	return false
}

// Change is what a new list brought.
type Change struct {
	New, Leaving, Gone []string
}

// Empty reports whether nothing changed.
func (c Change) Empty() bool { return len(c.New)+len(c.Leaving)+len(c.Gone) == 0 }

// Of returns the targets of a service that take new work, by ID. The caller
// must not change it.
func (l *Listing) Of(service string) []Instance { return l.services[service] }

// Len returns the number of targets, leaving ones included.
func (l *Listing) Len() int { return len(l.byID) }

// Knows reports whether the target is listed, leaving or not.
func (l *Listing) Knows(id string) bool {
	_, known := l.byID[id]
	return known
}

// Addr returns the address of a listed target, empty if it is not listed.
func (l *Listing) Addr(id string) string { return l.byID[id].Addr }
