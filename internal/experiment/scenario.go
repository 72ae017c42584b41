package experiment

import "time"

// Hint is how the hint of a request relates to its cost.
type Hint uint8

// Kinds of hints.
const (
	HintRough Hint = iota // off by up to 2 both ways
	HintHigh              // 10 times the cost
	HintLow               // a tenth of the cost
	HintMixed             // either, by chance
)

// Scenario is what happens to a fleet.
type Scenario struct {
	Name    string
	Length  time.Duration
	Routers int // 0: those of the deployment
	Hints   Hint
	// Loss and Repeat are the parts of the reports and digests that are lost
	// or come again late.
	Loss, Repeat float64
	Flood        bool
	Restart      time.Duration // at which all routers restart, region by region
	CutFrom      time.Duration
	CutTo        time.Duration // region 2 is cut off until then
	Leave        time.Duration // at which two agents leave, and two join 30 s later
	NoSpill      bool          // requests stay in their region
	Late         time.Duration // at which the last workspace begins
}

const usualLength = 120 * time.Second

// VariantScenarios names the scenarios in which variants are measured.
var VariantScenarios = []string{"steady", "routers-300", "hints-mixed"}

// Scenarios lists what is measured.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Length: usualLength},
		{Name: "steady-10n", Length: 10 * usualLength},
		{Name: "routers-3", Length: usualLength, Routers: 3},
		{Name: "routers-300", Length: usualLength, Routers: 300},
		{Name: "late", Length: usualLength, Late: 40 * time.Second},
		{Name: "no-spill", Length: usualLength, NoSpill: true},
		{Name: "no-spill-10n", Length: 10 * usualLength, NoSpill: true},
		{Name: "flood", Length: usualLength, Flood: true},
		{Name: "loss", Length: usualLength, Loss: 0.3, Repeat: 0.3},
		{Name: "hints-x10", Length: usualLength, Hints: HintHigh},
		{Name: "hints-div10", Length: usualLength, Hints: HintLow},
		{Name: "hints-mixed", Length: usualLength, Hints: HintMixed},
		{Name: "restart", Length: usualLength, Restart: 40 * time.Second},
		{Name: "cut", Length: usualLength, CutFrom: 40 * time.Second, CutTo: 70 * time.Second},
		{Name: "vms", Length: usualLength, Leave: 40 * time.Second},
	}
}
