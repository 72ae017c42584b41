package fairness_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mastichollow/mastichollow/internal/fairness"
	_ "github.com/mastichollow/mastichollow/internal/fixedseed"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	slotsPerAgent        = 4  // a slot produces one service unit per step
	maxCostUnits         = 30 // service units of a request
	reportPeriodSteps    = 5
	maxDelaySteps        = 3 // of a report in transit
	maxConsecutiveLosses = 2 // of reports
	// maxAgeSteps is the maximum age of the totals of another agent.
	maxAgeSteps = (maxConsecutiveLosses+1)*reportPeriodSteps + maxDelaySteps
)

// simulatedWorkspace is one workspace of a simulated fleet.
type simulatedWorkspace struct {
	weight     float64
	queueDepth int   // offers waiting at each agent
	onlyAgent  int   // index of the only agent at which offers wait, -1: all agents
	firstStep  int   // first step at which it is backlogged
	service    int   // service units received
	grantSteps []int // steps of its grants
}

// simulation is a fleet of agents with real ledgers and queues. Reports between them
// are lost, delayed and repeated at random.
type simulation struct {
	step          int
	agents        []*simulatedAgent
	workspaces    []*simulatedWorkspace
	random        func(n int) int
	minDifference map[[2]int]float64
	maxDifference map[[2]int]float64
}

type simulatedAgent struct {
	name              string
	ledger            *fairness.Ledger
	queue             *fairness.Queue
	running           []*runningJob
	reportCount       uint64
	consecutiveLosses []int // of reports, by receiver
	inbox             []pendingReport
	offerCount        int
}

type runningJob struct {
	workspace int
	remaining int
	account   *fairness.RunningRequest
}

type pendingReport struct {
	dueStep int
	update  fairness.Update
}

func newSimulation(agents int, workspaces []*simulatedWorkspace, random func(int) int) *simulation {
	s := &simulation{
		workspaces: workspaces, random: random,
		minDifference: make(map[[2]int]float64), maxDifference: make(map[[2]int]float64),
	}
	weights := make(map[workspace.RowID]float64)
	for i, simulated := range workspaces {
		weights[workspace.RowID(i)] = simulated.weight
	}
	for i := range agents {
		agent := &simulatedAgent{name: fmt.Sprint("a", i), ledger: fairness.NewLedger(), consecutiveLosses: make([]int, agents)}
		agent.queue = fairness.NewQueue(agent.ledger)
		agent.ledger.SetWeights(weights)
		s.agents = append(s.agents, agent)
	}
	return s
}

// capacity returns the service units that the fleet produces per step.
func (s *simulation) capacity() float64 { return float64(len(s.agents) * slotsPerAgent) }

// bound returns the bound of the service gap, U + C·T: U is the cost of the requests that
// the fleet runs at a time, C its capacity and T the maximum age of totals.
func (s *simulation) bound() float64 { return s.capacity()*maxCostUnits + s.capacity()*maxAgeSteps }

func (s *simulation) run(steps int) {
	for range steps {
		for index, agent := range s.agents {
			s.deliver(agent)
			s.offer(index, agent)
			s.produce(agent)
			s.grant(agent)
			if (s.step+index)%reportPeriodSteps == 0 {
				s.report(index, agent)
			}
		}
		s.recordDifferences()
		s.step++
	}
}

func (s *simulation) now() time.Time {
	return start.Add(time.Duration(s.step) * 100 * time.Millisecond)
}

// offer fills the queue of an agent up to the queue depth of each workspace.
func (s *simulation) offer(index int, agent *simulatedAgent) {
	for i, simulated := range s.workspaces {
		if s.step < simulated.firstStep || (simulated.onlyAgent >= 0 && simulated.onlyAgent != index) {
			continue
		}
		for agent.queue.LenOf(workspace.RowID(i)) < simulated.queueDepth {
			agent.offerCount++
			offer := fairness.WaitingOffer{
				Attempt:   request.AttemptID(fmt.Sprint(agent.offerCount)),
				Workspace: workspace.RowID(i), Class: request.ClassBatch,
			}
			_ = agent.queue.Push(offer, simulated.queueDepth)
		}
	}
}

func (s *simulation) produce(agent *simulatedAgent) {
	remaining := agent.running[:0]
	for _, job := range agent.running {
		job.remaining--
		job.account.Charge(1)
		s.workspaces[job.workspace].service++
		if job.remaining > 0 {
			remaining = append(remaining, job)
			continue
		}
		job.account.Finish()
	}
	agent.running = remaining
}

