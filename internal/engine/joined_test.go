package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/httpsend/httpsendtest"
)

// readAnswer returns the frames of the answer raw, and the error at its end: io.EOF if it
// is complete.
func readAnswer(t *testing.T, newClient func(string, engine.Options) engine.Client, raw string) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	httpsendtest.NewRawServer(t, l, raw)
	answer, err := newClient("http://"+l.Addr().String(), engine.Options{}).Do(context.Background(), engine.Call{Method: "POST", Path: "/", Attempt: "a"})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	var frames strings.Builder
	for {
		frame, err := answer.Next(context.Background())
		if err != nil {
			return frames.String(), err
		}
		frames.Write(frame.Data)
	}
}

// An answer that is truncated at any byte does not look complete, whether the connection
// is closed then or, in a stream, another answer follows.
func TestTruncatedAnswerIsIncomplete(t *testing.T) {
	const (
		events  = "data: a\n\ndata: b\n\ndata: [DONE]\n\n"
		foreign = "data: foreign\n\ndata: [DONE]\n\n"
		head    = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	)
	framed := func(body string) []string {
		return []string{
			head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
			head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		}
	}
	for name, newClient := range map[string]func(string, engine.Options) engine.Client{"model": newModelClient, "service": newServiceClient} {
		for _, raw := range framed(events) {
			for _, rest := range append(framed(foreign), "") {
				for cut := 1; cut < len(raw); cut++ {
					got, err := readAnswer(t, newClient, raw[:cut]+rest)
					require.True(t, strings.HasPrefix(events, got), "%s, cut at %d: %q", name, cut, got)
					require.True(t, !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || got == events, "%s, cut at %d: looks complete: %q", name, cut, got)
				}
			}
		}
	}
}
