package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/mastichollow/mastichollow/internal/caller"
)

const (
	streamTokens      = 60
	interactiveTokens = 8
)

// checkStreamedCompletion checks that a streamed completion is complete and belongs to
// its request.
func (d *Demo) checkStreamedCompletion(ctx context.Context) {
	stream := d.modelCaller.StartStream(ctx, d.cfg.RouterURLs[0], "A letter to grandmother, from the whole archive.", streamTokens)
	r := <-stream.Response
	actual := fmt.Sprintf("%d tokens", len(strings.Fields(r.Text)))
	if !r.Complete || r.Text != stream.ExpectedText {
		actual = r.String()
	}
	d.addCheck("streamed letter", fmt.Sprintf("%d tokens", streamTokens), actual, r.Err)
}

// checkInteractiveCompletion checks that an interactive completion is complete and
// belongs to its request.
func (d *Demo) checkInteractiveCompletion(ctx context.Context) {
	body := caller.CompletionBody("Does the jar fit a photograph?", interactiveTokens, false)
	r := d.serviceCaller.RequestCompletion(ctx, d.cfg.RouterURLs[1], body)
	actual := r.String()
	if r.Complete && completionText(r.Text) == caller.ExpectedText(body) {
		actual = "its own answer"
	}
	d.addCheck("quick question", "its own answer", actual, r.Err)
}

// completionText returns the text of a chat completion that was not streamed.
func completionText(data string) string {
	var c struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 {
		return ""
	}
	return c.Choices[0].Message.Content
}
