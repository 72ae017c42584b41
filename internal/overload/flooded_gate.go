package overload

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/agenda"
	"github.com/mastichollow/mastichollow/internal/intake"
	"github.com/mastichollow/mastichollow/internal/target"
)

// Processor time of a gate on a whole core, about as measured by the benchmarks of
// package gate (refusal 35 us, served request 160 us with its target).
const (
	headCost    = 20 * time.Microsecond
	refusalCost = 15 * time.Microsecond
	prepareCost = 90 * time.Microsecond
	sendCost    = 30 * time.Microsecond
	writeCost   = 60 * time.Microsecond
	dutyCost    = 100 * time.Microsecond
)

const (
	gateProbeInterval = 50 * time.Millisecond
	gateDutyInterval  = 200 * time.Millisecond
	gateServiceTime   = 300 * time.Millisecond
	// gateSampleWeight and gateMaxSample are those of the scheduling delay of a gate.
	gateSampleWeight = 0.1
	gateMaxSample    = 500 * time.Millisecond
	// gateRequestTimeout is how long callers wait for a response.
	gateRequestTimeout = 3 * time.Second
)

// FloodedGate describes a run of one gate's processor: a workspace floods the gate, others
// send as usual, and a target drains in the middle of the flood.
type FloodedGate struct {
	// Share is the gate's part of a core.
	Share float64
	// Flood and Small are the requests per second of the flooding workspace between
	// FloodStart and FloodEnd, and of each of the SmallWorkspaces all the time.
	Flood, Small         float64
	SmallWorkspaces      int
	FloodStart, FloodEnd time.Duration
	// DrainAt is when the store lists the target as draining. The gate learns of it when its
	// watcher runs, unless it is partitioned.
	DrainAt     time.Duration
	Partitioned bool
	Length      time.Duration
	// Limits configures the gate's intake; nil: it accepts every request.
	Limits *intake.Config
	// NoSendCheck omits the check of the target right before the send.
	NoSendCheck bool
}

// FloodedGateResult is the outcome of a run of FloodedGate.
type FloodedGateResult struct {
	// MaxInFlight and MaxRunQueue are the most requests in flight and goroutines ready to run.
	MaxInFlight, MaxRunQueue int
	// MaxDutyDelay is the longest time that a duty waited for the processor.
	MaxDutyDelay time.Duration
	// LateSends is the number of requests sent to the target after the gate knew that it
	// drains, LastSend the time from then, or from DrainAt if it never knew, to the last one.
	LateSends int
	LastSend  time.Duration
	// Small and SmallServed are the requests of the small workspaces, and those answered
	// within gateRequestTimeout.
	Small, SmallServed int
	// Unanswered is the number of requests that got neither a response nor a refusal in time.
	Unanswered, Refused int
}

// gateModel is the state of a run.
type gateModel struct {
	config    *FloodedGate
	events    agenda.Scheduler
	control   *intake.Control
	directory *target.Directory
	runQueue  []gateTask
	busy      bool
	waiting   []*gateRequest
	mean      time.Duration
	probeSent time.Duration
	inFlight  int
	knownAt   time.Duration // when the gate knew of the drain; 0: it does not
	result    FloodedGateResult
}

type gateTask struct {
	cost time.Duration
	run  func()
}

type gateRequest struct {
	workspace string
	small     bool
	arrived   time.Duration
	turn      *intake.Turn
	target    target.Instance
}

// Simulate runs the load in virtual time.
func (f *FloodedGate) Simulate() FloodedGateResult {
	m := &gateModel{config: f, directory: target.NewDirectory(nil), probeSent: -1}
	if f.Limits != nil {
		m.control = intake.New(*f.Limits)
	}
	m.directory.Replace([]target.Instance{{ID: "a", Addr: "a", Service: "s"}, {ID: "b", Addr: "b", Service: "s"}}, 0, false)
	for i := range f.SmallWorkspaces {
		workspace, period := string(rune('A'+i)), time.Duration(float64(time.Second)/f.Small)
		m.events.Every(period*time.Duration(i)/time.Duration(f.SmallWorkspaces), period, func() { m.arrive(workspace, true) })
	}
	m.events.Every(0, time.Duration(float64(time.Second)/f.Flood), func() {
		if now := m.events.Now(); now >= f.FloodStart && now < f.FloodEnd {
			m.arrive("flood", false)
		}
	})
	m.events.Every(0, gateProbeInterval, m.probe)
	m.events.Every(0, gateDutyInterval, m.startDuty)
	m.events.Run(f.Length)
	return m.result
}

