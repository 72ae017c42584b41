package experiment

import "time"

// HintError is the error of the cost hints of requests.
type HintError uint8

// Errors of hints.
const (
	HintRough HintError = iota // within a factor of 2
	HintHigh                   // 10 times the cost
	HintLow                    // 0.1 times the cost
	HintMixed                  // HintHigh or HintLow, at random
)

// Scenario describes the faults and the special load of a run. Times are counted from the
// start of the run; 0: never.
type Scenario struct {
	Name    string
	Length  time.Duration
	Routers int // 0: Deployment.Routers
	Hints   HintError
	// LossRate and LateDuplicateRate are the fractions of reports and digests that are
	// lost, or arrive a second time late.
	LossRate, LateDuplicateRate float64
	Flood                       bool
	RestartAt                   time.Duration // all routers restart, region by region
	PartitionStart              time.Duration // region 2 is partitioned from the others until PartitionEnd
	PartitionEnd                time.Duration
	DrainAt                     time.Duration // two agents drain, and two join 30 s later
	NoSpill                     bool          // requests aren't offered to remote regions
	LastWorkspaceStart          time.Duration // the last workspace sends no requests before
}

const defaultLength = 120 * time.Second

// VariantScenarios names the scenarios in which Variants are measured.
var VariantScenarios = []string{"steady", "routers-300", "hints-mixed"}

// Scenarios lists the measured scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Length: defaultLength},
		{Name: "steady-10n", Length: 10 * defaultLength},
		{Name: "routers-3", Length: defaultLength, Routers: 3},
		{Name: "routers-300", Length: defaultLength, Routers: 300},
		{Name: "late", Length: defaultLength, LastWorkspaceStart: 40 * time.Second},
		{Name: "no-spill", Length: defaultLength, NoSpill: true},
		{Name: "no-spill-10n", Length: 10 * defaultLength, NoSpill: true},
		{Name: "flood", Length: defaultLength, Flood: true},
		{Name: "loss", Length: defaultLength, LossRate: 0.3, LateDuplicateRate: 0.3},
		{Name: "hints-x10", Length: defaultLength, Hints: HintHigh},
		{Name: "hints-div10", Length: defaultLength, Hints: HintLow},
		{Name: "hints-mixed", Length: defaultLength, Hints: HintMixed},
		{Name: "restart", Length: defaultLength, RestartAt: 40 * time.Second},
		{Name: "cut", Length: defaultLength, PartitionStart: 40 * time.Second, PartitionEnd: 70 * time.Second},
		{Name: "vms", Length: defaultLength, DrainAt: 40 * time.Second},
	}
}
