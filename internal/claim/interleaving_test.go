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

// The checker runs the real claimer in two simulated processes on one table. It enumerates
// every interleaving of their calls and every combination of faults, up to maxFaults per
// run. A suspended process is one that the scheduler does not resume for some time.

const maxFaults = 2 // per run

// choiceSequence enumerates, depth first, the sequences of choices that start with a given
// one.
type choiceSequence struct {
	choices  []int
	counts   []int
	position int
}

// firstChoices is the number of first steps of a run: either process continues or crashes.
const firstChoices = 4

func newChoiceSequence(first int) *choiceSequence {
	return &choiceSequence{choices: []int{first}, counts: []int{firstChoices}}
}

// choose returns the next choice out of n, 0 to n-1.
func (s *choiceSequence) choose(n int) int {
	if s.position == len(s.choices) {
		s.choices = append(s.choices, 0)
		s.counts = append(s.counts, n)
	}
	s.position++
	return s.choices[s.position-1]
}

// next advances to the next sequence and reports whether there is one.
func (s *choiceSequence) next() bool {
	s.position = 0
	for i := len(s.choices) - 1; i > 0; i-- {
		if s.choices[i]+1 < s.counts[i] {
			s.choices[i]++
			s.choices, s.counts = s.choices[:i+1], s.counts[:i+1]
			return true
		}
	}
	return false
}

// simulation is one run: the table and the processes, each blocked before a call.
type simulation struct {
	sequence  *choiceSequence
	table     *standin.Table
	processes []*process
	delayed   [][]platform.Write // writes that may take effect at any time
	faults    int
	crashes   int
	sends     int
}

// process is one attempt, run by its own agent.
type process struct {
	simulation *simulation
	attempt    request.AttemptID
	resume     chan bool // false: crash
	yielded    chan bool // true: before a call; false: ended
	done       bool
	result     string
}

type crash struct{}

// yield blocks until the scheduler resumes or crashes this process.
func (p *process) yield() {
	p.yielded <- true
	if !<-p.resume {
		panic(crash{})
	}
}

// chooseFault returns the fault of a call, 1 to n-1, or 0 for none.
func (p *process) chooseFault(n int) int {
	if p.simulation.faults == maxFaults {
		return 0
	}
	f := p.simulation.sequence.choose(n)
	if f > 0 {
		p.simulation.faults++
	}
	return f
}

// Commit implements platform.TableService.
func (p *process) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
	p.yield()
	switch p.chooseFault(5) {
	case 1:
		return 0, errors.Wrap(platform.ErrUnavailable, "table service is unavailable")
	case 2:
		_, _ = p.simulation.table.Commit(ctx, writes...)
		return 0, errors.Wrap(platform.ErrUncertain, "response lost")
	case 3:
		return 0, errors.Wrap(platform.ErrUncertain, "request lost")
	case 4:
		p.simulation.delayed = append(p.simulation.delayed, slices.Clone(writes))
		return 0, errors.Wrap(platform.ErrUncertain, "write delayed")
	default:
		return p.simulation.table.Commit(ctx, writes...)
	}
}

// Get implements platform.TableService.
func (p *process) Get(ctx context.Context, key string) (platform.Item, error) {
	p.yield()
	if p.chooseFault(2) == 1 {
		return platform.Item{}, errors.Wrap(platform.ErrUnavailable, "table service is unavailable")
	}
	return p.simulation.table.Get(ctx, key)
}

// List implements platform.TableService.
func (p *process) List(ctx context.Context, prefix string) ([]platform.Item, error) {
	return p.simulation.table.List(ctx, prefix)
}

// run claims the request, sends it and stores its answer, as an agent does.
func (p *process) run(newClaimer func(platform.TableService) *TableClaimer) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(crash); !ok {
				panic(r)
			}
			p.result = "crashed"
		}
		p.yielded <- false
	}()
	ctx := context.Background()
	c := newClaimer(p)
	answer, err := c.Begin(ctx, testKey, p.attempt, testFingerprint)
	p.result = beginResult(answer, err)
	if p.result == "made" {
		p.yield()
		p.simulation.sends++
		p.yield()
		_ = c.Finish(ctx, testKey, p.attempt, &Answer{Status: 201})
	}
	for len(c.pending) > 0 {
		s := <-c.pending
		if err := c.settle(ctx, s); isRetryable(err) {
			c.pending <- s
		}
	}
}

// start starts a process and waits until it is before its first call.
func (s *simulation) start(p *process, newClaimer func(platform.TableService) *TableClaimer) {
	p.simulation, p.resume, p.yielded = s, make(chan bool), make(chan bool)
	go p.run(newClaimer)
	p.done = !<-p.yielded
}

