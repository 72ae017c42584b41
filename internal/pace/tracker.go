package pace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxTargets bounds the targets with estimates, about 400 bytes each.
	maxTargets = 8192
	// refreshInterval is how often the estimates of a service are combined.
	refreshInterval = 200 * time.Millisecond
	// meanStep is the weight of an observation in the mean times of a service.
	meanStep = 0.01
	// minUnevenRange is the logarithm of the ratio between the slowest and the fastest
	// target, averaged over lastingDecay, from which a service counts as uneven, 1.49, and
	// maxEvenRange that below which it no longer does, 1.28. Queues that the gates know too
	// late make alike targets differ by up to 1.2 for some hundred milliseconds.
	minUnevenRange = 0.4
	maxEvenRange   = 0.25
	// consensusFraction is the part of the combined estimates to which a gate aligns its
	// own. With all of it, gates that send to different targets would let the difference
	// between their targets drift.
	consensusFraction = 0.9
	lastingDecay      = 5 * time.Second
	// minStandardErrors is by how many standard errors the slowest and the fastest target
	// must each be away from the middle besides.
	minStandardErrors = 5
	// evenDelay is for how long the difference must be gone until a service counts as even.
	evenDelay = 5 * time.Second
	// minEvidence is the weight, in observations, from which a target counts for that.
	minEvidence = 10
	// adoptionTime is how long after its first news of a service a gate counts it as uneven
	// because a peer does: some rounds of reports. Until evenDelay is over, it has its own
	// estimates.
	adoptionTime = 3 * time.Second
	// maxEvenPace and minEvenPace are the stated paces beyond which a target differs from
	// its usual pace: a fourth more or less.
	maxEvenPace = 1.25
	minEvenPace = 0.8
	// initialVariance is that of the logarithm of an observation before any was made, about
	// the one of work that takes 15 to 60 ms, and varianceStep the weight of an observation.
	initialVariance = 0.25
	varianceStep    = 0.01
	// reportRounds is the number of reports over which the targets are spread, so that each
	// is reported about once per second, and maxReported bounds the targets of a report.
	reportRounds = 5
	maxReported  = 128
)

// Tracker holds the estimates of all services.
type Tracker struct {
	services map[string]*Service
	count    int // targets
}

// NewTracker returns a tracker without estimates.
func NewTracker() *Tracker { return &Tracker{services: make(map[string]*Service)} }

// Service holds the estimates of the targets of one service.
type Service struct {
	targets map[string]*targetState
	// means holds the logarithms of the mean times, by measure, distance and range of load.
	means       [measures][Distances][meanRanges]estimate
	variance    float64
	refreshedAt time.Duration
	refreshed   bool
	uneven      bool
	createdAt   time.Duration
	differedAt  time.Duration // when the targets last looked uneven
	// pacesDifferUntil is until when stated paces count as different.
	pacesDifferUntil time.Duration
	reportRound      int
}

func (t *Tracker) serviceOf(now time.Duration, name string) *Service {
	s := t.services[name]
	if s == nil {
		s = &Service{targets: make(map[string]*targetState), createdAt: now, variance: initialVariance}
		t.services[name] = s
	}
	return s
}

// targetOf returns the state of a run of a target; nil if there is no room for it or a later
// run is known.
func (t *Tracker) targetOf(s *Service, id string, started int64) *targetState {
	known := s.targets[id]
	switch {
	case known != nil && known.started == started:
		return known
	case known != nil && known.started > started, known == nil && t.count >= maxTargets:
		return nil
	case known == nil:
		t.count++
	}
	state := &targetState{started: started}
	s.targets[id] = state
	return state
}

// State records what a target stated in a response. localInFlight is the number of other
// requests that this gate has at the target.
func (t *Tracker) State(now time.Duration, service, id string, started int64, stated Statement, localInFlight int) {
	if !stated.Valid() {
		return
	}
	s := t.serviceOf(now, service)
	state := t.targetOf(s, id, started)
	if state == nil {
		return
	}
	state.state(now, stated, localInFlight)
	if stated.Pace >= maxEvenPace || stated.Pace > 0 && stated.Pace <= minEvenPace {
		s.pacesDifferUntil = now + evenDelay
	}
}

