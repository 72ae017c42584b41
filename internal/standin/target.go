package standin

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"github.com/mastichollow/mastichollow/internal/engine"
)

const maxRequestBody = 64 << 20 // bytes

// targetState is what model engine and plain service have in common: a start
// marker, fencing and the log of runs.
type targetState struct {
	faults    *FaultBox
	host      *Host
	runs      runLog
	onRestart func() // forgets what the target kept in memory

	mu    sync.Mutex
	start string
	fence uint64 // highest fencing number seen
}

func newTargetState() *targetState {
	return &targetState{faults: &FaultBox{}, start: uuid.NewString(), onRestart: func() {}}
}

// restart gives the target a new start marker and crashes its host.
func (t *targetState) restart() {
	t.mu.Lock()
	t.start = uuid.NewString()
	t.mu.Unlock()
	t.onRestart()
	t.host.Crash(t.faults.Get().restart())
}

// admit refuses calls with an old fencing number, unless numbers are ignored.
func (t *targetState) admit(fence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fence < t.fence && !t.faults.Get().FenceIgnored {
		return false
	}
	t.fence = max(t.fence, fence)
	return true
}

// run records an execution. It reports false, and crashes the target, if the
// request is marked.
func (t *targetState) run(body []byte, r Run) bool {
	t.runs.add(r)
	marker := t.faults.Get().CrashMarker
	if marker == "" || !bytes.Contains(body, []byte(marker)) {
		return true
	}
	t.restart()
	return false
}

// gate is the first handler of each call that the target executes.
func (t *targetState) gate(ctx iris.Context) {
	t.faults.delay()
	if t.faults.Get().Down {
		ctx.StopWithStatus(http.StatusServiceUnavailable)
		return
	}
	if !t.admit(fenceOf(ctx.Request())) {
		refuseFence(ctx)
		return
	}
	ctx.Next()
}

func refuseFence(ctx iris.Context) {
	sendProblem(ctx, problem{
		Type:   "/problems/" + engine.ProblemFenced,
		Title:  "fencing number is old",
		Status: http.StatusConflict,
	})
}

// health answers probes with the start marker.
func (t *targetState) health(ctx iris.Context) {
	if t.faults.Get().Down {
		ctx.StopWithStatus(http.StatusServiceUnavailable)
		return
	}
	t.mu.Lock()
	start := t.start
	t.mu.Unlock()
	_ = ctx.JSON(iris.Map{"status": "ok", "start": start})
}

func fenceOf(r *http.Request) uint64 {
	fence, err := strconv.ParseUint(r.Header.Get(engine.HeaderFence), 10, 64)
	if err != nil {
		return 0
	}
	return fence
}

// runOf describes the execution of r under name.
func runOf(r *http.Request, name string) Run {
	return Run{Attempt: r.Header.Get(engine.HeaderAttempt), Fence: fenceOf(r), Name: name}
}
