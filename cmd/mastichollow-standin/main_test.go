package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/standin/load"
)

// runMainEnv is the environment variable that makes the test binary run main.
const runMainEnv = "MASTICHOLLOW_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
	}
	os.Exit(m.Run())
}

func command(ctx context.Context, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), runMainEnv+"=1")
	return cmd
}

// startProgram starts the program. At the end of the test the program must exit with code 0
// on SIGTERM.
func startProgram(t *testing.T, args ...string) addresses {
	cmd := command(context.Background(), args...)
	stdout, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		require.NoError(t, cmd.Wait())
	})
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	require.NoError(t, err)
	var a addresses
	require.NoError(t, json.Unmarshal(line, &a))
	return a
}

func TestEachRoleServesAndStops(t *testing.T) {
	for role, path := range map[string]string{
		"platform": platform.PathVMs, "engine": "/health", "service": "/health",
	} {
		a := startProgram(t, role, "--listen=127.0.0.1:0")
		require.Equal(t, role, a.Role)
		for _, url := range []string{a.Addr + path, a.Admin + standin.PathFaults} {
			resp, err := http.Get("http://" + url)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, http.StatusOK, resp.StatusCode, url)
		}
	}
}

func TestPlatformReadsVMList(t *testing.T) {
	file := filepath.Join(t.TempDir(), "vms.json")
	require.NoError(t, os.WriteFile(file, []byte(`[{"id":"a","state":"live"}]`), 0o600))
	a := startProgram(t, "platform", "--vms", file)
	vms, err := platform.NewVMClient("http://"+a.Addr, platform.Options{}).List(t.Context())
	require.NoError(t, err)
	require.Len(t, vms, 1)
	require.NoError(t, os.WriteFile(file, []byte(`[{"id":"a","state":"lively"}]`), 0o600))
	out, err := command(t.Context(), "platform", "--vms", file).CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(out), "lively")
}

func TestLoadPrintsJSONReport(t *testing.T) {
	a := startProgram(t, "engine", "--first-token=1ms", "--token-interval=1ms")
	cmd := command(t.Context(), "load", "--url=http://"+a.Addr, "--count=5", "--verify", "--workspace=a=1;b=1")
	out, err := cmd.Output()
	require.NoError(t, err)
	var report load.Report
	require.NoError(t, json.Unmarshal(out, &report))
	require.Equal(t, 5, report.Succeeded)
}

func TestEveryInvalidSettingReported(t *testing.T) {
	for _, c := range []struct {
		args   []string
		faults []string
	}{
		{[]string{"load", "--url=http://192.0.2.1:80", "--rate=0"}, []string{"192.0.2.1", "rate"}},
		{[]string{"engine", "--slots=0", "--token-interval=-1s", "--batch-slowdown=-1"}, []string{"slots", "token-interval", "batch-slowdown"}},
		{[]string{"service", "--slots=0", "--time=-1s"}, []string{"slots", "time"}},
	} {
		var stderr bytes.Buffer
		cmd := command(t.Context(), c.args...)
		cmd.Stderr = &stderr
		require.Error(t, cmd.Run(), c.args)
		for _, fault := range c.faults {
			require.Contains(t, stderr.String(), fault)
		}
	}
}

func TestVersionFlagHasNoEnvironmentVariable(t *testing.T) {
	out, err := command(t.Context(), "--help").CombinedOutput()
	require.NoError(t, err)
	require.Contains(t, string(out), "--version")
	require.NotContains(t, string(out), "MASTICHOLLOW_STANDIN_VERSION")
}
