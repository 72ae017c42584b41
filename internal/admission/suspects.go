package admission

import "time"

const (
	// crashLimit is the number of targets that a request may crash before it is
	// refused. The platform allows three retries after the third crash.
	crashLimit = 3
	// suspectMemory is how long a request that crashed targets is remembered:
	// longer than the target's restart (some seconds) and its caller's returns.
	suspectMemory = 2 * time.Minute
	// maxSuspects bounds the memory for suspects.
	maxSuspects = 4096
	// crashSpan is the time in which a second lost connection or a refused one
	// shows that a target crashed and not just one answer got lost.
	crashSpan = 400 * time.Millisecond
)

// Fingerprint identifies a request by its content: the same request comes again
// under another identifier.
type Fingerprint uint64

// suspects counts the targets that crashed while they ran a request.
//
// A lost connection alone proves no crash. So each loss waits for evidence: a
// second connection of that target lost, or one refused, within crashSpan.
type suspects struct {
	crashes map[Fingerprint]*suspect
	losses  map[string][]loss // by target, of the last crashSpan
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
	return &suspects{crashes: make(map[Fingerprint]*suspect), losses: make(map[string][]loss)}
}

// lost notes a connection that ended while the target ran the request.
func (s *suspects) lost(now time.Duration, target string, f Fingerprint) {
	recent := s.recent(now, target)
	s.losses[target] = append(recent, loss{now, f})
	if len(recent) > 0 {
		s.crashed(now, target)
	}
}

// unreachable notes that the target refused a connection.
func (s *suspects) unreachable(now time.Duration, target string) {
	s.losses[target] = s.recent(now, target)
	s.crashed(now, target)
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

func (s *suspects) crashed(now time.Duration, target string) {
	for _, l := range s.losses[target] {
		s.add(now, l.fingerprint, target)
	}
	if len(s.losses[target]) == 0 {
		delete(s.losses, target)
	}
}

// add notes that a request was in hand when the target crashed.
func (s *suspects) add(now time.Duration, f Fingerprint, target string) {
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
func (s *suspects) cleared(f Fingerprint) { delete(s.crashes, f) }

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
