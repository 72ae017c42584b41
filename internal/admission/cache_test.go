package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/prompt"
)

// Guards against targets that are believed to cache prompts they never received: their
// prompt tokens are underestimated, and they get more than they can read in time.
func TestPartsOfUnsentRequestNotCached(t *testing.T) {
	for result, uncached := range map[Result]int{
		ResultRejected: 6000, ResultUnreachable: 6000, ResultMisdirected: 6000,
		ResultDone: 1000, ResultFailed: 1000, ResultLost: 1000, ResultWithdrawn: 1000,
	} {
		c, all := newTestController(), newEngines(1)
		c.Admit(0, letterRequest("w", 7, 1), all).Lease.End(0, result, all)
		require.Equal(t, uncached, c.Admit(0, letterRequest("w", 7, 2), all).UncachedTokens, result.String())
	}
}

// Guards against an unsent request that removes parts which another request had read.
func TestUnsentRequestKeepsPartsOfOthers(t *testing.T) {
	c, all := newTestController(), newEngines(1)
	unsent := c.Admit(0, letterRequest("w", 7, 1), all)
	sent := c.Admit(time.Millisecond, letterRequest("w", 7, 2), all)
	unsent.Lease.End(2*time.Millisecond, ResultRejected, all)
	require.Equal(t, 1000, c.Admit(3*time.Millisecond, letterRequest("w", 7, 3), all).UncachedTokens)
	sent.Lease.End(4*time.Millisecond, ResultDone, all)
}

// Guards against a request whose parts were evicted and inserted again since: its failure
// says nothing of the later insertion.
func TestUnsentRequestKeepsPartsInsertedLater(t *testing.T) {
	cache := newPromptCache(100)
	parts := func(hash uint64, tokens int) []prompt.Part {
		return []prompt.Part{{Hash: hash, Tokens: tokens}, {Tokens: 1}}
	}
	cache.recordUse(0, parts(1, 60))
	cache.recordUse(1, parts(2, 60)) // evicts 1
	cache.recordUse(2, parts(1, 60))
	cache.revertUse(0, parts(1, 60))
	require.Equal(t, 1, cache.uncachedTokens(parts(1, 60)))
	cache.revertUse(2, parts(1, 60))
	require.Equal(t, 61, cache.uncachedTokens(parts(1, 60)))
	require.Zero(t, cache.used)
}
