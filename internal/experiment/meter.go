package experiment

import (
	"math"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

const (
	// warmUp is the time for which workspaces must be backlogged before their service is
	// compared.
	warmUp = 10 * time.Second
	// samplePeriod is the interval between samples of the service.
	samplePeriod = 500 * time.Millisecond
	// packetOverhead is the size of a packet without its frames, in bytes: headers of
	// IPv4, UDP and QUIC, authentication tag, and its part of an acknowledgement.
	packetOverhead = 28 + 27 + 28
)

// Result holds the measures of a run.
type Result struct {
	Gap                      float64 // largest over the run, in seconds of capacity per unit of weight
	MeanGap                  float64 // mean over the samples of the largest gap in each, same unit
	GapBound                 float64 // upper bound of Gap, same unit
	Utilisation              float64
	FirstTokenP95            float64 // seconds, over interactive requests
	ProcessBytesPerSecond    float64 // sent and received by the busiest process
	RegionPairBytesPerSecond float64 // between two regions, both ways
	ConfigDelay              float64 // seconds until every process applies a new table
	Requests                 uint64
}

// meter collects the measures of a run.
type meter struct {
	sim           *simulation
	service       []float64 // by workspace, divided by its weight
	minDifference [][]float64
	maxDifference [][]float64
	// baseline is subtracted from service, so that a workspace starts at the mean of the
	// workspaces that are measured already; NaN while not measured.
	baseline          []float64
	totalSpread       float64 // over the samples
	samples           int
	producedUnits     float64
	possibleUnits     float64
	firstTokenSeconds []float64
	localBytes        []int // sent and received by the relay of each region
	remoteBytes       int   // between all regions
}

func newMeter(sim *simulation) *meter {
	n := len(sim.deployment.Workspaces)
	m := &meter{sim: sim, service: make([]float64, n), localBytes: make([]int, sim.deployment.Regions)}
	m.baseline = slices.Repeat([]float64{math.NaN()}, n)
	for range n {
		m.minDifference = append(m.minDifference, slices.Repeat([]float64{math.Inf(1)}, n))
		m.maxDifference = append(m.maxDifference, slices.Repeat([]float64{math.Inf(-1)}, n))
	}
	return m
}

func (m *meter) start() { m.sim.Every(samplePeriod, samplePeriod, m.sample) }

// recordService adds units that c produced at a. Units of a draining agent don't count
// towards the utilisation, since the capacity excludes that agent.
func (m *meter) recordService(c *call, a *agent, units float64) {
	m.service[c.workspace-1] += units / m.sim.deployment.Workspaces[c.workspace-1].Weight
	if m.sim.Now() > warmUp && !a.draining {
		m.producedUnits += units
	}
}

// recordFirstToken records the time to first token of c, if it is interactive.
func (m *meter) recordFirstToken(c *call, a *agent) {
	if c.class != request.ClassInteractive || m.sim.Now() < warmUp {
		return
	}
	returnDelay := m.sim.net.delay(a.region, c.router.region)
	m.firstTokenSeconds = append(m.firstTokenSeconds, (m.sim.Now() - c.arrivedAt + prefillTime + returnDelay).Seconds())
}

// sample records the difference in service of each pair of workspaces and the units that
// the fleet could have produced.
func (m *meter) sample() {
	if m.sim.Now() < warmUp {
		return
	}
	m.samplePossible()
	m.sampleSpread()
	m.samplePairs()
}

// samplePossible adds the units that the fleet could have produced since the last sample.
func (m *meter) samplePossible() {
	if m.sim.Now() == warmUp {
		return
	}
	for _, a := range m.sim.agents {
		if !a.draining {
			m.possibleUnits += float64(m.sim.deployment.Slots) * m.sim.deployment.UnitsPerSecond * samplePeriod.Seconds()
		}
	}
}

// samplePairs records the difference in service of each pair of workspaces.
func (m *meter) samplePairs() {
	for i := range m.service {
		for j := range i {
			if m.sim.Now() < m.backloggedSince(i)+warmUp || m.sim.Now() < m.backloggedSince(j)+warmUp {
				continue
			}
			diff := m.service[i] - m.service[j]
			m.minDifference[i][j] = min(m.minDifference[i][j], diff)
			m.maxDifference[i][j] = max(m.maxDifference[i][j], diff)
		}
	}
}

// sampleSpread adds the largest current difference in service.
func (m *meter) sampleSpread() {
	minService, maxService := math.Inf(1), math.Inf(-1)
	for i, service := range m.service {
		if m.sim.Now() < m.backloggedSince(i)+warmUp {
			continue
		}
		if math.IsNaN(m.baseline[i]) {
			m.baseline[i] = service - m.meanMeasuredService()
		}
		minService = min(minService, service-m.baseline[i])
		maxService = max(maxService, service-m.baseline[i])
	}
	m.totalSpread += maxService - minService
	m.samples++
}

// meanMeasuredService returns the mean service, since the start of their measurement, of
// the workspaces that are measured so far, or 0 if there are none.
func (m *meter) meanMeasuredService() float64 {
	total, n := 0.0, 0
	for i, baseline := range m.baseline {
		if !math.IsNaN(baseline) {
			total += m.service[i] - baseline
			n++
		}
	}
	return total / float64(max(n, 1))
}

// backloggedSince returns the time from which workspace i is backlogged.
func (m *meter) backloggedSince(i int) time.Duration {
	if m.sim.scenario.LastWorkspaceStart > 0 && i == len(m.service)-1 {
		return m.sim.scenario.LastWorkspaceStart
	}
	return 0
}

// countMessage counts the bytes of a message from region a to region b, which may be the
// same.
func (m *meter) countMessage(message wire.Message, a, b int) {
	n := wireSize(message)
	if a == b {
		m.localBytes[a] += n
		return
	}
	m.remoteBytes += n
	m.localBytes[a] += n
	m.localBytes[b] += n
}

// countToAgents counts the bytes of messages that the relay of region sends to each
// agent, in one packet.
func (m *meter) countToAgents(messages []wire.Message, region int) {
	if len(messages) > 0 {
		m.localBytes[region] += wireSize(messages...) * m.sim.agentsIn(region)
	}
}

// countToRouters counts the bytes of messages that the relay of region sends to each
// router, in one packet.
func (m *meter) countToRouters(messages []wire.Message, region int) {
	if len(messages) > 0 {
		m.localBytes[region] += wireSize(messages...) * m.sim.routersIn(region)
	}
}

// countHeartbeat counts the bytes of a ping and its response on the links to the routers
// of region.
func (m *meter) countHeartbeat(region int) {
	m.localBytes[region] += (wireSize(&wire.Ping{}) + wireSize(&wire.Pong{})) * m.sim.routersIn(region)
}

// wireSize returns the size, in bytes, of a packet with the given messages.
func wireSize(messages ...wire.Message) int {
	var frames []byte
	for _, m := range messages {
		var err error
		if frames, err = wire.Append(frames, m); err != nil {
			panic(err)
		}
	}
	return len(frames) + packetOverhead
}

// result returns the measures of the run.
func (m *meter) result() Result {
	d := &m.sim.deployment
	length := m.sim.scenario.Length.Seconds()
	pairs := float64(d.Regions * (d.Regions - 1) / 2)
	return Result{
		Gap:                      m.gap() / d.Capacity(),
		MeanGap:                  m.totalSpread / float64(m.samples) / d.Capacity(),
		GapBound:                 m.bound(),
		Utilisation:              m.producedUnits / m.possibleUnits,
		FirstTokenP95:            percentile(m.firstTokenSeconds, 0.95),
		ProcessBytesPerSecond:    float64(slices.Max(m.localBytes)) / length,
		RegionPairBytesPerSecond: float64(m.remoteBytes) / pairs / length,
		ConfigDelay:              m.sim.maxConfigDelay(),
		Requests:                 m.sim.requests,
	}
}

// gap returns the largest range of the difference in service over all pairs of
// workspaces, in units per unit of weight.
func (m *meter) gap() float64 {
	widest := 0.0
	for i := range m.minDifference {
		for j := range i {
			widest = max(widest, m.maxDifference[i][j]-m.minDifference[i][j])
		}
	}
	return widest
}

// bound returns the documented upper bound of the gap, in seconds of capacity: the work
// in flight plus the age of remote totals.
func (m *meter) bound() float64 {
	d, p := &m.sim.deployment, &m.sim.policy
	inFlight := float64(d.Agents*d.Slots) * maxBatchCost / d.Capacity()
	age := p.ReportPeriod + p.RemoteDigestPeriod + d.RemoteDelay
	return inFlight + age.Seconds()
}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// agentsIn returns the number of agents of all pools in region, except the relay.
func (sim *simulation) agentsIn(region int) int {
	n := sim.deployment.OtherMembers/sim.deployment.Regions - 1
	for _, a := range sim.agents {
		if a.region == region && !a.draining {
			n++
		}
	}
	return n
}

func (sim *simulation) routersIn(region int) int {
	n := 0
	for _, r := range sim.routers {
		if r.region == region {
			n++
		}
	}
	return n
}
