package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// ErrPacked marks a packed digest that cannot be read.
var ErrPacked = errors.New("packed digest is malformed")

// Bits of a packed row's first number; the growth of the row ID stands above.
const (
	packService = 1 << iota
	packStarted
	packRunning
	packQueued
	packBits = iota
)

const maxPackedPools = 1 << 10

// packer writes the sums of one origin as differences to what it wrote before,
// and unpacker reads them. One packer serves all links of a relay; a link that
// missed something gets all of it and an unpacker that starts anew.
//
// A digest is a sequence of pools: index of the pool; its name when the index
// is new; free slots; waiting offers; number of rows; rows. A row is the
// growth of the row ID with four bits that tell which figures follow: growth
// of service, growth of started, running, waiting. All numbers are varints.
type packer struct {
	sent  *poolSums
	index map[string]int
}

func newPacker() *packer {
	return &packer{sent: newPoolSums(), index: make(map[string]int)}
}

// pack returns the difference of sums to those sent before, or nil.
func (p *packer) pack(sums *poolSums) []byte {
	var buf []byte
	for _, pool := range diff(p.sent, sums) {
		buf = p.packPool(buf, pool)
	}
	return buf
}

// full returns everything that was packed so far for a reader that has none of
// it, so that it can read what is packed next.
func (p *packer) full() []byte {
	pools := diff(nil, p.sent)
	slices.SortFunc(pools, func(a, b wire.PoolSums) int { return cmp.Compare(p.index[a.Pool], p.index[b.Pool]) })
	fresh := newPacker()
	var buf []byte
	for _, pool := range pools {
		buf = fresh.packPool(buf, pool)
	}
	return buf
}

func (p *packer) packPool(buf []byte, pool wire.PoolSums) []byte {
	index, known := p.index[pool.Pool]
	if !known {
		index = len(p.index)
		p.index[pool.Pool] = index
	}
	buf = binary.AppendUvarint(buf, uint64(index))
	if !known {
		buf = binary.AppendUvarint(buf, uint64(len(pool.Pool)))
		buf = append(buf, pool.Pool...)
	}
	buf = binary.AppendUvarint(buf, uint64(pool.Free))
	buf = binary.AppendUvarint(buf, uint64(pool.Queued))
	p.sent.loads[pool.Pool] = Load{Free: int(pool.Free), Queued: int(pool.Queued)}
	buf = binary.AppendUvarint(buf, uint64(len(pool.Sums)))
	var id workspace.RowID
	for _, row := range pool.Sums {
		buf = p.packRow(buf, rowKey{pool.Pool, row.Workspace}, row, uint64(row.Workspace-id))
		id = row.Workspace
	}
	return buf
}

func (p *packer) packRow(buf []byte, key rowKey, row wire.Sum, step uint64) []byte {
	before := p.sent.rows[key]
	p.sent.rows[key] = row
	figures := [packBits]uint64{
		row.Service - before.Service,
		row.Started - before.Started,
		uint64(row.Running),
		uint64(row.Queued),
	}
	set := [packBits]bool{
		row.Service != before.Service,
		row.Started != before.Started,
		row.Running != before.Running,
		row.Queued != before.Queued,
	}
	head := step << packBits
	for i, on := range set {
		if on {
			head |= 1 << i
		}
	}
	buf = binary.AppendUvarint(buf, head)
	for i, on := range set {
		if on {
			buf = binary.AppendUvarint(buf, figures[i])
		}
	}
	return buf
}

// unpacker reads the digests of one failure domain from one stream.
type unpacker struct {
	got   *poolSums
	pools []string
}

func newUnpacker() *unpacker { return &unpacker{got: newPoolSums()} }

// unpack returns the changed rows with their full sums.
func (u *unpacker) unpack(packed []byte) ([]wire.PoolSums, error) {
	r := &packReader{buf: packed}
	var pools []wire.PoolSums
	for len(r.buf) > 0 && r.err == nil {
		pools = append(pools, u.unpackPool(r))
	}
	return pools, r.err
}

func (u *unpacker) unpackPool(r *packReader) wire.PoolSums {
	index := r.uvarint()
	if index == uint64(len(u.pools)) && index < maxPackedPools {
		u.pools = append(u.pools, r.text())
	}
	if index >= uint64(len(u.pools)) {
		r.fail()
		return wire.PoolSums{}
	}
	out := wire.PoolSums{Pool: u.pools[index], Free: r.uint32(), Queued: r.uint32()}
	rows := r.uvarint()
	var id workspace.RowID
	for ; rows > 0 && r.err == nil; rows-- {
		row := u.unpackRow(r, out.Pool, id)
		id = row.Workspace
		out.Sums = append(out.Sums, row)
	}
	return out
}

func (u *unpacker) unpackRow(r *packReader, pool string, id workspace.RowID) wire.Sum {
	head := r.uvarint()
	key := rowKey{pool, id + workspace.RowID(head>>packBits)}
	row := u.got.rows[key]
	row.Workspace = key.ws
	if head&packService != 0 {
		row.Service += r.uvarint()
	}
	if head&packStarted != 0 {
		row.Started += r.uvarint()
	}
	if head&packRunning != 0 {
		row.Running = r.uint32()
	}
	if head&packQueued != 0 {
		row.Queued = r.uint32()
	}
	if r.err == nil {
		u.got.rows[key] = row
	}
	return row
}

// packReader reads numbers until the first fault.
type packReader struct {
	buf []byte
	err error
}

func (r *packReader) fail() {
	if r.err == nil {
		r.err = errors.Wrapf(ErrPacked, "%d bytes before the end", len(r.buf))
	}
}

func (r *packReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.buf)
	if n <= 0 || r.err != nil {
		r.fail()
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

func (r *packReader) uint32() uint32 {
	v := r.uvarint()
	if v > 1<<32-1 {
		r.fail()
		return 0
	}
	return uint32(v)
}

func (r *packReader) text() string {
	n := r.uvarint()
	if n > uint64(len(r.buf)) {
		r.fail()
		return ""
	}
	s := string(r.buf[:n])
	r.buf = r.buf[n:]
	return s
}
