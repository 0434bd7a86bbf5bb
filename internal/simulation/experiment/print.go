package experiment

import (
	"bufio"
	"fmt"
	"io"

	"cresspass/internal/simulation"
)

// bootstrapDrawings is the number of resamples for the confidence interval of a quantile.
const bootstrapDrawings = 200

// printedQuantiles are the quantiles of response times that Print shows.
var printedQuantiles = []float64{0.5, 0.99}

// Print writes the result as a table for each swept value.
func (r *Result) Print(w io.Writer) error {
	out := bufio.NewWriter(w)
	for value := range r.Cells[0] {
		if r.SweptField != "" {
			fmt.Fprintf(out, "%s %g\n", r.SweptField, r.Cells[0][value].Value)
		}
		for arm := range r.Arms {
			r.printCell(out, arm, value)
		}
	}
	return out.Flush()
}

// printCell writes the figures of an arm at a swept value and, except for the first arm, their differences
// from the first arm.
func (r *Result) printCell(out *bufio.Writer, arm, value int) {
	c := &r.Cells[arm][value]
	fmt.Fprintf(out, "  %s: %d seeds, %.1f million events, %.1f s\n", r.Arms[arm].Name, len(c.Samples[0]),
		float64(c.Events)/1e6, c.WallTime.Seconds())
	if c.Unstable > 0 {
		fmt.Fprintf(out, "    UNSTABLE in %d runs: what waited grew all along, so means are of the length\n",
			c.Unstable)
	}
	for f, name := range Figures {
		e := c.Estimate(f)
		fmt.Fprintf(out, "    %-32s %8.4f ±%.4f", name, e.Mean, e.HalfWidth)
		if arm > 0 {
			d := r.Difference(arm, value, f)
			word := "equal"
			if d.IsSignificant() {
				word = "differs"
			}
			fmt.Fprintf(out, "   %+8.4f ±%.4f %s", d.Mean, d.HalfWidth, word)
		}
		fmt.Fprintln(out)
	}
	for _, q := range printedQuantiles {
		e := simulation.Bootstrap(c.Times, bootstrapDrawings, 1, q)
		fmt.Fprintf(out, "    time to answer, p%-14g  %8.3f ±%.3f s\n", 100*q, e.Mean, e.HalfWidth)
	}
}
