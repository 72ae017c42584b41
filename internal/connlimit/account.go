// Package connlimit bounds the memory and the descriptors that the clients of a listener make
// a process hold: connections, heads while they are read, parsed heads and request bodies.
//
// Account decides and does no I/O; Listener applies its decisions to connections and charges
// them for the heads that they send.
//
// Invariants:
//   - Members hold at most Limits.Memory bytes and number at most Limits.Conns, those
//     included that were told to close and have not left yet.
//   - A protected member, whose request may have been forwarded, is never told to close.
//   - Members are told to close in the group that holds the most and has an unprotected one.
package connlimit

import (
	"cmp"
	"slices"
	"sync"
)

// Limits are the limits of an account. 0: unlimited.
type Limits struct {
	Memory int64 // bytes
	Conns  int
}

// Cause is the limit for which a member is told to close.
type Cause string

// Causes.
const (
	CauseMemory      Cause = "memory"
	CauseDescriptors Cause = "descriptors"
)

const (
	// slackFraction is the fraction of a limit that is freed in addition when it is
	// exhausted, so that choosing the members costs little for each of them.
	slackFraction = 1.0 / 32
	// largeBytes is what a member must hold to be told to close before smaller ones of its
	// group; an ordinary head is charged less.
	largeBytes = ConnBytes + 32<<10
)

// Account is the account of one or more listeners. Its methods are safe for concurrent use.
type Account struct {
	limits Limits

	mu            sync.Mutex
	held, closing int64 // bytes of all members, and of those that were told to close
	conns         int
	closingConns  int
	sequence      uint64
	groups        map[string]*group
	freed         chan struct{} // closed when a member leaves; nil: nobody waits
}

// group is the members of one client address or workspace.
type group struct {
	held    int64
	members map[*Member]struct{}
}

// Member is one connection. Its state is guarded by the mutex of the account.
type Member struct {
	account   *Account
	group     string
	held      int64
	since     uint64 // number of the latest start of a phase
	served    bool   // a request was served
	protected bool
	closing   bool
	left      bool
	close     func(Cause) // closes the connection
}

// A verdict is the decision on a request for memory or for a descriptor.
type verdict struct {
	granted bool
	// wait is closed when it is worth asking again; nil: refused.
	wait <-chan struct{}
	// victims must be closed now, for the cause.
	victims []*Member
	cause   Cause
}

// NewAccount returns an empty account.
func NewAccount(limits Limits) *Account {
	return &Account{limits: limits, groups: make(map[string]*group)}
}

// Used returns the bytes that all members hold, and their number.
func (a *Account) Used() (bytes int64, conns int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held, a.conns
}

// join adds a member, which holds n bytes, to a group. The member is nil unless the verdict
// is granted.
func (a *Account) join(name string, n int64, closeConn func(Cause)) (*Member, verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.makeRoom(n, 1, nil)
	if !v.granted {
		return nil, v
	}
	m := &Member{account: a, group: name, held: n, close: closeConn}
	m.since = a.next()
	a.conns++
	a.held += n
	a.enter(m)
	return m, v
}

// grow adds n bytes to what m holds.
func (m *Member) grow(n int64) verdict {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.closing || m.left {
		return verdict{}
	}
	v := a.makeRoom(n, 0, m)
	if m.closing {
		return v
	}
	if v.granted {
		m.held += n
		a.held += n
		a.groups[m.group].held += n
	}
	return v
}

// reset reduces what m holds to n bytes: its request is done. It is unprotected from now on.
func (m *Member) reset(n int64) {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	m.protected, m.served, m.since = false, true, a.next()
	if less := m.held - n; less > 0 && !m.left {
		m.held -= less
		a.held -= less
		if m.closing {
			a.closing -= less
		}
		a.groups[m.group].held -= less
		a.notify()
	}
}

// protect keeps m from being told to close until reset. It reports false if m was told
// already: its request must not be forwarded.
func (m *Member) protect() bool {
	m.account.mu.Lock()
	defer m.account.mu.Unlock()
	if m.closing || m.left {
		return false
	}
	m.protected = true
	return true
}

// move moves m to another group.
func (m *Member) move(name string) {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.group == name || m.left {
		return
	}
	a.exit(m)
	m.group = name
	a.enter(m)
}

// leave removes m; its connection is closed. It may be called more than once.
func (m *Member) leave() {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.left {
		return
	}
	m.left = true
	a.exit(m)
	a.held -= m.held
	a.conns--
	if m.closing {
		a.closing -= m.held
		a.closingConns--
	}
	a.notify()
}

