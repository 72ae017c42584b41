package router

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// decodeProblem returns the problem document of an answer.
func decodeProblem(t *testing.T, rec *httptest.ResponseRecorder) problem {
	t.Helper()
	require.Equal(t, "application/problem+json", rec.Header().Get("Content-Type"))
	var p problem
	require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &p))
	require.Equal(t, rec.Code, p.Status)
	require.Equal(t, rec.Header().Get(headerRequestID), string(p.Request))
	return p
}

func TestCompletionForwardedUnchanged(t *testing.T) {
	for _, contentType := range []string{"application/json", contentTypeEventStream} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, nil, agent("a1", "north", "north-a"))
			f.fleet.setScript("a1", grantThen(completeAnswer(contentType, "whole answer")...))
			rec, aborted := f.serve(post(pathCompletions, chatBody, "X-Family: Virtanen"))
			require.False(t, aborted)
			require.Equal(t, http.StatusOK, rec.Code)
			require.Equal(t, "whole answer", rec.Body.String())
			require.Equal(t, contentType, rec.Header().Get("Content-Type"))
			run := f.fleet.received().runs[0]
			require.Equal(t, chatBody, string(run.Body))
			require.Contains(t, run.Header, wire.Field{Name: "X-Family", Value: "Virtanen"})
			for _, field := range run.Header {
				require.NotEqual(t, "Authorization", field.Name)
			}
		})
	}
}

func TestServiceCallForwardsMethodPathAndQuery(t *testing.T) {
	for _, method := range []string{"GET", "PUT", "DELETE", "POST", "PATCH", "OPTIONS"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, nil, serviceAgent("s1"))
			f.fleet.setScript("s1", grantThen(completeAnswer("text/plain", "ok")...))
			rec, _ := f.serve(newRequest(method, "/services/shop-api/orders/7%2F8?full=1", "body"))
			require.Equal(t, http.StatusOK, rec.Code)
			require.Equal(t, method, f.fleet.received().runs[0].Method)
			require.Equal(t, "/orders/7%2F8?full=1", f.fleet.received().runs[0].Path)
		})
	}
}

func TestModelListOnlyAllowedModels(t *testing.T) {
	hidden := agent("a2", "north", "north-a")
	hidden.Pool = "secret"
	f := newFixture(t, nil, agent("a1", "north", "north-a"), hidden, serviceAgent("s1"))
	rec, _ := f.serve(newRequest(http.MethodGet, pathModels, ""))
	var list modelList
	require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &list))
	require.Equal(t, []model{{ID: testModel, Object: "model", OwnedBy: "mastichollow"}}, list.Data)
}

func TestInvalidRequestsRefusedWithoutOffer(t *testing.T) {
	longKey := strings.Repeat("k", maxIdempotencyKeyLength+1)
	prompt := `{"model":"letter-writer","messages":[{"role":"user","content":"` + strings.Repeat("x", 600) + `"}]}`
	tests := []struct {
		name   string
		req    *http.Request
		status int
		reason request.Reason
	}{
		{"no key", post(pathCompletions, chatBody, "Authorization: "), 401, request.ReasonUnauthorized},
		{"unknown key", post(pathCompletions, chatBody, "Authorization: Bearer x"), 401, request.ReasonUnauthorized},
		{"basic scheme", post(pathCompletions, chatBody, "Authorization: Basic "+testKey), 401, request.ReasonUnauthorized},
		{"unknown path", post("/v2/x", ""), 404, request.ReasonNotFound},
		{"wrong method", newRequest("GET", pathCompletions, ""), 405, request.ReasonMethodNotAllowed},
		{"models by POST", post(pathModels, ""), 405, request.ReasonMethodNotAllowed},
		{"not JSON", post(pathCompletions, "{"), 400, request.ReasonMalformed},
		{"no model", post(pathCompletions, `{"messages":[{}]}`), 400, request.ReasonMalformed},
		{"no messages", post(pathCompletions, `{"model":"letter-writer"}`), 400, request.ReasonMalformed},
		{"unknown model", post(pathCompletions, `{"model":"x","messages":[{}]}`), 404, request.ReasonUnknownPool},
		{"service as model", post(pathCompletions, `{"model":"shop-api","messages":[{}]}`), 404, request.ReasonUnknownPool},
		{"forbidden", post("/services/shop-api/o", "", "Authorization: Bearer "+otherKey), 403, request.ReasonForbiddenPool},
		{"unknown service", post("/services/x/o", ""), 404, request.ReasonUnknownPool},
		{"no service", post("/services/", ""), 404, request.ReasonNotFound},
		{"dot segment", post("/services/shop-api/a/%2E%2e/b", ""), 400, request.ReasonMalformed},
		{"body", post("/services/shop-api/o", strings.Repeat("x", 2001)), 413, request.ReasonTooLarge},
		{"prompt", post(pathCompletions, prompt), 413, request.ReasonPromptTooLarge},
		{"header", post(pathCompletions, chatBody, "X-Long: "+strings.Repeat("x", 1000)), 431, request.ReasonHeaderTooLarge},
		{"long key", post(pathCompletions, chatBody, "Idempotency-Key: "+longKey), 400, request.ReasonKeyInvalid},
		{"empty key", post(pathCompletions, chatBody, "Idempotency-Key: "), 400, request.ReasonKeyInvalid},
		{"key with space", post(pathCompletions, chatBody, "Idempotency-Key: a b"), 400, request.ReasonKeyInvalid},
		{"priority", post(pathCompletions, chatBody, "Priority: u=8"), 400, request.ReasonPriorityInvalid},
		{"timeout", post(pathCompletions, chatBody, "X-Request-Timeout: -1"), 400, request.ReasonTimeoutInvalid},
		{"timeout over the limit", post(pathCompletions, chatBody, "X-Request-Timeout: 3601"), 400, request.ReasonTimeoutInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, func(c *Config) {
				c.Limits = Limits{Body: 2000, Header: 800, Prompt: 500, BodyMemory: 8000, PendingOffers: 10}
			}, agent("a1", "north", "north-a"), serviceAgent("s1"))
			f.fleet.setScript("a1", grantThen(completeAnswer("text/plain", "ok")...))
			f.fleet.setScript("s1", grantThen(completeAnswer("text/plain", "ok")...))
			rec, _ := f.serve(tt.req)
			require.Equal(t, tt.status, rec.Code, rec.Body.String())
			p := decodeProblem(t, rec)
			require.Equal(t, problemPrefix+string(tt.reason), p.Type)
			require.Zero(t, f.fleet.offerCount())
			require.InDelta(t, 1, counterValue(f.router.metrics.refusals, string(tt.reason)), 0)
		})
	}
}

