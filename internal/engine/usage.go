package engine

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// maxReportedTokens bounds each token count that is read from an answer.
const maxReportedTokens = 1 << 32

// usage is the token count that a model engine reports.
type usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

// completion holds the parsed fields of a chat completion or of a chunk of one.
type completion struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

type choice struct {
	Delta delta `json:"delta"`
}

// delta is the part of a message that a chunk adds.
type delta struct {
	Content   string            `json:"content"`
	Reasoning string            `json:"reasoning_content"`
	ToolCalls []json.RawMessage `json:"tool_calls"`
}

// tokenCounter counts the tokens of one answer. Each event with content counts as
// one token. A higher completion count in the answer's usage replaces that number,
// a lower one is ignored, and prompt tokens are counted once.
type tokenCounter struct {
	tokens       int64
	promptTokens int64
	reported     int64 // units returned by add so far
}

// add counts a chunk, or a complete answer, and returns the units that it adds.
func (t *tokenCounter) add(data []byte) int64 {
	if isContentChunk(data) {
		t.tokens++
		return t.newUnits()
	}
	var chunk completion
	var wrongType *json.UnmarshalTypeError
	err := json.Unmarshal(data, &chunk)
	if err != nil && !errors.As(err, &wrongType) {
		return 0
	}
	if chunk.hasContent() {
		t.tokens++
	}
	if chunk.Usage != nil {
		t.applyUsage(*chunk.Usage)
	}
	return t.newUnits()
}

func (t *tokenCounter) applyUsage(u usage) {
	t.tokens = max(t.tokens, min(u.Completion, maxReportedTokens))
	t.promptTokens = max(t.promptTokens, min(u.Prompt, maxReportedTokens))
}

func (t *tokenCounter) newUnits() int64 {
	total := t.tokens + t.promptTokens
	added := total - t.reported
	t.reported = total
	return added
}

func (c *completion) hasContent() bool {
	for _, choice := range c.Choices {
		d := choice.Delta
		if d.Content != "" || d.Reasoning != "" || len(d.ToolCalls) > 0 {
			return true
		}
	}
	return false
}

// Parts of a chunk as engines usually encode it. Quotes inside JSON strings are
// escaped, so none of them can match inside the text of an answer.
var (
	contentPrefix = []byte(`"delta":{"content":"`)
	usageKey      = []byte(`"usage"`)
	nullUsage     = []byte(`"usage":null`)
)

// isContentChunk reports whether data is a chunk in the usual encoding with content
// and without usage. Such a chunk counts as one token without decoding its JSON.
func isContentChunk(data []byte) bool {
	_, content, ok := bytes.Cut(data, contentPrefix)
	if !ok || len(content) == 0 || content[0] == '"' {
		return false
	}
	return !bytes.Contains(data, usageKey) || bytes.Contains(data, nullUsage)
}
