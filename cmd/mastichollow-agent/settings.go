package main

import (
	"net"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/process"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
)

// interactiveShare is the part of the slots, one in so many, that stays free of
// batch work by default.
const interactiveShare = 8

// settings are the flags and environment variables of the program.
type settings struct {
	ID        string `help:"VM ID." placeholder:"ID"`
	Domain    string `help:"Failure domain of the VM." placeholder:"NAME"`
	Region    string `help:"Region of the VM." placeholder:"NAME"`
	Listen    string `help:"Address of the fleet listener (UDP)." placeholder:"IP:PORT"`
	Advertise string `help:"Address by which others reach the fleet listener; the listen address if empty." placeholder:"IP:PORT"`
	Admin     string `help:"Address of the admin listener (TCP): /metrics, /healthz, /readyz." placeholder:"IP:PORT"`
	FleetKey  string `help:"Fleet key, or several joined by commas: the first signs, all are accepted." placeholder:"KEY"`

	Pool             string `help:"Model or service that the target offers." placeholder:"NAME"`
	Kind             string `help:"Kind of the target: model or service." default:"model"`
	Slots            int    `help:"Requests that run on the target at once." default:"8"`
	InteractiveSlots int    `help:"Slots that stay free of batch work; -1: an eighth of the slots." default:"-1"`

	TargetURL  string `name:"target-url" help:"Base URL of the target." placeholder:"URL"`
	TableURL   string `name:"table-url" help:"Base URL of the platform's table service." placeholder:"URL"`
	VMsURL     string `name:"vms-url" help:"Base URL of the platform's VM list." placeholder:"URL"`
	ObjectsURL string `name:"objects-url" help:"Base URL of the platform's object store." placeholder:"URL"`

	Hold            time.Duration `help:"Time for which a granted slot waits for its request." default:"2s"`
	BeginTimeout    time.Duration `help:"Longest wait for the head of the target's answer." default:"60s"`
	Progress        time.Duration `help:"Longest time without a byte of an answer that has begun." default:"30s"`
	PlatformTimeout time.Duration `help:"Longest call to the platform." default:"2s"`
	Keep            time.Duration `help:"Time for which a finished answer is kept for a router that lost its stream." default:"15s"`
	KeepBytes       int           `help:"Bytes of all finished answers that are kept." default:"4194304"`

	Version kong.VersionFlag `help:"Print the version and exit." env:"-"`

	Log process.LogSettings `embed:"" prefix:"log-"`
}

// validate names every fault of the settings at once and fills in what follows
// from others.
func (s *settings) validate() error {
	var faults []error
	fault := func(flag string, err error) {
		if err != nil {
			faults = append(faults, errors.Wrapf(err, "--%s", flag))
		}
	}
	for flag, value := range map[string]string{"id": s.ID, "domain": s.Domain, "region": s.Region, "pool": s.Pool} {
		fault(flag, checkName(value))
	}
	fault("listen", checkAddr(s.Listen))
	fault("admin", checkAddr(s.Admin))
	if s.Advertise != "" {
		fault("advertise", checkAddr(s.Advertise))
	}
	for flag, value := range map[string]string{
		"target-url": s.TargetURL, "table-url": s.TableURL, "vms-url": s.VMsURL, "objects-url": s.ObjectsURL,
	} {
		fault(flag, checkURL(value))
	}
	_, err := transport.ParseKeys(s.FleetKey)
	fault("fleet-key", err)
	fault("kind", checkKind(s.Kind))
	fault("slots", atLeast(s.Slots, 1))
	if s.InteractiveSlots == -1 {
		s.InteractiveSlots = s.Slots / interactiveShare
	}
	if s.InteractiveSlots < 0 || s.InteractiveSlots >= max(s.Slots, 1) {
		fault("interactive-slots", errors.Newf("%d is not between 0 and %d", s.InteractiveSlots, s.Slots-1))
	}
	for flag, value := range map[string]time.Duration{
		"hold": s.Hold, "begin-timeout": s.BeginTimeout, "progress": s.Progress,
		"platform-timeout": s.PlatformTimeout, "keep": s.Keep,
	} {
		fault(flag, positive(value))
	}
	fault("keep-bytes", atLeast(s.KeepBytes, 1))
	slices.SortFunc(faults, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(faults...)
}

func checkName(value string) error {
	if value == "" {
		return errors.New("is missing")
	}
	return nil
}

func checkAddr(value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return errors.Newf("%q is not an address IP:PORT", value)
	}
	if net.ParseIP(host) == nil {
		return errors.Newf("%q does not begin with an IP number", value)
	}
	return nil
}

func checkURL(value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.Newf("%q is not an http or https URL", value)
	}
	return nil
}

func checkKind(value string) error {
	switch target.Kind(value) {
	case target.KindModel, target.KindService:
		return nil
	default:
		return errors.Newf("%q is neither %q nor %q", value, target.KindModel, target.KindService)
	}
}

func atLeast(value, least int) error {
	if value < least {
		return errors.Newf("%d is less than %d", value, least)
	}
	return nil
}

func positive(value time.Duration) error {
	if value <= 0 {
		return errors.Newf("%s is not positive", value)
	}
	return nil
}