func (s *simulation) grant(agent *simulatedAgent) {
	for len(agent.running) < slotsPerAgent {
		offer, ok := agent.queue.Pop(nil)
		if !ok {
			return
		}
		simulated := s.workspaces[offer.Workspace]
		simulated.grantSteps = append(simulated.grantSteps, s.step)
		job := &runningJob{workspace: int(offer.Workspace), remaining: 1 + s.random(maxCostUnits), account: agent.ledger.Start(offer.Workspace, 0)}
		agent.running = append(agent.running, job)
	}
}

// report sends the totals of an agent to all other agents.
func (s *simulation) report(from int, agent *simulatedAgent) {
	agent.reportCount++
	u := fairness.Update{
		Source:   fairness.Source{Name: agent.name, Incarnation: 1},
		Sequence: agent.reportCount,
		Full:     true,
		Totals:   agent.ledger.LocalTotals(),
	}
	for i := range u.Totals {
		u.Totals[i].Queued = uint32(agent.queue.LenOf(u.Totals[i].Workspace))
	}
	for to, other := range s.agents {
		if to != from {
			s.send(agent, to, other, u)
		}
	}
}

func (s *simulation) send(agent *simulatedAgent, to int, other *simulatedAgent, u fairness.Update) {
	if s.random(3) == 0 && agent.consecutiveLosses[to] < maxConsecutiveLosses {
		agent.consecutiveLosses[to]++
		return
	}
	agent.consecutiveLosses[to] = 0
	other.inbox = append(other.inbox, pendingReport{dueStep: s.step + 1 + s.random(maxDelaySteps), update: u})
	if s.random(3) == 0 {
		other.inbox = append(other.inbox, pendingReport{dueStep: s.step + 10*reportPeriodSteps, update: u})
	}
}

func (s *simulation) deliver(agent *simulatedAgent) {
	remaining := agent.inbox[:0]
	for _, pending := range agent.inbox {
		if pending.dueStep > s.step {
			remaining = append(remaining, pending)
			continue
		}
		pending.update.At = s.now()
		agent.ledger.Apply(pending.update)
	}
	agent.inbox = remaining
	agent.ledger.Expire(s.now())
}

// recordDifferences records, for each pair of backlogged workspaces, the difference of
// their service divided by weight.
func (s *simulation) recordDifferences() {
	for i, first := range s.workspaces {
		for j, second := range s.workspaces[:i] {
			if s.step < max(first.firstStep, second.firstStep)+maxAgeSteps {
				continue
			}
			difference := float64(first.service)/first.weight - float64(second.service)/second.weight
			pair := [2]int{i, j}
			if _, known := s.minDifference[pair]; !known {
				s.minDifference[pair], s.maxDifference[pair] = difference, difference
			}
			s.minDifference[pair] = min(s.minDifference[pair], difference)
			s.maxDifference[pair] = max(s.maxDifference[pair], difference)
		}
	}
}

// maxGap returns the service gap: the widest range of a difference of any pair.
func (s *simulation) maxGap() float64 {
	widest := 0.0
	for pair, lowest := range s.minDifference {
		widest = max(widest, s.maxDifference[pair]-lowest)
	}
	return widest
}

// randomWorkspaces draws workspaces. Offers of the first wait at one agent only, and its
// fair share is at most what that agent produces.
func randomWorkspaces(t *rapid.T, agents int) []*simulatedWorkspace {
	n := rapid.IntRange(2*agents, 2*agents+6).Draw(t, "workspaces")
	workspaces := make([]*simulatedWorkspace, n)
	for i := range workspaces {
		weight := rapid.IntRange(1, 8).Draw(t, "weight")
		workspaces[i] = &simulatedWorkspace{weight: float64(weight), queueDepth: slotsPerAgent + 1, onlyAgent: -1}
	}
	workspaces[0].weight = 1
	workspaces[0].onlyAgent = rapid.IntRange(0, agents-1).Draw(t, "only")
	return workspaces
}

// randomSource returns a pseudorandom generator (xorshift) with a seed drawn from t.
func randomSource(t *rapid.T) func(int) int {
	state := rapid.Uint64().Draw(t, "seed") | 1
	return func(n int) int {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		return int(state % uint64(n))
	}
}