func (a *Account) next() uint64 {
	a.sequence++
	return a.sequence
}

func (a *Account) notify() {
	if a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

func (a *Account) enter(m *Member) {
	g := a.groups[m.group]
	if g == nil {
		g = &group{members: make(map[*Member]struct{})}
		a.groups[m.group] = g
	}
	g.held += m.held
	g.members[m] = struct{}{}
}

func (a *Account) exit(m *Member) {
	g := a.groups[m.group]
	g.held -= m.held
	if delete(g.members, m); len(g.members) == 0 {
		delete(a.groups, m.group)
	}
}

// makeRoom decides whether n more bytes and conns more members fit, and which members must be
// closed so that they do. If the requester, which may be nil, is among these, it is the only
// one.
func (a *Account) makeRoom(n int64, conns int, requester *Member) verdict {
	v := verdict{cause: CauseMemory}
	missing, missingConns := a.missing(n, conns)
	if missing <= 0 && missingConns <= 0 {
		v.granted = true
		return v
	}
	if missingConns > 0 {
		v.cause = CauseDescriptors
	}
	missing -= a.closing
	missingConns -= a.closingConns
	if missing > 0 {
		missing += int64(slackFraction * float64(a.limits.Memory))
	}
	if missingConns > 0 {
		missingConns += int(slackFraction * float64(a.limits.Conns))
	}
	v.victims = a.chooseVictims(missing, missingConns)
	if requester != nil && requester.closing {
		a.unmark(v.victims)
		a.setClosing(requester, true)
		v.victims = []*Member{requester}
		return v
	}
	stillMissing, stillMissingConns := a.missing(n, conns)
	if stillMissing > a.closing || stillMissingConns > a.closingConns {
		// Closing these would not make enough room.
		a.unmark(v.victims)
		v.victims = nil
		return v
	}
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	v.wait = a.freed
	return v
}

// chooseVictims marks members that hold the missing bytes and are as many as the missing
// members, or all that may be chosen.
func (a *Account) chooseVictims(missing int64, missingConns int) []*Member {
	var victims []*Member
	for missing > 0 || missingConns > 0 {
		chosen := a.candidates()
		if len(chosen) == 0 {
			break
		}
		for _, m := range chosen {
			if missing <= 0 && missingConns <= 0 {
				break
			}
			a.setClosing(m, true)
			missing -= m.held
			missingConns--
			victims = append(victims, m)
		}
	}
	return victims
}

func (a *Account) unmark(members []*Member) {
	for _, m := range members {
		a.setClosing(m, false)
	}
}

func (a *Account) setClosing(m *Member, closing bool) {
	m.closing = closing
	if closing {
		a.closing += m.held
		a.closingConns++
	} else {
		a.closing -= m.held
		a.closingConns--
	}
}

// missing returns by how much n more bytes and conns more members exceed the limits.
func (a *Account) missing(n int64, conns int) (int64, int) {
	var bytes int64
	var members int
	if a.limits.Memory > 0 && n > 0 {
		bytes = a.held + n - a.limits.Memory
	}
	if a.limits.Conns > 0 && conns > 0 {
		members = a.conns + conns - a.limits.Conns
	}
	return bytes, members
}

// candidates returns the members that may be told to close in the group that holds the most,
// in the order in which they are: those that hold much by size, then those that served no
// request, oldest first, so that a caller which sends a request now is the last one.
func (a *Account) candidates() []*Member {
	var top *group
	for _, g := range a.groups {
		if (top == nil || g.held > top.held) && g.hasCandidate() {
			top = g
		}
	}
	if top == nil {
		return nil
	}
	var members []*Member
	for m := range top.members {
		if m.isCandidate() {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(x, y *Member) int {
		if c := cmp.Compare(y.largeHeld(), x.largeHeld()); c != 0 {
			return c
		}
		if x.served != y.served {
			if y.served {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.since, y.since)
	})
	return members
}

func (g *group) hasCandidate() bool {
	for m := range g.members {
		if m.isCandidate() {
			return true
		}
	}
	return false
}

func (m *Member) isCandidate() bool { return !m.protected && !m.closing }

// largeHeld returns what m holds if that is much, otherwise 0.
func (m *Member) largeHeld() int64 {
	if m.held < largeBytes {
		return 0
	}
	return m.held
}
