// Command mastichollow-standin runs one stand-in for the platform or for a target, or a
// load generator. It serves tests and the demo only.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"

	"github.com/mastichollow/mastichollow/internal/process"
)

const (
	program     = "mastichollow-standin"
	description = "In-memory platform and targets with faults that can be set over an admin interface."
)

// commandLine is the command line of the program.
type commandLine struct {
	Platform platformCommand  `cmd:"" help:"Run the table service, the object store and the VM list."`
	Engine   engineCommand    `cmd:"" help:"Run a model engine."`
	Service  serviceCommand   `cmd:"" help:"Run a plain service."`
	Load     loadCommand      `cmd:"" help:"Send a load to a router or an engine on a loopback address and print a report as JSON."`
	Version  kong.VersionFlag `help:"Print the version and exit." env:"-"`

	process.LogSettings `embed:"" prefix:"log-"`
}

func main() {
	os.Exit(run())
}

// run runs the program and returns its exit code.
func run() int {
	var line commandLine
	options := append(process.KongOptions(program, description), kong.DefaultEnvars("MASTICHOLLOW_STANDIN"))
	parsed := kong.Parse(&line, options...)
	ctx, stop := process.SignalContext()
	defer stop()
	parsed.BindTo(ctx, (*runContext)(nil))
	parsed.BindTo(line.NewLogger(program), (*hclog.Logger)(nil))
	if err := parsed.Run(); err != nil {
		return process.Fail(program, err)
	}
	return 0
}
