package member

import (
	"time"

	"github.com/alecthomas/kong"

	"github.com/mastichollow/mastichollow/internal/process"
	"github.com/mastichollow/mastichollow/internal/process/settings"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
)

// Settings are the flags and environment variables that all processes of the fleet share,
// for embedding in a kong command line.
type Settings struct {
	ID        string `help:"VM ID." placeholder:"ID"`
	Domain    string `help:"Failure domain of the VM." placeholder:"NAME"`
	Region    string `help:"Region of the VM." placeholder:"NAME"`
	Advertise string `help:"Address by which others reach the fleet listener; its own address if empty." placeholder:"IP:PORT"`
	Admin     string `help:"Address of the admin listener (TCP): /metrics, /healthz, /readyz." placeholder:"IP:PORT"`
	FleetKey  string `help:"Fleet key, or several joined by commas: the first signs, all are accepted." placeholder:"KEY"`

	TableURL        string        `name:"table-url" help:"Base URL of the platform's table service." placeholder:"URL"`
	VMsURL          string        `name:"vms-url" help:"Base URL of the platform's VM list." placeholder:"URL"`
	PlatformTimeout time.Duration `help:"Longest call to the platform." default:"2s"`
	Seeds           []string      `help:"Routers that are asked for the table and the VM list when the platform does not answer at the start." placeholder:"IP:PORT"`

	Version kong.VersionFlag `help:"Print the version and exit." env:"-"`

	Log process.LogSettings `embed:"" prefix:"log-"`
}

// Check adds an error to errs for each invalid setting.
func (s *Settings) Check(errs *settings.Errors) {
	settings.CheckEach(errs, settings.Name, map[string]string{"id": s.ID, "domain": s.Domain, "region": s.Region})
	errs.Check("admin", settings.Addr(s.Admin))
	if s.Advertise != "" {
		errs.Check("advertise", settings.Addr(s.Advertise))
	}
	_, err := transport.ParseKeys(s.FleetKey)
	errs.Check("fleet-key", err)
	settings.CheckEach(errs, settings.URL, map[string]string{"table-url": s.TableURL, "vms-url": s.VMsURL})
	errs.Check("platform-timeout", settings.Positive(s.PlatformTimeout))
	for _, seed := range s.Seeds {
		errs.Check("seeds", settings.Addr(seed))
	}
}

// peer identifies this process to the processes that it connects to.
func (s *Settings) peer() transport.Peer {
	return transport.Peer{Member: s.ID, Domain: s.Domain, Region: s.Region}
}

// vm returns the entry of this VM in the fleet. listen is the address of the fleet listener,
// which is advertised unless the settings give another address.
func (s *Settings) vm(listen string, spec *Spec) target.VM {
	addr := s.Advertise
	if addr == "" {
		addr = listen
	}
	return target.VM{
		ID:     s.ID,
		Addr:   addr,
		Role:   spec.Role,
		Region: s.Region,
		Domain: s.Domain,
		Pool:   spec.Pool,
		Kind:   spec.Kind,
		State:  target.StateLive,
	}
}
