package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	openai "github.com/sashabaranov/go-openai"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
)

// startServer serves the fixture's router on loopback and returns its URL.
func (f *fixture) startServer() string {
	server := httptest.NewServer(f.router)
	f.t.Cleanup(server.Close)
	return server.URL
}

// newOpenAI returns a published client library for the router at url.
func newOpenAI(url, key string) *openai.Client {
	config := openai.DefaultConfig(key)
	config.BaseURL = url + "/v1"
	return openai.NewClientWithConfig(config)
}

var question = openai.ChatCompletionRequest{
	Model:    testModel,
	Messages: []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "Dear Aino"}},
}

const wholeCompletion = `{"id":"c1","object":"chat.completion","model":"letter-writer","choices":[{"index":0,"message":{"role":"assistant","content":"Hei"},"finish_reason":"stop"}],"usage":{"total_tokens":3}}`

const (
	firstEvent = `data: {"id":"c1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"He"}}]}` + "\n\n"
	lastEvents = `data: {"id":"c1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"i"}}]}` + "\n\ndata: [DONE]\n\n"
)

// TestPublishedClientWorksUnchanged drives the router by a published client
// library.
func TestPublishedClientWorksUnchanged(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.set("a1", grantThen(answers("application/json", wholeCompletion)...))
		answer, err := newOpenAI(f.startServer(), testKey).CreateChatCompletion(t.Context(), question)
		require.NoError(t, err)
		require.Equal(t, "Hei", answer.Choices[0].Message.Content)
	})
	t.Run("streamed", func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		whole := uint64(len(firstEvent) + len(lastEvents))
		f.fleet.set("a1", grantThen(accepted, head(contentTypeEvents), chunk(0, firstEvent), chunk(uint64(len(firstEvent)), lastEvents), end(whole)))
		text, err := readStream(t.Context(), newOpenAI(f.startServer(), testKey))
		require.NoError(t, err)
		require.Equal(t, "Hei", text)
	})
	t.Run("stream that breaks off", func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.set("a1", grantThen(accepted, head(contentTypeEvents), chunk(0, firstEvent), fail(request.OutcomeUnknown, request.ReasonTargetCrashed)))
		text, err := readStream(t.Context(), newOpenAI(f.startServer(), testKey))
		require.Error(t, err, "a stream that broke off looked whole")
		require.Equal(t, "He", text)
	})
	t.Run("refusal", func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		_, err := newOpenAI(f.startServer(), "no key").CreateChatCompletion(t.Context(), question)
		var refused *openai.APIError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, http.StatusUnauthorized, refused.HTTPStatusCode)
		require.Equal(t, string(request.ReasonUnauthorized), refused.Code)
	})
	t.Run("models", func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		list, err := newOpenAI(f.startServer(), testKey).ListModels(t.Context())
		require.NoError(t, err)
		require.Len(t, list.Models, 1)
		require.Equal(t, testModel, list.Models[0].ID)
	})
}

// readStream returns the text of a streamed completion and the error that ended
// it, if it was not the end of the stream.
func readStream(ctx context.Context, client *openai.Client) (string, error) {
	stream, err := client.CreateChatCompletionStream(ctx, question)
	if err != nil {
		return "", err
	}
	defer stream.Close()
	var text strings.Builder
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(part.Choices[0].Delta.Content)
	}
}

// TestBrokenAnswerNeverLooksWhole checks over HTTP that a caller cannot take an
// answer that broke off for a whole one, with and without a declared length.
func TestBrokenAnswerNeverLooksWhole(t *testing.T) {
	f := newFixture(t, nil, shop("s1"))
	f.fleet.set("s1", grantThen(accepted, head("text/plain"), chunk(0, "abc"), fail(request.OutcomeUnknown, request.ReasonTargetCrashed)))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.startServer()+"/services/shop-api/status", nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return // cut before the header was flushed
	}
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
