package claim

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/standin"
)

// The checker runs the real claimer in a few processes over one table and
// tries every order of their calls and every choice of faults, up to a number
// of faults a run. A frozen process is one that is not picked for a while.

const maxFaults = 2

// walk enumerates the sequences of choices that start with a given one, depth
// first.
type walk struct {
	path  []int
	sizes []int
	pos   int
}

// firstChoices is the number of ways to begin a run: either process goes on or
// crashes.
const firstChoices = 4

func newWalk(first int) *walk {
	return &walk{path: []int{first}, sizes: []int{firstChoices}}
}

// choose returns the next choice out of n.
func (w *walk) choose(n int) int {
	if w.pos == len(w.path) {
		w.path = append(w.path, 0)
		w.sizes = append(w.sizes, n)
	}
	w.pos++
	return w.path[w.pos-1]
}

// next moves on to the next sequence and reports whether there is one.
func (w *walk) next() bool {
	w.pos = 0
	for i := len(w.path) - 1; i > 0; i-- {
		if w.path[i]+1 < w.sizes[i] {
			w.path[i]++
			w.path, w.sizes = w.path[:i+1], w.sizes[:i+1]
			return true
		}
	}
	return false
}

// world is one run: processes that wait at a call, and the table.
type world struct {
	walk      *walk
	table     *standin.Table
	procs     []*proc
	late      [][]platform.Write // writes that may take effect at any time
	faults    int
	crashes   int
	handovers int
}

// proc is one attempt, on an agent of its own.
type proc struct {
	world   *world
	attempt request.AttemptID
	resume  chan bool // false: crash
	waiting chan bool // true: at a call; false: ended
	done    bool
	result  string
}

type crash struct{}

// step lets the scheduler run others first, or crash this process.
func (p *proc) step() {
	p.waiting <- true
	if !<-p.resume {
		panic(crash{})
	}
}

// fault returns the next fault out of n kinds, 0 for none.
func (p *proc) fault(n int) int {
	if p.world.faults == maxFaults {
		return 0
	}
	f := p.world.walk.choose(n)
	if f > 0 {
		p.world.faults++
	}
	return f
}

// Commit implements platform.TableService.
func (p *proc) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
	p.step()
	switch p.fault(5) {
	case 1:
		return 0, errors.Wrap(platform.ErrUnavailable, "down")
	case 2:
		_, _ = p.world.table.Commit(ctx, writes...)
		return 0, errors.Wrap(platform.ErrUncertain, "answer lost")
	case 3:
		return 0, errors.Wrap(platform.ErrUncertain, "request lost")
	case 4:
		p.world.late = append(p.world.late, slices.Clone(writes))
		return 0, errors.Wrap(platform.ErrUncertain, "late")
	default:
		return p.world.table.Commit(ctx, writes...)
	}
}

// Get implements platform.TableService.
func (p *proc) Get(ctx context.Context, key string) (platform.Item, error) {
	p.step()
	if p.fault(2) == 1 {
		return platform.Item{}, errors.Wrap(platform.ErrUnavailable, "down")
	}
	return p.world.table.Get(ctx, key)
}

// List implements platform.TableService.
func (p *proc) List(ctx context.Context, prefix string) ([]platform.Item, error) {
	return p.world.table.List(ctx, prefix)
}

// run claims, hands over and finishes, as an agent does.
func (p *proc) run(newClaimer func(platform.TableService) *TableClaimer) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(crash); !ok {
				panic(r)
			}
			p.result = "crashed"
		}
		p.waiting <- false
	}()
	ctx := context.Background()
	c := newClaimer(p)
	answer, err := c.Begin(ctx, testKey, p.attempt, testPrint)
	p.result = result(answer, err)
	if p.result == "made" {
		p.step()
		p.world.handovers++
		p.step()
		_ = c.Finish(ctx, testKey, p.attempt, &Answer{Status: 201})
	}
	for len(c.later) > 0 {
		d := <-c.later
		if err := c.settle(ctx, d); isTransient(err) {
			c.later <- d
		}
	}
}

// start starts a process and waits until it is at its first call.
func (w *world) start(p *proc, newClaimer func(platform.TableService) *TableClaimer) {
	p.world, p.resume, p.waiting = w, make(chan bool), make(chan bool)
	go p.run(newClaimer)
	p.done = !<-p.waiting
}

