package upstream

import (
	"net"

	"github.com/cockroachdb/errors"
)

func isNetError(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) || errors.Is(err, net.ErrClosed)
}
