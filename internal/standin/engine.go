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
	*targetState
	model *model
}

// NewEngine returns an engine whose calls are served by its Host, which
// listens on addr.
func NewEngine(addr string, config ModelConfig) (*Engine, error) {
	e := &Engine{targetState: newTargetState(), model: newModel(config)}
	app := newApp()
	app.Get("/health", e.health)
	app.Post(pathChat, e.gate, e.chat)
	e.onRestart = e.model.forget
	host, err := newAppHost(addr, app)
	e.host = host
	return e, err
}

// chunk is one event of a streamed answer.
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

func usageOf(r chatRequest) *tokenUsage {
	prompt, completion := r.promptTokens(), r.tokens()
	return &tokenUsage{Prompt: prompt, Completion: completion, Total: prompt + completion}
}

// chat serves a chat completion. A client that goes away cancels it.
func (e *Engine) chat(ctx iris.Context) {
	body, err := io.ReadAll(io.LimitReader(ctx.Request().Body, maxRequestBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r, err := parseChat(body)
	if err != nil {
		refuse(ctx, http.StatusBadRequest, err.Error())
		return
	}
	running, cancel := context.WithCancel(ctx.Request().Context())
	defer cancel()
	started := func() {
		name := fmt.Sprintf("%016x", xxhash.Sum64(r.Messages))
		if !e.run(body, runOf(ctx.Request(), name)) {
			cancel()
		}
	}
	if r.Stream {
		e.stream(running, ctx, r, started)
		return
	}
	e.whole(running, ctx, r, started)
}

func (e *Engine) whole(running context.Context, ctx iris.Context, r chatRequest, started func()) {
	var text strings.Builder
	err := e.model.generate(running, r, started, func(token string) error {
		text.WriteString(token)
		return nil
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	stop := "stop"
	_ = ctx.JSON(chunk{
		ID: uuid.NewString(), Object: "chat.completion", Model: r.Model, Usage: usageOf(r),
		Choices: []chunkChoice{{Message: &message{Role: "assistant", Content: text.String()}, FinishReason: &stop}},
	})
}

// stream writes each token as an event. The head is sent with the first one.
func (e *Engine) stream(running context.Context, ctx iris.Context, r chatRequest, started func()) {
	ctx.ContentType("text/event-stream")
	ctx.Header("Cache-Control", "no-cache")
	s := newEventStream(ctx.ResponseWriter(), r.Model)
	if err := e.model.generate(running, r, started, s.token); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := s.end(r); err != nil {
		panic(http.ErrAbortHandler)
	}
}
