package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastichollow/mastichollow/internal/clock"
)

// maxRuns bounds the runs that a target remembers.
const maxRuns = 1 << 17

// ModelConfig describes an emulated model engine. See docs/design/targets.md.
type ModelConfig struct {
	Slots         int           // requests in one batch
	FirstToken    time.Duration // prefill of an empty prompt
	PrefillToken  time.Duration // prefill of each prompt token that is not cached
	TokenInterval time.Duration // between tokens when a request runs alone
	BatchSlowdown float64       // growth of the interval for each further running request
	CacheBlocks   int           // capacity of the prefix cache in blocks of 16 tokens, 0: none
}

// Run is one execution at a target.
type Run struct {
	Attempt string `json:"attempt"`
	Fence   uint64 `json:"fence"`
	Name    string `json:"name"` // order, or hash of the prompt
}

// runLog remembers the last executions. It is safe for concurrent use.
type runLog struct {
	mu   sync.Mutex
	runs []Run
}

func (l *runLog) add(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) == maxRuns {
		l.runs = slices.Delete(l.runs, 0, maxRuns/2)
	}
	l.runs = append(l.runs, r)
}

// list returns a copy of the remembered executions, oldest first.
func (l *runLog) list() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run{}, l.runs...)
}

// model emulates a model engine that batches continuously: it admits requests
// as they arrive, up to its slots; the others wait in order of arrival.
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

// generate calls emit for each token of the answer to r as it is produced.
// started is called once r has its slot.
func (m *model) generate(ctx context.Context, r chatRequest, started func(), emit func(string) error) error {
	if err := m.enter(ctx); err != nil {
		return err
	}
	defer m.leave()
	started()
	if !clock.Sleep(ctx, m.prefill(r)) {
		return ctx.Err()
	}
	prompt := xxhash.Sum64(r.Messages)
	for i := range r.tokens() {
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

func (m *model) enter(ctx context.Context) error {
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

func (m *model) leave() {
	m.mu.Lock()
	m.running--
	m.mu.Unlock()
	<-m.slots
}

// prefill returns the time to the first token of r and caches its prompt.
func (m *model) prefill(r chatRequest) time.Duration {
	uncached := r.promptTokens()
	if m.config.CacheBlocks > 0 {
		m.mu.Lock()
		uncached -= m.cache.use(r.Messages) / bytesPerToken
		m.mu.Unlock()
	}
	return m.config.FirstToken + time.Duration(uncached)*m.config.PrefillToken
}

// interval returns the time to the next token in the batch that runs now.
func (m *model) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	slowdown := 1 + m.config.BatchSlowdown*float64(m.running-1)
	return time.Duration(float64(m.config.TokenInterval) * slowdown)
}

// forget empties the prefix cache, as a restart does.
func (m *model) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cache.clear()
}
