// Command mastichollow-demo sends requests of two workspaces through a running fleet,
// prints a table of expected and observed results, and exits with 0 only if all match.
// scripts/demo.sh starts the fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/mastichollow/mastichollow/internal/demo"
	"github.com/mastichollow/mastichollow/internal/operator"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/process"
)

const (
	program         = "mastichollow-demo"
	platformTimeout = 5 * time.Second
)

// commandLine holds the settings. scripts/fleet.sh writes most of them as environment
// variables.
type commandLine struct {
	Routers    []string         `help:"Base URLs of three routers." required:"" env:"MASTICHOLLOW_DEMO_ROUTERS"`
	Engines    []string         `help:"Base URLs of the engines' admin interfaces." required:"" env:"MASTICHOLLOW_DEMO_ENGINES"`
	Service    string           `help:"Base URL of the plain service's admin interface." required:"" env:"MASTICHOLLOW_DEMO_SERVICE"`
	TableURL   string           `name:"table-url" help:"Base URL of the table service." required:"" env:"MASTICHOLLOW_TABLE_URL"`
	VMsURL     string           `name:"vms-url" help:"Base URL of the VM list." required:"" env:"MASTICHOLLOW_VMS_URL"`
	LettersKey string           `help:"API key of the workspace that writes letters." default:"demo-letters"`
	ShopKey    string           `help:"API key of the workspace of the shop." default:"demo-shop"`
	Drain      string           `help:"VM ID of the agent beside the first engine." default:"letters-1"`
	Agents     []string         `help:"Base URLs of the admin listeners of the model's agents." env:"MASTICHOLLOW_DEMO_AGENTS"`
	Members    []string         `help:"Base URLs of the admin listeners of all routers and agents." env:"MASTICHOLLOW_DEMO_MEMBERS"`
	Shares     bool             `help:"Measure how two backlogged workspaces share the fleet of scripts/shares.sh, beside the model."`
	Version    kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var cl commandLine
	kong.Parse(&cl, kong.Name(program), kong.Vars{"version": process.VersionString(program)})
	options := platform.Options{Timeout: platformTimeout}
	d := demo.New(demo.Config{
		RouterURLs:      cl.Routers,
		EngineAdminURLs: cl.Engines,
		ServiceAdminURL: cl.Service,
		LettersKey:      cl.LettersKey,
		ShopKey:         cl.ShopKey,
		DrainVM:         cl.Drain,
		AgentAdminURLs:  cl.Agents,
		MemberAdminURLs: cl.Members,
		Operator: &operator.Operator{
			Table: platform.NewTableClient(cl.TableURL, options),
			VMs:   platform.NewVMClient(cl.VMsURL, options),
		},
	})
	ctx, stop := process.SignalContext()
	passed := run(ctx, d, cl.Shares)
	stop()
	if !passed {
		os.Exit(1)
	}
}

// run measures the shares, or runs the checks and reports whether all passed.
func run(ctx context.Context, d *demo.Demo, shares bool) bool {
	if shares {
		programs, model, err := d.MeasureShares(ctx)
		printShares(programs, model, err)
		return err == nil
	}
	return demo.Print(os.Stdout, d.Run(ctx))
}

func printShares(programs, model demo.Measurement, err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	fmt.Printf("%-10s %16s %12s %20s\n", "", "fairness gap, s", "utilisation", "region pair, B/s")
	for name, m := range map[string]demo.Measurement{"programs": programs, "model": model} {
		fmt.Printf("%-10s %16.2f %12.3f %20.0f\n", name, m.FairnessGap, m.Utilisation, m.RegionPairRate)
	}
}
