// Command mastichollow-bench measures the policies on a model of both users'
// fleets. It prints one line a measure, the same on each run.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/experiment"
	"github.com/mastichollow/mastichollow/internal/overload"
)

type settings struct {
	Scenario []string `help:"Scenarios to play; none: all."`
	Policy   []string `help:"Policies to compare; none: all."`
	Size     []string `help:"Deployments to measure; none: all."`
	Parallel int      `help:"Runs made at once." default:"4"`
}

func main() {
	var s settings
	kong.Parse(&s, kong.Name("mastichollow-bench"), kong.DefaultEnvars("MASTICHOLLOW"))
	s.run(os.Stdout)
}

// job is one run to make.
type job struct {
	size     experiment.Deployment
	policy   experiment.Policy
	scenario experiment.Scenario
	result   experiment.Result
}

// run measures each combination that was asked for.
func (s *settings) run(out io.Writer) {
	jobs := s.jobs()
	var g errgroup.Group
	g.SetLimit(s.Parallel)
	for i := range jobs {
		g.Go(func() error {
			j := &jobs[i]
			j.result = experiment.Run(j.size, j.scenario, j.policy)
			return nil
		})
	}
	_ = g.Wait()
	for i := range jobs {
		jobs[i].print(out)
	}
	if wanted(s.Scenario, "flood") {
		printFlood(out)
	}
}

// printFlood plays the flood against the gate's policy, one that lets refused
// callers come back after a second, and the baseline without shares.
func printFlood(out io.Writer) {
	load := overload.Flood()
	for _, p := range []struct {
		name   string
		policy func() overload.Policy
	}{
		{"shares", overload.Shares(load)},
		{"return_after_1s", overload.ReturnLater(load, time.Second)},
		{"no_shares", overload.NoShares(load)},
	} {
		r := overload.Play(load, p.policy)
		below := r.Below(overload.FloodNames...)
		line := func(measure string, value float64) {
			_, _ = fmt.Fprintf(out, "%s size=gate policy=%s scenario=flood value=%.3f\n", measure, p.name, value)
		}
		line("in_time_below_share", float64(below.InTime)/float64(below.Asked))
		line("in_time_all", float64(r.Total.InTime)/float64(r.Total.Asked))
		line("late_all", float64(r.Total.Late)/float64(r.Total.Asked))
		line("flood_ratio", r.Ratio(overload.FloodNames...))
		line("longest_wait_s", r.Total.LongestWait.Seconds())
	}
}

// jobs lists the combinations that were asked for.
func (s *settings) jobs() []job {
	var jobs []job
	for _, size := range []experiment.Deployment{experiment.Muistopurkki(), experiment.Lens()} {
		if !wanted(s.Size, size.Name) {
			continue
		}
		for _, policy := range experiment.Policies() {
			jobs = append(jobs, s.play(size, policy, nil)...)
		}
		for _, policy := range experiment.Variants() {
			jobs = append(jobs, s.play(size, policy, experiment.VariantScenarios)...)
		}
	}
	for _, size := range experiment.Curve() {
		if wanted(s.Size, size.Name) {
			jobs = append(jobs, s.play(size, experiment.Chosen(), []string{"steady"})...)
		}
	}
	return jobs
}

// play lists the runs of one policy in the scenarios that were asked for among
// those named; none: all.
func (s *settings) play(size experiment.Deployment, policy experiment.Policy, names []string) []job {
	var jobs []job
	for _, scenario := range experiment.Scenarios() {
		if wanted(s.Policy, policy.Name) && wanted(s.Scenario, scenario.Name) && wanted(names, scenario.Name) {
			jobs = append(jobs, job{size: size, policy: policy, scenario: scenario})
		}
	}
	return jobs
}

func wanted(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

// print writes one line a measure.
func (j *job) print(out io.Writer) {
	r := &j.result
	line := func(measure, format string, value float64) {
		_, _ = fmt.Fprintf(out, "%s size=%s policy=%s scenario=%s value="+format+"\n",
			measure, j.size.Name, j.policy.Name, j.scenario.Name, value)
	}
	line("fairness_gap", "%.2f", r.Gap)
	line("fairness_gap_mean", "%.2f", r.GapMean)
	line("fairness_bound", "%.2f", r.Bound)
	line("utilisation", "%.4f", r.Utilisation)
	line("first_token_p95_s", "%.3f", r.FirstToken)
	line("control_bytes_per_s_process", "%.0f", r.ProcessRate)
	line("control_bytes_per_s_region_pair", "%.0f", r.RegionRate)
	line("config_in_force_s", "%.2f", r.Config)
}
