package report

import (
	"io"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Layout of the page.
const (
	columns     = 3
	panelWidth  = 9 * vg.Centimeter
	panelHeight = 7 * vg.Centimeter
	barWidth    = 0.6 * vg.Centimeter
	margin      = 0.3 * vg.Centimeter
)

// ErrNoMeasures is returned for a plot without measures.
var ErrNoMeasures = errors.New("there are no measures to plot")

// panel is the bar chart of one measure in one scenario and size, with a bar per policy.
type panel struct {
	title    string
	measures []Measure
}

// groupPanels groups measures by title, in order of first appearance.
func groupPanels(measures []Measure) []*panel {
	var all []*panel
	byTitle := make(map[string]*panel)
	for _, m := range measures {
		title := m.Name + ", " + m.Scenario + ", " + m.Size
		p := byTitle[title]
		if p == nil {
			p = &panel{title: title}
			byTitle[title] = p
			all = append(all, p)
		}
		p.measures = append(p.measures, m)
	}
	return all
}

// WriteSVG writes a page of bar charts, one per measure, scenario and size, with a bar
// per policy. It returns ErrNoMeasures if there are none.
func WriteSVG(w io.Writer, measures []Measure) error {
	all := groupPanels(measures)
	if len(all) == 0 {
		return ErrNoMeasures
	}
	rows := (len(all) + columns - 1) / columns
	tiles := draw.Tiles{
		Rows: rows, Cols: columns, PadX: margin, PadY: margin,
		PadTop: margin, PadBottom: margin, PadLeft: margin, PadRight: margin,
	}
	canvas := vgsvg.New(columns*panelWidth, vg.Length(rows)*panelHeight)
	page := draw.New(canvas)
	for i, p := range all {
		chart, err := p.chart()
		if err != nil {
			return errors.Wrapf(err, "plotting %s", p.title)
		}
		chart.Draw(tiles.At(page, i%columns, i/columns))
	}
	_, err := canvas.WriteTo(w)
	return errors.Wrap(err, "writing plots")
}

func (p *panel) chart() (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text = p.title
	chart.Y.Min = 0
	names := make([]string, len(p.measures))
	for i, m := range p.measures {
		names[i] = m.Policy
		bar, err := plotter.NewBarChart(plotter.Values{m.Value}, barWidth)
		if err != nil {
			return nil, err
		}
		bar.XMin = float64(i)
		bar.Color = plotutil.Color(i)
		bar.LineStyle.Width = 0
		chart.Add(bar)
	}
	chart.NominalX(names...)
	return chart, nil
}
