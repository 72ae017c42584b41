// Package caller speaks to routers as the callers of a workspace do. The demo
// and the end-to-end tests use it; what it asks for is what the stand-ins serve.
package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/mastichollow/mastichollow/internal/standin"
)

// Pools of the stand-ins.
const (
	Model = "letter-writer"
	Shop  = "shop-api"
)

const (
	eventPrefix   = "data: "
	endOfEvents   = "[DONE]"
	maxEventBytes = 1 << 20
)

// Caller sends the requests of one workspace.
type Caller struct {
	Key     string        // API key
	Timeout time.Duration // of one request
}

// Reply is what a caller was told.
type Reply struct {
	Status int
	Header http.Header
	Text   string // of a model's streamed answer, or the body
	Whole  bool   // the answer ended as it must
	Err    error  // the connection broke
}

// String describes the reply for a log.
func (r Reply) String() string {
	return fmt.Sprintf("status %d, whole %t, error %v, text %.200q", r.Status, r.Whole, r.Err, r.Text)
}

// Problem is what a refusal says of whether the request ran.
type Problem struct {
	// NotRun: the request did not run.
	NotRun bool `json:"not_run"`
	// SubmissionNotRun: this submission did not run; another one under the
	// same idempotency key may have.
	SubmissionNotRun bool `json:"submission_not_run"`
}

// Problem returns what the refusal says; nothing for an answer.
func (r Reply) Problem() Problem {
	var p Problem
	_ = json.Unmarshal([]byte(r.Text), &p)
	return p
}

// Send sends a request, under an idempotency key unless it is empty, and reads
// the whole reply.
func (c Caller) Send(ctx context.Context, method, url, key, body string) Reply {
	header := map[string]string{}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	resp, err := c.do(ctx, method, url, body, header)
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	return readAll(resp)
}

// Order places an order under an idempotency key.
func (c Caller) Order(ctx context.Context, router, key, name string) Reply {
	return c.Send(ctx, http.MethodPost, router+"/services/"+Shop+"/orders", key, `{"order":"`+name+`"}`)
}

// Question asks for a whole answer, ahead of other requests of the workspace.
func (c Caller) Question(ctx context.Context, router, body string) Reply {
	resp, err := c.do(ctx, http.MethodPost, router+"/v1/chat/completions", body, map[string]string{"Priority": "u=0"})
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	return readAll(resp)
}

// do sends a request on a connection of its own.
func (c Caller) do(ctx context.Context, method, url, body string, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: c.Timeout}
	return client.Do(req)
}

func readAll(resp *http.Response) Reply {
	data, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Text: string(data), Whole: err == nil, Err: err}
}

// CompletionBody returns a chat completion request.
func CompletionBody(prompt string, tokens int, stream bool) string {
	body, err := json.Marshal(map[string]any{
		"model":      Model,
		"stream":     stream,
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return string(body)
}

// Stream asks for a streamed answer and calls token for each token as it comes.
func (c Caller) Stream(ctx context.Context, router, body string, header map[string]string, token func()) Reply {
	resp, err := c.do(ctx, http.MethodPost, router+"/v1/chat/completions", body, header)
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r := readAll(resp)
		r.Whole = false
		return r
	}
	r := Reply{Status: resp.StatusCode, Header: resp.Header}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), eventPrefix)
		switch {
		case !found:
		case data == endOfEvents:
			r.Whole = true
		default:
			if text := eventText(data); text != "" {
				r.Text += text
				token()
			}
		}
	}
	r.Err = lines.Err()
	r.Whole = r.Whole && r.Err == nil
	return r
}

// eventText returns the text of one event.
func eventText(data string) string {
	var c struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	_ = json.Unmarshal([]byte(data), &c)
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// Letter is a streamed answer under way.
type Letter struct {
	Want  string        // the text that is the answer to its own request
	First chan struct{} // closed at the first token, or at the end
	Reply chan Reply    // gets the reply at the end
}

// Write starts a streamed letter of so many tokens.
func (c Caller) Write(ctx context.Context, router, prompt string, tokens int) *Letter {
	body := CompletionBody(prompt, tokens, true)
	l := &Letter{Want: Answer(body), First: make(chan struct{}), Reply: make(chan Reply, 1)}
	go func() {
		begun := false
		begin := func() {
			if !begun {
				begun = true
				close(l.First)
			}
		}
		r := c.Stream(ctx, router, body, nil, begin)
		begin()
		l.Reply <- r
	}()
	return l
}

// Answer returns the text with which the stand-in engine answers body.
func Answer(body string) string {
	text, err := standin.CompletionText([]byte(body))
	if err != nil {
		panic(err) // CompletionBody's bodies are well formed
	}
	return text
}
