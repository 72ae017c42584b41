package soak

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/process/processtest"
)

func TestMain(m *testing.M) {
	os.Exit(processtest.Main(m, "github.com/mastichollow/mastichollow/cmd/mastichollow-gate"))
}

// TestShortSoak runs two seeds, one with planned operations only and one with all
// kinds of faults.
func TestShortSoak(t *testing.T) {
	for _, seed := range []uint64{1, 4} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			result, err := Run(t.Context(), seed, Config{
				ProgramPath: processtest.Path("mastichollow-gate"), Dir: t.TempDir(), FaultDuration: 5 * time.Second, Gates: 3, Targets: 2, Callers: 4,
			})
			require.NoError(t, err)
			require.Empty(t, result.Violations, "%v", result.Plan)
			require.Greater(t, result.Statuses[200], 100)
		})
	}
}

// runShortSoak plays a seed and requires that no guarantee was violated.
func runShortSoak(t *testing.T, seed uint64, dir string) *Result {
	t.Helper()
	result, err := Run(t.Context(), seed, Config{
		ProgramPath: processtest.Path("mastichollow-gate"), Dir: dir, FaultDuration: 9 * time.Second, Gates: 3, Targets: 3, Callers: 4,
	})
	require.NoError(t, err)
	require.Empty(t, result.Violations, "%v", result.Plan)
	return result
}

func TestShortSoakWithCrashingPart(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	result := runShortSoak(t, crashingSeedStep, dir)
	require.Positive(t, result.Crashes, "the part crashed no target")
	if result.Crashes < boundingCrash {
		require.True(t, partBlocked(t, dir), "%d crashes, and no gate blocked the part", result.Crashes)
	}
}

// partBlocked reports whether the log of a gate says that it blocked the crashing part.
func partBlocked(t *testing.T, dir string) bool {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(dir, "gate-*.log"))
	require.NoError(t, err)
	require.NotEmpty(t, logs)
	for _, file := range logs {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, `"part blocked"`) && strings.Contains(line, `"part":"`+crashingPart+`"`) {
				return true
			}
		}
	}
	return false
}

func TestShortSoakWithRequestLimits(t *testing.T) {
	t.Parallel()
	result := runShortSoak(t, limitingSeedStep, t.TempDir())
	require.Positive(t, result.LimitUses)
}

func TestShortSoakWithRestoredStore(t *testing.T) {
	t.Parallel()
	result := runShortSoak(t, restoringSeedStep, t.TempDir())
	require.Positive(t, result.Restores)
}

// TestShortSoakWithEvacuations guards against requests that reach an evacuated failure
// domain. Its seed holds planned operations only and stops one gate of three, once.
func TestShortSoakWithEvacuations(t *testing.T) {
	t.Parallel()
	result, err := Run(t.Context(), 37, Config{
		ProgramPath: processtest.Path("mastichollow-gate"), Dir: t.TempDir(), FaultDuration: 9 * time.Second, Gates: 3, Targets: 3, Callers: 4, Evacuations: true,
	})
	require.NoError(t, err)
	require.Empty(t, result.Violations, "%v", result.Plan)
	require.Positive(t, result.Evacuations)
}

func TestRegressionSeedsHaveCause(t *testing.T) {
	_, err := RegressionSeeds()
	require.NoError(t, err)
}

func TestCheckNamesEachInvalidSetting(t *testing.T) {
	err := (&Session{Seeds: 0, Gates: -1, Targets: 1, Callers: 1, Jobs: 1, Length: time.Second}).Check()
	require.ErrorContains(t, err, "seeds")
	require.ErrorContains(t, err, "gates")
	require.NotContains(t, err.Error(), "targets")
}
