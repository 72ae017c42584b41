package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/process/processtest"
	"github.com/mastichollow/mastichollow/platform/platformtest"
	"github.com/mastichollow/mastichollow/platform/standin"
)

// The platform's bound: no more than maxLateRuns requests with a crashing part reach targets
// later than contactTime after its fifth crash.
const (
	boundingCrash = 5
	contactTime   = 3 * time.Second
	maxLateRuns   = 3
)

const (
	crashingPart      = "badc0de"
	crashingTargets   = 8
	targetRestartTime = 1500 * time.Millisecond
	soundInterval     = 8 * time.Millisecond
	crashingInterval  = 300 * time.Millisecond
	streamEvents      = 8
	// promptGroups is the number of first parts that requests share, so that they are spread over
	// the targets.
	promptGroups = 61
)

// crashingFleet is two gates as processes, engines that requests with crashingPart crash, and
// callers that send sound requests all the time.
type crashingFleet struct {
	ledger *standin.Ledger
	gates  []*gateProcess

	mu      sync.Mutex
	crashes []time.Time
	sent    int
}

func newCrashingFleet(t *testing.T, stage standin.CrashStage) *crashingFleet {
	t.Helper()
	store := platformtest.NewStore(t)
	f := &crashingFleet{ledger: standin.NewLedger()}
	require.NoError(t, store.PutTable(standin.Table{
		Version: 7, Workspaces: map[string][]string{"shop": {"k"}}, SlotsPerTarget: 32, EngineCacheTokens: map[string]int{"s": 100_000}, TokensPerSecond: 1_000_000,
		Routes: []standin.Route{{
			Name: "letters", Host: "h.example", Prefix: "/letters/", Service: "s", Kind: standin.Stream,
			Timeout: 4 * time.Second, LatencyObjective: 500 * time.Millisecond, MaxTargets: 1, PrefixAffinity: true,
		}},
	}))
	for range crashingTargets {
		f.startTarget(t, store, stage)
	}
	for i := range 2 {
		f.gates = append(f.gates, startGateProcess(t, store, standin.VM{Node: fmt.Sprint("gate-", i)}))
	}
	return f
}

// startTarget starts an engine that starts again some time after each crash.
func (f *crashingFleet) startTarget(t *testing.T, store *platformtest.Store, stage standin.CrashStage) {
	t.Helper()
	var engine *standin.Target
	var crashing sync.Mutex
	engine = standin.NewTarget(processtest.FreeAddr(t), store, f.ledger, standin.TargetConfig{
		Domain: "a", Slots: 32, StepTime: 20 * time.Millisecond, CrashingPart: crashingPart, CrashStage: stage,
		Engine: &standin.EngineConfig{QueueLength: 32, PrefillTokensPerMillisecond: 40, StepTime: 20 * time.Millisecond, CachedParts: 64},
		OnCrash: func() {
			if !crashing.TryLock() {
				return // down already
			}
			f.mu.Lock()
			f.crashes = append(f.crashes, time.Now())
			f.mu.Unlock()
			engine.Crash()
			go func() {
				defer crashing.Unlock()
				clock.Sleep(t.Context(), targetRestartTime)
				engine.Deregister()
				if t.Context().Err() == nil {
					_ = engine.Start("s") // another test process may have taken the port
				}
			}()
		},
	})
	require.NoError(t, engine.Start("s"))
	t.Cleanup(engine.Crash)
}

// promptParts returns the parts of the prompt of a request by its number.
type promptParts func(number int) string

// partsLike returns parts by a format with a number of a group of requests and one of the request
// itself.
func partsLike(format string) promptParts {
	return func(number int) string { return fmt.Sprintf(format, number%promptGroups, number) }
}

// call sends a request to a gate and reads the response.
func (f *crashingFleet) call(gate int, parts promptParts) {
	f.mu.Lock()
	f.sent++
	number := f.sent
	f.mu.Unlock()
	id := fmt.Sprintf("c%06x", number)
	req, err := standin.Call{
		ID: id, Host: "h.example", Path: fmt.Sprint("/letters/", streamEvents), Key: "k", Body: []byte(id), Timeout: 4 * time.Second,
		PromptTokens: 200, MaxOutputTokens: streamEvents, PromptParts: parts(number),
	}.Request()
	if err != nil {
		return
	}
	req.URL.Host = f.gates[gate].CallerAddr
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// callEach sends requests to the gates in turn until stop is closed.
func (f *crashingFleet) callEach(stop <-chan struct{}, wg *sync.WaitGroup, interval time.Duration, parts promptParts) {
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
				wg.Go(func() { f.call(i%len(f.gates), parts) })
			}
		}
	})
}

// lateRuns returns the number of requests with the part that reached targets later than the
// platform's bound.
func (f *crashingFleet) lateRuns(t *testing.T) int {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	require.GreaterOrEqual(t, len(f.crashes), boundingCrash-1, "too few crashes")
	if len(f.crashes) < boundingCrash {
		return 0
	}
	late := 0
	for _, runs := range f.ledger.Runs() {
		for _, run := range runs {
			if run.Crashed && run.Arrived.After(f.crashes[boundingCrash-1].Add(contactTime)) {
				late++
			}
		}
	}
	return late
}

func testCrashingPart(t *testing.T, stage standin.CrashStage, parts string) {
	t.Helper()
	testCrashingPartBeside(t, stage, soundInterval, partsLike("a%x:80,b%x:120"), partsLike(parts))
}

// testCrashingPartBeside sends requests with the crashing part beside sound ones.
func testCrashingPartBeside(t *testing.T, stage standin.CrashStage, interval time.Duration, sound, crashing promptParts) {
	t.Helper()
	t.Parallel()
	f := newCrashingFleet(t, stage)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	f.callEach(stop, &wg, interval, sound)
	time.Sleep(time.Second) // until the gates know each other
	f.callEach(stop, &wg, crashingInterval, crashing)
	time.Sleep(9 * time.Second)
	close(stop)
	wg.Wait()
	late := f.lateRuns(t)
	t.Logf("%d crashes, %d requests with the part ran late", len(f.crashes), late)
	require.LessOrEqual(t, late, maxLateRuns)
}

// partInPrompt has the crashing part between a part that sound requests share and one of its own.
const partInPrompt = "a%x:80," + crashingPart + ":20,b%x:100"

func TestPartThatCrashesAfterHeadBlocked(t *testing.T) {
	testCrashingPart(t, standin.CrashAfterHead, partInPrompt)
}

func TestPartThatCrashesBeforeHeadBlocked(t *testing.T) {
	testCrashingPart(t, standin.CrashBeforeHead, partInPrompt)
}

func TestPartThatCrashesWhileStreamingBlocked(t *testing.T) {
	testCrashingPart(t, standin.CrashWhileStreaming, partInPrompt)
}

// TestPartOfStreamThatEndsInOrderBlocked covers targets whose end closes connections in order, so
// that a stream without length or chunks looks complete.
func TestPartOfStreamThatEndsInOrderBlocked(t *testing.T) {
	testCrashingPart(t, standin.CrashAtEventEnd, partInPrompt)
}

// TestLastPartThatCrashesBlocked covers the part that a prompt ends with, as all requests of a
// session do.
func TestLastPartThatCrashesBlocked(t *testing.T) {
	testCrashingPart(t, standin.CrashAfterHead, "a%x:80,b%x:100,"+crashingPart+":20")
}
