package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
)

const pathChat = "/v1/chat/completions"

// Engine is an emulated model engine with its HTTP interface.
type Engine struct {
	*targetBase
	model *model
}

// NewEngine returns an engine whose Host listens on addr.
func NewEngine(addr string, config ModelConfig) (*Engine, error) {
	e := &Engine{targetBase: newTargetBase(), model: newModel(config)}
	app := newApp()
	app.Get("/health", e.health)
	app.Post(pathChat, e.admitCall, e.chat)
	e.onRestart = e.model.clearCache
	host, err := newAppHost(addr, app)
	e.host = host
	return e, err
}

// chunk is one event of a streamed response, or a complete response.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *tokenUsage   `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type tokenUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

func newTokenUsage(r chatRequest) *tokenUsage {
	prompt, completion := r.promptTokens(), r.outputTokens()
	return &tokenUsage{Prompt: prompt, Completion: completion, Total: prompt + completion}
}

// chat serves a chat completion. It is cancelled when the client closes the connection.
func (e *Engine) chat(ctx iris.Context) {
	body, err := io.ReadAll(io.LimitReader(ctx.Request().Body, maxRequestBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r, err := parseChat(body)
	if err != nil {
		sendUntypedProblem(ctx, http.StatusBadRequest, err.Error())
		return
	}
	runCtx, cancel := context.WithCancel(ctx.Request().Context())
	defer cancel()
	onStart := func() {
		name := fmt.Sprintf("%016x", xxhash.Sum64(r.Messages))
		if !e.recordExecution(body, newExecution(ctx.Request(), name)) {
			cancel()
		}
	}
	if r.Stream {
		e.sendStream(runCtx, ctx, r, onStart)
		return
	}
	e.sendComplete(runCtx, ctx, r, onStart)
}

// sendComplete sends the response as one JSON document.
func (e *Engine) sendComplete(runCtx context.Context, ctx iris.Context, r chatRequest, onStart func()) {
	var text strings.Builder
	err := e.model.generate(runCtx, r, onStart, func(token string) error {
		text.WriteString(token)
		return nil
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	stop := "stop"
	_ = ctx.JSON(chunk{
		ID: uuid.NewString(), Object: "chat.completion", Model: r.Model, Usage: newTokenUsage(r),
		Choices: []chunkChoice{{Message: &message{Role: "assistant", Content: text.String()}, FinishReason: &stop}},
	})
}

// sendStream sends each token as an event. The response headers are sent with the first one.
func (e *Engine) sendStream(runCtx context.Context, ctx iris.Context, r chatRequest, onStart func()) {
	ctx.ContentType("text/event-stream")
	ctx.Header("Cache-Control", "no-cache")
	s := newEventStream(ctx.ResponseWriter(), r.Model)
	if err := e.model.generate(runCtx, r, onStart, s.sendToken); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := s.sendEnd(r); err != nil {
		panic(http.ErrAbortHandler)
	}
}
