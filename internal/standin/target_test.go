package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/standin"
)

// fastEngine is an engine that responds without delay.
var fastEngine = standin.ModelConfig{Slots: 64}

func startEngine(t *testing.T, config standin.ModelConfig) (*standin.Engine, *engine.ModelClient) {
	e, err := standin.NewEngine("127.0.0.1:0", config)
	require.NoError(t, err)
	return e, engine.NewModelClient(startHost(t, e.Host()), engine.Options{})
}

func startService(t *testing.T) (*standin.Service, *engine.ServiceClient) {
	s, err := standin.NewService("127.0.0.1:0", standin.ServiceConfig{Slots: 8})
	require.NoError(t, err)
	return s, engine.NewServiceClient(startHost(t, s.Host()), engine.Options{})
}

func chatCall(content string, tokens int, stream bool) engine.Call {
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%t}`, content, tokens, stream)
	return engine.Call{Attempt: content, Method: "POST", Path: "/v1/chat/completions", Body: []byte(body), Fence: 1}
}

func orderCall(id string, fence uint64) engine.Call {
	return engine.Call{
		Attempt: "attempt of " + id, Method: "POST", Path: "/orders",
		Body: []byte(fmt.Sprintf(`{"order":%q}`, id)), Fence: fence,
	}
}

// do makes a call and returns the status, the body and the service units of the response.
func do(t *testing.T, client engine.Client, call engine.Call) (int, string, int64, error) {
	answer, err := client.Do(t.Context(), call)
	if err != nil {
		return 0, "", 0, err
	}
	defer answer.Close()
	var body strings.Builder
	units := int64(0)
	for {
		frame, err := answer.Next(t.Context())
		if errors.Is(err, io.EOF) {
			return answer.Status(), body.String(), units, nil
		}
		if err != nil {
			return answer.Status(), body.String(), units, err
		}
		body.Write(frame.Data)
		units += frame.Units
	}
}

// contentOf returns the generated text of a chat completion, streamed or not.
func contentOf(t *testing.T, body string) string {
	var text strings.Builder
	for line := range strings.Lines(body) {
		line = strings.TrimSpace(strings.TrimPrefix(line, "data: "))
		if line == "" || line == "[DONE]" {
			continue
		}
		var piece struct {
			Choices []struct {
				Delta   struct{ Content string }
				Message struct{ Content string }
			}
		}
		require.NoError(t, json.Unmarshal([]byte(line), &piece))
		for _, c := range piece.Choices {
			text.WriteString(c.Delta.Content + c.Message.Content)
		}
	}
	return text.String()
}

func TestEngineAnswersConcurrentCallersSeparately(t *testing.T) {
	e, client := startEngine(t, fastEngine)
	var callers sync.WaitGroup
	for i := range 40 {
		callers.Go(func() {
			call := chatCall(fmt.Sprint("letter ", i/2), 10+i/2, i%2 == 0)
			status, body, units, err := do(t, client, call)
			if err != nil || status != http.StatusOK {
				t.Errorf("status %d, error %v", status, err)
				return
			}
			want, err := standin.CompletionText(call.Body)
			if err != nil || contentOf(t, body) != want {
				t.Errorf("content %q, want %q (error %v)", contentOf(t, body), want, err)
			}
			if units < int64(10+i/2) {
				t.Errorf("%d units for %d tokens", units, 10+i/2)
			}
		})
	}
	callers.Wait()
	require.Len(t, e.Executions(), 40)
	one, _ := standin.CompletionText(chatCall("letter 1", 10, true).Body)
	two, _ := standin.CompletionText(chatCall("letter 2", 10, true).Body)
	require.NotEqual(t, one, two)
}

func TestEngineCountsPromptTokensOnRequest(t *testing.T) {
	_, client := startEngine(t, fastEngine)
	call := chatCall("a", 5, true)
	call.Body = []byte(strings.Replace(string(call.Body), "{", `{"stream_options":{"include_usage":true},`, 1))
	_, body, units, err := do(t, client, call)
	require.NoError(t, err)
	require.Contains(t, body, `"completion_tokens":5`)
	require.Greater(t, units, int64(5))
}

// stalledEngine sends the first token without delay and then nothing for an hour.
var stalledEngine = standin.ModelConfig{Slots: 64, TokenInterval: time.Hour}

func TestMarkedRequestCrashesEngine(t *testing.T) {
	e, client := startEngine(t, stalledEngine)
	before, err := client.Probe(t.Context())
	require.NoError(t, err)
	open, err := client.Do(t.Context(), chatCall("other", 9, true))
	require.NoError(t, err)
	defer open.Close()
	e.SetFaults(standin.Faults{CrashMarker: "poison", RestartMS: time.Hour.Milliseconds()})
	_, _, _, err = do(t, client, chatCall("poison", 9, true))
	require.True(t, errors.Is(err, engine.ErrTruncated), "marked request: %v", err)
	for err = nil; err == nil; {
		_, err = open.Next(t.Context())
	}
	require.True(t, errors.Is(err, engine.ErrTruncated), "other request: %v", err)
	_, _, _, err = do(t, client, chatCall("later", 9, true))
	require.True(t, errors.Is(err, engine.ErrNotSent), "while the engine is down: %v", err)
	require.NotEqual(t, before, "")
	require.Len(t, e.Executions(), 2)
}

func TestCrashedTargetRestartsWithNewStartMarker(t *testing.T) {
	s, client := startService(t)
	before, err := client.Probe(t.Context())
	require.NoError(t, err)
	s.SetFaults(standin.Faults{Crash: true, RestartMS: 1})
	after := before
	for after == before || err != nil {
		after, err = client.Probe(t.Context())
	}
	require.NotEmpty(t, after)
}

func TestBlackholedConnectionsStallWhileNewOnesWork(t *testing.T) {
	e, err := standin.NewEngine("127.0.0.1:0", standin.ModelConfig{Slots: 64, TokenInterval: time.Millisecond})
	require.NoError(t, err)
	url := startHost(t, e.Host())
	client := engine.NewModelClient(url, engine.Options{ProgressTimeout: 300 * time.Millisecond})
	open, err := client.Do(t.Context(), chatCall("long", 1<<20, true))
	require.NoError(t, err)
	defer open.Close()
	e.SetFaults(standin.Faults{Blackhole: true})
	for err == nil {
		_, err = open.Next(t.Context())
	}
	require.True(t, errors.Is(err, engine.ErrStalled), "error %v", err)
	_, _, _, err = do(t, engine.NewModelClient(url, engine.Options{}), chatCall("new", 2, true))
	require.NoError(t, err)
}

func TestServiceCountsExecutions(t *testing.T) {
	s, client := startService(t)
	for count := 1; count <= 3; count++ {
		status, body, units, err := do(t, client, orderCall("a", 1))
		require.NoError(t, err)
		require.Equal(t, http.StatusCreated, status)
		require.JSONEq(t, fmt.Sprintf(`{"order":"a","count":%d}`, count), body)
		require.Zero(t, units)
	}
	status, body, _, err := do(t, client, engine.Call{Method: "GET", Path: "/orders/a", Fence: 1})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"order":"a","count":3}`, body)
	status, _, _, err = do(t, client, engine.Call{Method: "GET", Path: "/orders/b", Fence: 1})
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, status)
	require.Equal(t, standin.Execution{Attempt: "attempt of a", Fence: 1, Name: "a"}, s.Executions()[0])
	require.Len(t, s.Executions(), 3)
}

