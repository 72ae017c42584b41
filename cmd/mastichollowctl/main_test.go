package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/operator"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/standin/standintest"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const header = "name,key_hashes,weight,rate_limit,concurrency,queue_limit,pools\n"

// testCtl runs commands against a stand-in for the platform.
type testCtl struct {
	t        *testing.T
	platform *standin.Platform
}

func newTestCtl(t *testing.T) *testCtl {
	p, err := standin.NewPlatform("127.0.0.1:0")
	require.NoError(t, err)
	standintest.Run(t, p.Host())
	url := "http://" + p.Host().Addr()
	t.Setenv("MASTICHOLLOW_TABLE_URL", url)
	t.Setenv("MASTICHOLLOW_VMS_URL", url)
	return &testCtl{t: t, platform: p}
}

// run runs a command, checks its exit code and returns its output.
func (c *testCtl) run(code int, args ...string) string {
	c.t.Helper()
	var out, errOut bytes.Buffer
	exitCode := run(context.Background(), args, &out, &errOut)
	require.Equal(c.t, code, exitCode, "%v: %s%s", args, out.String(), errOut.String())
	return out.String() + errOut.String()
}

// writeTableFile writes a table file.
func (c *testCtl) writeTableFile(rows ...string) string {
	path := filepath.Join(c.t.TempDir(), "table.csv")
	data := header + strings.Join(rows, "\n") + "\n"
	require.NoError(c.t, os.WriteFile(path, []byte(data), 0o600))
	return path
}

func TestTableCommands(t *testing.T) {
	c := newTestCtl(t)
	first := c.writeTableFile("shop,,3,0,0,10,shop-api")
	require.Contains(t, c.run(operator.ExitOK, "table", "plan", first), "--against 0")
	require.Contains(t, c.run(operator.ExitOK, "table", "apply", "--against", "0", first), "add workspace shop")

	second := c.writeTableFile("shop,,5,0,0,10,shop-api")
	require.Contains(t, c.run(operator.ExitOK, "table", "plan", second), `change workspace shop: weight "3" -> "5"`)
	out := c.run(operator.ExitConflict, "table", "apply", "--against", "0", second)
	require.Contains(t, out, "version 0")
	require.Contains(t, out, "version 1")
	require.Equal(t, header+"shop,,3,0,0,10,shop-api\n", c.run(operator.ExitOK, "table", "export"))

	bad := c.writeTableFile("shop,,x,0,0,10,shop-api", "Big Shop,,1,0,0,0,")
	out = c.run(operator.ExitInvalidFile, "table", "apply", "--against", "1", bad)
	for _, fault := range []string{
		`row 2, column "weight"`, `row 3, column "name"`, `row 3, column "queue_limit"`, `row 3, column "pools"`,
	} {
		require.Contains(t, out, fault)
	}
	require.Contains(t, c.run(operator.ExitOK, "table", "export"), "shop,,3,")
}

// TestTableAtDesignSize applies a table with the number of workspaces that the system is
// designed for.
func TestTableAtDesignSize(t *testing.T) {
	c := newTestCtl(t)
	var rows []string
	for i := range 4700 {
		rows = append(rows, fmt.Sprintf("ws-%04d,%s,1,0,0,100,letter-writer", i, workspace.HashKey(fmt.Sprint(i))))
	}
	c.run(operator.ExitOK, "table", "apply", "--against", "0", c.writeTableFile(rows...))
	require.Equal(t, header+strings.Join(rows, "\n")+"\n", c.run(operator.ExitOK, "table", "export"))
}

func TestVMCommands(t *testing.T) {
	c := newTestCtl(t)
	c.platform.VMs.Set([]target.VM{
		{ID: "a1", Addr: "127.0.0.1:1", Role: target.RoleAgent, Region: "north", Domain: "d1", Pool: "p", Kind: target.KindModel, State: target.StateLive},
	})
	c.run(operator.ExitOK, "table", "apply", "--against", "0", c.writeTableFile("shop,,3,0,0,10,shop-api"))
	require.Contains(t, c.run(operator.ExitPending, "table", "status"), "pending")
	require.Regexp(t, `a1.* live +live`, c.run(operator.ExitOK, "vm", "list"))
	c.run(operator.ExitError, "vm", "leave", "a2")
	c.run(operator.ExitOK, "vm", "leave", "a1")
	require.Regexp(t, `a1.* live +leaving`, c.run(operator.ExitOK, "vm", "list"))
	c.run(operator.ExitError, "vm", "join", "a1")
	c.run(operator.ExitOK, "table", "status")
}

func TestPlatformUnavailable(t *testing.T) {
	c := newTestCtl(t)
	c.platform.SetFaults(standin.Faults{Down: true})
	c.run(operator.ExitPlatform, "table", "export")
	c.run(operator.ExitPlatform, "table", "status")
}

func TestUsageErrorReportsEveryInvalidFlag(t *testing.T) {
	out := (&testCtl{t: t}).run(operator.ExitUsage, "table", "export", "--table-url", "x", "--vms-url", "y", "--timeout", "0s")
	for _, flag := range []string{"--table-url", "--vms-url", "--timeout"} {
		require.Contains(t, out, flag+":")
	}
	(&testCtl{t: t}).run(operator.ExitUsage, "table", "destroy")
}

func TestNewKeyMatchesPrintedHash(t *testing.T) {
	out := (&testCtl{t: t}).run(operator.ExitOK, "key", "new")
	found := regexp.MustCompile(`^key   (\S+)\nhash  (\S+)\n$`).FindStringSubmatch(out)
	require.NotNil(t, found, out)
	require.Equal(t, workspace.HashKey(found[1]), found[2])
	require.NotEqual(t, out, (&testCtl{t: t}).run(operator.ExitOK, "key", "new"))
}
