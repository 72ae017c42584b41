package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastichollow/mastichollow/internal/clock"
)

// maxLoggedExecutions bounds the execution log of a target.
const maxLoggedExecutions = 1 << 17

// ModelConfig describes an emulated model engine. See docs/design/targets.md.
type ModelConfig struct {
	Slots         int           // maximum number of requests in one batch
	FirstToken    time.Duration // prefill of an empty prompt
	PrefillToken  time.Duration // prefill of each uncached prompt token
	TokenInterval time.Duration // between tokens of a request that runs alone
	BatchSlowdown float64       // relative growth of the interval for each further running request
	CacheBlocks   int           // capacity of the prefix cache in blocks of 16 tokens; 0: no cache
}

// Execution is one execution of a request at a target.
type Execution struct {
	Attempt string `json:"attempt"`
	Fence   uint64 `json:"fence"`
	Name    string `json:"name"` // order, or hash of the prompt
}

// executionLog holds the latest executions. When it is full, the older half is removed. It
// is safe for concurrent use.
type executionLog struct {
	mu         sync.Mutex
	executions []Execution
}

func (l *executionLog) add(execution Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.executions) == maxLoggedExecutions {
		l.executions = slices.Delete(l.executions, 0, maxLoggedExecutions/2)
	}
	l.executions = append(l.executions, execution)
}

// list returns a copy of the log, oldest first.
func (l *executionLog) list() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution{}, l.executions...)
}

// model emulates a model engine with continuous batching. Up to its number of slots, requests
// join the batch as they arrive; the others wait in order of arrival.
type model struct {
	config ModelConfig
	slots  chan struct{}

	mu      sync.Mutex
	cache   *prefixCache
	running int
}

func newModel(config ModelConfig) *model {
	config.Slots = max(config.Slots, 1)
	return &model{
		config: config,
		slots:  make(chan struct{}, config.Slots),
		cache:  newPrefixCache(config.CacheBlocks),
	}
}

// generate calls onStart when r has acquired a slot, and emit for each token of the response
// to r when it is generated. It returns the error of ctx or of emit.
func (m *model) generate(ctx context.Context, r chatRequest, onStart func(), emit func(string) error) error {
	if err := m.acquireSlot(ctx); err != nil {
		return err
	}
	defer m.releaseSlot()
	onStart()
	if !clock.Sleep(ctx, m.prefill(r)) {
		return ctx.Err()
	}
	prompt := xxhash.Sum64(r.Messages)
	for i := range r.outputTokens() {
		if i > 0 {
			if !clock.Sleep(ctx, m.interval()) {
				return ctx.Err()
			}
		}
		if err := emit(token(prompt, i)); err != nil {
			return err
		}
	}
	return nil
}

func (m *model) acquireSlot(ctx context.Context) error {
	select {
	case m.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running++
	return nil
}

func (m *model) releaseSlot() {
	m.mu.Lock()
	m.running--
	m.mu.Unlock()
	<-m.slots
}

// prefill returns the time to the first token of r and adds its prompt to the cache.
func (m *model) prefill(r chatRequest) time.Duration {
	uncached := r.promptTokens()
	if m.config.CacheBlocks > 0 {
		m.mu.Lock()
		uncached -= m.cache.lookupAndStore(r.Messages) / bytesPerToken
		m.mu.Unlock()
	}
	return m.config.FirstToken + time.Duration(uncached)*m.config.PrefillToken
}

// interval returns the time to the next token at the present batch size.
func (m *model) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	slowdown := 1 + m.config.BatchSlowdown*float64(m.running-1)
	return time.Duration(float64(m.config.TokenInterval) * slowdown)
}

// clearCache empties the prefix cache, as a restart of an engine does.
func (m *model) clearCache() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cache.clear()
}
