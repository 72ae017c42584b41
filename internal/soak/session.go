package soak

import (
	"bufio"
	"context"
	_ "embed"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/process/settings"
)

// Session is a series of runs, configured by the command line.
type Session struct {
	Version     kong.VersionFlag `help:"Print the version and exit." env:"-"`
	Program     string           `help:"Path of mastichollow-gate." default:"bin/mastichollow-gate"`
	Seeds       int              `help:"Number of seeds, from --first on." default:"50"`
	First       uint64           `help:"First seed." default:"1"`
	Fresh       time.Duration    `help:"Play new seeds for this long instead; 0: play --seeds." default:"0s"`
	Kept        bool             `help:"Play the seeds that failed once first." default:"true" negatable:""`
	Length      time.Duration    `help:"Time with faults of each run." default:"12s"`
	Gates       int              `help:"Gates of a run, a process each." default:"3"`
	Targets     int              `help:"Targets of each of three services." default:"3"`
	Callers     int              `help:"Callers of each gate." default:"6"`
	Evacuations bool             `help:"Evacuate failure domains too."`
	Jobs        int              `help:"Runs at once." default:"3"`
	Dir         string           `help:"Folder for the logs of runs that fail." default:"soak-failures"`
	Keep        bool             `help:"Keep the logs of all runs there."`
	Demo        bool             `help:"Show one deployment and what it promises instead."`
}

// seedsFile lists the seeds that once violated a guarantee, each with its cause.
//
//go:embed seeds.txt
var seedsFile string

// Check returns an error that names each invalid setting.
func (s *Session) Check() error {
	var invalid settings.Errors
	for name, value := range map[string]int{
		"seeds": s.Seeds, "gates": s.Gates, "targets": s.Targets, "callers": s.Callers, "jobs": s.Jobs,
	} {
		invalid.Check(name, settings.AtLeast(float64(value), 1))
	}
	invalid.Check("length", settings.AtLeast(s.Length.Seconds(), 1))
	invalid.Check("fresh", settings.AtLeast(s.Fresh.Seconds(), 0))
	return invalid.Join()
}

// RegressionSeeds returns the seeds of seeds.txt.
func RegressionSeeds() ([]uint64, error) {
	var seeds []uint64
	lines := bufio.NewScanner(strings.NewReader(seedsFile))
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		number, cause, _ := strings.Cut(line, "|")
		seed, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
		if err != nil || strings.TrimSpace(cause) == "" {
			return nil, errors.Newf("seeds.txt: %q is not SEED | CAUSE", line)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// Run runs the session and prints a line for each seed. It returns an error if a
// guarantee was violated.
func (s *Session) Run(ctx context.Context, out io.Writer) error {
	if s.Demo {
		return s.runDemo(ctx, out)
	}
	seeds := make(chan uint64)
	var sendErr error
	go func() {
		defer close(seeds)
		sendErr = s.sendSeeds(ctx, seeds)
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	finished, violated := 0, 0
	var runErr error
	for range s.Jobs {
		wg.Go(func() {
			for seed := range seeds {
				result, err := s.runSeed(ctx, seed)
				mu.Lock()
				if err == nil {
					finished++
					violated += min(1, len(result.Violations))
					result.print(out)
				} else if ctx.Err() == nil {
					runErr = errors.CombineErrors(runErr, errors.Wrapf(err, "seed %d", seed))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	_, _ = fmt.Fprintf(out, "%d seeds played, %d with a broken promise\n", finished, violated)
	if violated > 0 {
		runErr = errors.CombineErrors(runErr, errors.Newf("%d seeds broke a promise; logs are in %s", violated, s.Dir))
	}
	return errors.CombineErrors(runErr, sendErr)
}

// sendSeeds sends the seeds to run.
func (s *Session) sendSeeds(ctx context.Context, seeds chan<- uint64) error {
	send := func(seed uint64) bool {
		select {
		case seeds <- seed:
			return true
		case <-ctx.Done():
			return false
		}
	}
	if s.Kept {
		kept, err := RegressionSeeds()
		if err != nil {
			return err
		}
		for _, seed := range kept {
			send(seed)
		}
	}
	if s.Fresh > 0 {
		end := time.Now().Add(s.Fresh)
		for seed := uint64(time.Now().UnixMilli()); time.Now().Before(end) && send(seed); seed++ {
		}
		return nil
	}
	for i := range s.Seeds {
		if !send(s.First + uint64(i)) {
			break
		}
	}
	return nil
}

// runSeed runs one seed and saves its logs if a guarantee was violated.
func (s *Session) runSeed(ctx context.Context, seed uint64) (*Result, error) {
	dir, err := os.MkdirTemp("", "mastichollow-soak")
	if err != nil {
		return nil, errors.Wrap(err, "creating a log directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	result, err := Run(ctx, seed, Config{
		ProgramPath: s.Program, Dir: dir, FaultDuration: s.Length, Gates: s.Gates, Targets: s.Targets, Callers: s.Callers, Evacuations: s.Evacuations,
	})
	if err != nil || len(result.Violations) == 0 && !s.Keep {
		return result, err
	}
	return result, s.saveLogs(dir, result)
}

func (s *Session) saveLogs(dir string, result *Result) error {
	logDir := filepath.Join(s.Dir, strconv.FormatUint(result.Seed, 10))
	if err := errors.CombineErrors(os.RemoveAll(logDir), os.MkdirAll(logDir, 0o755)); err != nil {
		return errors.Wrap(err, "saving logs")
	}
	if err := os.CopyFS(logDir, os.DirFS(dir)); err != nil {
		return errors.Wrap(err, "saving logs")
	}
	report, err := os.Create(filepath.Join(logDir, "report.txt"))
	if err != nil {
		return errors.Wrap(err, "writing report")
	}
	result.print(report)
	for _, step := range result.Plan {
		_, _ = fmt.Fprintln(report, step)
	}
	return errors.Wrap(report.Close(), "writing report")
}

// maxPrintedViolations bounds the violations printed for one seed.
const maxPrintedViolations = 12

func (r *Result) print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "seed %-14d %-8s %3d steps %5d calls %v broken %d\n", r.Seed, r.Profile, r.Steps, r.Calls, r.Statuses, len(r.Violations))
	for i, v := range r.Violations {
		if i == maxPrintedViolations {
			_, _ = fmt.Fprintf(out, "  and %d more\n", len(r.Violations)-i)
			break
		}
		_, _ = fmt.Fprintf(out, "  %s\n", v)
	}
}
