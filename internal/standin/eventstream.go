package standin

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/google/uuid"
)

// tokenMark stands for the token in the pattern of an event.
const tokenMark = "00000000 "

// flusher is a writer whose bytes can be sent at once.
type flusher interface {
	io.Writer
	Flush()
}

// eventStream writes a streamed chat completion.
type eventStream struct {
	w             flusher
	id, model     string
	before, after string // of the token in its event
}

func newEventStream(w flusher, model string) *eventStream {
	s := &eventStream{w: w, id: uuid.NewString(), model: model}
	pattern := s.event(chunk{Choices: []chunkChoice{{Delta: &message{Content: tokenMark}}}})
	s.before, s.after, _ = strings.Cut(pattern, tokenMark)
	return s
}

// event returns the event of a piece.
func (s *eventStream) event(c chunk) string {
	c.ID, c.Object, c.Model = s.id, "chat.completion.chunk", s.model
	data, _ := json.Marshal(c)
	return "data: " + string(data) + "\n\n"
}

// token writes and sends the event of one token.
func (s *eventStream) token(token string) error {
	if _, err := io.WriteString(s.w, s.before+token+s.after); err != nil {
		return err
	}
	s.w.Flush()
	return nil
}

// end writes what follows the last token of the answer to r.
func (s *eventStream) end(r chatRequest) error {
	stop := "stop"
	tail := s.event(chunk{Choices: []chunkChoice{{Delta: &message{}, FinishReason: &stop}}})
	if r.StreamOptions.IncludeUsage {
		tail += s.event(chunk{Choices: []chunkChoice{}, Usage: usageOf(r)})
	}
	_, err := io.WriteString(s.w, tail+"data: [DONE]\n\n")
	return err
}
