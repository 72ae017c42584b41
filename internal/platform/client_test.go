package platform_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/httpsend/httpsendtest"
	"github.com/mastichollow/mastichollow/internal/platform"
)

// longTimeoutOptions have a timeout that does not expire on a slow machine.
var longTimeoutOptions = platform.Options{Timeout: time.Minute, MaxResponseBytes: 1 << 10}

// cannedServer is a server that sends the same bytes in response to each request.
type cannedServer struct {
	*httpsendtest.RawServer
	url string
}

func newCannedServer(t *testing.T, response string) *cannedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return &cannedServer{RawServer: httpsendtest.NewRawServer(t, l, response), url: "http://" + l.Addr().String()}
}

func TestTableClientErrorsByResponse(t *testing.T) {
	const (
		ok       = "HTTP/1.1 200 OK\r\nContent-Length: "
		conflict = "HTTP/1.1 409 Conflict\r\nContent-Length: "
	)
	for name, c := range map[string]struct {
		response  string
		get, list error
		commit    error
	}{
		"connection closed":        {"", platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUncertain},
		"not HTTP":                 {"hello\r\n\r\n", platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUncertain},
		"truncated body":           {ok + "100\r\n\r\n{\"version\":3}", platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUncertain},
		"body of unknown length":   {"HTTP/1.1 200 OK\r\n\r\n{\"version\":3}", platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUncertain},
		"body too large":           {ok + "2013\r\n\r\n{\"version\":3}" + strings.Repeat(" ", 2000), platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUncertain},
		"not JSON":                 {ok + "3\r\n\r\nabc", platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUncertain},
		"no version":               {ok + "2\r\n\r\n{}", platform.ErrUnavailable, nil, platform.ErrUncertain},
		"other key":                {ok + "23\r\n\r\n{\"key\":\"b\",\"version\":3}", platform.ErrUnavailable, nil, nil},
		"service unavailable":      {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUnavailable},
		"internal error":           {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUncertain},
		"gateway timeout":          {"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n", platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUncertain},
		"bad request":              {"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUnavailable},
		"redirect":                 {"HTTP/1.1 307 Temporary Redirect\r\nLocation: /\r\nContent-Length: 0\r\n\r\n", platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUnavailable},
		"not found":                {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", platform.ErrNotFound, platform.ErrUnavailable, platform.ErrUnavailable},
		"conflict":                 {conflict + "14\r\n\r\n{\"keys\":[\"a\"]}", platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrConflict},
		"conflict without keys":    {conflict + "2\r\n\r\n{}", platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUncertain},
		"conflict names other key": {conflict + "14\r\n\r\n{\"keys\":[\"b\"]}", platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUncertain},
	} {
		t.Run(name, func(t *testing.T) {
			server := newCannedServer(t, c.response)
			// Each call has a new client, because the server closes its connections.
			client := func() *platform.TableClient { return platform.NewTableClient(server.url, longTimeoutOptions) }
			_, err := client().Get(t.Context(), "a")
			requireMark(t, err, c.get)
			_, err = client().List(t.Context(), "a")
			requireMark(t, err, c.list)
			before := server.Requests.Load()
			_, err = client().Commit(t.Context(), platform.Write{Key: "a"})
			requireMark(t, err, c.commit)
			require.Equal(t, int64(1), server.Requests.Load()-before, "commits sent")
		})
	}
}

// requireMark fails the test unless err is marked with want and no other marker.
func requireMark(t *testing.T, err, want error) {
	t.Helper()
	if want == nil {
		require.NoError(t, err)
		return
	}
	for _, mark := range []error{
		platform.ErrNotFound, platform.ErrConflict, platform.ErrUnavailable, platform.ErrUncertain,
	} {
		require.Equal(t, errors.Is(want, mark), errors.Is(err, mark), "error %v, want mark %q", err, want)
	}
}

func TestClientsRefusedConnectionIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	url := "http://" + l.Addr().String()
	require.NoError(t, l.Close())
	_, err = platform.NewTableClient(url, longTimeoutOptions).Commit(t.Context(), platform.Write{Key: "a"})
	requireMark(t, err, platform.ErrUnavailable)
	err = platform.NewObjectClient(url, longTimeoutOptions).Put(t.Context(), "a", nil)
	requireMark(t, err, platform.ErrUnavailable)
	_, err = platform.NewVMClient(url, longTimeoutOptions).List(t.Context())
	requireMark(t, err, platform.ErrUnavailable)
}

func TestTableClientCommitCancelledAfterSendIsUncertain(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	server := newCannedServer(t, "")
	server.OnRequest = func() { cancel(); <-t.Context().Done() }
	_, err := platform.NewTableClient(server.url, longTimeoutOptions).Commit(ctx, platform.Write{Key: "a"})
	requireMark(t, err, platform.ErrUncertain)
}

func TestTableClientCallTimeout(t *testing.T) {
	server := newCannedServer(t, "")
	server.OnRequest = func() { <-t.Context().Done() }
	table := platform.NewTableClient(server.url, platform.Options{Timeout: 20 * time.Millisecond})
	_, err := table.Get(t.Context(), "a")
	requireMark(t, err, platform.ErrUnavailable)
}
