package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// ErrMalformed marks packed totals, of a digest or a report, that cannot be
// decoded.
var ErrMalformed = errors.New("packed totals are malformed")

// Flags in the low bits of a row header, one for each field that follows. The
// bits above packedFlagBits hold the increase of the row ID.
const (
	packedService = 1 << iota
	packedStarted
	packedRunning
	packedQueued
	packedFlagBits = iota
)

const maxPackedPools = 1 << 10 // pools per unpacker

// packer encodes the totals of one source as differences to those that it
// encoded before; unpacker decodes them. One packer is shared by all links of a
// relay that get the same totals; a link that missed a change is sent all
// totals and starts with a new unpacker.
//
// Packed totals are a sequence of pools. A pool is: its index; its name, if the
// index is new; free slots; waiting offers; the number of rows; the rows. A row
// is a header (increase of the row ID and four flags) followed by the fields
// whose flags are set: increase of service, increase of started, running,
// waiting. All numbers are unsigned varints.
type packer struct {
	sent      *poolTotals    // what has been packed so far
	poolIndex map[string]int // by pool name
}

func newPacker() *packer {
	return &packer{sent: newPoolTotals(), poolIndex: make(map[string]int)}
}

// pack returns the difference between totals and those packed before, or nil if
// there is none.
func (p *packer) pack(totals *poolTotals) []byte {
	var buf []byte
	for _, pool := range changedPools(p.sent, totals) {
		buf = p.packPool(buf, pool)
	}
	return buf
}

// packAll returns all totals packed so far, for a new unpacker that then reads
// the results of further calls of pack.
func (p *packer) packAll() []byte {
	pools := changedPools(nil, p.sent)
	slices.SortFunc(pools, func(a, b wire.PoolTotals) int { return cmp.Compare(p.poolIndex[a.Pool], p.poolIndex[b.Pool]) })
	fullPacker := newPacker()
	var buf []byte
	for _, pool := range pools {
		buf = fullPacker.packPool(buf, pool)
	}
	return buf
}

func (p *packer) packPool(buf []byte, pool wire.PoolTotals) []byte {
	index, known := p.poolIndex[pool.Pool]
	if !known {
		index = len(p.poolIndex)
		p.poolIndex[pool.Pool] = index
	}
	buf = binary.AppendUvarint(buf, uint64(index))
	if !known {
		buf = binary.AppendUvarint(buf, uint64(len(pool.Pool)))
		buf = append(buf, pool.Pool...)
	}
	buf = binary.AppendUvarint(buf, uint64(pool.Free))
	buf = binary.AppendUvarint(buf, uint64(pool.Queued))
	p.sent.loads[pool.Pool] = Load{Free: int(pool.Free), Queued: int(pool.Queued)}
	buf = binary.AppendUvarint(buf, uint64(len(pool.Totals)))
	var previousID workspace.RowID
	for _, row := range pool.Totals {
		buf = p.packRow(buf, rowKey{pool.Pool, row.Workspace}, row, uint64(row.Workspace-previousID))
		previousID = row.Workspace
	}
	return buf
}

func (p *packer) packRow(buf []byte, key rowKey, row wire.Total, idDelta uint64) []byte {
	previous := p.sent.rows[key]
	p.sent.rows[key] = row
	values := [packedFlagBits]uint64{
		row.Service - previous.Service,
		row.Started - previous.Started,
		uint64(row.Running),
		uint64(row.Queued),
	}
	changed := [packedFlagBits]bool{
		row.Service != previous.Service,
		row.Started != previous.Started,
		row.Running != previous.Running,
		row.Queued != previous.Queued,
	}
	header := idDelta << packedFlagBits
	for i, differs := range changed {
		if differs {
			header |= 1 << i
		}
	}
	buf = binary.AppendUvarint(buf, header)
	for i, differs := range changed {
		if differs {
			buf = binary.AppendUvarint(buf, values[i])
		}
	}
	return buf
}

// unpacker decodes the totals that one packer encoded, as received on one
// stream.
type unpacker struct {
	totals *poolTotals // what has been decoded so far
	pools  []string    // names by index
}

func newUnpacker() *unpacker { return &unpacker{totals: newPoolTotals()} }

// unpack returns the changed pools; their rows hold totals, not differences.
// The error wraps ErrMalformed.
func (u *unpacker) unpack(packed []byte) ([]wire.PoolTotals, error) {
	r := &varintReader{buf: packed}
	var pools []wire.PoolTotals
	for len(r.buf) > 0 && r.err == nil {
		pools = append(pools, u.unpackPool(r))
	}
	return pools, r.err
}

func (u *unpacker) unpackPool(r *varintReader) wire.PoolTotals {
	index := r.uvarint()
	if index == uint64(len(u.pools)) && index < maxPackedPools {
		u.pools = append(u.pools, r.string())
	}
	if index >= uint64(len(u.pools)) {
		r.fail()
		return wire.PoolTotals{}
	}
	out := wire.PoolTotals{Pool: u.pools[index], Free: r.uint32(), Queued: r.uint32()}
	rows := r.uvarint()
	var previousID workspace.RowID
	for ; rows > 0 && r.err == nil; rows-- {
		row := u.unpackRow(r, out.Pool, previousID)
		previousID = row.Workspace
		out.Totals = append(out.Totals, row)
	}
	return out
}

func (u *unpacker) unpackRow(r *varintReader, pool string, previousID workspace.RowID) wire.Total {
	header := r.uvarint()
	key := rowKey{pool, previousID + workspace.RowID(header>>packedFlagBits)}
	row := u.totals.rows[key]
	row.Workspace = key.workspace
	if header&packedService != 0 {
		row.Service += r.uvarint()
	}
	if header&packedStarted != 0 {
		row.Started += r.uvarint()
	}
	if header&packedRunning != 0 {
		row.Running = r.uint32()
	}
	if header&packedQueued != 0 {
		row.Queued = r.uint32()
	}
	if r.err == nil {
		u.totals.rows[key] = row
	}
	return row
}

// varintReader reads numbers and strings until the first error, which it
// retains.
type varintReader struct {
	buf []byte
	err error
}

func (r *varintReader) fail() {
	if r.err == nil {
		r.err = errors.Wrapf(ErrMalformed, "%d bytes before the end", len(r.buf))
	}
}

func (r *varintReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.buf)
	if n <= 0 || r.err != nil {
		r.fail()
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

func (r *varintReader) uint32() uint32 {
	v := r.uvarint()
	if v > 1<<32-1 {
		r.fail()
		return 0
	}
	return uint32(v)
}

func (r *varintReader) string() string {
	n := r.uvarint()
	if n > uint64(len(r.buf)) {
		r.fail()
		return ""
	}
	s := string(r.buf[:n])
	r.buf = r.buf[n:]
	return s
}
