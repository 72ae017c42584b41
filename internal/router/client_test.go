package router

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	openai "github.com/sashabaranov/go-openai"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
)

// startServer serves the router of the fixture on the loopback interface and returns
// its URL.
func (f *fixture) startServer() string {
	server := httptest.NewServer(f.router)
	f.t.Cleanup(server.Close)
	return server.URL
}

// newOpenAIClient returns a client of a published library for the router at url.
func newOpenAIClient(url, key string) *openai.Client {
	config := openai.DefaultConfig(key)
	config.BaseURL = url + "/v1"
	return openai.NewClientWithConfig(config)
}

var completionRequest = openai.ChatCompletionRequest{
	Model:    testModel,
	Messages: []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "Dear Aino"}},
}

const completionJSON = `{"id":"c1","object":"chat.completion","model":"letter-writer","choices":[{"index":0,"message":{"role":"assistant","content":"Hei"},"finish_reason":"stop"}],"usage":{"total_tokens":3}}`

const (
	firstEvent = `data: {"id":"c1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"He"}}]}` + "\n\n"
	lastEvents = `data: {"id":"c1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"i"}}]}` + "\n\ndata: [DONE]\n\n"
)

// TestOpenAIClient sends requests to the router with a published client library.
func TestOpenAIClient(t *testing.T) {
	t.Run("complete answer", func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.setScript("a1", grantThen(completeAnswer("application/json", completionJSON)...))
		answer, err := newOpenAIClient(f.startServer(), testKey).CreateChatCompletion(t.Context(), completionRequest)
		require.NoError(t, err)
		require.Equal(t, "Hei", answer.Choices[0].Message.Content)
	})
	t.Run("streamed answer", func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		total := uint64(len(firstEvent) + len(lastEvents))
		f.fleet.setScript("a1", grantThen(accepted, head(contentTypeEventStream), chunk(0, firstEvent), chunk(uint64(len(firstEvent)), lastEvents), end(total)))
		text, err := readStream(t.Context(), newOpenAIClient(f.startServer(), testKey))
		require.NoError(t, err)
		require.Equal(t, "Hei", text)
	})
	t.Run("incomplete stream", func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.setScript("a1", grantThen(accepted, head(contentTypeEventStream), chunk(0, firstEvent), fail(request.OutcomeUnknown, request.ReasonTargetCrashed)))
		text, err := readStream(t.Context(), newOpenAIClient(f.startServer(), testKey))
		require.Error(t, err, "an incomplete stream must end with an error")
		require.Equal(t, "He", text)
	})
	t.Run("refusal", func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		_, err := newOpenAIClient(f.startServer(), "no key").CreateChatCompletion(t.Context(), completionRequest)
		var refused *openai.APIError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, http.StatusUnauthorized, refused.HTTPStatusCode)
		require.Equal(t, string(request.ReasonUnauthorized), refused.Code)
	})
	t.Run("models", func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		list, err := newOpenAIClient(f.startServer(), testKey).ListModels(t.Context())
		require.NoError(t, err)
		require.Len(t, list.Models, 1)
		require.Equal(t, testModel, list.Models[0].ID)
	})
}

// readStream returns the text of a streamed completion. Its error is nil if the stream
// ended without an error.
func readStream(ctx context.Context, client *openai.Client) (string, error) {
	stream, err := client.CreateChatCompletionStream(ctx, completionRequest)
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

// TestIncompleteAnswerAbortsConnection guards against an incomplete answer that ends
// like a complete one over HTTP: the attempt fails after the first bytes of an answer
// without a declared length.
func TestIncompleteAnswerAbortsConnection(t *testing.T) {
	f := newFixture(t, nil, serviceAgent("s1"))
	f.fleet.setScript("s1", grantThen(accepted, head("text/plain"), chunk(0, "abc"), fail(request.OutcomeUnknown, request.ReasonTargetCrashed)))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.startServer()+"/services/shop-api/status", nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return // the connection was aborted before the header was flushed
	}
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestIncompleteAnswerResetsConnectionOverHTTP10(t *testing.T) {
	f := newFixture(t, nil, serviceAgent("s1"))
	longerThanBuffers := strings.Repeat("abc", 16<<10)
	f.fleet.setScript("s1", grantThen(accepted, head("text/plain"), chunk(0, longerThanBuffers), fail(request.OutcomeUnknown, request.ReasonTargetCrashed)))
	conn, err := net.Dial("tcp4", strings.TrimPrefix(f.startServer(), "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /services/shop-api/status HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer "+testKey+"\r\n\r\n")
	require.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return // the reset overtook the head
	}
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	require.Error(t, err, "the answer looks complete")
}
