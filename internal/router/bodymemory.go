package router

import (
	"sync"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// workspaceMemoryDivisor bounds the memory of one workspace to this fraction of the
// memory for all bodies: 1/workspaceMemoryDivisor.
const workspaceMemoryDivisor = 4

// bodyMemory bounds the memory for the bodies of requests in flight. Memory is
// reserved before a body is read, and released with the first byte of the answer.
type bodyMemory struct {
	limit int64 // bytes

	mu          sync.Mutex
	total       int64
	byWorkspace map[workspace.RowID]int64
}

// bodyReservation is the memory reserved for one body. It is not safe for concurrent
// use.
type bodyReservation struct {
	memory *bodyMemory
	row    workspace.RowID
	bytes  int64
}

func newBodyMemory(limit int64) *bodyMemory {
	return &bodyMemory{limit: limit, byWorkspace: make(map[workspace.RowID]int64)}
}

// reserve reserves size bytes for a body of a request of row, or returns a refusal.
func (m *bodyMemory) reserve(row workspace.RowID, size int64) (*bodyReservation, *request.RefusedError) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.byWorkspace[row]+size > m.limit/workspaceMemoryDivisor:
		return nil, newRefusal(request.ReasonOverloaded, "bodies of the workspace's requests take %d bytes at this router", m.byWorkspace[row])
	case m.total+size > m.limit:
		return nil, newRefusal(request.ReasonOverloaded, "bodies of requests take %d bytes at this router", m.total)
	}
	m.total += size
	m.byWorkspace[row] += size
	return &bodyReservation{memory: m, row: row, bytes: size}, nil
}

// shrinkTo returns what the body does not need.
func (r *bodyReservation) shrinkTo(size int64) { r.free(r.bytes - size) }

// release returns all memory. It may be called more than once.
func (r *bodyReservation) release() { r.free(r.bytes) }

func (r *bodyReservation) free(n int64) {
	memory := r.memory
	memory.mu.Lock()
	defer memory.mu.Unlock()
	r.bytes -= n
	memory.total -= n
	memory.byWorkspace[r.row] -= n
	if memory.byWorkspace[r.row] == 0 {
		delete(memory.byWorkspace, r.row)
	}
}
