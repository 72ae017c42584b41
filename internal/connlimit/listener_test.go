package connlimit

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Connections that are closed at any time, by clients, by the account and by the server,
// leave nothing in the account, and a request is served afterwards.
func TestAccountIsEmptyAfterAttack(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	account := NewAccount(Limits{Memory: 15 * ConnBytes, Conns: 20})
	server := &http.Server{Handler: Protected(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))}
	Configure(server)
	go func() { _ = server.Serve(NewListener(inner, account, nil, "test")) }()
	defer server.Close()
	const start = "POST / HTTP/1.1\r\nHost: h\r\n"
	texts := []string{
		"", start, start + strings.Repeat("3f:\r\n", 1000), start + strings.Repeat("3f:\r\n", 1000) + "\r\n",
		strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 20), start + "Content-Length: 5\r\n\r\nx", "\r\n\r\n",
	}
	var clients sync.WaitGroup
	for i := range 60 {
		clients.Go(func() {
			for n := range 20 {
				c, err := net.Dial("tcp4", inner.Addr().String())
				if err != nil {
					continue
				}
				_, _ = io.WriteString(c, texts[(i+n)%len(texts)])
				time.Sleep(time.Duration(i%10) * time.Millisecond)
				c.Close()
			}
		})
	}
	clients.Wait()
	require.Eventually(t, func() bool {
		bytes, conns := account.Used()
		return bytes == 0 && conns == 0
	}, 30*time.Second, 5*time.Millisecond)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(mustGet(t, "http://"+inner.Addr().String()))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

func mustGet(t *testing.T, url string) *http.Request {
	r, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	require.NoError(t, err)
	return r
}
