package main

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/process/member"
	check "github.com/mastichollow/mastichollow/internal/process/settings"
	"github.com/mastichollow/mastichollow/internal/target"
)

// slotsPerInteractiveSlot is the default number of slots per additional slot that is
// reserved for interactive work.
const slotsPerInteractiveSlot = 8

// settings are the flags and environment variables of the program.
type settings struct {
	member.Settings

	Listen string `help:"Address of the fleet listener (UDP)." placeholder:"IP:PORT"`

	Pool             string `help:"Model or service that the target offers." placeholder:"NAME"`
	Kind             string `help:"Kind of the target: model or service." default:"model"`
	Slots            int    `help:"Requests at which the target produces all it can." default:"8"`
	InteractiveSlots int    `help:"Slots beyond --slots that take interactive work only; -1: an eighth of the slots, one at least." default:"-1"`

	TargetURL  string `name:"target-url" help:"Base URL of the target." placeholder:"URL"`
	ObjectsURL string `name:"objects-url" help:"Base URL of the platform's object store." placeholder:"URL"`

	Hold         time.Duration `help:"Time for which a granted slot waits for its request." default:"2s"`
	BeginTimeout time.Duration `help:"Longest wait for the head of the target's answer." default:"60s"`
	Progress     time.Duration `help:"Longest time without a byte of an answer that has begun." default:"30s"`
	Keep         time.Duration `help:"Time for which a finished answer is kept for a router that lost its stream." default:"15s"`
	KeepBytes    int           `help:"Bytes of all finished answers that are kept." default:"4194304"`
}

// validate reports all invalid settings in one error and fills in derived defaults.
func (s *settings) validate() error {
	var errs check.Errors
	s.Check(&errs)
	errs.Check("listen", check.Addr(s.Listen))
	errs.Check("pool", check.Name(s.Pool))
	check.CheckEach(&errs, check.URL, map[string]string{"target-url": s.TargetURL, "objects-url": s.ObjectsURL})
	errs.Check("kind", checkKind(s.Kind))
	errs.Check("slots", check.AtLeast(s.Slots, 1))
	if s.InteractiveSlots == -1 {
		s.InteractiveSlots = max(s.Slots/slotsPerInteractiveSlot, 1)
	}
	if s.InteractiveSlots < 0 {
		errs.Check("interactive-slots", errors.Newf("%d is below -1", s.InteractiveSlots))
	}
	check.CheckEach(&errs, check.Positive, map[string]time.Duration{
		"hold": s.Hold, "begin-timeout": s.BeginTimeout, "progress": s.Progress, "keep": s.Keep,
	})
	errs.Check("keep-bytes", check.AtLeast(s.KeepBytes, 1))
	return errs.Join()
}

func checkKind(value string) error {
	switch target.Kind(value) {
	case target.KindModel, target.KindService:
		return nil
	default:
		return errors.Newf("%q is neither %q nor %q", value, target.KindModel, target.KindService)
	}
}
