package platform_test

import (
	"testing"
	"time"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/platform/platformtest"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/standin/standintest"
)

// runDecoratedContract runs the contract of a table service on stand-in tables that are
// wrapped by decorate.
func runDecoratedContract(t *testing.T, decorate func(*testing.T, platform.TableService) platform.TableService) {
	platformtest.RunTableInBubble(t, func(t *testing.T) platformtest.Table {
		table := standin.NewTable()
		return platformtest.Table{TableService: decorate(t, table), SetFault: standintest.SetFault(table.SetFault)}
	})
}

// unreachableThreshold is a failure threshold that keeps the circuit breaker closed in
// all cases of the contract.
const unreachableThreshold = 1 << 20

func newResilient(_ *testing.T, table platform.TableService) platform.TableService {
	return platform.NewResilientTable(table, platform.ResilientTableConfig{FailureThreshold: unreachableThreshold})
}

func newBatched(t *testing.T, table platform.TableService) platform.TableService {
	return runBatcher(t, table, 64)
}

const batchInterval = 20 * time.Millisecond

func TestResilientTableContract(t *testing.T) { runDecoratedContract(t, newResilient) }

func TestBatcherTableContract(t *testing.T) { runDecoratedContract(t, newBatched) }

func TestBatcherOverResilientTableContract(t *testing.T) {
	runDecoratedContract(t, func(t *testing.T, table platform.TableService) platform.TableService {
		return newBatched(t, newResilient(t, table))
	})
}
