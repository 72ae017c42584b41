package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/platform/platformtest"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/standin/standintest"
	"github.com/mastichollow/mastichollow/internal/target"
)

func TestTableContract(t *testing.T) {
	platformtest.RunTable(t, func(*testing.T) platformtest.Table {
		table := standin.NewTable()
		return platformtest.Table{TableService: table, SetFault: standintest.SetFault(table.SetFault)}
	})
}

func TestObjectContract(t *testing.T) {
	platformtest.RunObjects(t, func(*testing.T) platformtest.Objects {
		objects := standin.NewObjects()
		return platformtest.Objects{ObjectStore: objects, SetFault: standintest.SetFault(objects.SetFault)}
	})
}

func TestVMContract(t *testing.T) {
	platformtest.RunVMs(t, func(*testing.T) platformtest.VMs {
		vms := standin.NewVMs()
		return platformtest.VMs{
			VMList:    vms,
			Set:       vms.Set,
			SetDown:   func(down bool) { vms.SetFaults(0, false, down) },
			SetFrozen: func(frozen bool) { vms.SetFaults(0, frozen, false) },
		}
	})
}

// startHost serves host until the test ends and returns its base URL.
func startHost(t *testing.T, host *standin.Host) string {
	standintest.Run(t, host)
	return host.URL()
}

// startPlatform serves a platform until the test ends and returns it with its base URL.
func startPlatform(t *testing.T) (*standin.Platform, string) {
	p, err := standin.NewPlatform("127.0.0.1:0")
	require.NoError(t, err)
	return p, startHost(t, p.Host())
}

// setHTTPFault returns a function that sets a permanent fault at p.
func setHTTPFault(p *standin.Platform) func(platformtest.Fault) {
	faults := map[platformtest.Fault]standin.Faults{
		platformtest.FaultNone:         {},
		platformtest.FaultDown:         {Down: true},
		platformtest.FaultResponseLost: {ResponseLost: standin.AllCalls},
		platformtest.FaultRequestLost:  {RequestLost: standin.AllCalls},
	}
	return func(f platformtest.Fault) { p.SetFaults(faults[f]) }
}

// longTimeout keeps the results independent of the machine's speed.
var longTimeout = platform.Options{Timeout: time.Minute}

func TestTableContractOverHTTP(t *testing.T) {
	platformtest.RunTable(t, func(t *testing.T) platformtest.Table {
		p, url := startPlatform(t)
		return platformtest.Table{TableService: platform.NewTableClient(url, longTimeout), SetFault: setHTTPFault(p)}
	})
}

func TestObjectContractOverHTTP(t *testing.T) {
	platformtest.RunObjects(t, func(t *testing.T) platformtest.Objects {
		p, url := startPlatform(t)
		return platformtest.Objects{ObjectStore: platform.NewObjectClient(url, longTimeout), SetFault: setHTTPFault(p)}
	})
}

func TestVMContractOverHTTP(t *testing.T) {
	platformtest.RunVMs(t, func(t *testing.T) platformtest.VMs {
		p, url := startPlatform(t)
		return platformtest.VMs{
			VMList:    platform.NewVMClient(url, longTimeout),
			Set:       p.VMs.Set,
			SetDown:   func(down bool) { p.SetFaults(standin.Faults{Down: down}) },
			SetFrozen: func(frozen bool) { p.SetFaults(standin.Faults{VMFreeze: frozen}) },
		}
	})
}

func TestVMListLags(t *testing.T) {
	p, _ := startPlatform(t)
	p.VMs.Set([]target.VM{{ID: "a", State: target.StateLive}})
	p.SetFaults(standin.Faults{VMLagMS: time.Hour.Milliseconds()})
	require.True(t, p.VMs.SetState("a", target.StateLeaving))
	vms, err := p.VMs.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, target.StateLive, vms[0].State)
	p.SetFaults(standin.Faults{})
	vms, err = p.VMs.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, target.StateLeaving, vms[0].State)
}

func TestTimedOutWriteMayTakeEffectLater(t *testing.T) {
	p, url := startPlatform(t)
	p.SetFaults(standin.Faults{SlowMS: 300})
	table := platform.NewTableClient(url, platform.Options{Timeout: 100 * time.Millisecond})
	_, err := table.Commit(t.Context(), platform.Write{Key: "a"})
	for errors.Is(err, platform.ErrUnavailable) { // until the call is sent in time
		_, err = table.Commit(t.Context(), platform.Write{Key: "a"})
	}
	require.True(t, errors.Is(err, platform.ErrUncertain), "error %v", err)
	for err != nil {
		_, err = p.Table.Get(t.Context(), "a")
	}
}

func TestClientAbandonsBlackholedConnections(t *testing.T) {
	p, url := startPlatform(t)
	table := platform.NewTableClient(url, longTimeout)
	p.SetFaults(standin.Faults{SlowMS: 50}) // lets the calls overlap
	var callers errgroup.Group
	for range 8 {
		callers.Go(func() error { _, err := table.List(t.Context(), ""); return err })
	}
	require.NoError(t, callers.Wait())
	p.SetFaults(standin.Faults{Blackhole: true})
	shortCtx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := table.List(shortCtx, "")
	require.True(t, errors.Is(err, platform.ErrUnavailable), "error %v", err)
	_, err = table.List(t.Context(), "")
	require.NoError(t, err)
}
