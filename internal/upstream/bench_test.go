package upstream

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkCall measures one call on a reused connection, the target included.
func BenchmarkCall(b *testing.B) {
	event := "id: 1\ndata: " + strings.Repeat("x", 65) + "\n\n"
	for name, body := range map[string]string{"plain, 800 bytes": strings.Repeat("a plain answer\n", 53), "stream of 55 events": strings.Repeat(event, 55)} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(b, err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err == nil {
					serveConn(c, func(c net.Conn, _ int, id string) { _, _ = io.WriteString(c, response(id, body)) })
				}
			}()
			p, _ := newTestPool()
			b.ReportAllocs()
			for b.Loop() {
				got, err := do(p, l.Addr().String(), "1")
				if err != nil || len(got) != len(body) {
					b.Fatal(err)
				}
			}
		})
	}
}
