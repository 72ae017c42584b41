package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestTokenCounterUnits(t *testing.T) {
	const (
		token = `{"choices":[{"delta":{"content":"a"}}]}`
		empty = `{"choices":[{"delta":{"role":"assistant","content":""}}]}`
		tool  = `{"choices":[{"delta":{"tool_calls":[{"index":0}]}}]}`
		think = `{"choices":[{"delta":{"reasoning_content":"a"}}]}`
		null  = `{"choices":[{"delta":null}]}`
	)
	for name, c := range map[string]struct {
		pieces []string
		units  int64
	}{
		"one token per event":              {[]string{token, token, token}, 3},
		"event without content":            {[]string{empty, null, "no JSON", `{"choices":3}`}, 0},
		"tool calls and reasoning":         {[]string{tool, think}, 2},
		"usage larger than count":          {[]string{token, `{"usage":{"completion_tokens":5}}`}, 5},
		"usage smaller than count":         {[]string{token, token, `{"usage":{"completion_tokens":1}}`}, 2},
		"prompt counted once":              {[]string{token, `{"usage":{"prompt_tokens":7}}`, `{"usage":{"prompt_tokens":7}}`}, 8},
		"usage with each event":            {[]string{`{"choices":[{"delta":{"content":"a"}}],"usage":{"prompt_tokens":7,"completion_tokens":1}}`, `{"choices":[{"delta":{"content":"b"}}],"usage":{"prompt_tokens":7,"completion_tokens":2}}`}, 9},
		"text that looks like usage":       {[]string{`{"choices":[{"delta":{"content":"\"usage\":{\"completion_tokens\":9}"}}]}`}, 1},
		"empty text in the usual encoding": {[]string{`{"choices":[{"delta":{"content":""}}],"usage":null}`}, 0},
		"usage in another encoding":        {[]string{`{"choices":[{"delta":{"content":"a"}}],"usage": {"completion_tokens": 3}}`}, 3},
		"no usage":                         {[]string{`{"choices":[{"delta":{"content":"a"}}],"usage":null}`}, 1},
		"negative usage":                   {[]string{token, `{"usage":{"prompt_tokens":-7,"completion_tokens":-7}}`}, 1},
		"completion tokens over the limit": {[]string{`{"usage":{"completion_tokens":9000000000000000000}}`}, maxReportedTokens},
		"prompt tokens over the limit":     {[]string{`{"usage":{"prompt_tokens":9000000000000000000}}`}, maxReportedTokens},
		"unstreamed answer with usage":     {[]string{`{"choices":[{"message":{"content":"a b"}}],"usage":{"prompt_tokens":3,"completion_tokens":2}}`}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			var m tokenCounter
			units := int64(0)
			for _, piece := range c.pieces {
				units += m.add([]byte(piece))
			}
			require.Equal(t, c.units, units)
		})
	}
}

func TestEventReader(t *testing.T) {
	long := strings.Repeat("x", 3*sseBufferBytes)
	for name, c := range map[string]struct {
		input string
		data  []string
		err   error
	}{
		"events":                          {"data: a\n\ndata: b\n\n", []string{"a", "b"}, io.EOF},
		"carriage returns":                {"data: a\r\n\r\ndata: b\r\n\r\n", []string{"a", "b"}, io.EOF},
		"no space":                        {"data:a\n\n", []string{"a"}, io.EOF},
		"several data fields":             {"data: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		"other fields":                    {"event: e\nid: 1\n: comment\ndata: a\n\n", []string{"a"}, io.EOF},
		"comment":                         {": ping\n\n", []string{""}, io.EOF},
		"nothing":                         {"", nil, io.EOF},
		"truncated in a line":             {"data: a\n\ndata: b", []string{"a"}, io.ErrUnexpectedEOF},
		"truncated before the empty line": {"data: a\n", nil, io.ErrUnexpectedEOF},
		"longer than the buffer":          {"data: " + long + "\n\n", []string{long}, io.EOF},
		"too large":                       {"data: " + strings.Repeat("x", maxTestEvent) + "\n\n", nil, errEventTooLarge},
		"too many lines":                  {strings.Repeat("data: x\n", maxTestEvent/8+1), nil, errEventTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(c.input), iotest.OneByteReader(strings.NewReader(c.input))} {
				data, _, err := readEvents(r)
				require.ErrorIs(t, err, c.err)
				require.Equal(t, c.data, data)
			}
		})
	}
}

