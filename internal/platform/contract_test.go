package platform_test

import (
	"testing"
	"time"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/platform/platformtest"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/standin/standintest"
)

// runDecorated runs the contract of a table service on decorated stand-ins.
func runDecorated(t *testing.T, decorate func(*testing.T, platform.TableService) platform.TableService) {
	platformtest.RunTableInBubble(t, func(t *testing.T) platformtest.Table {
		table := standin.NewTable()
		return platformtest.Table{TableService: decorate(t, table), SetFault: standintest.SetFault(table.SetFault)}
	})
}

// neverOpen keeps the circuit breaker out of the contract's cases.
const neverOpen = 1 << 20

func guarded(_ *testing.T, table platform.TableService) platform.TableService {
	return platform.NewGuarded(table, platform.GuardConfig{Failures: neverOpen})
}

func batched(t *testing.T, table platform.TableService) platform.TableService {
	return runBatcher(t, table, 64)
}

const tick = 20 * time.Millisecond

func TestGuardedKeepsTableContract(t *testing.T) { runDecorated(t, guarded) }

func TestBatcherKeepsTableContract(t *testing.T) { runDecorated(t, batched) }

func TestBatcherOverGuardedKeepsTableContract(t *testing.T) {
	runDecorated(t, func(t *testing.T, table platform.TableService) platform.TableService {
		return batched(t, guarded(t, table))
	})
}
