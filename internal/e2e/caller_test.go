package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/standin"
)

// reply is what a caller was told.
type reply struct {
	status int
	header http.Header
	text   string // of a model's answer, or the body
	whole  bool   // the answer ended as it must
	err    error  // the connection broke
}

// problem is what a refusal says of whether the request ran.
type problem struct {
	// NotRun: the request did not run.
	NotRun bool `json:"not_run"`
	// SubmissionNotRun: this submission did not run; another one under the
	// same idempotency key may have.
	SubmissionNotRun bool `json:"submission_not_run"`
}

// problem returns what the refusal says; nothing for an answer.
func (r reply) problem() problem {
	var p problem
	_ = json.Unmarshal([]byte(r.text), &p)
	return p
}

// notRun reports whether the reply says that the request did not run.
func (r reply) notRun() bool { return r.problem().NotRun }

func (r reply) String() string {
	return fmt.Sprintf("status %d, whole %t, error %v, text %.200q", r.status, r.whole, r.err, r.text)
}

// send sends a request and reads the whole reply.
func send(ctx context.Context, method, url, key, body string) reply {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, text: string(data), whole: err == nil, err: err}
}

// letterBody is a streamed chat completion request.
func letterBody(prompt string, tokens int) string {
	body, err := json.Marshal(map[string]any{
		"model": letters, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// letter is a streamed chat completion under way.
type letter struct {
	want  string
	first chan struct{} // closed at the first token, or at the end
	reply chan reply
}

// write starts a streamed letter of so many tokens.
func write(ctx context.Context, router, prompt string, tokens int) *letter {
	body := letterBody(prompt, tokens)
	want, err := standin.CompletionText([]byte(body))
	if err != nil {
		panic(err)
	}
	l := &letter{want: want, first: make(chan struct{}), reply: make(chan reply, 1)}
	go func() { l.reply <- l.read(ctx, router, body) }()
	return l
}

func (l *letter) read(ctx context.Context, router, body string) reply {
	first := func() {}
	first = func() { close(l.first); first = func() {} }
	defer func() { first() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, router+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	r := reply{status: resp.StatusCode, header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(resp.Body)
		r.text, r.err = string(data), err
		return r
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			r.whole = true
			continue
		}
		r.text += content(data)
		first()
	}
	r.err = lines.Err()
	r.whole = r.whole && r.err == nil
	return r
}

// content returns the text of one event.
func content(data string) string {
	var c struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	_ = json.Unmarshal([]byte(data), &c)
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// requireWhole checks that the caller got the whole answer to its own request.
func (l *letter) requireWhole(t *testing.T) {
	t.Helper()
	r := <-l.reply
	require.True(t, r.whole, "%s", r)
	require.Equal(t, l.want, r.text)
}

// order places an order under an idempotency key.
func order(ctx context.Context, router, key, name string) reply {
	return send(ctx, http.MethodPost, router+"/services/"+shop+"/orders", key, `{"order":"`+name+`"}`)
}
