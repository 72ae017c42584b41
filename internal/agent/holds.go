package agent

import (
	"slices"
	"sync"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// holds keeps requests with the same fingerprint from running at once as far
// as this agent knows: a second one waits until the first has ended. A
// fingerprint is held by each open offer of its request and by each running
// attempt. Since a request's home agent is offered it first and keeps the
// stream until it ends, this bounds how many targets one request that crashes
// its target, resent through many routers, reaches before it is a suspect.
//
// A fingerprint whose request has ended whole once does not crash its target
// and is held by any number of requests, until it becomes a suspect.
type holds struct {
	mu      sync.Mutex
	byPrint map[string]*hold
	waiting map[workspace.RowID]int
	proven  generations
	// isSuspect reports whether a fingerprint ran at a crash of a target.
	isSuspect func(fingerprint []byte) bool
}

// hold is the holding of one fingerprint.
type hold struct {
	owner   request.ID
	refs    int
	tickets []*ticket
}

// ticket is a request that waits for a fingerprint.
type ticket struct {
	owner     request.ID
	workspace workspace.RowID
	ready     chan struct{} // closed once the fingerprint is held for owner
}

func newHolds(isSuspect func(fingerprint []byte) bool) *holds {
	return &holds{
		byPrint:   make(map[string]*hold),
		waiting:   make(map[workspace.RowID]int),
		isSuspect: isSuspect,
	}
}

// acquire holds fingerprint for owner. When another request holds it, it
// returns a ticket instead; the caller waits for it or calls cancel. An empty
// fingerprint is held by any number of requests.
func (h *holds) acquire(fingerprint []byte, owner request.ID, ws workspace.RowID) *ticket {
	if len(fingerprint) == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.byPrint[string(fingerprint)]
	if held == nil {
		held = &hold{owner: owner}
		h.byPrint[string(fingerprint)] = held
	}
	if held.owner == owner || h.isProven(fingerprint) {
		held.refs++
		return nil
	}
	t := &ticket{owner: owner, workspace: ws, ready: make(chan struct{})}
	held.tickets = append(held.tickets, t)
	h.waiting[ws]++
	return t
}

// release ends one holding of fingerprint and hands it to the next request.
func (h *holds) release(fingerprint []byte) {
	if len(fingerprint) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.byPrint[string(fingerprint)]
	held.refs--
	if held.refs > 0 {
		return
	}
	if len(held.tickets) == 0 {
		delete(h.byPrint, string(fingerprint))
		return
	}
	h.handOn(held)
}

// handOn gives held to the first waiting request, with all its tickets. h.mu
// is held.
func (h *holds) handOn(held *hold) {
	held.owner = held.tickets[0].owner
	held.tickets = slices.DeleteFunc(held.tickets, func(t *ticket) bool {
		if t.owner != held.owner {
			return false
		}
		held.refs++
		h.leave(t.workspace)
		close(t.ready)
		return true
	})
}

// prove notes that a request with fingerprint has ended whole: all that wait
// for it may go on.
func (h *holds) prove(fingerprint []byte) {
	if len(fingerprint) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.proven.add(string(fingerprint))
	held := h.byPrint[string(fingerprint)]
	if held == nil {
		return
	}
	for _, t := range held.tickets {
		held.refs++
		h.leave(t.workspace)
		close(t.ready)
	}
	held.tickets = nil
}

// isProven reports whether any number of requests may hold fingerprint. h.mu is
// held.
func (h *holds) isProven(fingerprint []byte) bool {
	return h.proven.has(string(fingerprint)) && !h.isSuspect(fingerprint)
}

// cancel gives up t, which waits for or has just got fingerprint.
func (h *holds) cancel(fingerprint []byte, t *ticket) {
	h.mu.Lock()
	held := h.byPrint[string(fingerprint)]
	i := -1
	if held != nil {
		i = slices.Index(held.tickets, t)
	}
	if i >= 0 {
		held.tickets = slices.Delete(held.tickets, i, i+1)
		h.leave(t.workspace)
	}
	h.mu.Unlock()
	if i < 0 {
		h.release(fingerprint) // it was handed on before
	}
}

// leave counts one waiting request less. h.mu is held.
func (h *holds) leave(ws workspace.RowID) {
	h.waiting[ws]--
	if h.waiting[ws] == 0 {
		delete(h.waiting, ws)
	}
}

// waitingOf returns how many offers of ws wait for a fingerprint.
func (h *holds) waitingOf(ws workspace.RowID) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.waiting[ws]
}
