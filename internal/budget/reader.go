package budget

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrExhausted is the error of a reader whose budget has no memory left.
var ErrExhausted = errors.New("memory budget is exhausted")

// reader reserves memory for what it reads.
type reader struct {
	source io.Reader
	lease  *Lease
	factor int64
}

// NewReader returns a reader of source, of which everything is kept. Each byte that was
// read takes factor bytes of lease. Its error is ErrExhausted if there are none.
func NewReader(source io.Reader, lease *Lease, factor int64) io.Reader {
	return &reader{source, lease, factor}
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if !r.lease.Grow(r.factor * int64(n)) {
		return 0, ErrExhausted
	}
	return n, err
}
