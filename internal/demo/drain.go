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
	// drainLimit is the time after which a leaving target gets nothing new.
	drainLimit    = 3 * time.Second
	loadCallers   = 12
	lettersEach   = 6
	loadTokens    = 40
	pauseToDrain  = 500 * time.Millisecond
	pauseAfterEnd = time.Second
)

// drain marks one agent's VM as leaving under load and checks that no letter is
// cut and that its target gets nothing new.
func (d *Demo) drain(ctx context.Context) {
	var whole, cut atomic.Int64
	var callers sync.WaitGroup
	for caller := range loadCallers {
		callers.Go(func() { d.writeLetters(ctx, caller, &whole, &cut) })
	}
	time.Sleep(pauseToDrain)
	_, err := d.cfg.Operator.Mark(ctx, d.cfg.Drain, workspace.MarkLeaving, false)
	before, after, countErr := d.runsAfterDrain(ctx, &callers)
	callers.Wait()
	d.check("mark as leaving", "accepted", "accepted", err)
	d.check("letters cut under the drain", "0", fmt.Sprint(cut.Load()), nil)
	d.check("letters whole under the drain", fmt.Sprint(loadCallers*lettersEach), fmt.Sprint(whole.Load()), nil)
	d.check("new runs at the leaving target after 3 s", "0", fmt.Sprint(after-before), countErr)
	others, err := d.runs(ctx, d.cfg.Engines[1])
	d.check("other targets went on", "true", fmt.Sprint(len(others) > 0), err)
}

// writeLetters streams letters one after the other.
func (d *Demo) writeLetters(ctx context.Context, caller int, whole, cut *atomic.Int64) {
	for n := range lettersEach {
		router := d.cfg.Routers[(caller+n)%len(d.cfg.Routers)]
		prompt := fmt.Sprintf("Letter %d of caller %d.", n, caller)
		l := d.letters.Write(ctx, router, prompt, loadTokens)
		if r := <-l.Reply; r.Whole && r.Text == l.Want {
			whole.Add(1)
		} else {
			cut.Add(1)
		}
	}
}

// runsAfterDrain returns the runs at the leaving target once it must get
// nothing new, and once the load has ended.
func (d *Demo) runsAfterDrain(ctx context.Context, load *sync.WaitGroup) (before, after int, err error) {
	time.Sleep(drainLimit)
	first, err := d.runs(ctx, d.cfg.Engines[0])
	if err != nil {
		return 0, 0, err
	}
	load.Wait()
	time.Sleep(pauseAfterEnd)
	last, err := d.runs(ctx, d.cfg.Engines[0])
	return len(first), len(last), err
}
