package engine_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/budget"
	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/httpsend/httpsendtest"
)

// Answers without end are bounded together, and what they held is free again after them.
func TestAnswerMemoryBoundOverAllAnswers(t *testing.T) {
	const maxMemory = 1 << 20
	object := func(size int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat(" ", size))
	}
	stream := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: " + strings.Repeat("x", maxMemory)
	small := object(1000)
	for name, raw := range map[string]string{"body": object(maxMemory), "event": stream, "lines": strings.ReplaceAll(stream, "xxx", "x\ny")} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		next := make(chan string, 3)
		next <- raw
		next <- raw
		next <- small
		httpsendtest.NewRawServerFunc(t, l, func() string { return <-next })
		client := newModelClient("http://"+l.Addr().String(), engine.Options{MaxAnswerMemoryBytes: maxMemory})
		for i := range 3 {
			answer, err := client.Do(context.Background(), engine.Call{Method: "POST", Path: "/", Attempt: "a"})
			require.NoError(t, err)
			_, err = answer.Next(context.Background())
			if i < 2 {
				require.True(t, errors.Is(err, budget.ErrExhausted), "%s: %v", name, err)
			} else {
				require.NoError(t, err, name)
			}
			answer.Close()
		}
	}
}
