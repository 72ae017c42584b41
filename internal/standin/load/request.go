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

// Reasons for which a request counts as failed.
const (
	failedConnection = "connection"
	failedCut        = "cut"
	failedTimeout    = "timeout"
	failedWrong      = "wrong_answer"
)

const doneData = "[DONE]"

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

// newRequest returns request number i, whose prompt is its own.
func (g *generator) newRequest(i int, due time.Time) request {
	prompt := fmt.Sprintf("request %d of seed %d ", i, g.config.Seed)
	if missing := g.config.Prompt - len(prompt); missing > 0 {
		prompt += strings.Repeat("x", missing)
	}
	body, _ := json.Marshal(chatRequest{
		Model:     g.config.Model,
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens: g.config.MaxTokens,
		Stream:    g.config.Stream,
	})
	return request{workspace: g.pick(), due: due, body: body}
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
	g.read(ctx, r, resp.Body, &o)
	return o
}

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

// read reads the answer to r into o.
func (g *generator) read(ctx context.Context, r request, body io.Reader, o *outcome) {
	var text string
	var whole bool
	if g.config.Stream {
		s := streamReader{verify: g.config.Verify, first: func() { o.firstToken = time.Since(r.due) }}
		whole = s.read(body)
		text = s.text.String()
	} else {
		text, whole = readWhole(body)
		o.firstToken = time.Since(r.due)
	}
	o.whole = time.Since(r.due)
	switch {
	case !whole:
		o.failure = failureOf(ctx, failedCut)
	case g.config.Verify && !isOwn(r.body, text):
		o.failure = failedWrong
	}
}

// isOwn reports whether text is the emulated engine's answer to a request.
func isOwn(requestBody []byte, text string) bool {
	want, err := standin.CompletionText(requestBody)
	return err == nil && text == want
}

// completion is what is read of an answer or of a piece of one.
type completion struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
}

// streamReader reads a streamed answer.
type streamReader struct {
	text    strings.Builder
	first   func() // called at the first token
	started bool
	done    bool // the last line was the mark of the end
	verify  bool // collect the text
}

// read reads the stream to its end and reports whether it is whole.
func (s *streamReader) read(body io.Reader) bool {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: ")); ok {
			s.event(data)
		}
	}
	return s.done && lines.Err() == nil
}

// event takes the data of an event. After the first token only streams that
// are verified are decoded, so that the load costs little beside its target.
func (s *streamReader) event(data []byte) {
	s.done = string(data) == doneData
	if s.done || s.started && !s.verify {
		return
	}
	var piece completion
	if json.Unmarshal(data, &piece) != nil || len(piece.Choices) == 0 {
		return
	}
	content := piece.Choices[0].Delta.Content
	if content != "" && !s.started {
		s.started = true
		s.first()
	}
	s.text.WriteString(content)
}

// readWhole reads an answer that is not streamed.
func readWhole(body io.Reader) (string, bool) {
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
