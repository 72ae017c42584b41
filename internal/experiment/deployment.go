package experiment

import (
	"fmt"
	"slices"
	"time"
)

// Deployment is the size of one user's fleet, one pool of model engines.
type Deployment struct {
	Name         string
	Regions      int // one failure domain each
	Agents       int
	OtherMembers int // agents of the other pool, which report as well
	Routers      int
	Slots        int     // requests at which a target produces all it can
	Speed        float64 // units/s of a request while no more than Slots run
	Near         time.Duration
	Far          time.Duration // one way between regions
	Workspaces   []Workspace
}

// Workspace is the demand of one workspace.
type Workspace struct {
	Weight  float64
	Callers int     // batch requests outstanding at any time
	Quick   float64 // interactive requests/s
	Flood   float64 // batch requests/s without waiting for answers
	From    time.Duration
	Regions []float64 // shares of the callers by region
}

// Capacity returns what the pool produces, in units/s.
func (d *Deployment) Capacity() float64 { return float64(d.Agents*d.Slots) * d.Speed }

const (
	// minCost and maxCost bound the costs of batch requests, in units.
	minCost = 300
	maxCost = 3000
	// quickCost is the mean cost of interactive requests, in units.
	quickCost = 100
)

// Muistopurkki returns the fleet of letter-writer workers.
func Muistopurkki() Deployment {
	return Deployment{
		Name: "muistopurkki", Regions: 3, Agents: 20, OtherMembers: 3, Routers: 6,
		Slots: 8, Speed: 50,
		Near: time.Millisecond, Far: 30 * time.Millisecond,
		Workspaces: workspaces(),
	}
}

// Lens returns the fleet of lens-advice workers.
func Lens() Deployment {
	return Deployment{
		Name: "lens", Regions: 3, Agents: 10, OtherMembers: 3, Routers: 6,
		Slots: 8, Speed: 50,
		Near: 300 * time.Microsecond, Far: 100 * time.Millisecond,
		Workspaces: workspaces(),
	}
}

// Curve returns Muistopurkki's fleet with more backlogged workspaces and the same
// capacity.
func Curve() []Deployment {
	var list []Deployment
	for _, n := range []int{47, 150, 470} {
		d := Muistopurkki()
		d.Name = fmt.Sprintf("%s-%d-workspaces", d.Name, n)
		d.Workspaces = slices.Repeat([]Workspace{{
			Weight: 1, Callers: 4, Quick: 0.75 / float64(n), Regions: []float64{1, 1, 1},
		}}, n)
		list = append(list, d)
	}
	return list
}

// workspaces returns fifteen, three of them large, spread unevenly: two are in
// one region only.
func workspaces() []Workspace {
	list := make([]Workspace, 15)
	for i := range list {
		list[i] = Workspace{Weight: 1, Callers: 30, Quick: 0.05, Regions: []float64{1, 1, 1}}
		list[i].Regions[i%3] += float64(i % 4)
	}
	for i := range 3 {
		list[i].Weight = 4
		list[i].Callers = 120
	}
	list[13].Regions = []float64{0, 0, 1}
	list[14].Regions = []float64{1, 0, 0}
	return list
}