// ready adds a goroutine to the run queue, which the processor works off in order.
func (m *gateModel) ready(cost time.Duration, run func()) {
	m.runQueue = append(m.runQueue, gateTask{cost, run})
	m.result.MaxRunQueue = max(m.result.MaxRunQueue, len(m.runQueue))
	if !m.busy {
		m.next()
	}
}

func (m *gateModel) next() {
	if len(m.runQueue) == 0 {
		m.busy = false
		return
	}
	m.busy = true
	task := m.runQueue[0]
	m.runQueue = m.runQueue[1:]
	m.events.After(time.Duration(float64(task.cost)/m.config.Share), func() {
		task.run()
		m.next()
	})
}

func (m *gateModel) probe() {
	now := m.events.Now()
	wait := time.Duration(0)
	if m.control != nil {
		m.control.Tick(now, m.mean)
		m.grantWaiting()
		wait = m.control.OldestWait(now)
	}
	if m.probeSent >= 0 {
		m.addSample(now - m.probeSent + wait)
		return
	}
	m.probeSent = now
	m.ready(0, func() {
		m.addSample(m.events.Now() - m.probeSent + wait)
		m.probeSent = -1
	})
}

func (m *gateModel) addSample(sample time.Duration) {
	m.mean += time.Duration(gateSampleWeight * float64(min(sample, gateMaxSample)-m.mean))
}

// startDuty makes the watcher ready to run; it applies the list of targets.
func (m *gateModel) startDuty() {
	due := m.events.Now()
	m.ready(dutyCost, func() {
		now := m.events.Now()
		m.result.MaxDutyDelay = max(m.result.MaxDutyDelay, now-due)
		if due >= m.config.DrainAt && m.knownAt == 0 && !m.config.Partitioned {
			m.knownAt = now
			m.directory.MarkDraining("a", 0, now, false)
		}
	})
}

func (m *gateModel) arrive(workspace string, small bool) {
	r := &gateRequest{workspace: workspace, small: small, arrived: m.events.Now()}
	if small && r.arrived < m.config.Length-gateRequestTimeout {
		m.result.Small++
	}
	m.inFlight++
	m.result.MaxInFlight = max(m.result.MaxInFlight, m.inFlight)
	m.ready(headCost, func() { m.decode(r) })
}

// decode takes the request in flight or refuses it by its head.
func (m *gateModel) decode(r *gateRequest) {
	if m.control == nil {
		m.ready(prepareCost, func() { m.choose(r) })
		return
	}
	if !m.control.Enter(r.workspace) {
		m.refuse(r)
		return
	}
	if r.turn = m.control.Acquire(m.events.Now(), r.workspace); r.turn == nil {
		m.ready(prepareCost, func() { m.choose(r) })
		return
	}
	m.waiting = append(m.waiting, r)
	m.grantWaiting()
}

// grantWaiting continues the requests whose turns were decided.
func (m *gateModel) grantWaiting() {
	waiting := m.waiting
	m.waiting = nil
	for _, r := range waiting {
		select {
		case <-r.turn.Decided():
			if r.turn.Refused() {
				m.control.Leave(r.workspace)
				m.refuse(r)
				continue
			}
			m.ready(prepareCost, func() { m.choose(r) })
		default:
			m.waiting = append(m.waiting, r)
		}
	}
}

func (m *gateModel) refuse(r *gateRequest) {
	m.ready(refusalCost, func() {
		m.inFlight--
		m.result.Refused++
		if m.events.Now()-r.arrived > gateRequestTimeout {
			m.result.Unanswered++
		}
	})
}

// choose chooses a target and makes the send ready.
func (m *gateModel) choose(r *gateRequest) {
	r.target = m.directory.Current().Available("s")[0]
	m.ready(sendCost, func() { m.send(r) })
}

func (m *gateModel) send(r *gateRequest) {
	if !m.config.NoSendCheck && !m.directory.Current().Accepts(&r.target) {
		m.choose(r)
		return
	}
	now := m.events.Now()
	if r.target.ID == "a" && now > m.config.DrainAt {
		since := m.config.DrainAt
		if m.knownAt > 0 {
			m.result.LateSends++
			since = m.knownAt
		}
		m.result.LastSend = max(m.result.LastSend, now-since)
	}
	if m.control != nil {
		m.control.Release(now, r.turn)
		m.grantWaiting()
	}
	m.events.After(gateServiceTime, func() { m.ready(writeCost, func() { m.end(r) }) })
}

func (m *gateModel) end(r *gateRequest) {
	m.inFlight--
	if m.control != nil {
		m.control.Leave(r.workspace)
	}
	inTime := m.events.Now()-r.arrived <= gateRequestTimeout
	if !inTime {
		m.result.Unanswered++
	}
	if r.small && inTime && r.arrived < m.config.Length-gateRequestTimeout {
		m.result.SmallServed++
	}
}
