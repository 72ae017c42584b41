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
	Pool   string      // model or service that the target serves
	Kind   target.Kind // determines how the target's service is charged
	Slots  int         // number of requests that run on the target concurrently

	// InteractiveSlots is the number of slots that batch requests must not use.
	InteractiveSlots int

	Limits Limits

	Store    *fleet.Store
	Target   engine.Client
	Claims   claim.Claimer    // nil: requests that need a claim are refused
	Suspects suspect.Registry // nil: suspects are refused
	// Fence returns the agent's fencing number. The agent is not ready until it
	// has returned one. If nil, calls to the target carry no fencing number.
	Fence FenceFunc

	Logger     hclog.Logger          // nil: nothing is logged
	Registerer prometheus.Registerer // nil: metrics are not exported
}

// Limits are the time and memory bounds of an Agent. A zero field means the
// default.
type Limits struct {
	GrantTimeout      time.Duration // how long a grant waits for Run
	HeartbeatInterval time.Duration // longest time without a message to the router of a running request
	PlatformTimeout   time.Duration // longest call to the platform
	ProbeInterval     time.Duration // between probes of the target; also the timeout of a probe
	ChargeInterval    time.Duration // between charges of running requests of plain services
	OrphanTimeout     time.Duration // how long a repeatable request runs without a stream
	AnswerRetention   time.Duration // how long a finished answer is retained for Resume
	CloseTimeout      time.Duration // how long to wait for the router to close a finished stream

	WindowBytes         int // bytes of a running answer retained for Resume
	MaxRetainedBytes    int // bytes of all finished answers retained for Resume
	MaxClaimAnswerBytes int // largest answer that is stored under a claim
}

// Default limits.
const (
	defaultGrantTimeout        = 2 * time.Second
	defaultHeartbeatInterval   = time.Second
	defaultPlatformTimeout     = 2 * time.Second
	defaultProbeInterval       = time.Second
	defaultChargeInterval      = 100 * time.Millisecond
	defaultOrphanTimeout       = 15 * time.Second
	defaultAnswerRetention     = 15 * time.Second
	defaultCloseTimeout        = 5 * time.Second
	defaultWindowBytes         = 256 << 10
	defaultMaxRetainedBytes    = 4 << 20
	defaultMaxClaimAnswerBytes = 256 << 10
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.GrantTimeout, defaultGrantTimeout)
	setDefault(&l.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&l.PlatformTimeout, defaultPlatformTimeout)
	setDefault(&l.ProbeInterval, defaultProbeInterval)
	setDefault(&l.ChargeInterval, defaultChargeInterval)
	setDefault(&l.OrphanTimeout, defaultOrphanTimeout)
	setDefault(&l.AnswerRetention, defaultAnswerRetention)
	setDefault(&l.CloseTimeout, defaultCloseTimeout)
	setDefault(&l.WindowBytes, defaultWindowBytes)
	setDefault(&l.MaxRetainedBytes, defaultMaxRetainedBytes)
	setDefault(&l.MaxClaimAnswerBytes, defaultMaxClaimAnswerBytes)
	return l
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// validate returns all errors of c joined into one.
func (c *Config) validate() error {
	var err error
	check := func(failed bool, format string, args ...any) {
		if failed {
			err = errors.Join(err, errors.Newf(format, args...))
		}
	}
	check(c.ID == "", "ID is empty")
	check(c.Pool == "", "pool is empty")
	check(c.Kind != target.KindModel && c.Kind != target.KindService,
		"kind %q is neither %q nor %q", c.Kind, target.KindModel, target.KindService)
	check(c.Slots < 1, "%d slots are fewer than 1", c.Slots)
	check(c.InteractiveSlots < 0 || c.InteractiveSlots >= max(c.Slots, 1),
		"%d interactive slots are not between 0 and %d", c.InteractiveSlots, c.Slots-1)
	check(c.Store == nil, "store is missing")
	check(c.Target == nil, "target is missing")
	return err
}
