package demo

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	// maxDrainDelay is the time after which a draining target gets no new work.
	maxDrainDelay        = 3 * time.Second
	loadCallers          = 12
	completionsPerCaller = 6
	loadTokens           = 40
	delayBeforeDrain     = 500 * time.Millisecond
	delayAfterLoad       = time.Second
)

// checkDrain drains the VM of one agent under load and checks that no stream is
// truncated and that its target gets no new work.
func (d *Demo) checkDrain(ctx context.Context) {
	var complete, truncated atomic.Int64
	var callers sync.WaitGroup
	for caller := range loadCallers {
		callers.Go(func() { d.streamCompletions(ctx, caller, &complete, &truncated) })
	}
	time.Sleep(delayBeforeDrain)
	_, err := d.cfg.Operator.Mark(ctx, d.cfg.DrainVM, workspace.MarkLeaving, false)
	before, after, countErr := d.runsAfterDrain(ctx, &callers)
	callers.Wait()
	d.addCheck("mark as leaving", "accepted", "accepted", err)
	d.addCheck("letters cut under the drain", "0", fmt.Sprint(truncated.Load()), nil)
	d.addCheck("letters whole under the drain", fmt.Sprint(loadCallers*completionsPerCaller), fmt.Sprint(complete.Load()), nil)
	d.addCheck("new runs at the leaving target after 3 s", "0", fmt.Sprint(after-before), countErr)
	remaining, err := d.runs(ctx, d.cfg.EngineAdminURLs[1])
	d.addCheck("other targets went on", "true", fmt.Sprint(len(remaining) > 0), err)
}

// streamCompletions requests streamed completions one at a time.
func (d *Demo) streamCompletions(ctx context.Context, caller int, complete, truncated *atomic.Int64) {
	for n := range completionsPerCaller {
		router := d.cfg.RouterURLs[(caller+n)%len(d.cfg.RouterURLs)]
		prompt := fmt.Sprintf("Letter %d of caller %d.", n, caller)
		stream := d.modelCaller.StartStream(ctx, router, prompt, loadTokens)
		if r := <-stream.Response; r.Complete && r.Text == stream.ExpectedText {
			complete.Add(1)
		} else {
			truncated.Add(1)
		}
	}
}

// runsAfterDrain returns the number of runs at the draining target at the end of
// maxDrainDelay, and after the load has ended.
func (d *Demo) runsAfterDrain(ctx context.Context, load *sync.WaitGroup) (before, after int, err error) {
	time.Sleep(maxDrainDelay)
	first, err := d.runs(ctx, d.cfg.EngineAdminURLs[0])
	if err != nil {
		return 0, 0, err
	}
	load.Wait()
	time.Sleep(delayAfterLoad)
	last, err := d.runs(ctx, d.cfg.EngineAdminURLs[0])
	return len(first), len(last), err
}
