// Package caller is an HTTP client that sends requests to routers as the callers of a
// workspace do. The demo and the end-to-end tests use it. Its requests fit the
// stand-in targets.
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

// Pools that the stand-ins serve.
const (
	ModelPool   = "letter-writer"
	ServicePool = "shop-api"
)

const (
	eventPrefix   = "data: "
	endOfStream   = "[DONE]"
	maxEventBytes = 1 << 20
)

// Caller sends requests of one workspace.
type Caller struct {
	Key     string        // API key
	Timeout time.Duration // per request
}

// Response is the outcome of a request.
type Response struct {
	Status   int
	Header   http.Header
	Text     string // text of a streamed completion, otherwise the response body
	Complete bool   // the response ended properly
	Err      error  // the request or the connection failed
}

// String formats the response for logs and the table of checks.
func (r Response) String() string {
	return fmt.Sprintf("status %d, complete %t, error %v, text %.200q", r.Status, r.Complete, r.Err, r.Text)
}

// Problem is the part of a refusal that says whether the request ran.
type Problem struct {
	// NotRun is set if the request did not run.
	NotRun bool `json:"not_run"`
	// SubmissionNotRun is set if this submission did not run; another one under the
	// same idempotency key may have run.
	SubmissionNotRun bool `json:"submission_not_run"`
}

// Problem decodes the body of a refusal. It returns the zero value for other
// responses.
func (r Response) Problem() Problem {
	var p Problem
	_ = json.Unmarshal([]byte(r.Text), &p)
	return p
}

// Send sends a request, with an idempotency key unless key is empty, and reads the
// complete response.
func (c Caller) Send(ctx context.Context, method, url, key, body string) Response {
	header := map[string]string{}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	resp, err := c.do(ctx, method, url, body, header)
	if err != nil {
		return Response{Err: err}
	}
	defer resp.Body.Close()
	return readAll(resp)
}

// PlaceOrder places an order under an idempotency key.
func (c Caller) PlaceOrder(ctx context.Context, router, key, name string) Response {
	return c.Send(ctx, http.MethodPost, router+"/services/"+ServicePool+"/orders", key, `{"order":"`+name+`"}`)
}

// RequestCompletion requests a completion without streaming, at the highest priority
// within the workspace.
func (c Caller) RequestCompletion(ctx context.Context, router, body string) Response {
	resp, err := c.do(ctx, http.MethodPost, router+"/v1/chat/completions", body, map[string]string{"Priority": "u=0"})
	if err != nil {
		return Response{Err: err}
	}
	defer resp.Body.Close()
	return readAll(resp)
}

// do sends a request over a new connection.
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

func readAll(resp *http.Response) Response {
	data, err := io.ReadAll(resp.Body)
	return Response{Status: resp.StatusCode, Header: resp.Header, Text: string(data), Complete: err == nil, Err: err}
}

// CompletionBody returns the body of a chat completion request.
func CompletionBody(prompt string, tokens int, stream bool) string {
	body, err := json.Marshal(map[string]any{
		"model":      ModelPool,
		"stream":     stream,
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return string(body)
}

// Stream requests a streamed completion and calls onToken for each token as it
// arrives.
func (c Caller) Stream(ctx context.Context, router, body string, header map[string]string, onToken func()) Response {
	resp, err := c.do(ctx, http.MethodPost, router+"/v1/chat/completions", body, header)
	if err != nil {
		return Response{Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r := readAll(resp)
		r.Complete = false
		return r
	}
	r := Response{Status: resp.StatusCode, Header: resp.Header}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), eventPrefix)
		switch {
		case !found:
		case data == endOfStream:
			r.Complete = true
		default:
			if text := eventText(data); text != "" {
				r.Text += text
				onToken()
			}
		}
	}
	r.Err = lines.Err()
	r.Complete = r.Complete && r.Err == nil
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

// RunningStream is a streamed completion in progress.
type RunningStream struct {
	ExpectedText string        // the text that the stand-in engine generates for this request
	FirstToken   chan struct{} // closed at the first token, or at the end
	Response     chan Response // receives the response at the end
}

// StartStream starts a streamed completion of the given number of tokens.
func (c Caller) StartStream(ctx context.Context, router, prompt string, tokens int) *RunningStream {
	body := CompletionBody(prompt, tokens, true)
	stream := &RunningStream{ExpectedText: ExpectedText(body), FirstToken: make(chan struct{}), Response: make(chan Response, 1)}
	go func() {
		started := false
		onToken := func() {
			if !started {
				started = true
				close(stream.FirstToken)
			}
		}
		r := c.Stream(ctx, router, body, nil, onToken)
		onToken()
		stream.Response <- r
	}()
	return stream
}

// ExpectedText returns the text that the stand-in engine generates for body.
func ExpectedText(body string) string {
	text, err := standin.CompletionText([]byte(body))
	if err != nil {
		panic(err) // bodies of CompletionBody are well formed
	}
	return text
}
