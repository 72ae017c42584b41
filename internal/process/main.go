package process

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes of Main.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

// KongOptions returns the kong options for a program: its name, its description and the
// text that --version prints.
func KongOptions(program, description string) []kong.Option {
	return []kong.Option{
		kong.Name(program),
		kong.Description(description),
		kong.Vars{"version": VersionString(program)},
	}
}

// Main parses the command line into commandLine, validates it and runs the program until
// it is stopped. It returns the exit code: 0 after a graceful shutdown, 1 after a failure,
// 2 for invalid settings.
func Main(program, description string, commandLine any, validate func() error, start func(context.Context) error) int {
	kong.Parse(commandLine, append(KongOptions(program, description), kong.DefaultEnvars("MASTICHOLLOW"))...)
	if err := validate(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: invalid settings:\n%v\n", program, err)
		return exitSettings
	}
	ctx, stop := SignalContext()
	defer stop()
	if err := start(ctx); err != nil {
		return Fail(program, err)
	}
	return exitOK
}

// Fail prints err to standard error and returns the exit code for a failure.
func Fail(program string, err error) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	return exitFailure
}
