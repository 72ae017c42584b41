package main

import (
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/overload"
	"github.com/mastichollow/mastichollow/internal/report"
)

const (
	// deployments is how many drawn deployments are played, firstDeployment the seed of
	// the first: tests and tuning use those below.
	deployments     = 100
	firstDeployment = 1000
)

// comparedPolicies are those that drawn deployments compare.
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

// quantiles are those of a distribution that are shown.
var quantiles = []struct {
	name string
	at   float64
}{{"p05", 0.05}, {"p50", 0.5}, {"p95", 0.95}}

// playDeployments plays drawn deployments against each policy and shows what callers
// get as distributions.
func playDeployments(parallel int) []report.Measure {
	var all []report.Measure
	for _, p := range comparedPolicies {
		inTime, late, starved := distributions(parallel, p.policy)
		add := func(name string, value float64) {
			all = append(all, report.Measure{Name: name, Size: "drawn", Policy: p.name, Scenario: "deployments", Value: value, Decimals: 3})
		}
		for _, q := range quantiles {
			add("in_time_"+q.name, quantile(inTime, q.at))
		}
		add("late_p95", quantile(late, 0.95))
		add("deployments_with_a_starved_workspace", float64(starved))
	}
	return all
}

// distributions returns the parts of requests in time and late, in order, and the
// number of deployments with a starved workspace.
func distributions(parallel int, policy func(*overload.Load) func() overload.Policy) (inTime, late []float64, starved int) {
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(parallel)
	for i := range uint64(deployments) {
		g.Go(func() error {
			load := overload.GenerateDeployment(firstDeployment + i)
			r := overload.Simulate(load, policy(load))
			mu.Lock()
			defer mu.Unlock()
			inTime = append(inTime, r.Total.InTimeFraction())
			late = append(late, float64(r.Total.Late)/float64(max(r.Total.Requests, 1)))
			if len(r.StarvedWorkspaces(load.Length)) > 0 {
				starved++
			}
			return nil
		})
	}
	_ = g.Wait() // plays don't fail
	slices.Sort(inTime)
	slices.Sort(late)
	return inTime, late, starved
}

func quantile(sorted []float64, at float64) float64 {
	return sorted[min(int(at*float64(len(sorted))), len(sorted)-1)]
}
