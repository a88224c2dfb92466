package simulator

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/guptarohit/asciigraph"
)

const (
	// chartHeight and chartWidth are in characters, for a terminal of 80 columns.
	chartHeight = 10
	chartWidth  = 66
)

// Print writes the reports of several seeds: the worth with each of them, and tables and a
// chart over all together.
func Print(w io.Writer, reports []*Report) error {
	if len(reports) == 0 {
		return nil
	}
	p := &printer{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)}
	p.line("%s", reports[0].Experiment.Name)
	p.seeds(reports)
	for i, t := range reports[0].Tables {
		rows := map[string]*Row{}
		for _, r := range reports {
			for _, row := range r.Tables[i].Rows {
				addRow(rows, row)
			}
		}
		p.table(t.By, rows)
	}
	p.chart(reports)
	return p.flush()
}

// printer keeps the first error of several writes.
type printer struct {
	w   *tabwriter.Writer
	err error
}

func (p *printer) line(format string, fields ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", fields...)
	}
}

// flush writes the buffered lines, and returns the first error.
func (p *printer) flush() error {
	if p.err != nil {
		return p.err
	}
	return p.w.Flush()
}

func addRow(rows map[string]*Row, row Row) {
	sum := rows[row.Name]
	if sum == nil {
		rows[row.Name] = &row
		return
	}
	sum.Asked += row.Asked
	sum.InTime += row.InTime
	sum.Late += row.Late
	sum.Refused += row.Refused
	sum.RefusedAgain += row.RefusedAgain
	sum.Failed += row.Failed
	sum.Owed += row.Owed
	sum.Earned += row.Earned
}

const heading = "\tworth\tasked\tin time\tlate\trefused\trefused again\tfailed\t"

func (p *printer) row(name string, r Row) {
	p.line("%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t", name, r.Worth(), r.Asked, r.InTime, r.Late, r.Refused, r.RefusedAgain, r.Failed)
}

func (p *printer) seeds(reports []*Report) {
	p.line("")
	p.line("seed" + heading)
	all := map[string]*Row{}
	excess, moved, torn, twice, cut, short := 0, 0, 0, 0, 0, 0
	var starts Starts
	for _, r := range reports {
		p.row(fmt.Sprint(r.Seed), r.Total)
		addRow(all, r.Total)
		excess += r.ColdExcess
		moved += r.Moved
		starts.add(r.Starts)
		torn, twice, cut, short = torn+r.Torn, twice+r.Twice, cut+r.Cut, short+r.Short
	}
	if len(reports) > 1 {
		p.row("all", *all[reports[0].Total.Name])
	}
	if starts.Sent > 0 {
		p.line("")
		p.line("requests sent to engines within %v of a start: %d, in time %.3f, failed %d; slots idle there: %.3f, engines that fell over: %d",
			startPeriod, starts.Sent, float64(starts.InTime)/float64(starts.Sent), starts.Failed, starts.Idle(), starts.Crashes)
	}
	if excess > 0 {
		p.line("")
		p.line("requests beyond the bound of cold engines: %d", excess)
	}
	if moved > 0 {
		p.line("")
		p.line("streams that moved as they would have ended too late: %d", moved)
	}
	if torn > 0 {
		p.line("")
		p.line("replies that broke off: %d, failed at the next engine too: %d; callers with a cut answer: %d, with a short one that ended as complete: %d", torn, twice, cut, short)
	}
}

func (p *printer) table(by string, rows map[string]*Row) {
	p.line("")
	p.line(by + heading)
	var names []string
	for name := range rows {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p.row(name, *rows[name])
	}
}

// chart shows how many callers of each second arrived and how many were served in time.
func (p *printer) chart(reports []*Report) {
	seconds := len(reports[0].Seconds) - 1
	if seconds < 2 {
		return
	}
	inTime, asked := make([]float64, seconds), make([]float64, seconds)
	for _, r := range reports {
		for i := range seconds {
			inTime[i] += float64(r.Seconds[i].InTime) / float64(len(reports))
			asked[i] += float64(r.Seconds[i].Asked) / float64(len(reports))
		}
	}
	p.line("")
	p.line("%s", asciigraph.PlotMany([][]float64{asked, inTime},
		asciigraph.Height(chartHeight), asciigraph.Width(chartWidth), asciigraph.LowerBound(0), asciigraph.Precision(0), asciigraph.XAxisRange(0, float64(seconds)),
		asciigraph.XAxisValueFormatter(func(second float64) string { return fmt.Sprintf("%.0f s", second) }),
		asciigraph.SeriesChars(asciigraph.CreateCharSet("."), asciigraph.DefaultCharSet),
		asciigraph.Caption(fmt.Sprintf("callers a second over %v: dotted all, drawn those served in time", time.Duration(seconds)*time.Second))))
}
