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

// at is a moment of a run.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// trouble notes that a subject was in trouble between two moments.
func (h *History) trouble(s Subject, from, to float64) {
	h.spans[s] = append(h.spans[s], &span{at(from), at(to)})
}

// scene is a call at gate 0 that was sent at second 20, and what ran of it.
type scene struct {
	checker
	record Record
}

func newScene(t *testing.T, route string) *scene {
	store, err := standin.ListenStore("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(store.Close)
	history := NewHistory()
	o, err := newOperator(store, history)
	require.NoError(t, err)
	s := &scene{checker: checker{history: history, operator: o, runs: make(map[string][]standin.Run), drained: make(map[string]time.Time)}}
	s.record = Record{
		Call:  standin.Call{ID: "a000000000000001", Path: "/x/0", Key: "key-0-0", Body: []byte("b")},
		Route: routeOf(route), Start: at(20), End: at(21), Answer: standin.Response{Status: 200},
	}
	if s.record.Route.Public {
		s.record.Call.Key = ""
	}
	return s
}

// ran adds a run that is right.
func (s *scene) ran() *scene {
	id := s.record.Call.ID
	s.runs[id] = append(s.runs[id], standin.Run{
		ID: id, Service: s.record.Route.Service, Instance: "i-1", Workspace: s.operator.owner[s.record.Call.Key],
		Path: s.record.Call.Path, Body: standin.BodyDigest(s.record.Call.Body), Start: at(20.1), End: at(20.9),
	})
	return s
}

// rules returns the rules that are broken.
func (s *scene) rules() []string {
	s.records, s.found = []Record{s.record}, nil
	var rules []string
	for _, v := range s.check() {
		rules = append(rules, v.Rule)
	}
	return rules
}

func TestRightCallsBreakNothing(t *testing.T) {
	for i := range routes {
		require.Empty(t, newScene(t, routes[i].Name).ran().rules(), routes[i].Name)
	}
}

func TestEachRuleIsFound(t *testing.T) {
	reset := errors.New("connection reset")
	for rule, change := range map[string]func(*scene){
		"wrong answer":       func(s *scene) { s.record.Err = errors.Mark(reset, standin.ErrWrongResponse) },
		"false refusal":      func(s *scene) { s.record.Answer = standin.Response{Status: 503, NotRun: true} },
		"denied":             func(s *scene) { s.record.Answer.Status = 401 },
		"not served in calm": func(s *scene) { s.record.Steady, s.record.Answer.Status = true, 503 },
		"late": func(s *scene) {
			s.record.Err, s.record.Answer = errors.WithStack(os.ErrDeadlineExceeded), standin.Response{}
		},
		"lost":               func(s *scene) { s.record.Err, s.record.Answer = reset, standin.Response{} },
		"ran twice":          func(s *scene) { s.ran() },
		"changed":            func(s *scene) { s.runs[s.record.Call.ID][0].Path = "/y/0" },
		"wrong workspace":    func(s *scene) { s.runs[s.record.Call.ID][0].Workspace = "workspace-1" },
		"wrong service":      func(s *scene) { s.runs[s.record.Call.ID][0].Service = letters },
		"revoked key":        func(s *scene) { s.operator.revoked["key-0-0"] = at(14) },
		"work after leaving": func(s *scene) { s.record.Left = at(20.1); s.runs[s.record.Call.ID][0].End = at(22) },
		"leaving target":     func(s *scene) { s.drained["i-1"] = at(17) },
		"unasked":            func(s *scene) { s.runs["a000000000000002"] = s.runs[s.record.Call.ID] },
	} {
		s := newScene(t, "orders").ran()
		change(s)
		require.Contains(t, s.rules(), rule)
	}
	status := newScene(t, "status")
	status.record.Answer.Status = 503
	require.Contains(t, status.rules(), "not served")

	many := newScene(t, "status").ran().ran().ran()
	require.Empty(t, many.rules(), "three targets are allowed")
	require.Equal(t, []string{"too many targets"}, many.ran().rules())

	old := newScene(t, moving).ran()
	old.operator.moves = []move{{service: shop}, {sent: at(14), acknowledged: at(15), service: depot}}
	require.Equal(t, []string{"old table"}, old.rules())
	old.operator.moves[1].acknowledged = at(18)
	require.Empty(t, old.rules(), "the gate may not know it yet")
}

func TestTroubleExcusesOnlyWhatItExplains(t *testing.T) {
	lost := func(trouble ...Subject) []string {
		s := newScene(t, "orders").ran()
		s.record.Err, s.record.Answer = errors.New("connection reset"), standin.Response{}
		for _, one := range trouble {
			s.history.trouble(one, 19, 20.5)
		}
		return s.rules()
	}
	require.Empty(t, lost(Subject{PartGate, 0}))
	require.Empty(t, lost(Subject{PartCallerLink, 0}))
	require.Empty(t, lost(Subject{PartTarget, 7}))
	require.NotEmpty(t, lost(Subject{PartGate, 1}), "another gate")
	require.NotEmpty(t, lost(Subject{PartStop, 0}, Subject{What: PartStore}, Subject{PartStoreLink, 0}), "a planned stop and the store")

	revoked := newScene(t, "orders").ran()
	revoked.operator.revoked["key-0-0"] = at(14)
	for _, what := range []Part{PartGate, PartStore, PartStoreLink, PartStop} {
		revoked.history.trouble(Subject{What: what}, 10, 22)
	}
	require.Equal(t, []string{"revoked key"}, revoked.rules(), "nothing excuses it")
	revoked.operator.revoked["key-0-0"] = at(16)
	require.Empty(t, revoked.rules(), "within the bound")
}

func TestAnswersThatAreNotLoggedAreFound(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	s := newScene(t, "orders")
	s.record.Answer.Status = 503
	s.records = []Record{s.record}
	require.NoError(t, os.WriteFile(file, []byte("another line\n"), 0o600))
	require.NoError(t, s.checkLogs([]string{file}))
	require.Len(t, s.found, 1)
	require.NoError(t, os.WriteFile(file, []byte(`{"request":"a000000000000001"}`), 0o600))
	s.found = nil
	require.NoError(t, s.checkLogs([]string{file}))
	require.Empty(t, s.found)
}
