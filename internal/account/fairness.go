package account

import (
	"fmt"
	"io"
	"time"

	"github.com/mastichollow/mastichollow/internal/starvation"
)

const (
	// windowStep is the distance between two fairness windows.
	windowStep = 250 * time.Millisecond
	// maxFairnessSeconds bounds the memory of the fairness windows, which cover the
	// first seconds of the logs.
	maxFairnessSeconds = 900
	// lowestMargins is the number of workspaces that the tables show.
	lowestMargins = 8
)

// addFairness finds the window of each workspace with the least margin above the
// fairness floor.
func (s *Summary) addFairness(requests []request) {
	var meters []*starvation.Meter
	wholeSeconds := min(len(s.Seconds), maxFairnessSeconds) - 1
	for offset := time.Duration(0); offset < time.Second; offset += windowStep {
		meter := starvation.NewMeter(offset, max(wholeSeconds, 0))
		for i := range requests {
			requests[i].meter(meter, s.start)
		}
		meters = append(meters, meter)
	}
	s.Fairness = starvation.Merge(meters...)
}

// meter adds a request to an engine to a fairness meter. Times count from start.
func (r *request) meter(m *starvation.Meter, start time.Time) {
	workspace := r.last().Workspace
	if workspace == "" || r.last().PromptTokens == 0 {
		return
	}
	work := r.last().work()
	arrived := r.attempts[0].start.Sub(start)
	m.AddRequested(workspace, arrived, work)
	for _, a := range r.attempts {
		at := a.start.Sub(start)
		if a.line.Status != statusOK {
			ended := at + time.Duration(a.line.DurationMS)*time.Millisecond
			m.MarkDegraded(workspace, ended, ended)
			continue
		}
		firstEvent := at + time.Duration(a.line.FirstEventMS)*time.Millisecond
		m.AddServed(workspace, firstEvent, work)
		if due := arrived + time.Duration(a.line.FirstEventObjectiveMS)*time.Millisecond; firstEvent > due {
			m.MarkDegraded(workspace, due, firstEvent)
		}
	}
}

func (s *Summary) writeLowestMargins(w io.Writer) {
	_, _ = fmt.Fprint(w, "least above the fairness floor\tfrom\trequested\tfair share\tserved\tfloor\tmargin\tmost served\t\n")
	for i := range s.Fairness[:min(lowestMargins, len(s.Fairness))] {
		f := &s.Fairness[i]
		from := s.start.Add(time.Duration(f.From * float64(time.Second))).UTC().Format("15:04:05.00")
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.0f\t\n",
			f.Workspace, from, f.Requested, f.FairShare, f.Served, f.Floor, f.Margin(), f.MaxServed)
	}
	_, _ = fmt.Fprint(w, "\n")
}