// schedule runs the processes to their ends in the order of the choice sequence.
func (s *simulation) schedule() {
	for {
		running := slices.DeleteFunc(slices.Clone(s.processes), func(p *process) bool { return p.done })
		if len(running) == 0 {
			break
		}
		crashable := 0
		if s.faults < maxFaults {
			crashable = len(running)
		}
		choice := s.sequence.choose(len(running) + crashable + len(s.delayed))
		switch {
		case choice < len(running):
			s.resume(running[choice], true)
		case choice < len(running)+crashable:
			s.faults++
			s.crashes++
			s.resume(running[choice-len(running)], false)
		default:
			s.applyDelayed(choice - len(running) - crashable)
		}
	}
	for len(s.delayed) > 0 {
		s.applyDelayed(0)
	}
}

func (s *simulation) resume(p *process, live bool) {
	p.resume <- live
	p.done = !<-p.yielded
}

func (s *simulation) applyDelayed(i int) {
	_, _ = s.table.Commit(context.Background(), s.delayed[i]...)
	s.delayed = slices.Delete(s.delayed, i, i+1)
}

var (
	testKey         = Key("key")
	testFingerprint = []byte("content")
)

// checkAll runs all choice sequences that start with first. It returns the number of runs
// and the first violation, "" if there is none.
func checkAll(first int, newClaimer func(platform.TableService) *TableClaimer) (runs int, violation string) {
	sequence := newChoiceSequence(first)
	for more := true; more; more = sequence.next() {
		runs++
		if v := checkRun(sequence, newClaimer); v != "" {
			return runs, fmt.Sprintf("%s; choices %v", v, sequence.choices)
		}
	}
	return runs, ""
}

func checkRun(sequence *choiceSequence, newClaimer func(platform.TableService) *TableClaimer) string {
	s := &simulation{sequence: sequence, table: standin.NewTable()}
	for _, attempt := range []request.AttemptID{"a", "b"} {
		p := &process{attempt: attempt}
		s.processes = append(s.processes, p)
		s.start(p, newClaimer)
	}
	s.schedule()
	if s.sends > 1 {
		return fmt.Sprintf("request was sent %d times", s.sends)
	}
	faultless := s.faults == 0
	if faultless && s.sends != 1 {
		return "request was not sent although nothing failed"
	}
	answer, err := NewTableClaimer(TableConfig{Table: s.table}).Begin(context.Background(), testKey, "c", testFingerprint)
	finalResult := beginResult(answer, err)
	if finalResult == "made" && s.sends > 0 {
		return "request that had been sent was claimed again"
	}
	if finalResult != "made" && s.sends == 0 && s.crashes == 0 {
		return "key is blocked although the request did not run and no process crashed"
	}
	return ""
}

func newClaimerOver(t platform.TableService) *TableClaimer {
	return NewTableClaimer(TableConfig{Table: t})
}

func TestClaimAtMostOneSendInEveryInterleaving(t *testing.T) {
	var total atomic.Int64
	t.Run("first choice", func(t *testing.T) {
		for first := range firstChoices {
			t.Run(strconv.Itoa(first), func(t *testing.T) {
				t.Parallel()
				runs, violation := checkAll(first, newClaimerOver)
				require.Empty(t, violation)
				total.Add(int64(runs))
			})
		}
	})
	require.Greater(t, total.Load(), int64(10_000), "too few interleavings were checked")
}

// uncertainAsSuccess is a table service that reports uncertain writes as successful, like an
// agent that does not read the claim back after a lost response.
type uncertainAsSuccess struct{ platform.TableService }

func (t uncertainAsSuccess) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
	v, err := t.TableService.Commit(ctx, writes...)
	if errors.Is(err, platform.ErrUncertain) {
		err = nil
	}
	return v, err
}

// overwritingTable is a table service whose writes replace any existing row, like an agent
// that takes over a claim because it considers the owner crashed.
type overwritingTable struct{ platform.TableService }

func (t overwritingTable) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
	item, err := t.Get(ctx, writes[0].Key)
	if err == nil {
		writes[0].If = item.Version
	}
	return t.TableService.Commit(ctx, writes...)
}

func TestInterleavingCheckerDetectsBrokenClaimers(t *testing.T) {
	broken := map[string]func(platform.TableService) *TableClaimer{
		"uncertain write treated as success": func(t platform.TableService) *TableClaimer { return newClaimerOver(uncertainAsSuccess{t}) },
		"claim taken over":                   func(t platform.TableService) *TableClaimer { return newClaimerOver(overwritingTable{t}) },
	}
	for name, newClaimer := range broken {
		t.Run(name, func(t *testing.T) {
			_, violation := checkAll(0, newClaimer)
			require.Contains(t, violation, "sent")
		})
	}
}
