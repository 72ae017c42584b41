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

// KongOptions returns the options of a program's command line: its name, its
// description and what --version prints.
func KongOptions(program, description string) []kong.Option {
	return []kong.Option{
		kong.Name(program),
		kong.Description(description),
		kong.Vars{"version": VersionString(program)},
	}
}

// Main parses the command line into line, checks it and runs the program until
// it is stopped. It returns the exit code: 0 after a graceful shutdown, 1 after
// a failure, 2 for faulty settings.
func Main(program, description string, line any, validate func() error, start func(context.Context) error) int {
	kong.Parse(line, append(KongOptions(program, description), kong.DefaultEnvars("MASTICHOLLOW"))...)
	if err := validate(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: faulty settings:\n%v\n", program, err)
		return exitSettings
	}
	ctx, stop := SignalContext()
	defer stop()
	if err := start(ctx); err != nil {
		return Fail(program, err)
	}
	return exitOK
}

// Fail prints why a program failed and returns its exit code.
func Fail(program string, err error) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	return exitFailure
}
