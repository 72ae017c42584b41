// Package standintest runs stand-ins in the tests of other packages.
package standintest

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/platform/platformtest"
	"github.com/mastichollow/mastichollow/internal/standin"
)

// Run serves hosts until the test ends. It fails the test if they stop with an error.
func Run(t testing.TB, hosts ...*standin.Host) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- standin.RunAll(ctx, hosts...) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
}

// Forward returns a forwarder to server (IP:port) that is closed when the test ends.
func Forward(t testing.TB, server string) *standin.Forwarder {
	t.Helper()
	f, err := standin.NewForwarder(server)
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// SetFault returns a function that applies one fault to every call of a stand-in; set is the
// SetFault method of the stand-in.
func SetFault(set func(func(op, key string) standin.Fault)) func(platformtest.Fault) {
	faults := map[platformtest.Fault]standin.Fault{
		platformtest.FaultDown:         standin.FaultDown,
		platformtest.FaultResponseLost: standin.FaultResponseLost,
		platformtest.FaultRequestLost:  standin.FaultRequestLost,
	}
	return func(f platformtest.Fault) {
		set(func(string, string) standin.Fault { return faults[f] })
	}
}
