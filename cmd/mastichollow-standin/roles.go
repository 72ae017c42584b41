package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/target"
)

// platformCommand runs the stand-in for the platform.
type platformCommand struct {
	listenSettings
	VMs string `name:"vms" help:"JSON file with the VM list at start." type:"existingfile" placeholder:"FILE"`
}

// Run runs the platform until ctx is done.
func (c *platformCommand) Run(ctx runContext, logger hclog.Logger) error {
	p, err := standin.NewPlatform(c.Listen)
	if err != nil {
		return err
	}
	if c.VMs != "" {
		vms, err := readVMs(c.VMs)
		if err != nil {
			return err
		}
		p.VMs.Set(vms)
	}
	return c.serve(ctx, logger, "platform", p)
}

func readVMs(path string) ([]target.VM, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading the VM list")
	}
	var vms []target.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, errors.Wrapf(err, "decoding the VM list %q", path)
	}
	return vms, errors.Wrapf(platform.CheckVMs(vms), "VM list %q", path)
}

// engineCommand runs an emulated model engine.
type engineCommand struct {
	listenSettings
	Slots         int           `help:"Requests in one batch." default:"8"`
	FirstToken    time.Duration `help:"Prefill of an empty prompt." default:"50ms"`
	PrefillToken  time.Duration `help:"Prefill of each prompt token that is not cached." default:"50us"`
	TokenInterval time.Duration `help:"Time between tokens of a request that runs alone." default:"20ms"`
	BatchSlowdown float64       `help:"Growth of the token interval for each further running request." default:"0.02"`
	CacheBlocks   int           `help:"Prefix cache in blocks of 16 tokens; 0: no cache." default:"4096"`
}

// Validate returns an error that names every setting out of range.
func (c *engineCommand) Validate() error {
	return errors.Join(
		atLeast("slots", c.Slots, 1),
		atLeast("first-token", c.FirstToken, 0),
		atLeast("prefill-token", c.PrefillToken, 0),
		atLeast("token-interval", c.TokenInterval, 0),
		atLeast("batch-slowdown", c.BatchSlowdown, 0),
		atLeast("cache-blocks", c.CacheBlocks, 0),
	)
}

// Run runs the engine until ctx is done.
func (c *engineCommand) Run(ctx runContext, logger hclog.Logger) error {
	e, err := standin.NewEngine(c.Listen, standin.ModelConfig{
		Slots:         c.Slots,
		FirstToken:    c.FirstToken,
		PrefillToken:  c.PrefillToken,
		TokenInterval: c.TokenInterval,
		BatchSlowdown: c.BatchSlowdown,
		CacheBlocks:   c.CacheBlocks,
	})
	if err != nil {
		return err
	}
	return c.serve(ctx, logger, "engine", e)
}

// serviceCommand runs an emulated plain service.
type serviceCommand struct {
	listenSettings
	Slots int           `help:"Calls that run at once." default:"8"`
	Time  time.Duration `help:"Time of one call in its slot." default:"5ms"`
}

// Validate returns an error that names every setting out of range.
func (c *serviceCommand) Validate() error {
	return errors.Join(atLeast("slots", c.Slots, 1), atLeast("time", c.Time, 0))
}

// Run runs the service until ctx is done.
func (c *serviceCommand) Run(ctx runContext, logger hclog.Logger) error {
	s, err := standin.NewService(c.Listen, standin.ServiceConfig{Slots: c.Slots, Time: c.Time})
	if err != nil {
		return err
	}
	return c.serve(ctx, logger, "service", s)
}

// atLeast returns an error if a setting is below its minimum.
func atLeast[T int | float64 | time.Duration](setting string, value, minimum T) error {
	if value >= minimum {
		return nil
	}
	return errors.Newf("%s is %v, below %v", setting, value, minimum)
}
