package experiment

import (
	"math"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

const (
	// settling is the time from which a pair of backlogged workspaces is
	// measured.
	settling = 10 * time.Second
	// sampling is the period of the samples of service.
	sampling = 500 * time.Millisecond
	// packetOverhead is what a message takes beside its frame: headers of
	// IPv4, UDP and QUIC, tag, and its part of an acknowledgement, in bytes.
	packetOverhead = 28 + 27 + 28
)

// Result is what a run measured.
type Result struct {
	Gap         float64 // widest over the run, seconds of capacity per unit weight
	GapMean     float64 // mean over time of the widest at each moment, likewise
	Bound       float64 // of Gap, likewise
	Utilisation float64
	FirstToken  float64 // seconds, 95th percentile of interactive requests
	ProcessRate float64 // bytes/s sent and received by the busiest process
	RegionRate  float64 // bytes/s between two regions, both ways
	Config      float64 // seconds until a new table is in force everywhere
	Requests    uint64
}

// meter measures a run.
type meter struct {
	w        *world
	service  []float64 // by workspace, weighted
	lowest   [][]float64
	highest  [][]float64
	base     []float64 // service when its workspace began to be measured
	spread   float64   // sum over the samples
	samples  int
	units    float64
	possible float64
	firsts   []float64
	near     []int // bytes at each relay within its region
	far      int   // bytes between all regions
}

func newMeter(w *world) *meter {
	n := len(w.deployment.Workspaces)
	m := &meter{w: w, service: make([]float64, n), near: make([]int, w.deployment.Regions)}
	m.base = slices.Repeat([]float64{math.NaN()}, n)
	for range n {
		m.lowest = append(m.lowest, slices.Repeat([]float64{math.Inf(1)}, n))
		m.highest = append(m.highest, slices.Repeat([]float64{math.Inf(-1)}, n))
	}
	return m
}

func (m *meter) start() { m.w.Every(sampling, sampling, m.sample) }

// served notes units that c produced at a. Those of an agent that is leaving do
// not count as use of the capacity, which has lost it.
func (m *meter) served(c *call, a *agent, units float64) {
	m.service[c.ws-1] += units / m.w.deployment.Workspaces[c.ws-1].Weight
	if m.w.Now() > settling && !a.leaving {
		m.units += units
	}
}

// first notes the first token of c.
func (m *meter) first(c *call, a *agent) {
	if c.class != request.ClassInteractive || m.w.Now() < settling {
		return
	}
	back := m.w.net.delay(a.region, c.router.region)
	m.firsts = append(m.firsts, (m.w.Now() - c.arrived + prefill + back).Seconds())
}

// sample compares the service of each pair of workspaces and notes what could
// have been produced.
func (m *meter) sample() {
	if m.w.Now() < settling {
		return
	}
	m.samplePossible()
	m.sampleSpread()
	m.samplePairs()
}

// samplePossible adds what could have been produced since the last sample.
func (m *meter) samplePossible() {
	if m.w.Now() == settling {
		return
	}
	for _, a := range m.w.agents {
		if !a.leaving {
			m.possible += float64(m.w.deployment.Slots) * m.w.deployment.Speed * sampling.Seconds()
		}
	}
}

// samplePairs notes the difference in service of each pair.
func (m *meter) samplePairs() {
	for i := range m.service {
		for j := range i {
			if m.w.Now() < m.since(i)+settling || m.w.Now() < m.since(j)+settling {
				continue
			}
			diff := m.service[i] - m.service[j]
			m.lowest[i][j] = min(m.lowest[i][j], diff)
			m.highest[i][j] = max(m.highest[i][j], diff)
		}
	}
}

// sampleSpread adds the widest gap of this moment.
func (m *meter) sampleSpread() {
	least, most := math.Inf(1), math.Inf(-1)
	for i, service := range m.service {
		if m.w.Now() < m.since(i)+settling {
			continue
		}
		if math.IsNaN(m.base[i]) {
			m.base[i] = service - m.reference()
		}
		least = min(least, service-m.base[i])
		most = max(most, service-m.base[i])
	}
	m.spread += most - least
	m.samples++
}

// reference is the mean service of those measured so far, or 0.
func (m *meter) reference() float64 {
	sum, n := 0.0, 0
	for i, base := range m.base {
		if !math.IsNaN(base) {
			sum += m.service[i] - base
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// since is the time from which workspace i is backlogged.
func (m *meter) since(i int) time.Duration {
	if m.w.scenario.Late > 0 && i == len(m.service)-1 {
		return m.w.scenario.Late
	}
	return 0
}

// sent counts a message between regions a and b, or within one.
func (m *meter) sent(message wire.Message, a, b int) {
	n := size(message)
	if a == b {
		m.near[a] += n
		return
	}
	m.far += n
	m.near[a] += n
	m.near[b] += n
}

// sentToAgents counts messages that the relay of region sends to each agent, in
// one packet.
func (m *meter) sentToAgents(messages []wire.Message, region int) {
	if len(messages) > 0 {
		m.near[region] += size(messages...) * m.w.agentsIn(region)
	}
}

// sentToRouters counts messages that the relay of region sends to each router.
func (m *meter) sentToRouters(messages []wire.Message, region int) {
	if len(messages) > 0 {
		m.near[region] += size(messages...) * m.w.routersIn(region)
	}
}

// beat counts a ping and its answer on the links to the routers of region.
func (m *meter) beat(region int) {
	m.near[region] += (size(&wire.Ping{}) + size(&wire.Pong{})) * m.w.routersIn(region)
}

// size is what messages take that are sent at once.
func size(messages ...wire.Message) int {
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
	d := &m.w.deployment
	length := m.w.scenario.Length.Seconds()
	pairs := float64(d.Regions * (d.Regions - 1) / 2)
	return Result{
		Gap:         m.gap() / d.Capacity(),
		GapMean:     m.spread / float64(m.samples) / d.Capacity(),
		Bound:       m.bound(),
		Utilisation: m.units / m.possible,
		FirstToken:  percentile(m.firsts, 0.95),
		ProcessRate: float64(slices.Max(m.near)) / length,
		RegionRate:  float64(m.far) / pairs / length,
		Config:      m.w.configInForce(),
		Requests:    m.w.requests,
	}
}

// gap is the widest range of the difference in service of a pair, in units.
func (m *meter) gap() float64 {
	widest := 0.0
	for i := range m.lowest {
		for j := range i {
			widest = max(widest, m.highest[i][j]-m.lowest[i][j])
		}
	}
	return widest
}

// bound is the written bound of the gap, in seconds of capacity.
func (m *meter) bound() float64 {
	d, p := &m.w.deployment, &m.w.policy
	inFlight := float64(d.Agents*d.Slots) * maxCost / d.Capacity()
	age := p.Report + p.FarDigest + d.Far
	return inFlight + age.Seconds()
}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// agentsIn is the number of agents of all pools in region, without the relay.
func (w *world) agentsIn(region int) int {
	n := w.deployment.OtherMembers/w.deployment.Regions - 1
	for _, a := range w.agents {
		if a.region == region && !a.leaving {
			n++
		}
	}
	return n
}

func (w *world) routersIn(region int) int {
	n := 0
	for _, r := range w.routers {
		if r.region == region {
			n++
		}
	}
	return n
}
