package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/engine"
)

// TestStallClosesIdleConnections leaves two connections idle, stalls an answer on one of
// them and checks that the next call uses neither of them: the other may have stopped
// delivering data as well.
func TestStallClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "a")
			switch r.URL.Path {
			case "/wait":
				<-release
			case "/stall":
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			}
		})
		options := serve(t, handler)
		options.ProgressTimeout = time.Second // less than the idle timeout of connections
		conns, dial := 0, options.Dial
		options.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conns++
			return dial(ctx, network, addr)
		}
		client := newServiceClient("http://target", options)
		get := func(path string) error {
			answer, err := client.Do(t.Context(), engine.Call{Method: "GET", Path: path})
			if err != nil {
				return err
			}
			defer answer.Close()
			_, err = readAll(t, answer)
			return err
		}
		var callers sync.WaitGroup
		for range 2 {
			callers.Go(func() { _ = get("/wait") })
			synctest.Wait()
		}
		close(release)
		callers.Wait()
		require.Equal(t, 2, conns)
		require.True(t, errors.Is(get("/stall"), engine.ErrStalled))
		require.Equal(t, io.EOF, get("/"))
		require.Equal(t, 3, conns)
	})
}
