package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/process/processtest"
	"github.com/mastichollow/mastichollow/platform/platformtest"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	longPromptParts  = 1000
	longStreams      = 48
	longStreamEvents = 150
	orderTimeout     = 1200 * time.Millisecond
	// maxOverrun is the time after a route's time limit within which the platform expects an answer.
	maxOverrun    = 500 * time.Millisecond
	orderInterval = 25 * time.Millisecond
)

// longPrompt returns the parts of the n-th prompt, which share none with others. Their hashes are above
// that of crashingPart.
func longPrompt(n, count int) []string {
	parts := make([]string, count)
	for i := range parts {
		parts[i] = fmt.Sprintf("%x:1", 1<<28+n<<12+i)
	}
	return parts
}

// Guards against a gate that stands still, for all its services, when an engine crashes that runs
// prompts of very many parts.
func TestOrdersAnsweredWhileEngineOfLongPromptsCrashes(t *testing.T) {
	t.Parallel()
	store := platformtest.NewStore(t)
	require.NoError(t, store.PutTable(standin.Table{
		Version: 7, Workspaces: map[string][]string{"shop": {"k"}}, SlotsPerTarget: 64, EngineCacheTokens: map[string]int{"s": 500_000}, TokensPerSecond: 10_000_000,
		Routes: []standin.Route{
			{Name: "letters", Host: "h.example", Prefix: "/letters/", Service: "s", Kind: standin.Stream, Timeout: 9 * time.Second, LatencyObjective: 2 * time.Second, MaxTargets: 1, PrefixAffinity: true},
			{Name: "orders", Host: "h.example", Prefix: "/orders/", Service: "p", Kind: standin.AtMostOnce, Timeout: orderTimeout, MaxTargets: 1},
		},
	}))
	ledger := standin.NewLedger()
	start := func(service string, config standin.TargetConfig) *standin.Target {
		config.Domain, config.Slots, config.StepTime = "a", 64, 20*time.Millisecond
		target := standin.NewTarget(processtest.FreeAddr(t), store, ledger, config)
		require.NoError(t, target.Start(service))
		t.Cleanup(target.Crash)
		return target
	}
	engine := standin.TargetConfig{Engine: &standin.EngineConfig{QueueLength: 64, PrefillTokensPerMillisecond: 1000, StepTime: 20 * time.Millisecond, CachedParts: 8}}
	engines := []*standin.Target{start("s", engine), start("s", engine)}
	start("p", standin.TargetConfig{})
	gate := startGateProcess(t, store, standin.VM{Node: "gate-0"})

	var wg sync.WaitGroup
	var began atomic.Int64
	for n := range longStreams {
		wg.Go(func() {
			req, err := standin.Call{
				ID: fmt.Sprintf("a%06x", n), Host: "h.example", Path: fmt.Sprint("/letters/", longStreamEvents), Key: "k", Body: []byte("letter"), Timeout: 9 * time.Second,
				PromptTokens: longPromptParts, MaxOutputTokens: longStreamEvents, PromptParts: strings.Join(longPrompt(n, longPromptParts), ","),
			}.Request()
			if err != nil {
				return
			}
			req.URL.Host = gate.CallerAddr
			resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode == http.StatusOK {
				began.Add(1)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		})
	}
	processtest.Eventually(t, "most streams have begun", func() bool { return began.Load() > longStreams/2 })

	var orders sync.WaitGroup
	var answered, late atomic.Int64
	for n := range 100 {
		if n == 10 {
			engines[0].Crash()
		}
		orders.Go(func() {
			started := time.Now()
			_, served := callGate(t, &http.Transport{DisableKeepAlives: true}, gate.CallerAddr, "/orders/x", fmt.Sprintf("b%06x", n), 3*time.Second)
			if served {
				answered.Add(1)
			}
			if time.Since(started) > orderTimeout+maxOverrun {
				late.Add(1)
			}
		})
		time.Sleep(orderInterval)
	}
	orders.Wait()
	engines[1].Crash()
	wg.Wait()
	t.Logf("%d streams had begun, %d orders served, %d late", began.Load(), answered.Load(), late.Load())
	require.Zero(t, late.Load())
	require.EqualValues(t, 100, answered.Load())
}

// Guards against a part that crashes engines again and again, since the evidence against it is evicted
// by that against the other parts of long prompts, which sound requests share.
func TestCrashingPartOfLongPromptsBlocked(t *testing.T) {
	const (
		documents = 100
		partCount = 1300
		interval  = 40 * time.Millisecond
	)
	for name, position := range map[string]int{"first": 0, "middle": partCount / 2, "last": partCount} {
		t.Run(name, func(t *testing.T) {
			prompt := func(number int, further ...string) string {
				parts := slices.Insert(longPrompt(number%documents, partCount), position, further...)
				return strings.Join(append(parts, fmt.Sprintf("f%08x:1", number)), ",")
			}
			sound := func(number int) string { return prompt(number) }
			crashing := func(number int) string { return prompt(number, crashingPart+":1") }
			testCrashingPartBeside(t, standin.CrashAfterHead, interval, sound, crashing)
		})
	}
}
