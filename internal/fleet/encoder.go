package fleet

import "github.com/mastichollow/mastichollow/internal/wire"

// Encoder makes the digests that a relay sends on one stream about one failure
// domain. Benchmarks count their bytes.
type Encoder struct {
	domain string // empty: the relay's own
	packer *packer
	sums   *poolSums
}

// NewEncoder returns an encoder of a stream on which nothing was sent.
func NewEncoder(domain string) *Encoder {
	return &Encoder{domain: domain, packer: newPacker(), sums: newPoolSums()}
}

// Encode returns the digest that brings the peer up to pools, or nil when
// nothing has changed.
func (e *Encoder) Encode(pools []wire.PoolSums) *wire.Digest {
	e.sums.set(pools)
	packed := e.packer.pack(e.sums)
	if len(packed) == 0 {
		return nil
	}
	return &wire.Digest{Domain: e.domain, Packed: packed}
}
