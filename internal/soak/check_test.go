package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/platform/standin"
)

// atSecond returns a point in time of the simulated run.
func atSecond(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// addInterval records a disruption of a subject, from and to in seconds.
func (h *History) addInterval(s Subject, from, to float64) {
	h.intervals[s] = append(h.intervals[s], &interval{atSecond(from), atSecond(to)})
}

// scenario is a call to gate 0, sent at second 20, with its runs at targets.
type scenario struct {
	checker
	record CallRecord
}

func newScenario(t *testing.T, route string) *scenario {
	store, err := standin.ListenStore("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(store.Close)
	history := NewHistory()
	o, err := newOperator(store, history)
	require.NoError(t, err)
	s := &scenario{checker: checker{history: history, operator: o, runsByCall: make(map[string][]standin.Run), drainedAt: make(map[string]time.Time)}}
	s.record = CallRecord{
		Call:  standin.Call{ID: "a000000000000001", Path: "/x/0", Key: "key-0-0", Body: []byte("b")},
		Route: routeOf(route), Start: atSecond(20), End: atSecond(21), Response: standin.Response{Status: 200},
	}
	if s.record.Route.Public {
		s.record.Call.Key = ""
	}
	return s
}

// addRun adds a correct run of the call.
func (s *scenario) addRun() *scenario {
	id := s.record.Call.ID
	s.runsByCall[id] = append(s.runsByCall[id], standin.Run{
		ID: id, Service: s.record.Route.Service, Instance: "i-1", Workspace: s.operator.workspaceByKey[s.record.Call.Key],
		Path: s.record.Call.Path, Body: standin.BodyDigest(s.record.Call.Body), Start: atSecond(20.1), End: atSecond(20.9),
	})
	return s
}

// violatedRules returns the rules that the checker reports.
func (s *scenario) violatedRules() []string {
	s.records, s.violations = []CallRecord{s.record}, nil
	var rules []string
	for _, v := range s.check() {
		rules = append(rules, v.Rule)
	}
	return rules
}

func TestCorrectCallsWithoutViolations(t *testing.T) {
	for i := range routes {
		require.Empty(t, newScenario(t, routes[i].Name).addRun().violatedRules(), routes[i].Name)
	}
}

func TestEachRuleDetectsItsViolation(t *testing.T) {
	reset := errors.New("connection reset")
	for rule, change := range map[string]func(*scenario){
		"wrong answer":       func(s *scenario) { s.record.Err = errors.Mark(reset, standin.ErrWrongResponse) },
		"false refusal":      func(s *scenario) { s.record.Response = standin.Response{Status: 503, NotExecuted: true} },
		"denied":             func(s *scenario) { s.record.Response.Status = 401 },
		"not served in calm": func(s *scenario) { s.record.FaultFree, s.record.Response.Status = true, 503 },
		"late": func(s *scenario) {
			s.record.Err, s.record.Response = errors.WithStack(os.ErrDeadlineExceeded), standin.Response{}
		},
		"lost":            func(s *scenario) { s.record.Err, s.record.Response = reset, standin.Response{} },
		"ran twice":       func(s *scenario) { s.addRun() },
		"changed":         func(s *scenario) { s.runsByCall[s.record.Call.ID][0].Path = "/y/0" },
		"wrong workspace": func(s *scenario) { s.runsByCall[s.record.Call.ID][0].Workspace = "workspace-1" },
		"wrong service":   func(s *scenario) { s.runsByCall[s.record.Call.ID][0].Service = lettersService },
		"revoked key":     func(s *scenario) { s.operator.revokedAt["key-0-0"] = atSecond(14) },
		"work after leaving": func(s *scenario) {
			s.record.AbandonedAt = atSecond(20.1)
			s.runsByCall[s.record.Call.ID][0].End = atSecond(22)
		},
		"crashing part": func(s *scenario) {
			s.addRun().addRun().addRun()
			for i := range s.runsByCall[s.record.Call.ID] {
				s.runsByCall[s.record.Call.ID][i].Crashed = true
			}
			for i := range boundingCrash {
				s.crashes = append(s.crashes, atSecond(12+float64(i)))
			}
		},
		"leaving target": func(s *scenario) { s.drainedAt["i-1"] = atSecond(17) },
		"unasked":        func(s *scenario) { s.runsByCall["a000000000000002"] = s.runsByCall[s.record.Call.ID] },
	} {
		s := newScenario(t, "orders").addRun()
		change(s)
		require.Contains(t, s.violatedRules(), rule)
	}
	status := newScenario(t, "status")
	status.record.Response.Status = 503
	require.Contains(t, status.violatedRules(), "not served")

	multiple := newScenario(t, "status").addRun().addRun().addRun()
	require.Empty(t, multiple.violatedRules(), "three targets are allowed")
	require.Equal(t, []string{"too many targets"}, multiple.addRun().violatedRules())

	stale := newScenario(t, movingRoute).addRun()
	stale.operator.assignments = []serviceAssignment{{service: shopService}, {sentAt: atSecond(14), acknowledgedAt: atSecond(15), service: depotService}}
	require.Equal(t, []string{"old table"}, stale.violatedRules())
	stale.operator.assignments[1].acknowledgedAt = atSecond(18)
	require.Empty(t, stale.violatedRules(), "the gate may not have received the change yet")
}

func TestDisruptionExcusesOnlyItsEffects(t *testing.T) {
	lostResponse := func(disrupted ...Subject) []string {
		s := newScenario(t, "orders").addRun()
		s.record.Err, s.record.Response = errors.New("connection reset"), standin.Response{}
		for _, subject := range disrupted {
			s.history.addInterval(subject, 19, 20.5)
		}
		return s.violatedRules()
	}
	require.Empty(t, lostResponse(Subject{PartGate, 0}))
	require.Empty(t, lostResponse(Subject{PartCallerLink, 0}))
	require.Empty(t, lostResponse(Subject{PartTarget, 7}))
	require.NotEmpty(t, lostResponse(Subject{PartGate, 1}), "another gate")
	require.NotEmpty(t, lostResponse(Subject{PartPlannedStop, 0}, Subject{Part: PartStore}, Subject{PartStoreLink, 0}), "a planned stop and store disruptions")

	revoked := newScenario(t, "orders").addRun()
	revoked.operator.revokedAt["key-0-0"] = atSecond(14)
	for _, part := range []Part{PartGate, PartStore, PartStoreLink, PartPlannedStop} {
		revoked.history.addInterval(Subject{Part: part}, 10, 22)
	}
	require.Equal(t, []string{"revoked key"}, revoked.violatedRules(), "no disruption excuses a revoked key")
	revoked.operator.revokedAt["key-0-0"] = atSecond(16)
	require.Empty(t, revoked.violatedRules(), "within the bound")
}

// TestEvacuationBound guards against a check of evacuations that excuses requests after the
// bound, or blames gates that could not know of the evacuation.
func TestEvacuationBound(t *testing.T) {
	rules := func(arrival float64, disrupted Subject, until float64) []string {
		s := newScenario(t, "orders").addRun()
		s.evacuations = []evacuation{{domain: "d0", acknowledgedAt: atSecond(13), endedAt: atSecond(22), targets: map[string]int{"127.0.0.1:1": 0}}}
		s.runsByCall[s.record.Call.ID][0].Addr, s.runsByCall[s.record.Call.ID][0].Arrived = "127.0.0.1:1", atSecond(arrival)
		s.history.addInterval(disrupted, 10, until)
		return s.violatedRules()
	}
	violated := []string{"evacuated domain"}
	require.Empty(t, rules(17.9, Subject{PartGate, 1}, 22), "within the bound")
	require.Equal(t, violated, rules(20, Subject{PartGate, 1}, 22), "another gate")
	require.Empty(t, rules(22.1, Subject{PartGate, 1}, 22), "the evacuation has ended")
	for _, subject := range []Subject{{PartGate, 0}, {PartPlannedStop, 0}, {PartStoreLink, 0}} {
		require.Empty(t, rules(20, subject, 16.1), subject)
		require.Equal(t, violated, rules(20, subject, 15.9), subject)
	}
	require.Empty(t, rules(20.1, Subject{PartTarget, 0}, 20.05))
	require.Equal(t, violated, rules(20.1, Subject{PartTarget, 0}, 19.9))
	require.Empty(t, rules(20, Subject{Part: PartStore}, 14.1))
	require.Equal(t, violated, rules(20, Subject{Part: PartStore}, 13.9))
}

func TestUnloggedResponseDetected(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	s := newScenario(t, "orders")
	s.record.Response.Status = 503
	s.records = []CallRecord{s.record}
	require.NoError(t, os.WriteFile(file, []byte("another line\n"), 0o600))
	require.NoError(t, s.checkLogged([]string{file}))
	require.Len(t, s.violations, 1)
	require.NoError(t, os.WriteFile(file, []byte(`{"request":"a000000000000001"}`), 0o600))
	s.violations = nil
	require.NoError(t, s.checkLogged([]string{file}))
	require.Empty(t, s.violations)
}
