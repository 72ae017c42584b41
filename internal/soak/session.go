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

// Session is a series of runs as the command line asks for it.
type Session struct {
	Version kong.VersionFlag `help:"Print the version and exit." env:"-"`
	Program string           `help:"Path of mastichollow-gate." default:"bin/mastichollow-gate"`
	Seeds   int              `help:"Number of seeds, from --first on." default:"50"`
	First   uint64           `help:"First seed." default:"1"`
	Fresh   time.Duration    `help:"Play new seeds for this long instead; 0: play --seeds." default:"0s"`
	Kept    bool             `help:"Play the seeds that failed once first." default:"true" negatable:""`
	Length  time.Duration    `help:"Time with faults of each run." default:"12s"`
	Gates   int              `help:"Gates of a run, a process each." default:"3"`
	Targets int              `help:"Targets of each of three services." default:"3"`
	Callers int              `help:"Callers of each gate." default:"6"`
	Jobs    int              `help:"Runs at once." default:"3"`
	Dir     string           `help:"Folder for the logs of runs that fail." default:"soak-failures"`
	Keep    bool             `help:"Keep the logs of all runs there."`
	Demo    bool             `help:"Show one deployment and what it promises instead."`
}

// keptSeeds are the seeds that failed once, each with its cause.
//
//go:embed seeds.txt
var keptSeeds string

// Check returns an error that names each faulty setting.
func (s *Session) Check() error {
	var faults settings.Errors
	for name, value := range map[string]int{
		"seeds": s.Seeds, "gates": s.Gates, "targets": s.Targets, "callers": s.Callers, "jobs": s.Jobs,
	} {
		faults.Check(name, settings.AtLeast(float64(value), 1))
	}
	faults.Check("length", settings.AtLeast(s.Length.Seconds(), 1))
	faults.Check("fresh", settings.AtLeast(s.Fresh.Seconds(), 0))
	return faults.Join()
}

// KeptSeeds returns the seeds that failed once.
func KeptSeeds() ([]uint64, error) {
	var seeds []uint64
	lines := bufio.NewScanner(strings.NewReader(keptSeeds))
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		text, cause, _ := strings.Cut(line, "|")
		seed, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
		if err != nil || strings.TrimSpace(cause) == "" {
			return nil, errors.Newf("seeds.txt: %q is not SEED | CAUSE", line)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// Run plays the session and prints a line for each seed. It fails if a promise
// was broken.
func (s *Session) Run(ctx context.Context, out io.Writer) error {
	if s.Demo {
		return s.runDemo(ctx, out)
	}
	seeds := make(chan uint64)
	var feedErr error
	go func() {
		defer close(seeds)
		feedErr = s.feed(ctx, seeds)
	}()
	var all sync.WaitGroup
	var mu sync.Mutex
	played, broken := 0, 0
	var failed error
	for range s.Jobs {
		all.Go(func() {
			for seed := range seeds {
				result, err := s.play(ctx, seed)
				mu.Lock()
				if err == nil {
					played++
					broken += min(1, len(result.Violations))
					result.print(out)
				} else if ctx.Err() == nil {
					failed = errors.CombineErrors(failed, errors.Wrapf(err, "seed %d", seed))
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	_, _ = fmt.Fprintf(out, "%d seeds played, %d with a broken promise\n", played, broken)
	if broken > 0 {
		failed = errors.CombineErrors(failed, errors.Newf("%d seeds broke a promise; logs are in %s", broken, s.Dir))
	}
	return errors.CombineErrors(failed, feedErr)
}

// feed sends the seeds to play.
func (s *Session) feed(ctx context.Context, seeds chan<- uint64) error {
	send := func(seed uint64) bool {
		select {
		case seeds <- seed:
			return true
		case <-ctx.Done():
			return false
		}
	}
	if s.Kept {
		kept, err := KeptSeeds()
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

// play plays one seed and keeps its logs if a promise was broken.
func (s *Session) play(ctx context.Context, seed uint64) (*Result, error) {
	dir, err := os.MkdirTemp("", "mastichollow-soak")
	if err != nil {
		return nil, errors.Wrap(err, "making a folder for logs")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	result, err := Run(ctx, seed, Config{
		Program: s.Program, Dir: dir, Length: s.Length, Gates: s.Gates, Targets: s.Targets, Callers: s.Callers,
	})
	if err != nil || len(result.Violations) == 0 && !s.Keep {
		return result, err
	}
	return result, s.keep(dir, result)
}

func (s *Session) keep(dir string, result *Result) error {
	kept := filepath.Join(s.Dir, strconv.FormatUint(result.Seed, 10))
	if err := errors.CombineErrors(os.RemoveAll(kept), os.MkdirAll(kept, 0o755)); err != nil {
		return errors.Wrap(err, "keeping logs")
	}
	if err := os.CopyFS(kept, os.DirFS(dir)); err != nil {
		return errors.Wrap(err, "keeping logs")
	}
	report, err := os.Create(filepath.Join(kept, "report.txt"))
	if err != nil {
		return errors.Wrap(err, "keeping a report")
	}
	result.print(report)
	for _, step := range result.Plan {
		_, _ = fmt.Fprintln(report, step)
	}
	return errors.Wrap(report.Close(), "keeping a report")
}

// shownViolations bounds the lines of one seed.
const shownViolations = 12

func (r *Result) print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "seed %-14d %-8s %3d steps %5d calls %v broken %d\n", r.Seed, r.Profile, r.Steps, r.Calls, r.Statuses, len(r.Violations))
	for i, v := range r.Violations {
		if i == shownViolations {
			_, _ = fmt.Fprintf(out, "  and %d more\n", len(r.Violations)-i)
			break
		}
		_, _ = fmt.Fprintf(out, "  %s\n", v)
	}
}
