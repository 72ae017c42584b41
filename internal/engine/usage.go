package engine

import (
	"bytes"
	"encoding/json"
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
	Delta json.RawMessage `json:"delta"`
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
	var piece completion
	if err := json.Unmarshal(data, &piece); err != nil {
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
		if len(choice.Delta) == 0 || bytes.Equal(choice.Delta, []byte("null")) {
			continue
		}
		var d delta
		if err := json.Unmarshal(choice.Delta, &d); err != nil {
			continue
		}
		if d.Content != "" || d.Reasoning != "" || len(d.ToolCalls) > 0 {
			return true
		}
	}
	return false
}