// TestServiceGapIsBounded checks the bound of the service gap for any weights, placement
// of offers, duration, and loss and delay of reports. The bound is independent of the
// duration.
func TestServiceGapIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.IntRange(1, 5).Draw(t, "agents")
		s := newSimulation(agents, randomWorkspaces(t, agents), randomSource(t))
		s.run(rapid.IntRange(1, 12).Draw(t, "length") * 100)
		if s.maxGap() > s.bound() {
			t.Fatalf("gap is %.0f, the bound is %.0f", s.maxGap(), s.bound())
		}
	})
}

// TestFloodingWorkspaceGetsOnlyItsShare checks the bound of the service gap when one
// workspace has 200 offers waiting per agent, and the others slotsPerAgent+1.
func TestFloodingWorkspaceGetsOnlyItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.IntRange(1, 4).Draw(t, "agents")
		workspaces := randomWorkspaces(t, agents)
		workspaces[1].queueDepth = 200
		s := newSimulation(agents, workspaces, randomSource(t))
		s.run(500)
		if s.maxGap() > s.bound() {
			t.Fatalf("gap is %.0f, the bound is %.0f", s.maxGap(), s.bound())
		}
	})
}

// TestLateWorkspaceHasNoCredit starts one workspace long after the others. From then on
// the bound of the service gap holds, and no workspace waits longer than its bound.
func TestLateWorkspaceHasNoCredit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.IntRange(1, 4).Draw(t, "agents")
		workspaces := randomWorkspaces(t, agents)
		late := workspaces[len(workspaces)-1]
		late.firstStep = rapid.IntRange(300, 700).Draw(t, "from")
		s := newSimulation(agents, workspaces, randomSource(t))
		s.run(late.firstStep + 400)
		if s.maxGap() > s.bound() {
			t.Fatalf("gap is %.0f, the bound is %.0f", s.maxGap(), s.bound())
		}
		checkWaits(t, s, agents*slotsPerAgent)
	})
}

// TestNoWorkspaceStarves checks the bound of the wait of a workspace of weight 1 next to
// others with a total weight of 1,000.
func TestNoWorkspaceStarves(t *testing.T) {
	for agents := 1; agents <= 3; agents++ {
		for large := 1; large <= 4; large++ {
			t.Run(fmt.Sprint(agents, " agents, ", large, " large"), func(t *testing.T) {
				workspaces := []*simulatedWorkspace{{weight: 1, queueDepth: slotsPerAgent + 1, onlyAgent: -1}}
				for range large {
					workspaces = append(workspaces, &simulatedWorkspace{weight: 1000 / float64(large), queueDepth: 50, onlyAgent: -1})
				}
				random := rand.New(rand.NewPCG(uint64(agents), uint64(large)))
				s := newSimulation(agents, workspaces, random.IntN)
				s.run(10_000)
				checkWaits(t, s, agents)
			})
		}
	}
}

// checkWaits checks that the longest wait of each workspace is at most
// A·c·W/(w·C) + B·c/C + c/r + T. A is maxAhead, the requests that a workspace may have in
// flight above its fair share, c the maximum cost of a request, W the total weight, w the
// weight of the workspace, C the capacity of the fleet, B the number of workspaces, r the
// units that a slot produces per step (1) and T the maximum age of totals.
func checkWaits(t fatalReporter, s *simulation, maxAhead int) {
	total := 0.0
	for _, simulated := range s.workspaces {
		total += simulated.weight
	}
	for i, simulated := range s.workspaces {
		capacity := s.capacity()
		bound := float64(maxAhead)*maxCostUnits*total/(simulated.weight*capacity) + float64(len(s.workspaces))*maxCostUnits/capacity + maxCostUnits + maxAgeSteps
		if wait := longestWait(simulated, s.step); float64(wait) > math.Ceil(bound) {
			t.Fatalf("workspace %d of weight %.0f of %.0f waited %d steps, the bound is %.0f", i, simulated.weight, total, wait, bound)
		}
	}
}

type fatalReporter interface{ Fatalf(string, ...any) }

// longestWait returns the longest time without a grant, in steps.
func longestWait(simulated *simulatedWorkspace, end int) int {
	longest, last := 0, simulated.firstStep
	for _, step := range append(simulated.grantSteps, end) {
		longest = max(longest, step-last)
		last = step
	}
	return longest
}
