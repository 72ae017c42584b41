package router

import (
	"github.com/mastichollow/mastichollow/internal/budget"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// workspaceMemoryDivisor bounds the memory of one workspace to this fraction of the
// memory for all bodies: 1/workspaceMemoryDivisor.
const workspaceMemoryDivisor = 4

// bodyMemory bounds the memory for the bodies of requests in flight. Memory is
// reserved before a body is read, and released with the first byte of the answer.
type bodyMemory struct {
	*budget.Keyed[workspace.RowID]
	rowLimit int64 // bytes that one workspace may hold
}

// bodyReservation is the memory reserved for one body. It is not safe for concurrent
// use.
type bodyReservation struct {
	memory bodyMemory
	row    workspace.RowID
	bytes  int64
}

func newBodyMemory(limit int64) bodyMemory {
	rowLimit := limit / workspaceMemoryDivisor
	return bodyMemory{budget.NewKeyed[workspace.RowID](limit, rowLimit), rowLimit}
}

// reserve reserves size bytes for a body of a request of row, or returns a refusal.
func (m bodyMemory) reserve(row workspace.RowID, size int64) (*bodyReservation, *request.RefusedError) {
	if m.Grow(row, size) {
		return &bodyReservation{memory: m, row: row, bytes: size}, nil
	}
	total, ofRow := m.Used(row)
	if ofRow+size > m.rowLimit {
		return nil, newRefusal(request.ReasonOverloaded, "bodies of the workspace's requests take %d bytes at this router", ofRow)
	}
	return nil, newRefusal(request.ReasonOverloaded, "bodies of requests take %d bytes at this router", total)
}

// shrinkTo returns what the body does not need.
func (r *bodyReservation) shrinkTo(size int64) { r.free(r.bytes - size) }

// release returns all memory. It may be called more than once.
func (r *bodyReservation) release() { r.free(r.bytes) }

func (r *bodyReservation) free(n int64) {
	r.bytes -= n
	r.memory.Release(r.row, n)
}