func TestServiceLosesResponsesAndRequests(t *testing.T) {
	s, client := startService(t)
	s.SetFaults(standin.Faults{ResponseLost: 1})
	_, _, _, err := do(t, client, orderCall("a", 1))
	require.True(t, errors.Is(err, engine.ErrTruncated))
	require.Equal(t, 1, s.Count("a"))
	s.SetFaults(standin.Faults{RequestLost: 1})
	_, _, _, err = do(t, client, orderCall("a", 1))
	require.True(t, errors.Is(err, engine.ErrTruncated))
	require.Equal(t, 1, s.Count("a"))
	s.SetFaults(standin.Faults{Down: true})
	status, _, _, err := do(t, client, orderCall("a", 1))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, 1, s.Count("a"))
}

func TestTargetChecksOrIgnoresFencingNumbers(t *testing.T) {
	s, client := startService(t)
	_, _, _, err := do(t, client, orderCall("a", 7))
	require.NoError(t, err)
	_, _, _, err = do(t, client, orderCall("a", 6))
	require.True(t, errors.Is(err, engine.ErrFenced), "old fencing number: %v", err)
	require.Equal(t, 1, s.Count("a"))
	s.SetFaults(standin.Faults{FenceIgnored: true})
	_, _, _, err = do(t, client, orderCall("a", 6))
	require.NoError(t, err)
	require.Equal(t, 2, s.Count("a"))
}

func TestAdminSetsFaultsAndListsExecutions(t *testing.T) {
	s, client := startService(t)
	admin, err := s.Admin("127.0.0.1:0")
	require.NoError(t, err)
	url := startHost(t, admin)
	require.Equal(t, http.StatusNoContent, put(t, url+standin.PathFaults, `{"answer_lost":1}`))
	require.Equal(t, http.StatusBadRequest, put(t, url+standin.PathFaults, `{"answer_lots":1}`))
	require.Equal(t, 1, s.Faults().ResponseLost)
	_, _, _, err = do(t, client, orderCall("a", 1))
	require.Error(t, err)
	resp, err := http.Get(url + standin.PathRuns)
	require.NoError(t, err)
	defer resp.Body.Close()
	var runs []standin.Execution
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&runs))
	require.Equal(t, s.Executions(), runs)
	require.Len(t, runs, 1)
}

func TestAdminSetsVMList(t *testing.T) {
	p, _ := startPlatform(t)
	admin, err := p.Admin("127.0.0.1:0")
	require.NoError(t, err)
	url := startHost(t, admin)
	require.Equal(t, http.StatusNoContent, put(t, url+standin.PathSetVMs, `[{"id":"a","state":"live"}]`))
	require.Equal(t, http.StatusNoContent, put(t, url+standin.PathSetVMs+"/a/leaving", ""))
	require.Equal(t, http.StatusNotFound, put(t, url+standin.PathSetVMs+"/b/leaving", ""))
	require.Equal(t, http.StatusBadRequest, put(t, url+standin.PathSetVMs+"/a/gone", ""))
	vms, err := p.VMs.List(context.Background())
	require.NoError(t, err)
	require.Len(t, vms, 1)
	require.Equal(t, "leaving", string(vms[0].State))
}

// put sends body in a PUT request and returns the status.
func put(t *testing.T, url, body string) int {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}
