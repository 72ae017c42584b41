package gate

import (
	"context"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A gate with little processor time whose connections all have data to read serves each
// of them late although its timers fire on time. The probe must show that delay.
func TestSchedulingDelayMeasuresWaitingConnections(t *testing.T) {
	const (
		connections = 100
		cpuTime     = 2 * time.Millisecond // per message
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	ctx, cancel := context.WithCancel(context.Background())
	var delay schedulingDelay
	measureErr := make(chan error, 1)
	go func() { measureErr <- delay.measure(ctx, now) }()

	time.Sleep(5 * delayProbeInterval)
	require.False(t, delay.high(), "no connection waits: %v", time.Duration(delay.mean.Load()))

	var pipes []*os.File
	for range connections {
		r, w, err := os.Pipe()
		require.NoError(t, err)
		pipes = append(pipes, r, w)
		go busy(r, w, cpuTime)
		_, err = w.Write([]byte{0})
		require.NoError(t, err)
	}
	require.Eventually(t, delay.overloaded, 30*time.Second, delayProbeInterval)
	for _, p := range pipes {
		p.Close()
	}
	require.Eventually(t, func() bool { return !delay.high() }, 30*time.Second, delayProbeInterval, "it recovers")
	cancel()
	require.NoError(t, <-measureErr)
}

// busy handles a connection on which messages keep arriving.
func busy(r, w *os.File, cpuTime time.Duration) {
	var one [1]byte
	for {
		if _, err := r.Read(one[:]); err != nil {
			return
		}
		for started := time.Now(); time.Since(started) < cpuTime; {
			_ = started
		}
		if _, err := w.Write(one[:]); err != nil {
			return
		}
	}
}
