package main

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/mastichollow/mastichollow/internal/operator"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// printError prints err; the faults of a table file are printed one per line.
func printError(w io.Writer, err error) {
	var faults *workspace.FaultsError
	if !errors.As(err, &faults) {
		_, _ = fmt.Fprintf(w, "%s: %v\n", program, err)
		return
	}
	_, _ = fmt.Fprintf(w, "%s: table file was refused, %d faults:\n", program, len(faults.Faults))
	for _, f := range faults.Faults {
		_, _ = fmt.Fprintf(w, "  %s\n", f)
	}
}

func (e *env) printDifferences(diffs []workspace.Difference) {
	if len(diffs) == 0 {
		e.printf("no differences\n")
	}
	for _, d := range diffs {
		e.printf("%s\n", d)
	}
}

func (e *env) printStatus(s *operator.Status) {
	e.printf("table version %d, change %s\n", s.Version, s.ChangeID)
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VM\tROLE\tFAILURE DOMAIN\tSTATE\tVERSION\tIN FORCE")
	for _, p := range s.Processes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n",
			p.VM.ID, p.VM.Role, p.VM.Domain, p.State, p.Version, inForce(s, p))
	}
	_ = w.Flush()
}

// inForce returns the text that says whether the table is in force at a process.
func inForce(s *operator.Status, p operator.ProcessStatus) string {
	switch {
	case p.Version >= s.Version:
		return "yes"
	case p.Pending:
		return "pending"
	default:
		return "no"
	}
}
