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

// A host that is stopped while it is down must not serve again: its listener is already
// closed, and serving on it would fail.
func TestHostStoppedWhileDownEndsWithoutError(t *testing.T) {
	const rounds = 200 // a host that serves again fails within the first rounds
	for range rounds {
		host, err := standin.NewHost("127.0.0.1:0", http.NotFoundHandler())
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- host.Run(ctx) }()
		host.Crash(time.Hour)
		require.Eventually(t, func() bool { return refusesConnections(host.Addr()) }, 5*time.Second, time.Millisecond)
		cancel()
		require.NoError(t, <-ended)
	}
}

// refusesConnections reports whether nothing listens on addr.
func refusesConnections(addr string) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}
