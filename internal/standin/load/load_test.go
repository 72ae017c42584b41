package load

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/standin/standintest"
)

// validConfig returns a valid configuration for count requests to url.
func validConfig(url string, count int) Config {
	return Config{
		URL: url, Rate: 1000, Duration: time.Minute, Count: count, MaxOpen: maxOpen, Timeout: time.Minute,
		MaxTokens: 8, PromptBytes: 64, Stream: true, Verify: true, Workspaces: []Workspace{{Weight: 1}},
	}
}

func startEngine(t *testing.T) *standin.Engine {
	e, err := standin.NewEngine("127.0.0.1:0", standin.ModelConfig{Slots: 64})
	require.NoError(t, err)
	standintest.Run(t, e.Host())
	return e
}

func TestLoadReportCountsRequests(t *testing.T) {
	for _, stream := range []bool{true, false} {
		e := startEngine(t)
		config := validConfig(e.Host().URL(), 100)
		config.Stream = stream
		config.Workspaces = []Workspace{{Key: "a", Weight: 1}, {Key: "b", Weight: 3}}
		report, err := Run(t.Context(), config)
		require.NoError(t, err)
		require.Empty(t, report.Failed)
		require.Equal(t, 100, report.Succeeded+report.NotSent)
		require.Len(t, e.Executions(), report.Sent)
		require.Equal(t, report.Succeeded, report.ByWorkspace[0]+report.ByWorkspace[1])
		require.Greater(t, report.ByWorkspace[1], report.ByWorkspace[0])
		require.Positive(t, report.FirstToken.P50)
		require.GreaterOrEqual(t, report.TotalTime.P99, report.TotalTime.P50)
	}
}

func TestLoadCountsFailures(t *testing.T) {
	const delta = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	for name, c := range map[string]struct {
		status int
		answer string
		reason string
	}{
		"refused":           {http.StatusTooManyRequests, "", "status_429"},
		"redirect":          {http.StatusTemporaryRedirect, "", "status_307"},
		"unexpected answer": {http.StatusOK, delta + "data: [DONE]\n\n", failedMismatch},
		"truncated":         {http.StatusOK, delta, failedTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			var hits atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				hits.Add(1)
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.answer))
			}))
			defer server.Close()
			report, err := Run(t.Context(), validConfig(server.URL, 3))
			require.NoError(t, err)
			require.Zero(t, report.Succeeded)
			require.Equal(t, map[string]int{c.reason: 3}, report.Failed)
			require.Equal(t, int64(3), hits.Load())
		})
	}
}

func TestLoadRespectsMaxOpen(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	config := validConfig(server.URL, 20)
	config.MaxOpen = 4
	g := newGenerator(config)
	require.Equal(t, 16, g.send(t.Context(), time.Now()))
	close(release)
	g.requests.Wait()
	require.Len(t, g.outcomes, 4)
}

func TestValidateReportsEveryInvalidField(t *testing.T) {
	for _, url := range []string{
		"http://10.0.0.1:80", "http://localhost:80", "http://example.org", "https://127.0.0.1:1", "http://127.0.0.1.example.org",
		"http://0.0.0.0:80", "http://[::]:80", "http://user@8.8.8.8", "//127.0.0.1", "",
	} {
		config := validConfig(url, 1)
		require.ErrorContains(t, config.Validate(), "URL", url)
	}
	for _, url := range []string{"http://127.0.0.1:80", "http://127.9.9.9:80", "http://[::1]:80"} {
		config := validConfig(url, 1)
		require.NoError(t, config.Validate(), url)
	}
	config := Config{}
	err := config.Validate()
	for _, fault := range []string{"URL", "rate", "duration", "count", "open requests", "timeout", "tokens", "prompt", "workspace"} {
		require.ErrorContains(t, err, fault)
	}
	config = validConfig("http://127.0.0.1:80", 1)
	config.Rate, config.Count, config.Workspaces[0].Weight = maxRate+1, maxCount+1, 0
	for _, fault := range []string{"rate", "count", "weight"} {
		require.ErrorContains(t, config.Validate(), fault)
	}
}