// schedule runs the processes to their ends in the order that the walk gives.
func (w *world) schedule() {
	for {
		alive := slices.DeleteFunc(slices.Clone(w.procs), func(p *proc) bool { return p.done })
		if len(alive) == 0 {
			break
		}
		crashable := 0
		if w.faults < maxFaults {
			crashable = len(alive)
		}
		choice := w.walk.choose(len(alive) + crashable + len(w.late))
		switch {
		case choice < len(alive):
			w.resume(alive[choice], true)
		case choice < len(alive)+crashable:
			w.faults++
			w.crashes++
			w.resume(alive[choice-len(alive)], false)
		default:
			w.applyLate(choice - len(alive) - crashable)
		}
	}
	for len(w.late) > 0 {
		w.applyLate(0)
	}
}

func (w *world) resume(p *proc, live bool) {
	p.resume <- live
	p.done = !<-p.waiting
}

func (w *world) applyLate(i int) {
	_, _ = w.table.Commit(context.Background(), w.late[i]...)
	w.late = slices.Delete(w.late, i, i+1)
}

var (
	testKey   = Key("key")
	testPrint = []byte("content")
)

// check runs all sequences that start with first and returns the number of
// runs, or the first violation.
func check(first int, newClaimer func(platform.TableService) *TableClaimer) (runs int, violation string) {
	w := newWalk(first)
	for more := true; more; more = w.next() {
		runs++
		if v := checkRun(w, newClaimer); v != "" {
			return runs, fmt.Sprintf("%s; choices %v", v, w.path)
		}
	}
	return runs, ""
}

func checkRun(w *walk, newClaimer func(platform.TableService) *TableClaimer) string {
	run := &world{walk: w, table: standin.NewTable()}
	for _, attempt := range []request.AttemptID{"a", "b"} {
		p := &proc{attempt: attempt}
		run.procs = append(run.procs, p)
		run.start(p, newClaimer)
	}
	run.schedule()
	if run.handovers > 1 {
		return fmt.Sprintf("request was handed over %d times", run.handovers)
	}
	clean := run.faults == 0
	if clean && run.handovers != 1 {
		return "request was not handed over although nothing failed"
	}
	answer, err := NewTableClaimer(TableConfig{Table: run.table}).Begin(context.Background(), testKey, "c", testPrint)
	last := result(answer, err)
	if last == "made" && run.handovers > 0 {
		return "request that had been handed over was claimed again"
	}
	if last != "made" && run.handovers == 0 && run.crashes == 0 {
		return "key is blocked although nothing ran and nothing crashed"
	}
	return ""
}

func claimerOf(t platform.TableService) *TableClaimer {
	return NewTableClaimer(TableConfig{Table: t})
}

func TestClaimIsHandedOverAtMostOnceInEveryInterleaving(t *testing.T) {
	var total atomic.Int64
	t.Run("first choice", func(t *testing.T) {
		for first := range firstChoices {
			t.Run(strconv.Itoa(first), func(t *testing.T) {
				t.Parallel()
				runs, violation := check(first, claimerOf)
				require.Empty(t, violation)
				total.Add(int64(runs))
			})
		}
	})
	require.Greater(t, total.Load(), int64(10_000), "the walk covers too little")
}

// blind is a table service that reports conflicts and uncertain writes as
// success, like an agent that trusts its write without reading it back.
type blind struct{ platform.TableService }

func (b blind) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
	v, err := b.TableService.Commit(ctx, writes...)
	if errors.Is(err, platform.ErrUncertain) {
		err = nil
	}
	return v, err
}

// seizing is a table service that lets a write replace whatever is there, like
// an agent that takes over a claim whose holder it believes dead.
type seizing struct{ platform.TableService }

func (s seizing) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
	item, err := s.Get(ctx, writes[0].Key)
	if err == nil {
		writes[0].If = item.Version
	}
	return s.TableService.Commit(ctx, writes...)
}

func TestCheckerFindsBrokenClaims(t *testing.T) {
	broken := map[string]func(platform.TableService) *TableClaimer{
		"uncertain write taken as a claim": func(t platform.TableService) *TableClaimer { return claimerOf(blind{t}) },
		"claim taken over":                 func(t platform.TableService) *TableClaimer { return claimerOf(seizing{t}) },
	}
	for name, newClaimer := range broken {
		t.Run(name, func(t *testing.T) {
			_, violation := check(0, newClaimer)
			require.Contains(t, violation, "handed over")
		})
	}
}
