package overload

import (
	"math/rand/v2"
	"time"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/pace"
)

// Figures says what targets state about their load in responses.
type Figures uint8

// Figures of targets.
const (
	NoFigures   Figures = iota
	LoadFigures         // running, waiting, slots
	PaceFigures         // the same and the pace
)

// Parameters of machines that targets share with others.
const (
	// busyFraction is the fraction of time for which a target works at busyPace, for
	// busyTime at a time.
	busyFraction = 0.15
	busyPace     = 2.5
	busyTime     = 600 * time.Millisecond
)

// Speeds describes how targets differ in speed.
type Speeds struct {
	// Relative holds the time that work takes at each target, relative to the nominal
	// time; targets beyond the last entry start over. Empty: all alike.
	Relative []float64
	// Changed replaces Relative from ChangeAt on; empty: no change.
	Changed  []float64
	ChangeAt time.Duration
	// SharedMachines slows targets down by busyPace for a part of the time.
	SharedMachines bool
	Figures        Figures
}

// relative returns the relative time of a target.
func (s *Speeds) relative(now time.Duration, index int) float64 {
	relative := s.Relative
	if len(s.Changed) > 0 && now >= s.ChangeAt {
		relative = s.Changed
	}
	if len(relative) == 0 {
		return 1
	}
	return relative[index%len(relative)]
}

// statement returns what a target states.
func (s *Speeds) statement(running, waiting, slots int, present float64) pace.Statement {
	stated := pace.Statement{Running: running, Waiting: waiting, Slots: slots}
	switch s.Figures {
	case NoFigures:
		return pace.Statement{}
	case PaceFigures:
		stated.Pace = present
	}
	return stated
}

// machine is a machine that a target shares: its pace changes from time to time.
type machine struct{ pace float64 }

// scheduleMachine makes a machine busy from time to time until length.
func scheduleMachine(m *machine, rng *rand.Rand, length time.Duration, after func(time.Duration, func(time.Duration))) {
	idle := time.Duration(rng.ExpFloat64() * float64(busyTime) * (1 - busyFraction) / busyFraction)
	after(idle, func(now time.Duration) {
		if now > length {
			return
		}
		m.pace = busyPace
		after(busyTime, func(time.Duration) {
			m.pace = 1
			scheduleMachine(m, rng, length, after)
		})
	})
}

// SharesWithoutSpeeds is the gate's policy without learned speeds.
func SharesWithoutSpeeds(load *Load) func() Policy {
	return func() Policy {
		c := admission.NewController(admission.Config{Site: admission.Site{Region: "r", Domain: "d"}, IgnoreSpeeds: true})
		c.SetCapacity(load.TokensPerSecond)
		return c
	}
}
