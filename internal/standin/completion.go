package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	defaultMaxTokens = 16
	maxMaxTokens     = 1 << 20
	bytesPerToken    = 4
)

// chatRequest is what the emulated engine reads of a chat completion request.
type chatRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// parseChat reads a chat completion request.
func parseChat(body []byte) (chatRequest, error) {
	var r chatRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return r, errors.Wrap(err, "decoding a chat completion request")
	}
	var messages bytes.Buffer
	if err := json.Compact(&messages, r.Messages); err != nil || messages.Len() == 0 {
		return r, errors.New("chat completion request has no messages")
	}
	r.Messages = messages.Bytes()
	return r, nil
}

// tokens returns the number of tokens that the request asks for.
func (r chatRequest) tokens() int {
	n := max(r.MaxTokens, r.MaxCompletionTokens)
	if n <= 0 {
		return defaultMaxTokens
	}
	return min(n, maxMaxTokens)
}

// promptTokens returns the number of tokens of the prompt.
func (r chatRequest) promptTokens() int {
	return (len(r.Messages) + bytesPerToken - 1) / bytesPerToken
}

// token returns token i of the answer to a prompt, a function of both.
func token(prompt uint64, i int) string {
	return fmt.Sprintf("%08x ", uint32(prompt>>32)^uint32(prompt)^uint32(i)*2654435761)
}

// CompletionText returns the text with which the emulated engine answers the
// chat completion request body: a function of its messages and of the number
// of tokens that it asks for.
func CompletionText(body []byte) (string, error) {
	r, err := parseChat(body)
	if err != nil {
		return "", err
	}
	prompt := xxhash.Sum64(r.Messages)
	var text strings.Builder
	for i := range r.tokens() {
		text.WriteString(token(prompt, i))
	}
	return text.String(), nil
}
