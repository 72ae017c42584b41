// Package report writes measures of policies as lines and as plots.
package report

import (
	"fmt"
	"io"
)

// Measure is one figure of a policy on a load.
type Measure struct {
	Name     string
	Size     string // of the deployment
	Policy   string
	Scenario string
	Value    float64
	Decimals int // shown
}

// WriteLines writes a line a measure.
func WriteLines(w io.Writer, measures []Measure) error {
	for _, m := range measures {
		if _, err := fmt.Fprintf(w, "%s size=%s policy=%s scenario=%s value=%.*f\n",
			m.Name, m.Size, m.Policy, m.Scenario, m.Decimals, m.Value); err != nil {
			return err
		}
	}
	return nil
}
