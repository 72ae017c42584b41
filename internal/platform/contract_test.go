package platform_test

import (
	"testing"
	"time"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/platform/platformtest"
	"github.com/mastichollow/mastichollow/internal/standin"
)

// newSubject returns a stand-in table behind decorators.
func newSubject(decorate func(platform.TableService) platform.TableService) platformtest.Table {
	table := standin.NewTable()
	faults := map[platformtest.Fault]standin.Fault{
		platformtest.Down:        standin.FaultDown,
		platformtest.AnswerLost:  standin.FaultAnswerLost,
		platformtest.RequestLost: standin.FaultRequestLost,
	}
	return platformtest.Table{
		TableService: decorate(table),
		SetFault: func(f platformtest.Fault) {
			table.SetFault(func(string, string) standin.Fault { return faults[f] })
		},
	}
}

// runDecorated runs the contract of a table service on decorated stand-ins.
func runDecorated(t *testing.T, decorate func(*testing.T, platform.TableService) platform.TableService) {
	platformtest.RunTableInBubble(t, func(t *testing.T) platformtest.Table {
		return newSubject(func(table platform.TableService) platform.TableService { return decorate(t, table) })
	})
}

// neverOpen keeps the circuit breaker out of the contract's cases.
const neverOpen = 1 << 20

func guarded(_ *testing.T, table platform.TableService) platform.TableService {
	return platform.NewGuarded(table, platform.GuardConfig{Failures: neverOpen})
}

func batched(t *testing.T, table platform.TableService) platform.TableService {
	b := platform.NewBatcher(table, tick, 64)
	go func() { _ = b.Run(t.Context()) }()
	return b
}

const tick = 20 * time.Millisecond

func TestGuardedKeepsTableContract(t *testing.T) { runDecorated(t, guarded) }

func TestBatcherKeepsTableContract(t *testing.T) { runDecorated(t, batched) }

func TestBatcherOverGuardedKeepsTableContract(t *testing.T) {
	runDecorated(t, func(t *testing.T, table platform.TableService) platform.TableService {
		return batched(t, guarded(t, table))
	})
}
