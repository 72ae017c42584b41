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

// TestClientDetectsIncompleteAnswers checks that an answer without the end that its
// protocol prescribes is an error, also when the connection was closed in order, and
// that complete answers end with EOF.
func TestClientDetectsIncompleteAnswers(t *testing.T) {
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
		"stream that ends without done":                    {newModelClient, "POST", events + "Content-Length: 9\r\n\r\ndata: a\n\n", 200, "data: a\n\n", engine.ErrTruncated},
		"stream without a length":                          {newModelClient, "POST", events + "\r\n" + done, 200, done, io.EOF},
		"empty stream":                                     {newModelClient, "POST", events + "Content-Length: 0\r\n\r\n", 200, "", engine.ErrTruncated},
		"event over the size limit":                        {newModelClient, "POST", events + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), 200, "", engine.ErrTruncated},
		"unstreamed answer without a length":               {newModelClient, "POST", object + "\r\n{}", 200, "", engine.ErrTruncated},
		"unstreamed answer shorter than its length":        {newModelClient, "POST", object + "Content-Length: 9\r\n\r\n{}", 200, "", engine.ErrTruncated},
		"unstreamed answer over the size limit":            {newModelClient, "POST", object + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), 200, "", engine.ErrTruncated},
		"service body without a length":                    {newServiceClient, "POST", text + "\r\nabc", 200, "abc", engine.ErrTruncated},
		"service body shorter than its length":             {newServiceClient, "POST", text + "Content-Length: 9\r\n\r\nabc", 200, "abc", engine.ErrTruncated},
		"service body that ends after a chunk":             {newServiceClient, "POST", text + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 200, "abc", engine.ErrTruncated},
		"chunked service body":                             {newServiceClient, "POST", text + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200, "abc", io.EOF},
		"service stream that ends inside an event":         {newServiceClient, "POST", events + "Content-Length: 16\r\n\r\ndata: a\n\ndata: b", 200, "data: a\n\n", engine.ErrTruncated},
		"chunked service stream that ends inside an event": {newServiceClient, "POST", events + "Transfer-Encoding: chunked\r\n\r\n10\r\ndata: a\n\ndata: b\r\n0\r\n\r\n", 200, "data: a\n\n", engine.ErrTruncated},
		"service stream without a length":                  {newServiceClient, "POST", events + "\r\ndata: a\n\n", 200, "data: a\n\n", engine.ErrTruncated},
		"complete service stream":                          {newServiceClient, "POST", events + "Content-Length: 18\r\n\r\ndata: a\n\ndata: b\n\n", 200, "data: a\n\ndata: b\n\n", io.EOF},
		"empty answer":                                     {newServiceClient, "POST", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", io.EOF},
		"empty answer of a model":                          {newModelClient, "POST", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", 503, "", io.EOF},
		"answer to HEAD":                                   {newServiceClient, "HEAD", text + "\r\n", 200, "", io.EOF},
		"redirect is not followed":                         {newServiceClient, "POST", "HTTP/1.1 307 Temporary Redirect\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", 307, "", io.EOF},
		"conflict that is not about fencing":               {newServiceClient, "POST", problem + "Content-Length: 17\r\n\r\n{\"type\":\"/taken\"}", 409, "{\"type\":\"/taken\"}", io.EOF},
		"fenced in another media type":                     {newServiceClient, "POST", "HTTP/1.1 409 Conflict\r\nContent-Type: application/json\r\nContent-Length: 17\r\n\r\n{\"type\":\"fenced\"}", 409, "{\"type\":\"fenced\"}", io.EOF},
		"truncated conflict":                               {newServiceClient, "POST", problem + "Content-Length: 90\r\n\r\n{\"type\":\"fenced\"}", 409, "{\"type\":\"fenced\"}", engine.ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := newPipeListener()
				target := httpsendtest.NewRawServer(t, listener, c.answer)
				client := c.client("http://target", engine.Options{Dial: listener.dial, MaxBufferedAnswerBytes: 1000, MaxEventBytes: 1000})
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

// TestSlowReaderIsNotAStall checks that the progress timeout does not run while the
// caller does not read.
func TestSlowReaderIsNotAStall(t *testing.T) {
	for _, name := range []string{"stream", "service"} {
		synctest.Test(t, func(t *testing.T) {
			s := answerKinds()[name].newSubject(t, enginetest.AnswersCalls, serve)
			answer, err := s.Do(t.Context(), s.Call())
			require.NoError(t, err)
			defer answer.Close()
			first, err := answer.Next(t.Context())
			require.NoError(t, err)
			time.Sleep(10 * progressTimeout)
			rest, err := readAll(t, answer)
			require.Equal(t, io.EOF, err)
			require.Equal(t, s.Want.Body, string(first.Data)+rest)
		})
	}
}

// countConns returns the number of connections that two successive calls with method
// open.
func countConns(t *testing.T, method string) int {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	options := serve(t, handler)
	conns, dial := 0, options.Dial
	options.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conns++
		return dial(ctx, network, addr)
	}
	client := newServiceClient("http://target", options)
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

// TestUnsafeMethodsUseNewConnections guards against a lost call: the target may close an
// idle connection just as a call is sent on it, and only a call with a safe method can be
// sent again.
func TestUnsafeMethodsUseNewConnections(t *testing.T) {
	for method, want := range map[string]int{"GET": 1, "HEAD": 1, "POST": 2, "PUT": 2, "DELETE": 2, "PATCH": 2} {
		synctest.Test(t, func(t *testing.T) { require.Equal(t, want, countConns(t, method), method) })
	}
}

func TestModelClientDropsAcceptEncoding(t *testing.T) {
	for name, want := range map[string]string{"unstreamed": "", "service": "gzip"} {
		synctest.Test(t, func(t *testing.T) {
			s := answerKinds()[name].newSubject(t, enginetest.AnswersCalls, serve)
			call := s.Call()
			call.Header.Set("Accept-Encoding", "gzip")
			answer, err := s.Do(t.Context(), call)
			require.NoError(t, err)
			defer answer.Close()
			require.Equal(t, want, s.Received()[0].Header.Get("Accept-Encoding"))
		})
	}
}

// TestInvalidStatusIsNoAnswer guards against a status that is taken for that of a complete answer
// and that no client understands.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "+20"} {
		for _, newClient := range []func(string, engine.Options) engine.Client{newModelClient, newServiceClient} {
			listener := newPipeListener()
			target := httpsendtest.NewRawServer(t, listener, "HTTP/1.1 "+status+" OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
			_, err := newClient("http://target", engine.Options{Dial: listener.dial}).Do(t.Context(), engine.Call{Method: "POST", Path: "/"})
			require.Error(t, err, "status %s", status)
			require.False(t, errors.Is(err, engine.ErrNotSent), "status %s", status)
			require.Equal(t, int64(1), target.Requests.Load(), "calls sent")
		}
	}
}

// TestAnswerResetDuringUploadIsTruncated covers an answer that begins before its request has been
// received and ends with a reset.
func TestAnswerResetDuringUploadIsTruncated(t *testing.T) {
	for _, rest := range []string{"\r\npart", "Content-Length: 8\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"+rest)
				time.Sleep(time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
		}()
		client := newServiceClient("http://"+l.Addr().String(), engine.Options{})
		for range 20 {
			answer, err := client.Do(t.Context(), engine.Call{Method: "POST", Path: "/", Body: make([]byte, 16<<20)})
			if err != nil {
				continue // the reset overtook the head
			}
			_, err = readAll(t, answer)
			require.True(t, errors.Is(err, engine.ErrTruncated), "%q: %v", rest, err)
			require.NoError(t, answer.Close())
		}
	}
}
