package account

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// WriteJSON writes the summary as one JSON object.
func (s *Summary) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(s), "writing JSON")
}

// WriteTables writes the summary as plain-text tables.
func (s *Summary) WriteTables(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "requests\t%d\tin time\t%d\tattempts\t%d\tcame back\t%d\t\n\n", s.Requests, s.Total.InTime, s.Attempts, s.Retried)
	writeTallies(t, "what became of them", s.Outcomes)
	for _, route := range sortedKeys(s.Routes) {
		writeTallies(t, "route "+route, s.Routes[route])
		writeTallies(t, "route "+route+" by size", s.Sizes[route])
	}
	writeTallies(t, "workspace", s.Workspaces)
	writeTallies(t, "failure domain", s.Domains)
	s.writeLowestMargins(t)
	s.writeWorstSeconds(t)
	_, _ = fmt.Fprintf(t, "not used:\t%d foreign\t%d cut\t%d of another version\t%d dropped by gates\t%d beyond the bound\t\n",
		s.Skipped.NotLogLines, s.Skipped.Truncated, s.Skipped.OtherVersion, s.Skipped.Dropped, s.Skipped.AboveMaxAttempts)
	return errors.Wrap(t.Flush(), "writing tables")
}

// header holds the titles of all columns but the first.
const header = "\trequests\tin time\tshare\twork lost\t\n"

func (t *tally) row() string {
	return fmt.Sprintf("\t%d\t%d\t%.3f\t%.0f\t\n", t.Requests, t.InTime, t.inTimeFraction(), t.Work-t.WorkInTime)
}

// inTimeFraction returns the fraction of requests that were served in time.
func (t *tally) inTimeFraction() float64 { return float64(t.InTime) / float64(max(t.Requests, 1)) }

func writeTallies[K ~string](w io.Writer, title string, tallies map[K]*tally) {
	_, _ = fmt.Fprintf(w, "%s%s", title, header)
	for _, key := range sortedKeys(tallies) {
		_, _ = fmt.Fprintf(w, "%s%s", key, tallies[key].row())
	}
	_, _ = fmt.Fprint(w, "\n")
}

// worstSeconds is the number of seconds that the tables show.
const worstSeconds = 8

func (s *Summary) writeWorstSeconds(w io.Writer) {
	order := make([]int, len(s.Seconds))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int {
		lostX, lostY := s.Seconds[x].Requests-s.Seconds[x].InTime, s.Seconds[y].Requests-s.Seconds[y].InTime
		return lostY - lostX
	})
	_, _ = fmt.Fprintf(w, "seconds with most loss%s", header)
	for _, i := range order[:min(worstSeconds, len(order))] {
		_, _ = fmt.Fprintf(w, "%s%s", s.clock(i), s.Seconds[i].row())
	}
	_, _ = fmt.Fprint(w, "\n")
}

// clock returns the time of day of a second, in UTC.
func (s *Summary) clock(second int) string {
	return s.start.Add(secondsDuration(second)).UTC().Format("15:04:05")
}
