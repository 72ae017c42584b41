package experiment

import (
	"fmt"
	"slices"
	"time"
)

// Deployment describes one user's fleet, with one pool of model engines.
type Deployment struct {
	Name           string
	Regions        int // each is one failure domain
	Agents         int
	OtherMembers   int // agents of the other pool, which send reports too
	Routers        int
	Slots          int     // concurrent requests at which a target reaches its full throughput
	UnitsPerSecond float64 // of one request while at most Slots run
	LocalDelay     time.Duration
	RemoteDelay    time.Duration // one way, between regions
	Workspaces     []Workspace
}

// Workspace is the demand of one workspace.
type Workspace struct {
	Weight          float64
	Callers         int     // each has one batch request outstanding at any time
	InteractiveRate float64 // interactive requests/s
	OpenLoopRate    float64 // batch requests/s, sent without waiting for answers
	Start           time.Duration
	Regions         []float64 // relative weights of the callers, by region
}

// Capacity returns the throughput of the pool, in units/s.
func (d *Deployment) Capacity() float64 { return float64(d.Agents*d.Slots) * d.UnitsPerSecond }

const (
	// minBatchCost and maxBatchCost bound the costs of batch requests, in units.
	minBatchCost = 300
	maxBatchCost = 3000
	// meanInteractiveCost is the mean cost of interactive requests, in units.
	meanInteractiveCost = 100
)

// Muistopurkki returns the fleet of letter-writer workers.
func Muistopurkki() Deployment {
	return Deployment{
		Name: "muistopurkki", Regions: 3, Agents: 20, OtherMembers: 3, Routers: 6,
		Slots: 8, UnitsPerSecond: 50,
		LocalDelay: time.Millisecond, RemoteDelay: 30 * time.Millisecond,
		Workspaces: unevenWorkspaces(),
	}
}

// Lens returns the fleet of lens-advice workers.
func Lens() Deployment {
	return Deployment{
		Name: "lens", Regions: 3, Agents: 10, OtherMembers: 3, Routers: 6,
		Slots: 8, UnitsPerSecond: 50,
		LocalDelay: 300 * time.Microsecond, RemoteDelay: 100 * time.Millisecond,
		Workspaces: unevenWorkspaces(),
	}
}

// WorkspaceCountDeployments returns Muistopurkki's fleet with increasing numbers of
// backlogged workspaces and the same capacity.
func WorkspaceCountDeployments() []Deployment {
	var list []Deployment
	for _, n := range []int{47, 150, 470} {
		d := Muistopurkki()
		d.Name = fmt.Sprintf("%s-%d-workspaces", d.Name, n)
		d.Workspaces = slices.Repeat([]Workspace{{
			Weight: 1, Callers: 4, InteractiveRate: 0.75 / float64(n), Regions: []float64{1, 1, 1},
		}}, n)
		list = append(list, d)
	}
	return list
}

// unevenWorkspaces returns fifteen workspaces, three of them with a larger weight and
// more callers. They are distributed unevenly over the regions; two are in one region
// only.
func unevenWorkspaces() []Workspace {
	list := make([]Workspace, 15)
	for i := range list {
		list[i] = Workspace{Weight: 1, Callers: 30, InteractiveRate: 0.05, Regions: []float64{1, 1, 1}}
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
