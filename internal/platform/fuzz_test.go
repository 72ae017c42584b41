package platform

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/target"
)

// FuzzDecodeRead checks that the response to a read is either well formed or results in
// ErrUnavailable.
func FuzzDecodeRead(f *testing.F) {
	for _, seed := range []string{
		`{"key":"a","value":"AQ==","version":1}`, `{"items":[{"key":"a/b","version":2}]}`, `{"items":null}`,
		`{"vms":[{"id":"v","state":"live"}]}`, `{"vms":[{"id":"","state":"live"}]}`, `{"vms":[]}`, `[]`, `{`, ``,
		`{"key":"a","value":"!","version":-1}`, `{"vms":[{"id":"v","state":"gone"}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		item, err := decodeItem(body, "a")
		require.True(t, err == nil && item.Key == "a" && item.Version > 0 || errors.Is(err, ErrUnavailable))
		items, err := decodeItems(body, "a")
		require.True(t, err == nil || errors.Is(err, ErrUnavailable))
		for _, item := range items {
			require.True(t, strings.HasPrefix(item.Key, "a") && item.Version > 0)
		}
		vms, err := decodeVMs(body)
		require.True(t, err == nil || errors.Is(err, ErrUnavailable))
		for _, vm := range vms {
			require.NotEmpty(t, vm.ID)
			require.Contains(t, []target.State{target.StateJoining, target.StateLive, target.StateLeaving}, vm.State)
		}
	})
}

// FuzzDecodeCommit checks that the response to a commit is either well formed or results in
// ErrUncertain, and that a conflict names only keys that were written.
func FuzzDecodeCommit(f *testing.F) {
	for _, seed := range []string{
		`{"version":1}`, `{"version":0}`, `{"version":1.5}`, `{"keys":["a"]}`, `{"keys":["a","b"]}`, `{"keys":[]}`,
		`{"keys":[1]}`, `null`, `{`, ``,
	} {
		f.Add([]byte(seed))
	}
	writes := []Write{{Key: "a"}, {Key: "c"}}
	f.Fuzz(func(t *testing.T, body []byte) {
		version, err := decodeCommitted(body)
		require.True(t, err == nil && version > 0 || errors.Is(err, ErrUncertain))
		err = decodeConflict(body, writes)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			require.True(t, errors.Is(err, ErrUncertain))
			return
		}
		require.NotEmpty(t, conflict.Keys)
		for _, key := range conflict.Keys {
			require.Contains(t, []string{"a", "c"}, key)
		}
	})
}