// Observe records an observed time.
func (t *Tracker) Observe(now time.Duration, service, id string, started int64, o Observation) {
	if !(o.Ratio > 0) || math.IsInf(o.Ratio, 0) || !(o.Weight > 0 && o.Weight <= 1) {
		return
	}
	s := t.serviceOf(now, service)
	state := t.targetOf(s, id, started)
	if state == nil {
		return
	}
	log := math.Log(o.Ratio)
	if o.StatedPace > 0 {
		log -= math.Log(o.StatedPace)
	}
	mean := &s.means[o.Measure][min(max(o.Distance, 0), Distances-1)][rangeOf(o.Load, meanRanges)]
	if mean.weight == 0 {
		mean.log = log - state.own.log
	}
	residual := min(max(log-mean.log-state.own.log, -maxLogRatio), maxLogRatio)
	mean.add(residual, meanStep, 1)
	s.variance += varianceStep * (residual*residual - s.variance)
	state.observe(now, o.Weight, rangeOf(o.Load, loadRanges), residual)
}

// Service returns the estimates of a service; nil while its targets are alike.
func (t *Tracker) Service(now time.Duration, name string) *Service {
	s := t.services[name]
	if s == nil {
		return nil
	}
	if !s.refreshed || now-s.refreshedAt >= refreshInterval {
		s.refresh(now)
	}
	if !s.uneven && now >= s.pacesDifferUntil {
		return nil
	}
	return s
}

// refresh combines the estimates of all gates and decides whether targets are alike.
func (s *Service) refresh(now time.Duration) {
	elapsed := min(now-s.refreshedAt, lastingDecay)
	s.refreshedAt, s.refreshed = now, true
	// A gate sees some targets more than others. Its estimates are aligned to the
	// combined ones, so that a gate that sees slow targets only does not report them as
	// the mean.
	offset, total := 0.0, 0.0
	for _, t := range s.targets {
		weight := t.ownWeight(now)
		offset += weight * (t.own.log - consensusFraction*t.ratio)
		total += weight
	}
	if total > 0 {
		offset /= total
		for _, t := range s.targets {
			t.own.log -= offset
		}
		for i := range s.means {
			for j := range s.means[i] {
				for k := range s.means[i][j] {
					s.means[i][j][k].log += offset
				}
			}
		}
	}
	mean, known := 0.0, 0.0
	for _, t := range s.targets {
		weight, decayed := t.ownWeight(now), decayFactor(now-t.peersAt, peerDecay)
		t.weight = weight + t.peerWeight*decayed
		t.ratio = (weight*t.own.log + t.peerSum*decayed) / (t.weight + priorWeight)
		mean += t.weight * t.ratio
		known += t.weight
	}
	if known == 0 {
		return
	}
	mean /= known
	highest, lowest, high, low := math.Inf(-1), math.Inf(1), math.Inf(-1), math.Inf(1)
	for _, t := range s.targets {
		t.ratio = min(max(t.ratio-mean, -maxLogEstimate), maxLogEstimate)
		lasting := t.ratio
		if t.weight < minEvidence {
			lasting = 0
		}
		t.lasting += (lasting - t.lasting) * (1 - decayFactor(elapsed, lastingDecay))
		margin := minStandardErrors * math.Sqrt(s.variance/max(t.weight, 1))
		highest, lowest = max(highest, t.lasting), min(lowest, t.lasting)
		high, low = max(high, t.lasting-margin), min(low, t.lasting+margin)
	}
	lastingRange := highest - lowest
	if lastingRange > minUnevenRange && high > low || s.uneven && lastingRange > maxEvenRange {
		s.uneven, s.differedAt = true, now
	}
	s.uneven = s.uneven && now-s.differedAt < evenDelay
}

func (s *Service) run(id string, started int64) *targetState {
	if t := s.targets[id]; t != nil && t.started == started {
		return t
	}
	return nil
}

// OwnSpeedsDiffer reports whether the targets differ in what they take on average, and not
// only at the moment.
func (s *Service) OwnSpeedsDiffer() bool { return s.uneven }

// Relative returns how long work takes at a target with a load, relative to the mean of the
// service: 2 if it takes twice as long. presentFraction is the part of the work for which
// the present pace is expected to last.
func (s *Service) Relative(now time.Duration, id string, started int64, load, presentFraction float64) float64 {
	t := s.run(id, started)
	if t == nil {
		return 1
	}
	return math.Exp(min(max(t.ratio+presentFraction*t.present(now)+t.atLoad(rangeOf(load, loadRanges)), -maxLogEstimate), maxLogEstimate))
}

// LoadLimit returns the load, relative to the slots, from which the target slows down more
// than others do at the same load; 1 if it does not.
func (s *Service) LoadLimit(id string, started int64) float64 {
	t := s.run(id, started)
	if t == nil {
		return 1
	}
	light := t.atLoad(0)
	for loadRange := 1; loadRange < loadRanges; loadRange++ {
		if t.atLoad(loadRange)-light > slowdownAtLoad {
			return float64(loadRange) / loadRanges
		}
	}
	return 1
}

