package standin

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// generateAll runs a request to completion and returns the times from its start to its first
// and last token.
func generateAll(t *testing.T, m *model, body string) (first, last time.Duration) {
	r, err := parseChat([]byte(body))
	require.NoError(t, err)
	began := time.Now()
	err = m.generate(t.Context(), r, func() {}, func(string) error {
		last = time.Since(began)
		if first == 0 {
			first = last
		}
		return nil
	})
	require.NoError(t, err)
	return first, last
}

const tenTokens = `{"messages":"four","max_tokens":10}` // the prompt has 6 bytes, 2 tokens

func TestModelTokenTimes(t *testing.T) {
	for name, c := range map[string]struct {
		config      ModelConfig
		running     int // concurrent requests, including the measured one
		first, last time.Duration
	}{
		"alone":           {ModelConfig{Slots: 4}, 1, 120 * time.Millisecond, 300 * time.Millisecond},
		"batch of three":  {ModelConfig{Slots: 4}, 3, 120 * time.Millisecond, 480 * time.Millisecond},
		"two in sequence": {ModelConfig{Slots: 1}, 2, 420 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.config.FirstToken = 100 * time.Millisecond
				c.config.PrefillToken = 10 * time.Millisecond
				c.config.TokenInterval = 20 * time.Millisecond
				c.config.BatchSlowdown = 0.5
				m := newModel(c.config)
				for range c.running - 1 {
					go generateAll(t, m, tenTokens)
				}
				synctest.Wait()
				first, last := generateAll(t, m, tenTokens)
				require.Equal(t, c.first, first)
				require.Equal(t, c.last, last)
				synctest.Wait()
			})
		})
	}
}

func TestCachedPrefixShortensPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(ModelConfig{CacheBlocks: 8, PrefillToken: time.Millisecond})
		prompt := func(end string) string {
			return `{"messages":"` + strings.Repeat("x", 4*blockBytes-1) + end + `","max_tokens":1}`
		}
		cold, _ := generateAll(t, m, prompt("aaa"))
		require.Equal(t, 65*time.Millisecond, cold)
		warm, _ := generateAll(t, m, prompt("bbb"))
		require.Equal(t, time.Millisecond, warm)
		m.clearCache()
		cold, _ = generateAll(t, m, prompt("ccc"))
		require.Equal(t, 65*time.Millisecond, cold)
	})
}

func TestPrefixCacheEvictsLeastRecentlyUsedBlocks(t *testing.T) {
	c := newPrefixCache(2)
	block := func(b string) []byte { return []byte(strings.Repeat(b, blockBytes)) }
	require.Zero(t, c.lookupAndStore(block("a")))
	require.Zero(t, c.lookupAndStore(block("b")))
	require.Equal(t, blockBytes, c.lookupAndStore(block("a")))
	require.Zero(t, c.lookupAndStore(block("c")), "evicts b")
	require.Equal(t, blockBytes, c.lookupAndStore(block("a")))
	require.Zero(t, c.lookupAndStore(block("b")))
	require.Zero(t, c.lookupAndStore(block("z")[:blockBytes-1]), "an incomplete block is not cached")
}

func TestExecutionLogIsBounded(t *testing.T) {
	var l executionLog
	for range maxLoggedExecutions + 1 {
		l.add(Execution{})
	}
	require.LessOrEqual(t, len(l.list()), maxLoggedExecutions)
}