func TestOnlyHomeAgentGetsOfferIfItGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"), agent("a2", "north", "north-a"), agent("a3", "north", "north-b"))
		for _, id := range []string{"a1", "a2", "a3"} {
			f.fleet.setScript(id, grantThen(completeAnswer("text/plain", "ok")...))
		}
		rec, _ := f.serve(post(pathCompletions, chatBody))
		require.Equal(t, http.StatusOK, rec.Code)
		require.Equal(t, 1, f.fleet.offerCount())
	})
}

func TestIdempotencyKeyAndClaim(t *testing.T) {
	tests := []struct {
		name      string
		req       *http.Request
		wantKey   string // "*": any
		wantClaim bool
	}{
		{"order without a key", post("/services/shop-api/orders", "{}"), "*", true},
		{"order with a key", post("/services/shop-api/orders", "{}", "Idempotency-Key: k1"), "k1", true},
		{"status", newRequest("GET", "/services/shop-api/orders/1", ""), "", false},
		{"status with a key", newRequest("GET", "/services/shop-api/orders/1", "", "Idempotency-Key: k1"), "", false},
		{"completion", post(pathCompletions, chatBody), "", false},
		{"completion with a key", post(pathCompletions, chatBody, "Idempotency-Key: k1"), "k1", true},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, nil, agent("a1", "north", "north-a"), serviceAgent("s1"))
			f.fleet.setScript("a1", grantThen(completeAnswer("text/plain", "ok")...))
			f.fleet.setScript("s1", grantThen(completeAnswer("text/plain", "ok")...))
			rec, _ := f.serve(tt.req)
			require.Equal(t, http.StatusOK, rec.Code, tt.name)
			key := rec.Header().Get(headerIdempotencyKey)
			if tt.wantKey == "*" {
				require.NotEmpty(t, key, tt.name)
				require.Contains(t, f.fleet.received().runs[0].Header, wire.Field{Name: headerIdempotencyKey, Value: key})
			} else {
				require.Equal(t, tt.wantKey, key, tt.name)
			}
			for _, offers := range f.fleet.received().offers {
				require.Equal(t, tt.wantClaim, len(offers[0].Claim) > 0, tt.name)
			}
		})
	}
}

// TestNotReady checks that a router without a VM list, or one that is stopping,
// reports that it is not ready, and that without a VM list a request is refused as not
// ready, not for an unknown pool.
func TestNotReady(t *testing.T) {
	f := newFixture(t, nil)
	require.ErrorIs(t, f.router.Ready(), errNoVMs)
	rec, _ := f.serve(post(pathCompletions, chatBody))
	require.Equal(t, problemPrefix+string(request.ReasonNotReady), decodeProblem(t, rec).Type)
	f.store.ApplyVMs([]target.VM{agent("a1", "north", "north-a")})
	require.NoError(t, f.router.Ready())
	f.router.Stop()
	require.Error(t, f.router.Ready())
	rec, _ = f.serve(post(pathCompletions, "{"))
	require.Equal(t, "close", rec.Header().Get("Connection"))
}

// deadlineWriter records the write deadline.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (d *deadlineWriter) SetWriteDeadline(at time.Time) error {
	d.deadline = at
	return nil
}

// TestWriteDeadlineRenewedPerAnswer guards against an answer that is written under the
// deadline of an earlier answer on the same connection.
func TestWriteDeadlineRenewedPerAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, agent("a1", "north", "north-a"))
		f.fleet.setScript("a1", grantThen(completeAnswer("text/plain", "ok")...))
		for _, req := range []*http.Request{post(pathCompletions, chatBody), post("/x", ""), newRequest("GET", pathModels, "")} {
			w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
			f.router.ServeHTTP(w, req)
			require.Equal(t, DefaultTiming().WriteTimeout, time.Until(w.deadline), req.URL.Path)
		}
	})
}

func TestLeavingAgentGetsNoOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaving := agent("a1", "north", "north-a")
		leaving.State = target.StateLeaving
		f := newFixture(t, nil, leaving)
		f.fleet.setScript("a1", grantThen(completeAnswer("text/plain", "ok")...))
		began := time.Now()
		rec, _ := f.serve(post(pathCompletions, chatBody))
		p := decodeProblem(t, rec)
		require.Equal(t, problemPrefix+string(request.ReasonNoTarget), p.Type)
		require.True(t, p.NotRun)
		require.Zero(t, time.Since(began))
		require.Zero(t, f.fleet.offerCount())
	})
}
