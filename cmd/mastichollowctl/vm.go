package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/mastichollow/mastichollow/internal/workspace"
)

// vmCommand holds the commands on VMs.
type vmCommand struct {
	Join  joinCommand  `cmd:"" help:"Mark a VM as joining: it takes work although the platform lists it as joining."`
	Leave leaveCommand `cmd:"" help:"Mark a VM as leaving: it gets no new work and drains. It stays so under its ID."`
	List  listCommand  `cmd:"" help:"List the VMs with their state under the marks."`
}

// markSettings are the arguments of the commands that mark a VM.
type markSettings struct {
	platformSettings
	ID       string        `arg:"" help:"ID of the VM."`
	Unlisted bool          `help:"Mark the VM although the platform's list does not name it."`
	Wait     time.Duration `help:"Time to wait until the mark is in force in every live process; 0: do not wait." default:"0s"`
}

func (s *markSettings) mark(e *env, mark workspace.Mark) error {
	op := s.operator()
	result, err := op.Mark(e.ctx, s.ID, mark, s.Unlisted)
	if err != nil {
		return err
	}
	e.printf("VM %s is marked %s in table version %d\n", s.ID, mark, result.Version)
	if s.Wait <= 0 {
		return nil
	}
	return op.WaitInForce(e.ctx, result.Version, s.Wait, e.printPending)
}

type joinCommand struct{ markSettings }

// Run marks the VM as joining.
func (c *joinCommand) Run(e *env) error { return c.mark(e, workspace.MarkJoining) }

type leaveCommand struct{ markSettings }

// Run marks the VM as leaving.
func (c *leaveCommand) Run(e *env) error { return c.mark(e, workspace.MarkLeaving) }

type listCommand struct {
	platformSettings
}

// Run lists the VMs with their listed state and their state under the marks.
func (c *listCommand) Run(e *env) error {
	status, err := c.operator().Status(e.ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VM\tROLE\tREGION\tFAILURE DOMAIN\tPOOL\tADDRESS\tLISTED\tSTATE")
	for _, p := range status.Processes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			p.VM.ID, p.VM.Role, p.VM.Region, p.VM.Domain, p.VM.Pool, p.VM.Addr, p.VM.State, p.State)
	}
	return w.Flush()
}
