package agent

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/claim"
	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/suspect"
	"github.com/mastichollow/mastichollow/internal/target"
)

// Config configures an Agent.
type Config struct {
	ID     string      // VM ID
	Domain string      // failure domain of the agent
	Pool   string      // model or service that the target offers
	Kind   target.Kind // how the target's service is charged
	Slots  int         // requests that run on the target at once

	// InteractiveSlots is the number of slots that stay free of batch work.
	InteractiveSlots int

	Limits Limits

	Store    *fleet.Store
	Target   engine.Client
	Claims   claim.Claimer    // nil: requests that need a claim are refused
	Suspects suspect.Registry // nil: suspects are refused
	// Fence returns the agent's fencing number. The agent is not ready
	// before it returns. Nil: calls carry no fencing number.
	Fence FenceFunc

	Logger     hclog.Logger          // nil: no log
	Registerer prometheus.Registerer // nil: metrics are not exported
}

// Limits are the bounds of time and memory of an Agent. A zero field takes its
// default.
type Limits struct {
	Hold           time.Duration // a grant waits this long for Run
	Heartbeat      time.Duration // longest silence towards the router of a running request
	Platform       time.Duration // longest call to the platform
	ProbeInterval  time.Duration // between checks of the target
	ChargeInterval time.Duration // between charges of running plain services
	Orphan         time.Duration // a repeatable request runs this long without a stream
	Keep           time.Duration // a finished answer is kept this long for Resume
	Linger         time.Duration // wait for the router to close a finished stream

	WindowBytes int // of one running answer kept for Resume
	KeepBytes   int // of all finished answers kept for Resume
	ClaimBytes  int // largest answer stored under a claim
}

// Default limits.
const (
	defaultHold           = 2 * time.Second
	defaultHeartbeat      = time.Second
	defaultPlatform       = 2 * time.Second
	defaultProbeInterval  = time.Second
	defaultChargeInterval = 100 * time.Millisecond
	defaultOrphan         = 15 * time.Second
	defaultKeep           = 15 * time.Second
	defaultLinger         = 5 * time.Second
	defaultWindowBytes    = 256 << 10
	defaultKeepBytes      = 4 << 20
	defaultClaimBytes     = 256 << 10
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.Hold, defaultHold)
	setDefault(&l.Heartbeat, defaultHeartbeat)
	setDefault(&l.Platform, defaultPlatform)
	setDefault(&l.ProbeInterval, defaultProbeInterval)
	setDefault(&l.ChargeInterval, defaultChargeInterval)
	setDefault(&l.Orphan, defaultOrphan)
	setDefault(&l.Keep, defaultKeep)
	setDefault(&l.Linger, defaultLinger)
	setDefault(&l.WindowBytes, defaultWindowBytes)
	setDefault(&l.KeepBytes, defaultKeepBytes)
	setDefault(&l.ClaimBytes, defaultClaimBytes)
	return l
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// validate names every fault of c at once.
func (c *Config) validate() error {
	var err error
	fault := func(bad bool, format string, args ...any) {
		if bad {
			err = errors.Join(err, errors.Newf(format, args...))
		}
	}
	fault(c.ID == "", "ID is empty")
	fault(c.Pool == "", "pool is empty")
	fault(c.Kind != target.KindModel && c.Kind != target.KindService,
		"kind %q is neither %q nor %q", c.Kind, target.KindModel, target.KindService)
	fault(c.Slots < 1, "%d slots are fewer than 1", c.Slots)
	fault(c.InteractiveSlots < 0 || c.InteractiveSlots >= max(c.Slots, 1),
		"%d interactive slots are not between 0 and %d", c.InteractiveSlots, c.Slots-1)
	fault(c.Store == nil, "store is missing")
	fault(c.Target == nil, "target is missing")
	return err
}
