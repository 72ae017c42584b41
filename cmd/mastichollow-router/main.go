// Command mastichollow-router is the entry of the fleet for callers.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/mastichollow/mastichollow/internal/process"
)

const program = "mastichollow-router"

func main() {
	os.Exit(run())
}

// run runs the program and returns its exit code: 0 after a graceful shutdown,
// 1 after a failure, 2 for faulty settings.
func run() int {
	var s settings
	kong.Parse(&s,
		kong.Name(program),
		kong.Description("Entry of the fleet: authenticates callers, offers their requests to agents and relays the answers."),
		kong.Vars{"version": process.VersionString(program)},
		kong.DefaultEnvars("MASTICHOLLOW"),
	)
	if err := s.validate(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: faulty settings:\n%v\n", program, err)
		return 2
	}
	ctx, stop := process.SignalContext()
	defer stop()
	if err := start(ctx, &s); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return 1
	}
	return 0
}
