package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/standin"
)

const (
	letterModel   = "letter-writer"
	letterTokens  = 60
	answerTokens  = 8
	eventPrefix   = "data: "
	endOfEvents   = "[DONE]"
	maxEventBytes = 1 << 20
)

// completion is the part of an answer, or of one event of it, that the demo
// reads.
type completion struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
}

// letterBody returns a chat completion request.
func letterBody(prompt string, tokens int, stream bool) string {
	body, err := json.Marshal(map[string]any{
		"model":      letterModel,
		"stream":     stream,
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return string(body)
}

// streamedLetter checks that a streamed letter comes whole and is the answer to
// its own request.
func (d *Demo) streamedLetter(ctx context.Context) {
	text, want, err := d.letter(ctx, d.cfg.Routers[0], "A letter to grandmother, from the whole archive.", letterTokens)
	seen := strconv.Itoa(len(strings.Fields(text))) + " tokens"
	if err == nil && text != want {
		seen += ", not its own answer"
	}
	d.check("streamed letter", strconv.Itoa(letterTokens)+" tokens", seen, err)
}

// letter streams a letter and returns its text and the text that it must have.
func (d *Demo) letter(ctx context.Context, router, prompt string, tokens int) (text, want string, err error) {
	body := letterBody(prompt, tokens, true)
	want, err = standin.CompletionText([]byte(body))
	if err != nil {
		return "", "", err
	}
	resp, err := d.post(ctx, router+"/v1/chat/completions", d.cfg.LettersKey, body, nil)
	if err != nil {
		return "", want, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", want, errors.Newf("status %d", resp.StatusCode)
	}
	text, err = readEvents(resp.Body)
	return text, want, err
}

// readEvents joins the contents of a stream of events. A stream without its
// last event is an error.
func readEvents(r io.Reader) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), eventPrefix)
		if !found {
			continue
		}
		if data == endOfEvents {
			return text.String(), nil
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return text.String(), errors.Wrap(err, "decoding an event")
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := lines.Err(); err != nil {
		return text.String(), err
	}
	return text.String(), errors.New("stream ended before its last event")
}

// quickQuestion checks an interactive question that is answered whole.
func (d *Demo) quickQuestion(ctx context.Context) {
	body := letterBody("Does the jar fit a photograph?", answerTokens, false)
	want, err := standin.CompletionText([]byte(body))
	if err != nil {
		d.check("quick question", "", "", err)
		return
	}
	resp, err := d.post(ctx, d.cfg.Routers[1]+"/v1/chat/completions", d.cfg.ShopKey, body, map[string]string{"Priority": "u=0"})
	if err != nil {
		d.check("quick question", want, "", err)
		return
	}
	defer resp.Body.Close()
	var c completion
	err = json.NewDecoder(resp.Body).Decode(&c)
	seen := ""
	if len(c.Choices) == 1 {
		seen = c.Choices[0].Message.Content
	}
	d.check("quick question", "its own answer", same(seen, want, "its own answer"), err)
}

// same returns name when got is want, otherwise what it got.
func same(got, want, name string) string {
	if got == want {
		return name
	}
	return strconv.Quote(got)
}

// post sends a request with an API key and further header fields.
func (d *Demo) post(ctx context.Context, url, key, body string, header map[string]string) (*http.Response, error) {
	return d.send(ctx, http.MethodPost, url, key, body, header)
}

func (d *Demo) send(ctx context.Context, method, url, key, body string, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return d.client.Do(req)
}
