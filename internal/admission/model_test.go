package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulateEvents feeds a model with the first events of engines with the given speed and
// overhead.
func simulateEvents(m *engineModel, id string, tokensPerMS, overheadMS float64, events int) {
	for range events {
		for _, read := range []int{20, 4000, 12_000} {
			ms := overheadMS + float64(read)/tokensPerMS
			m.observe(id, read, time.Duration(ms*float64(time.Millisecond)))
		}
		m.combineEstimates(nil)
	}
}

func TestEngineModelLearnsSpeedAndOverhead(t *testing.T) {
	for _, speed := range []float64{12, 48.2, 180} {
		m := newEngineModel()
		simulateEvents(m, "e", speed, 70, 200)
		require.InEpsilon(t, speed, m.speed, 0.1)
		require.InEpsilon(t, 70, m.overhead, 0.1)
	}
}

func TestEngineModelResistsOutliers(t *testing.T) {
	m := newEngineModel()
	simulateEvents(m, "e", 60, 40, 200)
	for range 5 {
		m.observe("e", 12_000, time.Minute)
		m.observe("e", 12_000, 0)
	}
	m.combineEstimates(nil)
	require.InEpsilon(t, 60, m.speed, 0.2)
}

func TestEngineModelStaysWithinBounds(t *testing.T) {
	m := newEngineModel()
	for range 10_000 {
		m.observe("e", 12_000, time.Hour)
	}
	m.combineEstimates(nil)
	require.GreaterOrEqual(t, m.speed, initialSpeed/maxDeviationFactor)
	require.LessOrEqual(t, m.slowdown("e"), float64(maxSlowdown))
	require.Positive(t, m.readableTokens("e", 0.1, time.Second))
}

func TestSlowTargetFewerRequestsUntilRecovered(t *testing.T) {
	m := newEngineModel()
	ids := []string{"a", "b", "c", "d"}
	for range 100 {
		for _, id := range ids {
			simulateEvents(m, id, 48.2, 25, 1)
		}
	}
	healthy := m.readableTokens("a", 0.5, time.Second)
	for range 10 {
		simulateEvents(m, "a", 48.2/5, 5*25, 1)
		for _, id := range ids[1:] {
			simulateEvents(m, id, 48.2, 25, 1)
		}
	}
	require.Less(t, m.readableTokens("a", 0.5, time.Second), healthy/2, "after ten requests of each size")
	require.InEpsilon(t, healthy, m.readableTokens("b", 0.5, time.Second), 0.25)
	for range 20 {
		for _, id := range ids {
			simulateEvents(m, id, 48.2, 25, 1)
		}
	}
	require.InEpsilon(t, healthy, m.readableTokens("a", 0.5, time.Second), 0.25)
}

func TestRetainTargetsRemovesSlowdownFactors(t *testing.T) {
	c := newTestController()
	simulateEvents(c.modelOf("letters"), "gone", 5, 500, 20)
	simulateEvents(c.modelOf("letters"), "stays", 5, 500, 20)
	c.RetainTargets(func(id string) bool { return id == "stays" })
	require.NotContains(t, c.modelOf("letters").slowdownFactors, "gone")
	require.Contains(t, c.modelOf("letters").slowdownFactors, "stays")
}

func TestEnginesReportsLearnedEstimates(t *testing.T) {
	c := newTestController()
	for range 50 {
		simulateEvents(c.modelOf("letters"), "healthy-a", 100, 40, 1)
		simulateEvents(c.modelOf("letters"), "healthy-b", 100, 40, 1)
		simulateEvents(c.modelOf("letters"), "slow", 10, 400, 1)
	}
	all := c.Engines()
	require.Len(t, all, 1)
	require.Equal(t, "letters", all[0].Service)
	require.Equal(t, []string{"slow"}, all[0].Slow)
	require.InEpsilon(t, 100, all[0].Speed, 0.2)
}

// A gate that has just started admits callers by the estimates of its peers.
func TestNewGateUsesPeerEstimates(t *testing.T) {
	running, started := newTestController(), newTestController()
	for range 100 {
		simulateEvents(running.modelOf("letters"), "e", 150, 70, 1)
	}
	started.modelOf("letters")
	started.Merge(0, "old", running.Report(0))
	started.combineEstimates(0)
	require.InEpsilon(t, running.modelOf("letters").speed, started.modelOf("letters").speed, 0.01)
	require.InEpsilon(t, running.modelOf("letters").overhead, started.modelOf("letters").overhead, 0.01)

	started.combineEstimates(minPeerReportLifetime + time.Second)
	require.InEpsilon(t, initialSpeed, started.modelOf("letters").speed, 0.01, "the estimates of the peer have expired")
}

func TestOutOfBoundsPeerEstimatesIgnored(t *testing.T) {
	m := newEngineModel()
	simulateEvents(m, "e", 60, 40, 100)
	m.combineEstimates([]EngineEstimate{
		{Speed: 1e9, Overhead: -5, SpeedObservations: 1 << 40, OverheadObservations: 1 << 40},
		{Speed: 0, Overhead: 0, SpeedObservations: 50, OverheadObservations: 50},
		{Speed: 30, Overhead: 80, SpeedObservations: 0, OverheadObservations: -3},
	})
	require.InEpsilon(t, 60, m.speed, 0.1)
	require.InEpsilon(t, 40, m.overhead, 0.1)
}

func TestEngineModelConvergesQuicklyAtFirst(t *testing.T) {
	m := newEngineModel()
	simulateEvents(m, "e", 150, 70, 12)
	require.InEpsilon(t, 150, m.speed, 0.3)
	require.InEpsilon(t, 70, m.overhead, 0.3)
}