// Queue returns the number of requests at a target. It combines what the target stated with
// the number that the gates count; localInFlight is the part of it that this gate placed.
func (s *Service) Queue(now time.Duration, id string, started int64, counted, localInFlight int) float64 {
	t := s.run(id, started)
	if t == nil || t.stated.Slots == 0 {
		return float64(counted)
	}
	weight := decayFactor(now-t.statedAt, queueDecay)
	stated := max(t.stated.Running+t.stated.Waiting+localInFlight-t.localInFlight, localInFlight)
	return weight*float64(stated) + (1-weight)*float64(counted)
}

// Estimate is what a gate reports to its peers about one target.
type Estimate struct {
	Started int64 // start of the target, Unix milliseconds
	// Log is the natural logarithm of the relative service time, and Weight the
	// number of observations behind it.
	Log, Weight float64
}

// ServiceReport is what a gate reports to its peers about some targets of a service.
type ServiceReport struct {
	Uneven  bool                // the own speeds of the targets differ
	Targets map[string]Estimate // by ID
}

// Report returns some of this gate's own estimates, by service. Successive
// calls return all of them in turn.
func (t *Tracker) Report(now time.Duration) map[string]ServiceReport {
	var report map[string]ServiceReport
	for name, s := range t.services {
		ids := make([]string, 0, len(s.targets))
		for id, state := range s.targets {
			if state.ownWeight(now) >= 1 {
				ids = append(ids, id)
			}
		}
		if len(ids) == 0 {
			continue
		}
		slices.Sort(ids)
		rounds := max(reportRounds, (len(ids)+maxReported-1)/maxReported)
		estimates := make(map[string]Estimate, len(ids)/rounds+1)
		for i := s.reportRound % rounds; i < len(ids); i += rounds {
			state := s.targets[ids[i]]
			estimates[ids[i]] = Estimate{Started: state.started, Log: state.own.log, Weight: state.ownWeight(now)}
		}
		s.reportRound++
		if len(estimates) == 0 {
			continue
		}
		if report == nil {
			report = make(map[string]ServiceReport)
		}
		report[name] = ServiceReport{Uneven: s.uneven, Targets: estimates}
	}
	return report
}

// Merge adds the estimates that a peer reported.
func (t *Tracker) Merge(now time.Duration, report map[string]ServiceReport) {
	for name, reported := range report {
		if t.services[name] == nil && t.count >= maxTargets {
			continue
		}
		s := t.serviceOf(now, name)
		if reported.Uneven && now-s.createdAt < adoptionTime {
			s.uneven, s.differedAt = true, now
		}
		for id, e := range reported.Targets {
			if !(math.Abs(e.Log) <= maxLogEstimate) || !(e.Weight > 0) {
				continue
			}
			state := t.targetOf(s, id, e.Started)
			if state == nil {
				continue
			}
			decayed, weight := decayFactor(now-state.peersAt, peerDecay), peerWeight*min(e.Weight, maxWeight)
			state.peerSum, state.peerWeight, state.peersAt = state.peerSum*decayed+weight*e.Log, state.peerWeight*decayed+weight, now
		}
	}
}

// Retain removes the targets for which live returns false.
func (t *Tracker) Retain(live func(id string) bool) {
	t.count = 0
	for name, s := range t.services {
		maps.DeleteFunc(s.targets, func(id string, _ *targetState) bool { return !live(id) })
		t.count += len(s.targets)
		if len(s.targets) == 0 {
			delete(t.services, name)
		}
	}
}

// Summary describes the estimates of one service.
type Summary struct {
	Service string
	Uneven  bool
	Targets int
	// Slowest and Fastest are relative service times, without the present pace, of
	// SlowestID and FastestID.
	Slowest, Fastest     float64
	SlowestID, FastestID string
}

// Summaries returns a summary of each service, in order of name.
func (t *Tracker) Summaries(now time.Duration) []Summary {
	summaries := make([]Summary, 0, len(t.services))
	for name, s := range t.services {
		summary := Summary{Service: name, Uneven: t.Service(now, name) != nil, Targets: len(s.targets), Slowest: 1, Fastest: 1}
		for id, state := range s.targets {
			relative := math.Exp(state.ratio)
			if summary.SlowestID == "" || relative > summary.Slowest {
				summary.Slowest, summary.SlowestID = relative, id
			}
			if summary.FastestID == "" || relative < summary.Fastest {
				summary.Fastest, summary.FastestID = relative, id
			}
		}
		summaries = append(summaries, summary)
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return cmp.Compare(a.Service, b.Service) })
	return summaries
}
