package operator

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// writeOutcome is the simulated outcome of one write.
type writeOutcome int

const (
	outcomeApplied writeOutcome = iota
	outcomeUnavailable
	outcomeResponseLost
	outcomeRequestLost
	outcomeDelayed // the response is lost and the write takes effect during a later call
	outcomeCount
)

// faultyTable is a table service with chosen outcomes of writes and concurrent writes by
// others. It records every table that was committed.
type faultyTable struct {
	*standin.Table
	chooseOutcome func() writeOutcome
	failRead      func() bool // chooses whether a read fails
	beforeWrite   func()      // runs before each write
	afterWrite    func()      // runs after each write
	delayed       [][]platform.Write
	history       []*workspace.Table
}

func newFaultyTable() *faultyTable {
	return &faultyTable{
		Table:         standin.NewTable(),
		chooseOutcome: func() writeOutcome { return outcomeApplied },
		failRead:      func() bool { return false },
		beforeWrite:   func() {},
		afterWrite:    func() {},
	}
}

func (f *faultyTable) Get(ctx context.Context, key string) (platform.Item, error) {
	f.applyDelayed(ctx)
	if f.failRead() {
		return platform.Item{}, errors.Wrap(platform.ErrUnavailable, "table service is unavailable")
	}
	return f.Table.Get(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
	f.beforeWrite()
	defer func() { f.afterWrite() }()
	f.applyDelayed(ctx)
	lost := errors.Wrap(platform.ErrUncertain, "response was lost")
	switch f.chooseOutcome() {
	case outcomeUnavailable:
		return 0, errors.Wrap(platform.ErrUnavailable, "table service is unavailable")
	case outcomeRequestLost:
		return 0, lost
	case outcomeDelayed:
		f.delayed = append(f.delayed, slices.Clone(writes))
		return 0, lost
	case outcomeResponseLost:
		_, _ = f.commit(ctx, writes)
		return 0, lost
	default:
		return f.commit(ctx, writes)
	}
}

// commit commits writes without a fault and records the table.
func (f *faultyTable) commit(ctx context.Context, writes []platform.Write) (uint64, error) {
	version, err := f.Table.Commit(ctx, writes...)
	if err == nil && writes[0].Key == platform.KeyTable {
		table, decodeErr := workspace.Decode(writes[0].Value, version)
		if decodeErr != nil {
			panic(decodeErr)
		}
		f.history = append(f.history, table)
	}
	return version, err
}

// applyDelayed commits the first delayed write.
func (f *faultyTable) applyDelayed(ctx context.Context) {
	if len(f.delayed) == 0 {
		return
	}
	writes := f.delayed[0]
	f.delayed = f.delayed[1:]
	_, _ = f.commit(ctx, writes)
}

// vmList is a fixed VM list.
type vmList []target.VM

func (v vmList) List(context.Context) ([]target.VM, error) { return v, nil }

func testRow(name string, weight float64) workspace.Row {
	return workspace.Row{Name: name, Weight: weight, QueueLimit: 10, Pools: []string{"*"}}
}

// testOperator returns an operator whose intervals between retries and polls are minimal.
func testOperator(table platform.TableService, vms ...target.VM) *Operator {
	return &Operator{Table: table, VMs: vmList(vms), RetryInterval: 1, PollInterval: 1}
}
