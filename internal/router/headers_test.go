package router

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

func TestParsePriority(t *testing.T) {
	tests := []struct {
		value   string
		class   request.Class
		invalid bool
	}{
		{value: ""},
		{value: "u=0"},
		{value: "u=3, i"},
		{value: "i, u=4", class: request.ClassBatch},
		{value: "u=7;x=1", class: request.ClassBatch},
		{value: "x=9"},
		{value: "u=8", invalid: true},
		{value: "u=-1", invalid: true},
		{value: "u=", invalid: true},
		{value: "u", invalid: true},
		{value: "u=04", invalid: true},
	}
	for _, tt := range tests {
		class, refused := parsePriority(http.Header{"Priority": {tt.value}})
		require.Equal(t, tt.invalid, refused != nil, tt.value)
		require.Equal(t, tt.class, class, tt.value)
	}
}

func TestParseTimeout(t *testing.T) {
	timing := DefaultTiming()
	tests := []struct {
		values []string
		want   time.Duration
	}{
		{nil, timing.DefaultDeadline},
		{[]string{"1.5"}, 1500 * time.Millisecond},
		{[]string{"3600"}, time.Hour},
		{[]string{"3600.1"}, 0},
		{[]string{"0"}, 0},
		{[]string{"NaN"}, 0},
		{[]string{"Inf"}, 0},
		{[]string{"1e300"}, 0},
		{[]string{"5s"}, 0},
		{[]string{"1", "2"}, 0},
	}
	for _, tt := range tests {
		got, refused := parseTimeout(http.Header{headerTimeout: tt.values}, timing)
		require.Equal(t, tt.want == 0, refused != nil, tt.values)
		require.Equal(t, tt.want, got, tt.values)
	}
}

func TestForwardedFieldsOmitRouterFields(t *testing.T) {
	h := http.Header{
		"Authorization": {"Bearer secret"}, "Connection": {"close, x-hop"}, "X-Hop": {"1"}, "Te": {"trailers"},
		"Content-Length": {"3"}, "Content-Type": {"text/plain"}, "X-Two": {"a", "b"}, headerRequestID: {"forged"},
	}
	require.ElementsMatch(t, []wire.Field{
		{Name: "Content-Type", Value: "text/plain"},
		{Name: "X-Two", Value: "a"},
		{Name: "X-Two", Value: "b"},
		{Name: headerRequestID, Value: "id"},
	}, forwardedFields(h, "id"))
}

func TestRouteOverridesMethod(t *testing.T) {
	var routes []Route
	for _, text := range []string{"shop:POST:/quotes:repeatable", "shop:POST:/quotes/final:once", "shop:PUT:/:once"} {
		route, err := ParseRoute(text)
		require.NoError(t, err)
		routes = append(routes, route)
	}
	tests := []struct {
		service, method, path string
		want                  bool
	}{
		{"shop", "POST", "/orders", false},
		{"shop", "POST", "/quotes", true},
		{"shop", "POST", "/quotes/7", true},
		{"shop", "POST", "/quotesx", false},
		{"shop", "POST", "/quotes/final/7", false},
		{"shop", "PUT", "/orders/7", false},
		{"works", "PUT", "/orders/7", true},
		{"shop", "PATCH", "/quotes", false},
		{"shop", "DELETE", "/orders/7", true},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, repeatable(routes, tt.service, tt.method, tt.path), tt)
	}
}

func TestParseRouteErrorQuotesInput(t *testing.T) {
	for _, text := range []string{"", "a:b", ":POST:/x:once", "a:post:/x:once", "a:POST:x:once", "a:POST:/x:maybe", "a:POST:/x:once:z"} {
		_, err := ParseRoute(text)
		require.ErrorContains(t, err, text)
	}
}

// FuzzEnvelope checks that no header or path makes a parser panic, and that what a
// parser accepts is within its limits.
func FuzzEnvelope(f *testing.F) {
	f.Add("key-1", "u=3", "1.5", "/services/shop-api/orders/7")
	f.Add(strings.Repeat("k", 256), "u=9, i", "-1", "/services/../x")
	f.Add("\x00", "u=;;,=", "1e309", "/services//%2e%2E/")
	f.Add("é", "u=3,u=5", "NaN", "/services/a%2Fb")
	f.Fuzz(func(t *testing.T, key, priority, timeout, path string) {
		h := http.Header{headerIdempotencyKey: {key}, headerPriority: {priority}, headerTimeout: {timeout}}
		if got, ok, refused := parseIdempotencyKey(h); refused == nil {
			require.True(t, ok)
			require.Equal(t, key, got)
			require.Regexp(t, `^[!-~]{1,255}$`, got)
		}
		if class, refused := parsePriority(h); refused == nil {
			require.LessOrEqual(t, class, request.ClassBatch)
		}
		if d, refused := parseTimeout(h, DefaultTiming()); refused == nil {
			require.Positive(t, d)
			require.LessOrEqual(t, d, DefaultTiming().MaxDeadline)
		}
		if name, rest, refused := splitService(path); refused == nil {
			require.NotEmpty(t, name)
			require.NotContains(t, name, "/")
			require.True(t, strings.HasPrefix(rest, "/"))
			require.NotContains(t, "/"+rest+"/", "/../")
		}
	})
}
