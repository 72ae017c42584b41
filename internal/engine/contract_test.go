package engine_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/engine/enginetest"
)

// answerKind is a client type with an answer that its target sends.
type answerKind struct {
	newClient   func(string, engine.Options) engine.Client
	contentType string
	pieces      []string
	units       int64
}

func newModelClient(url string, o engine.Options) engine.Client { return engine.NewModelClient(url, o) }

func newServiceClient(url string, o engine.Options) engine.Client {
	return engine.NewServiceClient(url, o)
}

func delta(content string) string {
	return `data: {"choices":[{"index":0,"delta":{"content":"` + content + `"}}]}` + "\n\n"
}

// answerKinds returns a streamed and an unstreamed model answer and a service answer.
func answerKinds() map[string]answerKind {
	const usage = `"usage":{"prompt_tokens":5,"completion_tokens":4}`
	return map[string]answerKind{
		"stream": {
			newModelClient, "text/event-stream; charset=utf-8",
			[]string{
				delta("a"), ": comment\n\n", delta("b"),
				`data: {"choices":[],` + usage + "}\n\n", "data: [DONE]\n\n",
			},
			9,
		},
		"unstreamed": {
			newModelClient, "application/json",
			[]string{`{"choices":[{"message":{"content":"a"}}],`, usage, "}"},
			9,
		},
		"service": {newServiceClient, "text/plain", []string{"one ", "two ", "three"}, 0},
	}
}

// exampleCall returns the call of the contract's cases.
func exampleCall() engine.Call {
	return engine.Call{
		Attempt: "attempt-1", Method: http.MethodPost, Path: "/v1/things?x=%2F",
		Header: http.Header{"Idempotency-Key": {"key-1"}, "Proxy-Authorization": {"secret"}},
		Body:   []byte(`{"stream":true}`), Fence: 7,
	}
}

// newSubject returns a client of a scripted target, which serve makes reachable.
func (k answerKind) newSubject(
	t *testing.T, behaviour enginetest.Behaviour, serve func(*testing.T, http.Handler) engine.Options,
) enginetest.Subject {
	target := &scriptedTarget{
		behaviour: behaviour, contentType: k.contentType, pieces: k.pieces,
		callReceived: make(chan struct{}), callCancelled: make(chan struct{}),
	}
	options := serve(t, target)
	if behaviour == enginetest.Unreachable {
		options.Dial = refuseConnection
	}
	return enginetest.Subject{
		Client:        k.newClient("http://target", options),
		Call:          exampleCall,
		Received:      target.calls,
		CallReceived:  target.callReceived,
		CallCancelled: target.callCancelled,
		StartMarker:   "marker-1",
		Want: enginetest.Answer{
			Status: http.StatusCreated,
			Header: map[string]string{"X-Request-Id": "7"},
			Body:   strings.Join(k.pieces, ""),
			Units:  k.units,
		},
	}
}

func TestClientContract(t *testing.T) {
	for name, k := range answerKinds() {
		t.Run(name, func(t *testing.T) {
			enginetest.RunInBubble(t, enginetest.Cases(), func(t *testing.T, b enginetest.Behaviour) enginetest.Subject {
				return k.newSubject(t, b, serve)
			})
		})
	}
}

func TestClientContractOverLoopback(t *testing.T) {
	for name, k := range answerKinds() {
		t.Run(name, func(t *testing.T) {
			enginetest.Run(t, enginetest.UntimedCases(), func(t *testing.T, b enginetest.Behaviour) enginetest.Subject {
				return k.newSubject(t, b, serveTCP)
			})
		})
	}
}
