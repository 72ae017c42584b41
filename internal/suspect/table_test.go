package suspect

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/standin"
)

var fingerprint1 = Fingerprint{1}

func newTestRegistry() (*TableRegistry, *standin.Table) {
	table := standin.NewTable()
	return NewTableRegistry(table, nil), table
}

func TestSuspectLifecycle(t *testing.T) {
	type step struct {
		do   func(*TableRegistry) error
		want error
	}
	recordCrash := func(r *TableRegistry) error { return r.RecordCrash(context.Background(), fingerprint1, "crash 1") }
	recordSecondCrash := func(r *TableRegistry) error { return r.RecordCrash(context.Background(), fingerprint1, "crash 2") }
	beginTrial := func(a request.AttemptID) func(*TableRegistry) error {
		return func(r *TableRegistry) error { return r.BeginTrial(context.Background(), fingerprint1, a) }
	}
	clearSuspect := func(r *TableRegistry) error { return r.Clear(context.Background(), fingerprint1, "a") }
	quarantine := func(r *TableRegistry) error { return r.Quarantine(context.Background(), fingerprint1, "a") }
	abandonTrial := func(r *TableRegistry) error { return r.AbandonTrial(context.Background(), fingerprint1, "a") }
	exceedTimeout := func(r *TableRegistry) error {
		r.now = func() time.Time { return time.Now().Add(trialTimeout + time.Minute) }
		return nil
	}
	cases := map[string][]step{
		"one trial at a time":                   {{recordCrash, nil}, {beginTrial("a"), nil}, {beginTrial("b"), ErrOnTrial}},
		"begin trial is idempotent":             {{recordCrash, nil}, {beginTrial("a"), nil}, {beginTrial("a"), nil}},
		"cleared":                               {{recordCrash, nil}, {beginTrial("a"), nil}, {clearSuspect, nil}, {beginTrial("b"), nil}},
		"quarantined after trial":               {{recordCrash, nil}, {beginTrial("a"), nil}, {quarantine, nil}, {beginTrial("b"), ErrQuarantined}},
		"abandoned":                             {{recordCrash, nil}, {beginTrial("a"), nil}, {abandonTrial, nil}, {beginTrial("b"), nil}},
		"two crashes without a trial":           {{recordCrash, nil}, {recordSecondCrash, nil}, {beginTrial("a"), ErrQuarantined}},
		"same crash counts once":                {{recordCrash, nil}, {recordCrash, nil}, {beginTrial("a"), nil}},
		"same crash during a trial counts once": {{recordCrash, nil}, {beginTrial("a"), nil}, {recordCrash, nil}, {abandonTrial, nil}, {recordCrash, nil}, {beginTrial("b"), nil}},
		"trial timeout quarantines":             {{recordCrash, nil}, {beginTrial("a"), nil}, {exceedTimeout, nil}, {beginTrial("b"), ErrQuarantined}},
		"clear by another attempt is ignored":   {{recordCrash, nil}, {beginTrial("b"), nil}, {clearSuspect, nil}, {beginTrial("c"), ErrOnTrial}},
		"clear does not lift a quarantine":      {{recordCrash, nil}, {beginTrial("a"), nil}, {quarantine, nil}, {clearSuspect, nil}, {beginTrial("b"), ErrQuarantined}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			r, _ := newTestRegistry()
			for i, s := range steps {
				err := s.do(r)
				require.Truef(t, errors.Is(err, s.want), "step %d: got %v, want %v", i, err, s.want)
			}
		})
	}
}

func TestBeginTrialUnderTableFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault standin.Fault
		times int // number of leading commits that fail
		want  error
	}{
		{"response lost once", standin.FaultResponseLost, 1, nil},
		{"request lost once", standin.FaultRequestLost, 1, nil},
		{"table unavailable", standin.FaultDown, 1, ErrUnavailable},
		{"requests lost repeatedly", standin.FaultRequestLost, 100, ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, table := newTestRegistry()
			require.NoError(t, r.RecordCrash(t.Context(), fingerprint1, "crash"))
			table.SetFault(standin.FailFirstCalls(c.times, "commit", c.fault))
			err := r.BeginTrial(t.Context(), fingerprint1, "a")
			require.Truef(t, errors.Is(err, c.want), "got %v, want %v", err, c.want)
			table.SetFault(nil)
			if c.want == nil {
				require.True(t, errors.Is(r.BeginTrial(t.Context(), fingerprint1, "b"), ErrOnTrial))
			}
		})
	}
}

// A crash whose write succeeds but whose response is lost is written again and must count
// once.
func TestCrashRecordedOnceAfterLostResponse(t *testing.T) {
	r, table := newTestRegistry()
	table.SetFault(standin.FailFirstCalls(1, "commit", standin.FaultResponseLost))
	require.NoError(t, r.RecordCrash(t.Context(), fingerprint1, "crash"))
	require.NoError(t, r.BeginTrial(t.Context(), fingerprint1, "a"))
}

func TestListSuspects(t *testing.T) {
	r, _ := newTestRegistry()
	fingerprint2 := Fingerprint{2}
	require.NoError(t, r.RecordCrash(t.Context(), fingerprint1, "crash"))
	require.NoError(t, r.RecordCrash(t.Context(), fingerprint2, "crash"))
	require.NoError(t, r.BeginTrial(t.Context(), fingerprint2, "a"))
	require.NoError(t, r.Quarantine(t.Context(), fingerprint2, "a"))
	listed, err := r.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, []Entry{{fingerprint1, false}, {fingerprint2, true}}, listed)
}
