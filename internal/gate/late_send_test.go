package gate

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/warmup"
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

// A target that becomes cold while a request waits for its send must not get it: a gate without
// processor time sends many such requests at once.
func TestColdTargetRecheckedRightBeforeSend(t *testing.T) {
	f := newColdFixture(t, testRoutes(once), succeed("whole"), succeed("whole"))
	cold := ""
	f.gate.codec = lateSendCodec{beforeSend: func(targetID string) {
		if cold == "" {
			cold = targetID
			f.setCold(targetID)
		}
	}}
	require.Equal(t, 200, f.send("/p/", "b", patient...).status, "the other target serves the request")
	received := f.receivedRequests()
	require.Len(t, received, 1)
	require.NotEqual(t, cold, received[0].target)
}

// The newest table applies to a request that waited for its send.
func TestRegionsRecheckedRightBeforeSend(t *testing.T) {
	f := newRegionFixture(t, testRoutes(once), succeed("whole"), succeed("whole"))
	first := ""
	f.gate.codec = lateSendCodec{beforeSend: func(targetID string) {
		if first == "" {
			first = targetID
			f.setTableContent(2, restrictedTo(once, map[string]string{"t0": "s", "t1": "r"}[targetID]), []route.Workspace{{Name: "shop", Keys: []string{"k"}}})
		}
	}}
	require.Equal(t, 200, f.send("/p/", "b", patient...).status)
	received := f.receivedRequests()
	require.Len(t, received, 1)
	require.NotEqual(t, first, received[0].target)
}

// Sends to a cold target that wait, and then reach it at once, exceed the pace by which they were
// placed.
func TestLateSendToColdTargetWithheld(t *testing.T) {
	f := newColdFixture(t, testRoutes(once), succeed("whole"))
	f.gate.controller.SetWarmupPlans(map[string]warmup.Plan{"letters": {Owners: 1, PerSecond: 1000}})
	f.gate.controller.SetGates("g", []warmup.Gate{{Node: "g"}})
	f.setCold("t0")
	require.Equal(t, 503, f.send("/p/", "b", patient...).status, "the bucket starts empty")
	late := 2 * maxColdSendDelay
	f.gate.codec = lateSendCodec{beforeSend: func(string) { time.Sleep(late) }}
	time.Sleep(5 * time.Millisecond)
	require.Equal(t, 503, f.send("/p/", "b", patient...).status)
	require.Empty(t, f.receivedRequests())
	late = 0
	time.Sleep(time.Second / 4) // requests of the same workspace are left to others for 200 ms
	require.Equal(t, 200, f.send("/p/", "b", patient...).status)
}
