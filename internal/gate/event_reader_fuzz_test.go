package gate

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/budget"
)

// FuzzEventReader checks that only whole events are returned, in order and unchanged, and
// that a stream that ends inside an event is an error.
func FuzzEventReader(f *testing.F) {
	stream := eventsUpTo(3)
	for cut := range stream {
		f.Add([]byte(stream[:cut]), uint8(cut))
	}
	f.Add([]byte("id: 1\r\ndata: e1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"), uint8(5))
	f.Fuzz(func(t *testing.T, stream []byte, resumeAfter uint8) {
		after := ""
		if resumeAfter > 0 {
			after = strings.Repeat("1", int(resumeAfter)%3)
		}
		memory := budget.NewBytes(64 << 10).Lease()
		events := newEventReader(iotest.HalfReader(bytes.NewReader(stream)), after, memory)
		var got []byte
		var err error
		for err == nil {
			var chunk []byte
			chunk, err = events.next()
			require.True(t, len(chunk) == 0 || bytes.HasSuffix(chunk, blankLine) || bytes.HasSuffix(chunk, blankLineCR), "%q", chunk)
			got = append(got, chunk...)
		}
		if after == "" {
			require.True(t, bytes.HasPrefix(stream, got), "%q is no part of %q", got, stream)
			if err == io.EOF { //nolint:errorlint // exactly io.EOF marks a whole stream
				require.Empty(t, bytes.Trim(stream[len(got):], "\r\n"))
			}
		}
	})
}
