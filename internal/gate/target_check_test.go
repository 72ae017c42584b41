package gate

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/quarantine"
	"github.com/mastichollow/mastichollow/internal/target"
)

// A request is the only one at each target that it crashes. The gate finds by itself that
// these have crashed, and refuses the request.
func TestLoneRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	f := newFixture(t, testRoutes(once))
	refused := 0
	for n := range 6 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		crashes := make(chan struct{})
		go func() {
			c, err := l.Accept()
			l.Close()
			if err == nil {
				f.serveTarget(c, "t", func(c net.Conn, _ targetRequest) { c.Close() })
			}
			close(crashes)
		}()
		f.directory.Replace([]target.Instance{{ID: "t", Addr: l.Addr().String(), Service: "letters", Domain: "d", Slots: 8, StartedMillis: int64(n + 1)}}, time.Duration(n), false)
		got := f.send("/p/", "poison", "Id", strconv.Itoa(n), "Timeout-Ms", "3000")
		if got.status == 503 {
			refused++
			l.Close()
			continue
		}
		require.Equal(t, 502, got.status)
		<-crashes
		require.Eventually(t, func() bool { return len(f.controller.TakePresumedCrashes()) > 0 }, patientTimeout, time.Millisecond)
	}
	require.Equal(t, 3, refused)
	require.Len(t, f.receivedRequests(), 3)
}

// A lost response of a target that goes on accepting connections is no crash.
func TestLostResponseOfRunningTargetIsNoCrash(t *testing.T) {
	f := newFixture(t, testRoutes(once), closeConn())
	const apart = 500 * time.Millisecond // so that no loss is evidence beside another
	for range 4 {
		require.Equal(t, 502, f.send("/p/", "same", patient...).status)
		time.Sleep(apart)
	}
	require.Empty(t, f.controller.TakePresumedCrashes())
}

// TestTargetCheckedAfterUnframedStream covers a lone stream without length or chunks that ends in
// order with its target.
func TestTargetCheckedAfterUnframedStream(t *testing.T) {
	f := newFixture(t, testRoutes(streamOnce))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := l.Accept()
		l.Close()
		if err == nil {
			f.serveTarget(c, "t", func(c net.Conn, r targetRequest) {
				write(c, framedResponses("text/event-stream", event(1))[2].raw(r))
				c.Close()
			})
		}
	}()
	f.directory.Replace([]target.Instance{{ID: "t", Addr: l.Addr().String(), Service: "letters", Domain: "d", Slots: 8}}, 0, false)
	got := f.send("/p/", "body", append(patient, "Part", "7")...)
	require.NoError(t, got.err)
	require.Equal(t, event(1), got.body)
	require.Eventually(t, func() bool { return f.controller.TakeLossesInCrashes()[quarantine.PhaseBegun] == 1 }, patientTimeout, time.Millisecond)
}