const maxTestEvent = 4 * sseBufferBytes

// readEvents returns the data of each event in r, the raw bytes of all events, and the
// error that ended reading.
func readEvents(r io.Reader) (data []string, raw []byte, err error) {
	reader := newEventReader(r, maxTestEvent, nil)
	for {
		ev, err := reader.next()
		if err != nil {
			return data, raw, err
		}
		data = append(data, string(ev.data))
		raw = append(raw, ev.raw...)
	}
}

// FuzzEventReader checks that the raw events equal the input byte for byte, that the
// result does not depend on the sizes of the reads, and that no input yields a negative
// number of units.
func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{
		"data: [DONE]\n\n", "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n", "data: a\r\n\r\n: c\n\n",
		"data: {\"usage\":{\"prompt_tokens\":-1}}\n\ndata", "\n\n\n", "data:\ndata:\n\n", "\r", "data: \x00\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		data, raw, err := readEvents(bytes.NewReader(input))
		require.Error(t, err)
		require.True(t, bytes.HasPrefix(input, raw))
		if errors.Is(err, io.EOF) {
			require.Equal(t, len(input), len(raw))
		}
		slowData, slowRaw, slowErr := readEvents(iotest.OneByteReader(bytes.NewReader(input)))
		require.Equal(t, data, slowData)
		require.Equal(t, raw, slowRaw)
		require.Equal(t, err, slowErr)
		var m tokenCounter
		for _, d := range data {
			require.GreaterOrEqual(t, m.add([]byte(d)), int64(0))
		}
	})
}

// FuzzDecodeJSON checks that the decoders of probe answers and problem documents handle
// any input.
func FuzzDecodeJSON(f *testing.F) {
	for _, seed := range []string{
		`{"start":"a"}`, `{"start":1}`, `{"type":"/problems/fenced"}`, `{"type":"fenced/"}`, `{"type":["fenced"]}`, ``, `{`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		start, err := decodeHealth(body)
		require.True(t, err == nil || start == "")
		require.True(t, !isFencedProblem(body) || bytes.Contains(body, []byte("type")) || bytes.Contains(body, []byte(`\u`)) ||
			bytes.Contains(bytes.ToLower(body), []byte("type")))
	})
}

const (
	benchmarkTokens = 1000
	tokenEvent      = `data: {"id":"99f99b86-6446","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"379338d6 "},"finish_reason":null}]}` + "\n\n"
)

// reportTokenCost reports the time per token of a benchmark of streams.
func reportTokenCost(b *testing.B) {
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchmarkTokens, "ns/token")
}

// BenchmarkEvents measures the time to parse and count one token.
func BenchmarkEvents(b *testing.B) {
	stream := strings.Repeat(tokenEvent, benchmarkTokens)
	for b.Loop() {
		reader := newEventReader(strings.NewReader(stream), defaultMaxEventBytes, nil)
		var m tokenCounter
		for {
			ev, err := reader.next()
			if err != nil {
				break
			}
			m.add(ev.data)
		}
		if m.tokens != benchmarkTokens {
			b.Fatalf("counted %d tokens", m.tokens)
		}
	}
	reportTokenCost(b)
}

// eventBody is a response body of which each read returns one event.
type eventBody struct{ left int }

func (e *eventBody) Read(p []byte) (int, error) {
	if e.left == 0 {
		return copy(p, "data: [DONE]\n\n"), nil
	}
	e.left--
	return copy(p, tokenEvent), nil
}

func (e *eventBody) Close() error { return nil }

// BenchmarkNext measures the time per token when each arrives in a read of its own,
// including the watchdog of each read.
func BenchmarkNext(b *testing.B) {
	client := NewModelClient("http://target", Options{})
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	for b.Loop() {
		g := newWatchdog(time.Minute)
		resp := &http.Response{Body: watchedBody{&eventBody{left: benchmarkTokens}, g}}
		answer := &httpAnswer{resp: resp, watchdog: g, nextFrame: client.streamFrames(resp), onStall: func() {}}
		units := int64(0)
		for {
			frame, err := answer.Next(ctx)
			if err != nil {
				break
			}
			units += frame.Units
		}
		if units != benchmarkTokens {
			b.Fatalf("counted %d tokens", units)
		}
	}
	reportTokenCost(b)
}
