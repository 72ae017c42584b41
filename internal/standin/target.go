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

const maxRequestBodyBytes = 64 << 20

// targetBase holds the parts that model engine and plain service share: the start marker,
// which is a random ID of each start, fencing, and the execution log.
type targetBase struct {
	faults     *FaultState
	host       *Host
	executions executionLog
	onRestart  func() // clears the state that the target holds in memory

	mu          sync.Mutex
	startMarker string
	maxFence    uint64 // highest fencing number seen
}

func newTargetBase() *targetBase {
	return &targetBase{faults: &FaultState{}, startMarker: uuid.NewString(), onRestart: func() {}}
}

// restart gives the target a new start marker and crashes its host.
func (t *targetBase) restart() {
	t.mu.Lock()
	t.startMarker = uuid.NewString()
	t.mu.Unlock()
	t.onRestart()
	t.host.Crash(t.faults.Get().restartDuration())
}

// acceptFence reports whether a call with the fencing number is accepted: a number below the
// highest one seen is not, unless the fault FenceIgnored is active.
func (t *targetBase) acceptFence(fence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fence < t.maxFence && !t.faults.Get().FenceIgnored {
		return false
	}
	t.maxFence = max(t.maxFence, fence)
	return true
}

// recordExecution adds an execution to the log. It reports false, and crashes the target, if
// the body contains the crash marker.
func (t *targetBase) recordExecution(body []byte, execution Execution) bool {
	t.executions.add(execution)
	marker := t.faults.Get().CrashMarker
	if marker == "" || !bytes.Contains(body, []byte(marker)) {
		return true
	}
	t.restart()
	return false
}

// admitCall is the first handler of each call that the target executes. It applies the delay,
// refuses calls while the target is down, and checks the fencing number.
func (t *targetBase) admitCall(ctx iris.Context) {
	t.faults.delayCall()
	if t.faults.Get().Down {
		ctx.StopWithStatus(http.StatusServiceUnavailable)
		return
	}
	if !t.acceptFence(fenceOf(ctx.Request())) {
		sendFenced(ctx)
		return
	}
	ctx.Next()
}

func sendFenced(ctx iris.Context) {
	sendProblem(ctx, problem{
		Type:   "/problems/" + engine.ProblemFenced,
		Title:  "fencing number is old",
		Status: http.StatusConflict,
	})
}

// health responds to health checks with the start marker.
func (t *targetBase) health(ctx iris.Context) {
	if t.faults.Get().Down {
		ctx.StopWithStatus(http.StatusServiceUnavailable)
		return
	}
	t.mu.Lock()
	start := t.startMarker
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

// newExecution returns the execution of r with the given name.
func newExecution(r *http.Request, name string) Execution {
	return Execution{Attempt: r.Header.Get(engine.HeaderAttempt), Fence: fenceOf(r), Name: name}
}
