package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/mastichollow/mastichollow/internal/caller"
)

const (
	letterTokens = 60
	answerTokens = 8
)

// streamedLetter checks that a streamed letter comes whole and is the answer to
// its own request.
func (d *Demo) streamedLetter(ctx context.Context) {
	l := d.letters.Write(ctx, d.cfg.Routers[0], "A letter to grandmother, from the whole archive.", letterTokens)
	r := <-l.Reply
	seen := fmt.Sprintf("%d tokens", len(strings.Fields(r.Text)))
	if !r.Whole || r.Text != l.Want {
		seen = r.String()
	}
	d.check("streamed letter", fmt.Sprintf("%d tokens", letterTokens), seen, r.Err)
}

// quickQuestion checks an interactive question that is answered whole.
func (d *Demo) quickQuestion(ctx context.Context) {
	body := caller.CompletionBody("Does the jar fit a photograph?", answerTokens, false)
	r := d.shop.Question(ctx, d.cfg.Routers[1], body)
	seen := r.String()
	if r.Whole && completionText(r.Text) == caller.Answer(body) {
		seen = "its own answer"
	}
	d.check("quick question", "its own answer", seen, r.Err)
}

// completionText returns the text of a whole chat completion.
func completionText(data string) string {
	var c struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 {
		return ""
	}
	return c.Choices[0].Message.Content
}
