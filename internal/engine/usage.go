package engine

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// maxUnits bounds the tokens that one answer may claim.
const maxUnits = 1 << 32

// usage is the token count of a model's answer.
type usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

// completion is what is read of a chat completion or of a piece of one.
type completion struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

type choice struct {
	Delta delta `json:"delta"`
}

// delta is the part of a message that a piece adds.
type delta struct {
	Content   string            `json:"content"`
	Reasoning string            `json:"reasoning_content"`
	ToolCalls []json.RawMessage `json:"tool_calls"`
}

// meter counts the units of one answer: each event with a content delta is a
// token, a larger completion count corrects the sum, and prompt tokens are
// counted once.
type meter struct {
	events  int64
	prompt  int64
	counted int64 // units reported so far
}

// add counts a piece of an answer and returns the units that it adds.
func (m *meter) add(data []byte) int64 {
	if isPlainToken(data) {
		m.events++
		return m.report()
	}
	var piece completion
	var wrongType *json.UnmarshalTypeError
	err := json.Unmarshal(data, &piece)
	if err != nil && !errors.As(err, &wrongType) {
		return 0
	}
	if piece.hasContent() {
		m.events++
	}
	if piece.Usage != nil {
		m.correct(*piece.Usage)
	}
	return m.report()
}

func (m *meter) correct(u usage) {
	m.events = max(m.events, min(u.Completion, maxUnits))
	m.prompt = max(m.prompt, min(u.Prompt, maxUnits))
}

func (m *meter) report() int64 {
	total := m.events + m.prompt
	added := total - m.counted
	m.counted = total
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

// Parts of a piece as engines usually write it. Quotes inside of JSON strings
// are escaped, so that no part can stand in the text of an answer.
var (
	contentPart = []byte(`"delta":{"content":"`)
	usagePart   = []byte(`"usage"`)
	noUsagePart = []byte(`"usage":null`)
)

// isPlainToken reports whether data is a piece in the usual form with content
// and without usage, which needs no decoding.
func isPlainToken(data []byte) bool {
	_, content, ok := bytes.Cut(data, contentPart)
	if !ok || len(content) == 0 || content[0] == '"' {
		return false
	}
	return !bytes.Contains(data, usagePart) || bytes.Contains(data, noUsagePart)
}
