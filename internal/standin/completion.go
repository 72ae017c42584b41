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
	maxTokensLimit   = 1 << 20
	bytesPerToken    = 4
)

// chatRequest holds the fields of a chat completion request that the emulated engine uses.
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

// parseChat decodes a chat completion request and compacts its messages.
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

// outputTokens returns the number of tokens to generate.
func (r chatRequest) outputTokens() int {
	n := max(r.MaxTokens, r.MaxCompletionTokens)
	if n <= 0 {
		return defaultMaxTokens
	}
	return min(n, maxTokensLimit)
}

// promptTokens returns the length of the prompt in tokens, rounded up.
func (r chatRequest) promptTokens() int {
	return (len(r.Messages) + bytesPerToken - 1) / bytesPerToken
}

// token returns token i of the response to the prompt with the given hash. It depends only on
// its arguments.
func token(prompt uint64, i int) string {
	return fmt.Sprintf("%08x ", uint32(prompt>>32)^uint32(prompt)^uint32(i)*2654435761)
}

// CompletionText returns the text that the emulated engine generates for the chat completion
// request body. It depends only on the messages and the requested number of tokens.
func CompletionText(body []byte) (string, error) {
	r, err := parseChat(body)
	if err != nil {
		return "", err
	}
	prompt := xxhash.Sum64(r.Messages)
	var text strings.Builder
	for i := range r.outputTokens() {
		text.WriteString(token(prompt, i))
	}
	return text.String(), nil
}
