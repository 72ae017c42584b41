// Package standintest runs stand-ins in the tests of other packages.
package standintest

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/platform/platformtest"
	"github.com/mastichollow/mastichollow/internal/standin"
)

// Run serves hosts until the test ends; they must end well.
func Run(t testing.TB, hosts ...*standin.Host) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- standin.RunAll(ctx, hosts...) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
}

// Forward returns a link to server (IP:port) that ends with the test.
func Forward(t testing.TB, server string) *standin.Forwarder {
	t.Helper()
	f, err := standin.NewForwarder(server)
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// SetFault returns a function that lets every call of a stand-in, whose faults
// set sets, meet the same fault.
func SetFault(set func(func(op, key string) standin.Fault)) func(platformtest.Fault) {
	faults := map[platformtest.Fault]standin.Fault{
		platformtest.FaultDown:        standin.FaultDown,
		platformtest.FaultAnswerLost:  standin.FaultAnswerLost,
		platformtest.FaultRequestLost: standin.FaultRequestLost,
	}
	return func(f platformtest.Fault) {
		set(func(string, string) standin.Fault { return faults[f] })
	}
}
