// Command mastichollowctl is the operators' command-line tool. It plans and applies the
// workspace table, marks VMs as joining or leaving, shows which version is in force at each
// process, and generates keys.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/operator"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/process"
	"github.com/mastichollow/mastichollow/internal/process/settings"
)

const (
	program     = "mastichollowctl"
	description = `Plans and applies the workspace table, marks VMs, shows what is in force where, and makes keys.

Exit codes: 0 done; 1 error; 2 wrong usage; 3 conflict: the table was changed by someone else and nothing was written;
4 bad table file, refused whole; 5 committed and not yet in force in every live process; 6 platform unavailable, or
effect of the write not known.`
)

// commandLine is the command line of the program.
type commandLine struct {
	Table    tableCommand     `cmd:"" help:"Plan, apply, export the workspace table or show where it is in force."`
	VM       vmCommand        `cmd:"" name:"vm" help:"Mark VMs as joining or leaving, or list them."`
	Key      keyCommand       `cmd:"" help:"Make API keys."`
	FleetKey fleetKeyCommand  `cmd:"" help:"Make keys of the fleet."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// platformSettings are the URLs of the platform and the timeout of its calls.
type platformSettings struct {
	TableURL string        `name:"table-url" help:"URL of the table service." required:"" env:"MASTICHOLLOW_TABLE_URL" placeholder:"URL"`
	VMsURL   string        `name:"vms-url" help:"URL of the VM list." required:"" env:"MASTICHOLLOW_VMS_URL" placeholder:"URL"`
	Timeout  time.Duration `help:"Timeout of one call of the platform." default:"5s" env:"MASTICHOLLOW_PLATFORM_TIMEOUT"`
}

// Validate reports all invalid settings in one error.
func (s platformSettings) Validate() error {
	var errs settings.Errors
	settings.CheckEach(&errs, settings.URL, map[string]string{"table-url": s.TableURL, "vms-url": s.VMsURL})
	if s.Timeout <= 0 {
		errs.Check("timeout", errors.Newf("%s is not above 0", s.Timeout))
	}
	return errs.Join()
}

func (s platformSettings) operator() *operator.Operator {
	options := platform.Options{Timeout: s.Timeout}
	return &operator.Operator{
		Table: platform.NewTableClient(s.TableURL, options),
		VMs:   platform.NewVMClient(s.VMsURL, options),
	}
}

// env is the context and the output of a command.
type env struct {
	ctx context.Context
	out io.Writer
}

func (e *env) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.out, format, args...)
}

func main() {
	ctx, stop := process.SignalContext()
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs the command given by args and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	exitCode := -1
	options := append(process.KongOptions(program, description),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exitCode = code }),
	)
	parser, err := kong.New(&commandLine{}, options...)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "%s: %v\n", program, err)
		return operator.ExitError
	}
	parsed, err := parser.Parse(args)
	if exitCode >= 0 { // --help or --version
		return exitCode
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "%s: %v\n", program, err)
		return operator.ExitUsage
	}
	if err := parsed.Run(&env{ctx: ctx, out: out}); err != nil {
		printError(errOut, err)
		return operator.ExitCode(err)
	}
	return operator.ExitOK
}
