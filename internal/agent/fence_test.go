package agent

import (
	"context"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/standin"
)

// newTableService returns a table service without faults.
func newTableService() *standin.Table { return standin.NewTable() }

// newDownTableService returns a table service that is down.
func newDownTableService() *standin.Table {
	table := standin.NewTable()
	table.SetFault(func(string, string) standin.Fault { return standin.FaultDown })
	return table
}

func TestFencingNumberGrows(t *testing.T) {
	table := standin.NewTable()
	next := TableFence(table, "vm-1")
	first, err := next(context.Background())
	require.NoError(t, err)
	for _, fault := range []standin.Fault{standin.FaultDown, standin.FaultResponseLost, standin.FaultRequestLost} {
		table.SetFault(func(op, _ string) standin.Fault {
			if op == "commit" {
				return fault
			}
			return standin.FaultNone
		})
		_, err := next(context.Background())
		require.Error(t, err)
	}
	table.SetFault(nil)
	second, err := next(context.Background())
	require.NoError(t, err)
	require.Greater(t, second, first)
	other, err := TableFence(table, "vm-2")(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 1, other)
	item, err := table.Get(context.Background(), platform.PrefixFence+"vm-1")
	require.NoError(t, err)
	require.Equal(t, strconv.FormatUint(second, 10), string(item.Value))
}
