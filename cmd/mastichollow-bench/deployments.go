package main

import (
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/overload"
	"github.com/mastichollow/mastichollow/internal/report"
)

const (
	// deploymentCount is the number of generated deployments to simulate.
	// firstDeploymentSeed is the seed of the first. Lower seeds are used by tests and for
	// tuning, so that the measured deployments are not those tuned for.
	deploymentCount     = 100
	firstDeploymentSeed = 1000
)

// comparedPolicies are the policies simulated on each generated deployment.
var comparedPolicies = []struct {
	name   string
	policy func(*overload.Load) func() overload.Policy
}{
	{"shares", overload.Shares},
	{"no_shares", overload.NoShares},
	{"least_loaded", overload.LeastLoaded},
	{"fixed_limit", overload.FixedLimit},
	{"random", overload.Random},
}

// quantiles are the reported quantiles of a distribution.
var quantiles = []struct {
	name     string
	fraction float64
}{{"p05", 0.05}, {"p50", 0.5}, {"p95", 0.95}}

// measureDeployments simulates each policy on the generated deployments and returns
// quantiles of the results that callers receive.
func measureDeployments(parallel int) []report.Measure {
	var all []report.Measure
	for _, p := range comparedPolicies {
		inTime, late, starved := deploymentDistributions(parallel, p.policy)
		add := func(name string, value float64) {
			all = append(all, report.Measure{Name: name, Size: "drawn", Policy: p.name, Scenario: "deployments", Value: value, Decimals: 3})
		}
		for _, q := range quantiles {
			add("in_time_"+q.name, quantile(inTime, q.fraction))
		}
		add("late_p95", quantile(late, 0.95))
		add("deployments_with_a_starved_workspace", float64(starved))
	}
	return all
}

// deploymentDistributions returns, per deployment and sorted, the fractions of requests
// answered in time and late, and the number of deployments with a starved workspace.
func deploymentDistributions(parallel int, policy func(*overload.Load) func() overload.Policy) (inTime, late []float64, starved int) {
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(parallel)
	for i := range uint64(deploymentCount) {
		g.Go(func() error {
			load := overload.GenerateDeployment(firstDeploymentSeed + i)
			r := overload.Simulate(load, policy(load))
			mu.Lock()
			defer mu.Unlock()
			inTime = append(inTime, r.Total.InTimeFraction())
			late = append(late, float64(r.Total.Late)/float64(max(r.Total.Requests, 1)))
			if len(r.StarvedWorkspaces()) > 0 {
				starved++
			}
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
	slices.Sort(inTime)
	slices.Sort(late)
	return inTime, late, starved
}

func quantile(sorted []float64, fraction float64) float64 {
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}
