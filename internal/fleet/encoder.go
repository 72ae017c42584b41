package fleet

import "github.com/mastichollow/mastichollow/internal/wire"

// DigestEncoder encodes the digests that a relay sends about one failure domain
// on one stream. Benchmarks use it to count bytes.
type DigestEncoder struct {
	domain string // empty: the relay's local domain
	packer *packer
	totals *poolTotals
}

// NewDigestEncoder returns an encoder for a stream on which nothing has been
// sent.
func NewDigestEncoder(domain string) *DigestEncoder {
	return &DigestEncoder{domain: domain, packer: newPacker(), totals: newPoolTotals()}
}

// Encode returns the digest that updates the peer to pools, or nil if nothing
// has changed.
func (e *DigestEncoder) Encode(pools []wire.PoolTotals) *wire.Digest {
	e.totals.set(pools)
	packed := e.packer.pack(e.totals)
	if len(packed) == 0 {
		return nil
	}
	return &wire.Digest{Domain: e.domain, Packed: packed}
}
