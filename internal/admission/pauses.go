package admission

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
)

// pauses knows the targets that asked to be left alone for a while when they
// rejected a request. What one asked of this gate binds it. What one asked of a
// peer is a hint: such a target is tried when no other has room.
type pauses struct {
	own, hints map[string]pauseEnd // by target
}

type pauseEnd struct {
	born  int64 // start of the target that asked, Unix milliseconds
	until time.Duration
}

// Pause is a pause that a target asked for, as gates tell each other.
type Pause struct {
	Born int64 // start of the target, Unix milliseconds
	Left time.Duration
}

func newPauses() *pauses {
	return &pauses{own: make(map[string]pauseEnd), hints: make(map[string]pauseEnd)}
}

// ask notes a pause. A later end of the same start holds.
func ask(ends map[string]pauseEnd, id string, born int64, until time.Duration) {
	if known, found := ends[id]; found && known.born == born && known.until >= until {
		return
	}
	ends[id] = pauseEnd{born: born, until: until}
}

// left returns how long the target is to be left alone; 0: it is not.
func left(ends map[string]pauseEnd, now time.Duration, in *target.Instance) time.Duration {
	if len(ends) == 0 {
		return 0
	}
	p, found := ends[in.ID]
	if !found || p.born != in.Born {
		return 0
	}
	return max(p.until-now, 0)
}

// soonest returns when the first of targets may be asked again; 0: none pauses.
func (p *pauses) soonest(now time.Duration, targets []target.Instance) time.Duration {
	first := time.Duration(0)
	for i := range targets {
		if one := left(p.own, now, &targets[i]); one > 0 && (first == 0 || one < first) {
			first = one
		}
	}
	return first
}

// list returns the pauses that targets asked of this gate, and forgets those that
// are over.
func (p *pauses) list(now time.Duration) map[string]Pause {
	expire(p.own, now)
	expire(p.hints, now)
	if len(p.own) == 0 {
		return nil
	}
	all := make(map[string]Pause, len(p.own))
	for id, one := range p.own {
		all[id] = Pause{Born: one.born, Left: one.until - now}
	}
	return all
}

func expire(ends map[string]pauseEnd, now time.Duration) {
	for id, p := range ends {
		if now >= p.until {
			delete(ends, id)
		}
	}
}

// Pause notes that a target that rejected a request wants nothing from this gate
// for a while. That says nothing about its health.
func (c *Controller) Pause(now time.Duration, in target.Instance, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ask(c.pauses.own, in.ID, in.Born, now+wait)
}
