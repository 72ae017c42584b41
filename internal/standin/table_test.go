package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/platform"
)

func TestTableDeletesExpiredRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable()
		create := platform.Write{Key: "a", Expires: time.Now().Add(time.Minute)}
		_, err := table.Commit(t.Context(), create)
		require.NoError(t, err)
		time.Sleep(time.Minute - time.Nanosecond)
		_, err = table.Get(t.Context(), "a")
		require.NoError(t, err)
		time.Sleep(time.Nanosecond)
		_, err = table.Get(t.Context(), "a")
		require.ErrorIs(t, err, platform.ErrNotFound)
		items, err := table.List(t.Context(), "")
		require.NoError(t, err)
		require.Empty(t, items)
		_, err = table.Commit(t.Context(), platform.Write{Key: "a"})
		require.NoError(t, err)
	})
}

func TestFaultStateLimitsCallsPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var box FaultState
		box.Set(Faults{ReadsPerS: 5, WritesPerS: 2})
		served := func(write bool) (n int) {
			for range 10 {
				if box.callFault(write, "a") == FaultNone {
					n++
				}
			}
			return n
		}
		require.Equal(t, 5, served(false))
		require.Equal(t, 2, served(true))
		time.Sleep(time.Second)
		require.Equal(t, 5, served(false))
		require.Equal(t, 2, served(true))
	})
}

func TestFaultsApplyToMatchingCalls(t *testing.T) {
	for name, c := range map[string]struct {
		faults Faults
		write  bool
		key    string
		want   []Fault
	}{
		"none":                {Faults{}, true, "a", []Fault{FaultNone}},
		"down":                {Faults{Down: true}, false, "a", []Fault{FaultDown, FaultDown}},
		"down for other keys": {Faults{Down: true, KeyPrefix: "claim/"}, true, "config/table", []Fault{FaultNone}},
		"down for the key":    {Faults{Down: true, KeyPrefix: "claim/"}, true, "claim/a", []Fault{FaultDown}},
		"two responses lost":  {Faults{ResponseLost: 2}, true, "a", []Fault{FaultResponseLost, FaultResponseLost, FaultNone}},
		"requests lost":       {Faults{RequestLost: AllCalls}, true, "a", []Fault{FaultRequestLost, FaultRequestLost}},
		"reads are not lost":  {Faults{RequestLost: AllCalls, ResponseLost: AllCalls}, false, "a", []Fault{FaultNone}},
	} {
		t.Run(name, func(t *testing.T) {
			var box FaultState
			box.Set(c.faults)
			for _, want := range c.want {
				require.Equal(t, want, box.callFault(c.write, c.key))
			}
		})
	}
}
