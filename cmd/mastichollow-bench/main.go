// Command mastichollow-bench measures the scheduling policies on a deterministic simulation
// of both users' fleets. It prints one line per measure; the output is the same on each run.
package main

import (
	"io"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/experiment"
	"github.com/mastichollow/mastichollow/internal/overload"
	"github.com/mastichollow/mastichollow/internal/process"
	"github.com/mastichollow/mastichollow/internal/report"
)

const program = "mastichollow-bench"

type settings struct {
	Scenario []string `help:"Scenarios to play; none: all."`
	Policy   []string `help:"Policies to compare; none: all."`
	Size     []string `help:"Deployments to measure; none: all."`
	Parallel int      `help:"Runs made at once." default:"4"`
	Plot     string   `help:"SVG file for a page of bar charts of the measures." placeholder:"FILE"`
}

func main() {
	var s settings
	kong.Parse(&s, kong.Name(program), kong.DefaultEnvars("MASTICHOLLOW"))
	if err := s.run(os.Stdout); err != nil {
		os.Exit(process.Fail(program, err))
	}
}

// job is one simulation run and its result.
type job struct {
	deployment experiment.Deployment
	policy     experiment.Policy
	scenario   experiment.Scenario
	result     experiment.Result
}

// run measures each selected combination of deployment, policy and scenario.
func (s *settings) run(out io.Writer) error {
	jobs := s.jobs()
	var g errgroup.Group
	g.SetLimit(s.Parallel)
	for i := range jobs {
		g.Go(func() error {
			j := &jobs[i]
			j.result = experiment.Run(j.deployment, j.scenario, j.policy)
			return nil
		})
	}
	_ = g.Wait()
	var measures []report.Measure
	for i := range jobs {
		measures = append(measures, jobs[i].measures()...)
	}
	if isSelected(s.Scenario, "flood") {
		measures = append(measures, measureFlood()...)
	}
	if isSelected(s.Scenario, "deployments") {
		measures = append(measures, measureDeployments(s.Parallel)...)
	}
	if err := report.WriteLines(out, measures); err != nil {
		return err
	}
	return s.plot(measures)
}

// plot writes the page of charts if the setting names a file.
func (s *settings) plot(measures []report.Measure) error {
	if s.Plot == "" {
		return nil
	}
	file, err := os.Create(s.Plot)
	if err != nil {
		return errors.Wrap(err, "creating the page of charts")
	}
	return errors.CombineErrors(report.WriteSVG(file, measures), file.Close())
}

// measureFlood simulates the flood under the gate's policy, under one where refused callers
// retry after a second, and under the baseline without shares.
func measureFlood() []report.Measure {
	load := overload.Flood()
	var all []report.Measure
	for _, p := range []struct {
		name   string
		policy func() overload.Policy
	}{
		{"shares", overload.Shares(load)},
		{"return_after_1s", overload.WithRetryAfter(load, time.Second)},
		{"no_shares", overload.NoShares(load)},
	} {
		r := overload.Simulate(load, p.policy)
		below := r.OutcomeExcept(overload.FloodWorkspaces...)
		add := func(name string, value float64) {
			all = append(all, report.Measure{Name: name, Size: "gate", Policy: p.name, Scenario: "flood", Value: value, Decimals: 3})
		}
		add("in_time_below_share", float64(below.InTime)/float64(below.Requests))
		add("in_time_all", float64(r.Total.InTime)/float64(r.Total.Requests))
		add("late_all", float64(r.Total.Late)/float64(r.Total.Requests))
		add("flood_ratio", r.MaxMinTokensRatio(overload.FloodWorkspaces...))
		add("longest_wait_s", r.Total.MaxWait.Seconds())
	}
	return all
}

// jobs returns the selected combinations.
func (s *settings) jobs() []job {
	var jobs []job
	for _, deployment := range []experiment.Deployment{experiment.Muistopurkki(), experiment.Lens()} {
		if !isSelected(s.Size, deployment.Name) {
			continue
		}
		for _, policy := range experiment.Policies() {
			jobs = append(jobs, s.matchingJobs(deployment, policy, nil)...)
		}
		for _, policy := range experiment.Variants() {
			jobs = append(jobs, s.matchingJobs(deployment, policy, experiment.VariantScenarios)...)
		}
	}
	for _, deployment := range experiment.WorkspaceCountDeployments() {
		if isSelected(s.Size, deployment.Name) {
			jobs = append(jobs, s.matchingJobs(deployment, experiment.FleetPolicy(), []string{"steady"})...)
		}
	}
	return jobs
}

// matchingJobs returns the jobs of one policy in the selected scenarios that are among
// names; empty names stand for all scenarios.
func (s *settings) matchingJobs(deployment experiment.Deployment, policy experiment.Policy, names []string) []job {
	var jobs []job
	for _, scenario := range experiment.Scenarios() {
		if isSelected(s.Policy, policy.Name) && isSelected(s.Scenario, scenario.Name) && isSelected(names, scenario.Name) {
			jobs = append(jobs, job{deployment: deployment, policy: policy, scenario: scenario})
		}
	}
	return jobs
}

// isSelected reports whether name is among names; empty names select all.
func isSelected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

// measures returns the measures of a finished job.
func (j *job) measures() []report.Measure {
	r := &j.result
	var all []report.Measure
	add := func(name string, decimals int, value float64) {
		all = append(all, report.Measure{
			Name: name, Size: j.deployment.Name, Policy: j.policy.Name, Scenario: j.scenario.Name, Value: value, Decimals: decimals,
		})
	}
	add("fairness_gap", 2, r.Gap)
	add("fairness_gap_mean", 2, r.MeanGap)
	add("fairness_bound", 2, r.GapBound)
	add("utilisation", 4, r.Utilisation)
	add("first_token_p95_s", 3, r.FirstTokenP95)
	add("control_bytes_per_s_process", 0, r.ProcessBytesPerSecond)
	add("control_bytes_per_s_region_pair", 0, r.RegionPairBytesPerSecond)
	add("config_in_force_s", 2, r.ConfigDelay)
	return all
}
