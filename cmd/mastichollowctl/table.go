package main

import (
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/workspace"
)

// tableCommand holds the commands on the workspace table.
type tableCommand struct {
	Plan   planCommand   `cmd:"" help:"Show the difference that a table file would make, and the version planned against."`
	Apply  applyCommand  `cmd:"" help:"Replace the rows of the table by those of a file."`
	Export exportCommand `cmd:"" help:"Print the table as a table file."`
	Status statusCommand `cmd:"" help:"Show which processes have which version in force; exit code 5 while some are pending."`
}

// tableFile is the command-line argument for a table file.
type tableFile struct {
	File string `arg:"" help:"Table file: CSV with one row per workspace." type:"existingfile"`
}

func (f tableFile) read() ([]workspace.Row, error) {
	file, err := os.Open(f.File)
	if err != nil {
		return nil, errors.Wrap(err, "opening the table file")
	}
	defer func() { _ = file.Close() }()
	return workspace.ReadFile(file)
}

type planCommand struct {
	platformSettings
	tableFile
}

// Run prints the plan.
func (c *planCommand) Run(e *env) error {
	rows, err := c.read()
	if err != nil {
		return err
	}
	plan, err := c.operator().Plan(e.ctx, rows)
	if err != nil {
		return err
	}
	e.printDifferences(plan.Differences)
	e.printf("planned against version %d; apply with: table apply --against %d %s\n", plan.BaseVersion, plan.BaseVersion, c.File)
	return nil
}

type applyCommand struct {
	platformSettings
	tableFile
	Against uint64        `help:"Version that the change was planned against; 0: there is no table yet." required:""`
	Wait    time.Duration `help:"Time to wait until the change is in force in every live process; 0: do not wait." default:"0s"`
}

// Run applies the file and, with --wait, waits until it is in force.
func (c *applyCommand) Run(e *env) error {
	rows, err := c.read()
	if err != nil {
		return err
	}
	op := c.operator()
	result, err := op.Apply(e.ctx, rows, c.Against)
	if err != nil {
		return err
	}
	e.printDifferences(result.Differences)
	e.printf("table version %d\n", result.Version)
	if c.Wait <= 0 {
		return nil
	}
	if err := op.WaitInForce(e.ctx, result.Version, c.Wait, e.printPending); err != nil {
		return err
	}
	e.printf("in force in every live process\n")
	return nil
}

func (e *env) printPending(pending []string) {
	if len(pending) > 0 {
		e.printf("pending: %s\n", strings.Join(pending, ", "))
	}
}

type exportCommand struct {
	platformSettings
}

// Run prints the table as a table file.
func (c *exportCommand) Run(e *env) error {
	table, err := c.operator().Current(e.ctx)
	if err != nil {
		return err
	}
	return table.WriteFile(e.out)
}

type statusCommand struct {
	platformSettings
}

// Run prints the status and returns an error while processes are pending.
func (c *statusCommand) Run(e *env) error {
	status, err := c.operator().Status(e.ctx)
	if err != nil {
		return err
	}
	e.printStatus(status)
	return status.Err()
}
