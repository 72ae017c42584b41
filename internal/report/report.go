// Package report writes measures of policies as lines of text and as bar charts.
package report

import (
	"fmt"
	"io"
)

// Measure is one measured value of a policy in a scenario.
type Measure struct {
	Name     string
	Size     string // name of the deployment
	Policy   string
	Scenario string
	Value    float64
	Decimals int // digits after the decimal point in the output
}

// WriteLines writes one line per measure.
func WriteLines(w io.Writer, measures []Measure) error {
	for _, m := range measures {
		if _, err := fmt.Fprintf(w, "%s size=%s policy=%s scenario=%s value=%.*f\n",
			m.Name, m.Size, m.Policy, m.Scenario, m.Decimals, m.Value); err != nil {
			return err
		}
	}
	return nil
}
