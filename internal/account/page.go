package account

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// page is the data of the template.
type page struct {
	*Summary
	Groups  []group
	Columns []column
}

// group is a table with a bar in each row.
type group struct {
	Title string
	Rows  []row
}

type row struct {
	Name string
	tally
	Percent int // of the requests that were served in time
}

// column is a second in the chart: the requests served in time and the others, in pixels.
type column struct {
	Clock        string
	X            int
	Served, Lost int
}

// Size of the chart, in pixels.
const (
	chartHeight = 160
	columnWidth = 6
)

// WritePage writes an HTML page that needs no further resources.
func (s *Summary) WritePage(w io.Writer) error {
	p := page{Summary: s, Columns: s.columns()}
	p.Groups = append(p.Groups, newGroup("What became of them", s.Outcomes))
	for _, route := range sortedKeys(s.Routes) {
		p.Groups = append(p.Groups, newGroup("Route "+route, s.Routes[route]), newGroup("Route "+route+" by size", s.Sizes[route]))
	}
	p.Groups = append(p.Groups, newGroup("Workspaces", s.Workspaces), newGroup("Failure domains", s.Domains))
	return errors.Wrap(pageTemplate.Execute(w, p), "writing the page")
}

func newGroup[K ~string](title string, tallies map[K]*tally) group {
	g := group{Title: title}
	for _, key := range sortedKeys(tallies) {
		t := tallies[key]
		g.Rows = append(g.Rows, row{Name: string(key), tally: *t, Percent: int(100 * t.inTimeFraction())})
	}
	return g
}

func (s *Summary) columns() []column {
	maxRequests := 1
	for i := range s.Seconds {
		maxRequests = max(maxRequests, s.Seconds[i].Requests)
	}
	all := make([]column, len(s.Seconds))
	for i := range s.Seconds {
		t := &s.Seconds[i]
		all[i] = column{
			Clock: fmt.Sprintf("%s: %d of %d in time", s.clock(i), t.InTime, t.Requests), X: i * columnWidth,
			Served: t.InTime * chartHeight / maxRequests, Lost: (t.Requests - t.InTime) * chartHeight / maxRequests,
		}
	}
	return all
}

// Top returns the upper edge of the served part. The origin of the chart is its upper
// left corner.
func (c column) Top() int { return chartHeight - c.Served }

// LostTop returns the upper edge of the lost part, which is on top of the served part.
func (c column) LostTop() int { return chartHeight - c.Served - c.Lost }

// Width returns the width of a column, without the gap after it.
func (c column) Width() int { return columnWidth - 1 }

func secondsDuration(n int) time.Duration { return time.Duration(n) * time.Second }
