package standin

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/google/uuid"
)

// tokenPlaceholder marks the position of the token in the encoded event that serves as a
// template.
const tokenPlaceholder = "00000000 "

// flusher is a writer that can flush its buffer.
type flusher interface {
	io.Writer
	Flush()
}

// eventStream writes a streamed chat completion.
type eventStream struct {
	w                       flusher
	id, model               string
	beforeToken, afterToken string // encoded event around the token
}

func newEventStream(w flusher, model string) *eventStream {
	s := &eventStream{w: w, id: uuid.NewString(), model: model}
	template := s.event(chunk{Choices: []chunkChoice{{Delta: &message{Content: tokenPlaceholder}}}})
	s.beforeToken, s.afterToken, _ = strings.Cut(template, tokenPlaceholder)
	return s
}

// event returns c as an encoded event.
func (s *eventStream) event(c chunk) string {
	c.ID, c.Object, c.Model = s.id, "chat.completion.chunk", s.model
	data, _ := json.Marshal(c)
	return "data: " + string(data) + "\n\n"
}

// sendToken writes the event of one token and flushes it.
func (s *eventStream) sendToken(token string) error {
	if _, err := io.WriteString(s.w, s.beforeToken+token+s.afterToken); err != nil {
		return err
	}
	s.w.Flush()
	return nil
}

// sendEnd writes the events that follow the last token: the finish reason, the usage if r
// requests it, and the end marker.
func (s *eventStream) sendEnd(r chatRequest) error {
	stop := "stop"
	tail := s.event(chunk{Choices: []chunkChoice{{Delta: &message{}, FinishReason: &stop}}})
	if r.StreamOptions.IncludeUsage {
		tail += s.event(chunk{Choices: []chunkChoice{}, Usage: newTokenUsage(r)})
	}
	_, err := io.WriteString(s.w, tail+"data: [DONE]\n\n")
	return err
}
