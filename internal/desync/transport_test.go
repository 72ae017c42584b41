package desync

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/httpsend/httpsendtest"
)

func roundTrip(t *testing.T, raw string) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	httpsendtest.NewRawServer(t, l, raw)
	defer l.Close()
	req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/", http.NoBody)
	require.NoError(t, err)
	resp, err := NewTransport(&http.Transport{DisableKeepAlives: true}, "Era").RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestTransportRefusesHeadCutAtEachByte(t *testing.T) {
	first := head("Era: 1", "Content-Type: application/json", "Date: Sat, 05 Dec 2026 00:00:00 GMT", "Content-Length: 5")
	second := head("Era: 2", "Content-Length: 6") + "second"
	for cut := range first {
		body, err := roundTrip(t, first[:cut])
		require.Error(t, err, "%d: %q", cut, body)
		if cut > 0 {
			body, err = roundTrip(t, first[:cut]+second)
			require.Error(t, err, "%d: %q", cut, body)
		}
	}
	body, err := roundTrip(t, first+"first")
	require.NoError(t, err)
	require.Equal(t, "first", body)
}

func TestTransportBoundsHeads(t *testing.T) {
	for name, raw := range map[string]string{
		"one field":      "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 1<<20),
		"many fields":    "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 1<<17),
		"status line":    "HTTP/1.1 200 " + strings.Repeat("y", 1<<20),
		"interim ones":   strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", 1<<15),
		"trailers":       head("Transfer-Encoding: chunked") + "0\r\n" + strings.Repeat("X: y\r\n", 1<<17),
		"chunk header":   head("Transfer-Encoding: chunked") + "5;" + strings.Repeat("y", 1<<20),
		"chunk headers":  head("Transfer-Encoding: chunked") + strings.Repeat(fmt.Sprintf("1;%s\r\na\r\n", strings.Repeat("y", 1000)), 1<<10),
		"repeated field": head("Era: 1", "Era: 2", "Content-Length: 0"),
	} {
		_, err := roundTrip(t, raw)
		require.Error(t, err, name)
	}
}
