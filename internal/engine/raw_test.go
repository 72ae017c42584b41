package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/engine/enginetest"
	"github.com/mastichollow/mastichollow/internal/httpsend/httpsendtest"
)

func TestClientsTakeOnlyAnswersThatAreProvenWhole(t *testing.T) {
	const (
		events  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		object  = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		text    = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
		problem = "HTTP/1.1 409 Conflict\r\nContent-Type: application/problem+json\r\n"
		done    = "data: [DONE]\n\n"
	)
	for name, c := range map[string]struct {
		client func(string, engine.Options) engine.Client
		method string
		answer string
		status int
		body   string
		err    error
	}{
		"stream that ends without done":    {newModel, "POST", events + "Content-Length: 9\r\n\r\ndata: a\n\n", 200, "data: a\n\n", engine.ErrTruncated},
		"stream without a length":          {newModel, "POST", events + "\r\n" + done, 200, done, io.EOF},
		"empty stream":                     {newModel, "POST", events + "Content-Length: 0\r\n\r\n", 200, "", engine.ErrTruncated},
		"event beyond the limit":           {newModel, "POST", events + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), 200, "", engine.ErrTruncated},
		"whole answer without a length":    {newModel, "POST", object + "\r\n{}", 200, "", engine.ErrTruncated},
		"whole answer shorter than length": {newModel, "POST", object + "Content-Length: 9\r\n\r\n{}", 200, "", engine.ErrTruncated},
		"whole answer beyond the limit":    {newModel, "POST", object + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), 200, "", engine.ErrTruncated},
		"service body without a length":    {newService, "POST", text + "\r\nabc", 200, "abc", engine.ErrTruncated},
		"service body shorter than length": {newService, "POST", text + "Content-Length: 9\r\n\r\nabc", 200, "abc", engine.ErrTruncated},
		"service body cut in a chunk":      {newService, "POST", text + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 200, "abc", engine.ErrTruncated},
		"service body in chunks":           {newService, "POST", text + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200, "abc", io.EOF},
		"empty answer":                     {newService, "POST", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", io.EOF},
		"empty answer of a model":          {newModel, "POST", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", 503, "", io.EOF},
		"answer to HEAD":                   {newService, "HEAD", text + "\r\n", 200, "", io.EOF},
		"redirect is passed on":            {newService, "POST", "HTTP/1.1 307 Temporary Redirect\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", 307, "", io.EOF},
		"conflict of the service's own":    {newService, "POST", problem + "Content-Length: 17\r\n\r\n{\"type\":\"/taken\"}", 409, "{\"type\":\"/taken\"}", io.EOF},
		"fenced in another media type":     {newService, "POST", "HTTP/1.1 409 Conflict\r\nContent-Type: application/json\r\nContent-Length: 17\r\n\r\n{\"type\":\"fenced\"}", 409, "{\"type\":\"fenced\"}", io.EOF},
		"cut conflict":                     {newService, "POST", problem + "Content-Length: 90\r\n\r\n{\"type\":\"fenced\"}", 409, "{\"type\":\"fenced\"}", engine.ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := newPipes()
				target := httpsendtest.NewRawServer(t, listener, c.answer)
				client := c.client("http://target", engine.Options{Dial: listener.dial, MaxWhole: 1000, MaxEvent: 1000})
				answer, err := client.Do(t.Context(), engine.Call{Method: c.method, Path: "/"})
				require.NoError(t, err)
				defer answer.Close()
				require.Equal(t, c.status, answer.Status())
				body, err := readAll(t, answer)
				require.Equal(t, c.body, body)
				require.True(t, errors.Is(err, c.err), "error %v, want %v", err, c.err)
				require.Equal(t, int64(1), target.Requests.Load(), "calls sent")
			})
		})
	}
}

// readAll returns the body of answer and the error that ended it.
func readAll(t *testing.T, answer engine.Answer) (string, error) {
	var body strings.Builder
	for {
		frame, err := answer.Next(t.Context())
		if err != nil {
			return body.String(), err
		}
		body.Write(frame.Data)
	}
}

func TestSlowReaderIsNoStall(t *testing.T) {
	for _, name := range []string{"stream", "service"} {
		synctest.Test(t, func(t *testing.T) {
			s := kinds()[name].newSubject(t, enginetest.Works, serve)
			answer, err := s.Do(t.Context(), s.Call())
			require.NoError(t, err)
			defer answer.Close()
			first, err := answer.Next(t.Context())
			require.NoError(t, err)
			time.Sleep(10 * progress)
			rest, err := readAll(t, answer)
			require.Equal(t, io.EOF, err)
			require.Equal(t, s.Want.Body, string(first.Data)+rest)
		})
	}
}

// countConns returns how many connections two calls with method use.
func countConns(t *testing.T, method string) int {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	options := serve(t, handler)
	conns, dial := 0, options.Dial
	options.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conns++
		return dial(ctx, network, addr)
	}
	client := newService("http://target", options)
	for range 2 {
		answer, err := client.Do(t.Context(), engine.Call{Method: method, Path: "/"})
		require.NoError(t, err)
		_, err = readAll(t, answer)
		require.Equal(t, io.EOF, err)
		require.NoError(t, answer.Close())
		synctest.Wait()
	}
	return conns
}

func TestCallsThatMayNotBeRepeatedUseNewConnections(t *testing.T) {
	for method, want := range map[string]int{"GET": 1, "HEAD": 1, "POST": 2, "PUT": 2, "DELETE": 2, "PATCH": 2} {
		synctest.Test(t, func(t *testing.T) { require.Equal(t, want, countConns(t, method), method) })
	}
}

func TestModelClientAsksForPlainAnswers(t *testing.T) {
	for name, want := range map[string]string{"whole": "", "service": "gzip"} {
		synctest.Test(t, func(t *testing.T) {
			s := kinds()[name].newSubject(t, enginetest.Works, serve)
			call := s.Call()
			call.Header.Set("Accept-Encoding", "gzip")
			answer, err := s.Do(t.Context(), call)
			require.NoError(t, err)
			defer answer.Close()
			require.Equal(t, want, s.Received()[0].Header.Get("Accept-Encoding"))
		})
	}
}
