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

// fate is what becomes of one write.
type fate int

const (
	fateDone fate = iota
	fateDown
	fateAnswerLost
	fateRequestLost
	fateLate // the answer is lost and the write lands at a later call
	fates
)

// faultyTable is a table service whose writes meet chosen fates, and on which
// others may write first. It keeps every table that was committed.
type faultyTable struct {
	*standin.Table
	choose  func() fate
	deaf    func() bool // whether a read fails
	before  func()      // runs before each write
	after   func()      // runs after each write
	late    [][]platform.Write
	history []*workspace.Table
}

func newFaultyTable() *faultyTable {
	return &faultyTable{
		Table:  standin.NewTable(),
		choose: func() fate { return fateDone },
		deaf:   func() bool { return false },
		before: func() {},
		after:  func() {},
	}
}

func (f *faultyTable) Get(ctx context.Context, key string) (platform.Item, error) {
	f.landLate(ctx)
	if f.deaf() {
		return platform.Item{}, errors.Wrap(platform.ErrUnavailable, "table service is down")
	}
	return f.Table.Get(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
	f.before()
	defer func() { f.after() }()
	f.landLate(ctx)
	lost := errors.Wrap(platform.ErrUncertain, "answer was lost")
	switch f.choose() {
	case fateDown:
		return 0, errors.Wrap(platform.ErrUnavailable, "table service is down")
	case fateRequestLost:
		return 0, lost
	case fateLate:
		f.late = append(f.late, slices.Clone(writes))
		return 0, lost
	case fateAnswerLost:
		_, _ = f.commit(ctx, writes)
		return 0, lost
	default:
		return f.commit(ctx, writes)
	}
}

// commit commits writes without a fault and keeps the table.
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

// landLate lets the first late write land.
func (f *faultyTable) landLate(ctx context.Context) {
	if len(f.late) == 0 {
		return
	}
	writes := f.late[0]
	f.late = f.late[1:]
	_, _ = f.commit(ctx, writes)
}

// vmList is a fixed VM list.
type vmList []target.VM

func (v vmList) List(context.Context) ([]target.VM, error) { return v, nil }

func testRow(name string, weight float64) workspace.Row {
	return workspace.Row{Name: name, Weight: weight, QueueLimit: 10, Pools: []string{"*"}}
}

// testOperator returns an operator that does not pause between tries.
func testOperator(table platform.TableService, vms ...target.VM) *Operator {
	return &Operator{Table: table, VMs: vmList(vms), Pause: 1, Poll: 1}
}
