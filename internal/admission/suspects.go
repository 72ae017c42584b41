package admission

import (
	"maps"
	"time"
)

const (
	// crashLimit is the number of targets that a request may crash before it is
	// refused. The platform allows three retries after the third crash.
	crashLimit = 3
	// suspectMemory is how long a request that crashed targets is remembered:
	// longer than the target's restart (some seconds) and its caller's returns.
	suspectMemory = 2 * time.Minute
	// maxSuspects and maxSound bound the memory for suspects and for requests that
	// ended well: about 100 KB each on the smallest machines (112 MB).
	maxSuspects = 4096
	maxSound    = 4096
	// crashSpan is the time in which a second lost connection or a refused one
	// shows that a target crashed and not just one answer got lost.
	crashSpan = 400 * time.Millisecond
	// answersFrom and answersUntil is the time after a supposed crash in which an
	// answer shows that there was none: earlier ones may have been on their way,
	// and a target that crashed is back after some seconds at the soonest.
	answersFrom  = 300 * time.Millisecond
	answersUntil = 1500 * time.Millisecond
)

// Fingerprint identifies a request by its content: the same request comes again
// under another identifier.
type Fingerprint uint64

// suspects counts the targets that crashed while they ran a request.
//
// A lost connection alone proves no crash. So each loss waits for evidence: a
// second connection of that target lost, or one refused, within crashSpan. It is
// withdrawn if the target goes on answering, as after a reset of its connections.
type suspects struct {
	crashes map[Fingerprint]*suspect
	losses  map[string][]loss        // by target, of the last crashSpan
	crashed map[string]time.Duration // by target, its last supposed crash
	alive   map[string]time.Duration // by target, when that was disproved
	// sound holds requests that ended well, by when: such as are sent again and
	// again are in hand whenever a target crashes. before is a full sound.
	sound, before map[Fingerprint]time.Duration
}

type suspect struct {
	targets map[string]struct{}
	last    time.Duration
}

type loss struct {
	at          time.Duration
	fingerprint Fingerprint
}

func newSuspects() *suspects {
	return &suspects{
		crashes: make(map[Fingerprint]*suspect), losses: make(map[string][]loss),
		crashed: make(map[string]time.Duration), alive: make(map[string]time.Duration),
		sound: make(map[Fingerprint]time.Duration),
	}
}

// lost notes a connection that ended while the target ran the request.
func (s *suspects) lost(now time.Duration, target string, f Fingerprint) {
	recent := s.recent(now, target)
	s.losses[target] = append(recent, loss{now, f})
	if len(recent) > 0 {
		s.accuse(now, target)
	}
}

// unreachable notes that the target refused a connection.
func (s *suspects) unreachable(now time.Duration, target string) {
	s.losses[target] = s.recent(now, target)
	s.accuse(now, target)
}

func (s *suspects) recent(now time.Duration, target string) []loss {
	all := s.losses[target]
	for len(all) > 0 && now-all[0].at > crashSpan {
		all = all[1:]
	}
	if len(all) == 0 {
		delete(s.losses, target)
	}
	return all
}

// accuse takes the target for crashed by what it had in hand.
func (s *suspects) accuse(now time.Duration, target string) {
	if len(s.losses[target]) > 0 {
		s.crashed[target] = now
	}
	for _, l := range s.losses[target] {
		s.add(now, l.fingerprint, target)
	}
	if len(s.losses[target]) == 0 {
		delete(s.losses, target)
	}
}

// add notes that a request was in hand when the target crashed.
func (s *suspects) add(now time.Duration, f Fingerprint, target string) {
	if s.isSound(now, f) {
		return
	}
	entry := s.crashes[f]
	if entry == nil {
		s.evict(now)
		entry = &suspect{targets: make(map[string]struct{})}
		s.crashes[f] = entry
	}
	if _, known := entry.targets[target]; known {
		return // peers tell of the same crash again and again
	}
	entry.targets[target] = struct{}{}
	entry.last = now
}

// told notes what a peer says, unless it was disproved here: peers repeat it.
func (s *suspects) told(now time.Duration, f Fingerprint, target string) {
	if at, ok := s.alive[target]; !ok || now-at > 2*reportedSpan {
		s.add(now, f, target)
	}
}

// answered notes a whole answer of a target. What is held against requests for
// its supposed crash is withdrawn if there was none.
func (s *suspects) answered(now time.Duration, target string) {
	at, ok := s.crashed[target]
	if !ok || now-at < answersFrom {
		return
	}
	delete(s.crashed, target)
	if now-at > answersUntil {
		return
	}
	s.alive[target] = now
	for f, entry := range s.crashes {
		delete(entry.targets, target)
		if len(entry.targets) == 0 {
			delete(s.crashes, f)
		}
	}
}

// keep forgets what is known of targets that no longer live; what requests
// crashed stays.
func (s *suspects) keep(live func(id string) bool) {
	gone := func(id string, _ time.Duration) bool { return !live(id) }
	maps.DeleteFunc(s.crashed, gone)
	maps.DeleteFunc(s.alive, gone)
}

// evict makes room for one more suspect.
func (s *suspects) evict(now time.Duration) {
	if len(s.crashes) < maxSuspects {
		return
	}
	var oldest Fingerprint
	age := time.Duration(-1)
	for f, entry := range s.crashes {
		if now-entry.last > age {
			oldest, age = f, now-entry.last
		}
	}
	delete(s.crashes, oldest)
}

// cleared notes that the request ran to its end: it crashes nothing.
func (s *suspects) cleared(now time.Duration, f Fingerprint) {
	delete(s.crashes, f)
	if len(s.sound) >= maxSound {
		s.sound, s.before = make(map[Fingerprint]time.Duration, maxSound), s.sound
	}
	s.sound[f] = now
}

// isSound reports whether the request ended well lately.
func (s *suspects) isSound(now time.Duration, f Fingerprint) bool {
	at, ok := s.sound[f]
	if !ok {
		at, ok = s.before[f]
	}
	return ok && now-at < suspectMemory
}

// quarantined reports whether the request has crashed enough targets.
func (s *suspects) quarantined(now time.Duration, f Fingerprint) bool {
	entry := s.crashes[f]
	if entry == nil {
		return false
	}
	if now-entry.last > suspectMemory {
		delete(s.crashes, f)
		return false
	}
	return len(entry.targets) >= crashLimit
}

// list returns the suspects with the targets that they crashed, the newest
// reportedSpan of them.
func (s *suspects) list(now time.Duration) map[Fingerprint][]string {
	all := make(map[Fingerprint][]string)
	for f, entry := range s.crashes {
		if now-entry.last > reportedSpan {
			continue
		}
		for id := range entry.targets {
			all[f] = append(all[f], id)
		}
	}
	return all
}

// reportedSpan is how long after its newest crash a suspect is told to peers.
const reportedSpan = 5 * time.Second
