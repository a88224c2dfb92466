package simulator

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Print writes a table: the worth of each load, and its change without each mechanism, with
// the standard deviation over the seeds.
func (r *AblationReport) Print(w io.Writer) error {
	p := &printer{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)}
	if r.Interrupted {
		p.line("interrupted, complete seeds: %v", r.Seeds)
	}
	if len(r.Seeds) == 0 {
		return p.flush()
	}
	p.line("worth over seeds %v, and its change without each mechanism", r.Seeds)
	p.line("")
	row := "mechanism\t"
	for _, load := range r.Loads {
		row += load + "\t"
	}
	p.line("%s", row)
	row = "all on\t"
	for _, worth := range r.Worth {
		row += fmt.Sprintf("%.3f\t", worth)
	}
	p.line("%s", row)
	for m, effects := range r.Effects {
		row = string(r.Mechanisms[m]) + "\t"
		for _, e := range effects {
			row += fmt.Sprintf("%+.3f ± %.3f\t", e.Mean(), e.Deviation())
		}
		p.line("%s", row)
	}
	return p.flush()
}

const (
	chartLineHeight = 0.9 * vg.Centimeter
	chartMargin     = 4 * vg.Centimeter
	chartPageWidth  = 22 * vg.Centimeter
	// chartSpread is the distance, in rows, between the first and the last load of a mechanism.
	chartSpread = 0.6
)

// Chart draws the effects with their standard deviations. The file's extension selects the
// format, such as .svg, .png or .pdf.
func (r *AblationReport) Chart(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Change in worth without a mechanism, mean and standard deviation of %d seeds", len(r.Seeds))
	p.X.Label.Text = "worth without, less worth with"
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	for i, load := range r.Loads {
		points := r.points(i)
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		bars, err := plotter.NewXErrorBars(points)
		if err != nil {
			return err
		}
		scatter.Color, scatter.Shape = plotutil.Color(i), plotutil.Shape(i)
		bars.Color = plotutil.Color(i)
		p.Add(scatter, bars)
		p.Legend.Add(load, scatter)
	}
	var names []string
	for _, m := range r.Mechanisms {
		names = append(names, string(m))
	}
	p.NominalY(names...)
	return p.Save(chartPageWidth, chartMargin+chartLineHeight*vg.Length(len(names)), path)
}

// effectPoints are the effects under one load, one row for each mechanism.
type effectPoints struct {
	plotter.XYs
	plotter.XErrors
}

func (r *AblationReport) points(load int) effectPoints {
	n := len(r.Mechanisms)
	points := effectPoints{make(plotter.XYs, n), make(plotter.XErrors, n)}
	offset := 0.0
	if len(r.Loads) > 1 {
		offset = chartSpread * (float64(load)/float64(len(r.Loads)-1) - 0.5)
	}
	for m := range r.Effects {
		e := r.Effects[m][load]
		points.XYs[m] = plotter.XY{X: e.Mean(), Y: float64(m) + offset}
		points.XErrors[m].Low, points.XErrors[m].High = e.Deviation(), e.Deviation()
	}
	return points
}
