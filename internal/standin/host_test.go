package standin_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/standin"
)

// A host that is stopped while it is down has nothing left to serve: its
// listener is closed already, and serving it again would fail.
func TestHostStoppedWhileDownEndsWell(t *testing.T) {
	const rounds = 200 // the old fault showed within the first rounds
	for range rounds {
		host, err := standin.NewHost("127.0.0.1:0", http.NotFoundHandler())
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- host.Run(ctx) }()
		host.Crash(time.Hour)
		require.Eventually(t, func() bool { return refuses(host.Addr()) }, 5*time.Second, time.Millisecond)
		cancel()
		require.NoError(t, <-ended)
	}
}

// refuses reports whether nothing listens on addr.
func refuses(addr string) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}
