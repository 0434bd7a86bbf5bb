// Package plot draws results of the simulation as charts with error bars, on HTML pages.
package plot

import (
	"fmt"
	"io"
	"math"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"

	"cresspass/internal/simulation"
	"cresspass/internal/simulation/experiment"
)

// Curve is a line of points with the half widths of their confidence intervals. With nil HalfWidths it has no
// error bars.
type Curve struct {
	Name       string
	Values     []float64
	HalfWidths []float64
}

// edgeOpacity is the opacity of the lines along the ends of the confidence intervals.
const edgeOpacity = 0.6

// Chart returns a line chart of curves. x and y are the names of the axes; axis holds the labels of the
// points along the x axis.
func Chart(title, subtitle, x, y string, axis []string, curves ...Curve) components.Charter {
	l := charts.NewLine()
	l.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: title, Subtitle: subtitle}),
		charts.WithInitializationOpts(opts.Initialization{Width: "900px", Height: "380px"}),
		charts.WithXAxisOpts(opts.XAxis{Name: x}), charts.WithYAxisOpts(opts.YAxis{Name: y}),
		charts.WithLegendOpts(opts.Legend{Top: "bottom"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}))
	l.SetXAxis(axis)
	for _, c := range curves {
		l.AddSeries(c.Name, points(c.Values),
			charts.WithLineChartOpts(opts.LineChart{ShowSymbol: opts.Bool(true)}))
		if c.HalfWidths == nil {
			continue
		}
		for _, sign := range []float64{-1, 1} {
			edge := make([]float64, len(c.Values))
			for i := range edge {
				edge[i] = c.Values[i] + sign*c.HalfWidths[i]
			}
			l.AddSeries(fmt.Sprintf("%s, 95%%", c.Name), points(edge),
				charts.WithLineStyleOpts(opts.LineStyle{Type: "dotted", Opacity: opts.Float(edgeOpacity)}),
				charts.WithLineChartOpts(opts.LineChart{ShowSymbol: opts.Bool(false)}))
		}
	}
	return l
}

// points rounds values to the precision that a chart can show. NaN and infinity become gaps.
func points(values []float64) []opts.LineData {
	out := make([]opts.LineData, len(values))
	for i, v := range values {
		if !math.IsNaN(v) && !math.IsInf(v, 0) {
			out[i] = opts.LineData{Value: math.Round(v*1e5) / 1e5}
		}
	}
	return out
}

// Page writes charts as one HTML page.
func Page(w io.Writer, title string, all ...components.Charter) error {
	page := components.NewPage()
	page.SetPageTitle(title)
	page.AddCharts(all...)
	return page.Render(w)
}

// Convergence charts the convergence times and the traffic of fleets over their size.
func Convergence(all []simulation.Convergence) []components.Charter {
	var axis []string
	var agreed, propagated, reconverged, mean, maximum []float64
	for _, c := range all {
		axis = append(axis, fmt.Sprint(c.Members))
		agreed, propagated = append(agreed, c.Agreed.Seconds()), append(propagated, c.Propagated.Seconds())
		reconverged = append(reconverged, c.Reconverged.Seconds())
		mean, maximum = append(mean, c.BytesSecond/1000), append(maximum, c.MaxBytesSecond/1000)
	}
	return []components.Charter{
		Chart("Convergence", "model, simulated network", "members", "s", axis,
			Curve{Name: "all that begin agree", Values: agreed},
			Curve{Name: "news is known to all", Values: propagated},
			Curve{Name: "a tenth returns, all agree", Values: reconverged}),
		Chart("What each says", "model, membership itself left out", "members", "kB/s", axis,
			Curve{Name: "mean", Values: mean}, Curve{Name: "most", Values: maximum}),
	}
}

// Newcomers charts a comparison: each figure, by arm, over the windows of time since the restart.
func Newcomers(comparison *simulation.Comparison, where string) (out []components.Charter) {
	var axis []string
	for _, w := range comparison.Windows {
		axis = append(axis, fmt.Sprintf("first %d s", int(w.Seconds())))
	}
	for f := range simulation.Figures {
		var curves []Curve
		for a, arm := range comparison.Arms {
			c := Curve{Name: arm.Name}
			for w := range comparison.Windows {
				e := simulation.EstimateMean(comparison.Samples(a, w, f))
				c.Values, c.HalfWidths = append(c.Values, e.Mean), append(c.HalfWidths, e.HalfWidth)
			}
			curves = append(curves, c)
		}
		subtitle := "half of the dispatchers return; " + where
		out = append(out, Chart(simulation.Figures[f].Name, subtitle, "", "share", axis, curves...))
	}
	return out
}

// Experiment charts each figure, by arm, over the values of the swept field. Without a sweep, each arm has a
// single point.
func Experiment(r *experiment.Result) (out []components.Charter) {
	for f, name := range experiment.Figures {
		var axis []string
		for i := range r.Cells[0] {
			axis = append(axis, fmt.Sprint(r.Cells[0][i].Value))
		}
		var curves []Curve
		for arm := range r.Arms {
			c := Curve{Name: r.Arms[arm].Name}
			for i := range r.Cells[arm] {
				e := r.Cells[arm][i].Estimate(f)
				c.Values, c.HalfWidths = append(c.Values, e.Mean), append(c.HalfWidths, e.HalfWidth)
			}
			curves = append(curves, c)
		}
		subtitle := r.Title + "; model, simulated servers"
		out = append(out, Chart(name, subtitle, r.SweptField, "", axis, curves...))
	}
	return out
}
