package gate

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lateSendCodec calls beforeSend between the choice of a target and the send to it.
type lateSendCodec struct {
	testCodec
	beforeSend func(targetID string)
}

func (c lateSendCodec) EncodeRequest(caller http.Header, meta TargetMeta) http.Header {
	c.beforeSend(meta.TargetID)
	return c.testCodec.EncodeRequest(caller, meta)
}

// A gate that gets little processor time sends a request long after it chose the target.
// Targets that announced their drain in the meantime still got such requests over 4 s later.
func TestTargetRecheckedRightBeforeSend(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"), succeed("whole"))
	drained := ""
	f.gate.codec = lateSendCodec{beforeSend: func(targetID string) {
		if drained == "" {
			drained = targetID
			f.directory.MarkDraining(targetID, 0, time.Second, false)
		}
	}}
	require.Equal(t, 200, f.send("/p/", "b").status, "the other target serves the request")
	received := f.receivedRequests()
	require.Len(t, received, 1)
	require.NotEqual(t, drained, received[0].target)
}

// A request that waited long before its send must not use a key that was revoked meanwhile.
func TestKeyRecheckedRightBeforeSend(t *testing.T) {
	for _, c := range []struct {
		name       string
		invalidate func(f *fixture)
		status     int
	}{
		{"revoked", (*fixture).revokeKeys, 401},
		{"table too old", func(f *fixture) { f.tableAge = 6 * time.Second }, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, testRoutes(once), succeed("whole"))
			f.gate.codec = lateSendCodec{beforeSend: func(string) { c.invalidate(f) }}
			require.Equal(t, c.status, f.send("/p/", "b").status)
			require.Empty(t, f.receivedRequests())
		})
	}
}
