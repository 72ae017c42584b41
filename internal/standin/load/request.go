package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/mastichollow/mastichollow/internal/standin"
)

// Reasons for which a request counts as failed. They are keys of the report.
const (
	failedConnection = "connection"
	failedTruncated  = "cut"
	failedTimeout    = "timeout"
	failedMismatch   = "wrong_answer"
)

const endOfStream = "[DONE]"

// request is one request of a load.
type request struct {
	workspace int
	due       time.Time
	body      []byte
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// newRequest returns request number i, whose prompt is unique in the load.
func (g *generator) newRequest(i int, due time.Time) request {
	prompt := fmt.Sprintf("request %d of seed %d ", i, g.config.Seed)
	if padding := g.config.PromptBytes - len(prompt); padding > 0 {
		prompt += strings.Repeat("x", padding)
	}
	body, _ := json.Marshal(chatRequest{
		Model:     g.config.Model,
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens: g.config.MaxTokens,
		Stream:    g.config.Stream,
	})
	return request{workspace: g.pickWorkspace(), due: due, body: body}
}

// run sends r and reads its answer.
func (g *generator) run(ctx context.Context, r request) outcome {
	ctx, cancel := context.WithTimeout(ctx, g.config.Timeout)
	defer cancel()
	o := outcome{workspace: r.workspace}
	resp, err := g.post(ctx, r)
	if err != nil {
		o.failure = failureOf(ctx, failedConnection)
		return o
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		o.failure = fmt.Sprintf("status_%d", resp.StatusCode)
		_, _ = io.Copy(io.Discard, resp.Body)
		return o
	}
	g.readAnswer(ctx, r, resp.Body, &o)
	return o
}

// failureOf returns failure, or the timeout reason if ctx is done.
func failureOf(ctx context.Context, failure string) string {
	if ctx.Err() != nil {
		return failedTimeout
	}
	return failure
}

func (g *generator) post(ctx context.Context, r request) (*http.Response, error) {
	url := strings.TrimSuffix(g.config.URL, "/") + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if key := g.config.Workspaces[r.workspace].Key; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	return g.client.Do(req)
}

// readAnswer reads the answer to r and records its times and failure in o.
func (g *generator) readAnswer(ctx context.Context, r request, body io.Reader, o *outcome) {
	var text string
	var complete bool
	if g.config.Stream {
		s := streamReader{verify: g.config.Verify, onFirstToken: func() { o.firstToken = time.Since(r.due) }}
		complete = s.read(body)
		text = s.text.String()
	} else {
		text, complete = readComplete(body)
		o.firstToken = time.Since(r.due)
	}
	o.totalTime = time.Since(r.due)
	switch {
	case !complete:
		o.failure = failureOf(ctx, failedTruncated)
	case g.config.Verify && !matchesRequest(r.body, text):
		o.failure = failedMismatch
	}
}

// matchesRequest reports whether text is the emulated engine's answer to the request.
func matchesRequest(requestBody []byte, text string) bool {
	want, err := standin.CompletionText(requestBody)
	return err == nil && text == want
}

// completion holds the used fields of a complete answer or of one event of a stream.
type completion struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
}

// streamReader reads a streamed answer.
type streamReader struct {
	text         strings.Builder
	onFirstToken func() // called at the first token
	started      bool
	ended        bool // the last event was the end marker
	verify       bool // collect the text
}

// read reads the stream to its end and reports whether it is complete.
func (s *streamReader) read(body io.Reader) bool {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: ")); ok {
			s.handleEvent(data)
		}
	}
	return s.ended && lines.Err() == nil
}

// handleEvent processes the data of an event. After the first token, events are decoded only
// if the answer is verified, so that the generator uses little CPU compared with its target.
func (s *streamReader) handleEvent(data []byte) {
	s.ended = string(data) == endOfStream
	if s.ended || s.started && !s.verify {
		return
	}
	var chunk completion
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 {
		return
	}
	content := chunk.Choices[0].Delta.Content
	if content != "" && !s.started {
		s.started = true
		s.onFirstToken()
	}
	s.text.WriteString(content)
}

// readComplete reads an answer that is not streamed and reports whether it is complete.
func readComplete(body io.Reader) (string, bool) {
	data, err := io.ReadAll(body)
	if err != nil {
		return "", false
	}
	var answer completion
	if json.Unmarshal(data, &answer) != nil || len(answer.Choices) == 0 {
		return "", false
	}
	return answer.Choices[0].Message.Content, true
}
