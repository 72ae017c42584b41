package router

import (
	"sync"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// workspaceShare is the part of the memory for bodies, one in so many, that one
// workspace may take.
const workspaceShare = 4

// bodies bounds the memory for the bodies of the requests in hand. A body is
// held from before it is read until the first byte of the answer.
type bodies struct {
	limit int64 // bytes of all

	mu   sync.Mutex
	sum  int64
	rows map[workspace.RowID]int64
}

// heldBody is the memory for one body. It is used by one goroutine.
type heldBody struct {
	bodies *bodies
	row    workspace.RowID
	size   int64
}

func newBodies(limit int64) *bodies {
	return &bodies{limit: limit, rows: make(map[workspace.RowID]int64)}
}

// hold takes size bytes for a body of row, or refuses the request.
func (b *bodies) hold(row workspace.RowID, size int64) (*heldBody, *request.RefusedError) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.rows[row]+size > b.limit/workspaceShare:
		return nil, refuse(request.ReasonOverloaded, "bodies of the workspace's requests take %d bytes at this router", b.rows[row])
	case b.sum+size > b.limit:
		return nil, refuse(request.ReasonOverloaded, "bodies of requests take %d bytes at this router", b.sum)
	}
	b.sum += size
	b.rows[row] += size
	return &heldBody{bodies: b, row: row, size: size}, nil
}

// shrink gives back what the body did not need.
func (h *heldBody) shrink(size int64) { h.give(h.size - size) }

// release gives all memory back. It may be called again.
func (h *heldBody) release() { h.give(h.size) }

func (h *heldBody) give(n int64) {
	b := h.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	h.size -= n
	b.sum -= n
	b.rows[h.row] -= n
	if b.rows[h.row] == 0 {
		delete(b.rows, h.row)
	}
}
