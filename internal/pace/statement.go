package pace

// Bounds of the figures that a target may state. Anything outside is a fault: the largest
// engines have 64 slots, and work that takes more than 50 times as long as usual counts as
// a failure elsewhere.
const (
	maxStatedRequests = 1_000_000
	minStatedPace     = 0.02
	maxStatedPace     = 50
)

// Statement is what a target states about its load in a response.
type Statement struct {
	Running, Waiting, Slots int // requests, requests, requests that can run at a time
	// Pace is how long work takes at the moment, relative to the target's usual time; 0:
	// not stated.
	Pace float64
}

// Valid reports whether the figures are plausible. The zero Statement is not valid.
func (s Statement) Valid() bool {
	return s.Running >= 0 && s.Running <= maxStatedRequests && s.Waiting >= 0 && s.Waiting <= maxStatedRequests &&
		s.Slots > 0 && s.Slots <= maxStatedRequests &&
		(s.Pace == 0 || s.Pace >= minStatedPace && s.Pace <= maxStatedPace)
}

// Measure is what was observed of a request. Times of different measures are not comparable.
type Measure uint8

// Measures of requests.
const (
	ResponseTime  Measure = iota // time to the response of a plain service
	EventInterval                // time between events of an engine
	measures
)

// Distances is the number of classes of distance.
const Distances = 3

// Observation is a time that a gate observed.
type Observation struct {
	Measure Measure
	// Distance is the class of distance between the gate and the target, below Distances.
	// Network times count to observed times.
	Distance int
	// Load is the number of requests that the target had when this one was placed,
	// relative to its slots.
	Load float64
	// Ratio is the observed time, divided by what the request would take at a target of
	// mean speed, up to a factor that is the same for all targets of the service.
	Ratio float64
	// Weight is how much the observation counts, above 0 and at most 1.
	Weight float64
	// StatedPace is the pace that the response stated; 0: none.
	StatedPace float64
}
