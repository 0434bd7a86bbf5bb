package rehearsal

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cresspass/internal/rehearsal/rulecheck"
)

// sessionClass is the class under which sessions are counted.
const sessionClass = "session"

// Result is the result of a day.
type Result struct {
	Day           *Day
	Verdicts      []rulecheck.Verdict
	Classes       []Count
	LoggedErrors  map[string]int // failed requests by SQLSTATE or other code
	Loads         int            // number of loads with an idempotency key that ran
	RanTwice      []string       // ids of the loads that ran twice within the deduplication window
	Violations    []string       // violations of invariants that the dispatchers logged
	Missed        []string       // expectations of the day, beyond the rules, that were missed
	Requests      int            // in the log
	Attempts      int            // in the log
	Seed          uint64
	Log           *rulecheck.Log // the traffic that the relays recorded
	Samples       []Sample
	EngineSamples []EngineSample
	Start         time.Time
}

// Kept reports whether every rule could be judged and was kept, no load had its effect twice, and no
// dispatcher logged a violation of an invariant.
func (r *Result) Kept() bool {
	return rulecheck.AllKept(r.Verdicts) && len(r.RanTwice) == 0 && len(r.Violations) == 0
}

// afterKill is the time after a dispatcher's return whose requests Print sums up.
const afterKill = 10 * time.Second

// Print writes the result as lines of text.
func (r *Result) Print(to io.Writer) error {
	w := bufio.NewWriter(to)
	fmt.Fprintf(w, "%s: %s\n", r.Day.Name, r.Day.Title)
	fmt.Fprintf(w, "%d tries asked, %d attempts sent to engines\n", r.Requests, r.Attempts)
	for _, c := range r.Classes {
		fmt.Fprintln(w, " ", c.String())
	}
	if len(r.LoggedErrors) > 0 {
		fmt.Fprintf(w, "  failures by code: %v\n", r.LoggedErrors)
	}
	fmt.Fprintf(w, "loads with effect: %d; twice within their window: %d %v\n", r.Loads, len(r.RanTwice),
		r.RanTwice)
	for _, v := range r.Verdicts {
		fmt.Fprintln(w, v)
	}
	for _, v := range r.Violations {
		fmt.Fprintln(w, "violation logged:", v)
	}
	if share, median, n := r.FirstAttemptsAfter(afterKill); n > 0 {
		fmt.Fprintf(w, "first 10 s after a kill: %d asked of those dispatchers, "+
			"%.1f%% served, %v at the median\n",
			n, 100*share, median.Round(time.Millisecond))
	}
	for _, s := range r.Missed {
		fmt.Fprintln(w, "expectation missed:", s)
	}
	return w.Flush()
}

// Count holds the outcomes of a class's requests. Times are from the intended start to the answer.
type Count struct {
	Class    string
	Requests [outcomeCount]int
	Times    *hdrhistogram.Histogram // of served ones, in microseconds
}

// String returns the count on one line.
func (c *Count) String() string {
	n := 0
	for _, k := range c.Requests {
		n += k
	}
	ms := func(quantile float64) float64 { return float64(c.Times.ValueAtQuantile(quantile)) / 1000 }
	return fmt.Sprintf("%-12s %6d tries: served %d (%.1f%%), refused %d, failed %d, given up %d; "+
		"served in %.0f ms (p50), %.0f ms (p99)", c.Class, n, c.Requests[Served],
		100*float64(c.Requests[Served])/math.Max(1, float64(n)), c.Requests[Rejected], c.Requests[Failed],
		c.Requests[Abandoned], ms(50), ms(99))
}

// Share returns the share of a class's requests that were served, from 0 to 1, without those that their
// clients abandoned.
func (c *Count) Share() float64 {
	n := c.Requests[Served] + c.Requests[Rejected] + c.Requests[Failed]
	return float64(c.Requests[Served]) / math.Max(1, float64(n))
}

// FirstAttemptsAfter sums up the requests that clients began within a time after their dispatcher was back
// from an outage, without abandoned ones: the share that was served, the median time of the served ones, and
// the number of requests n. n is 0 if no dispatcher had an outage.
func (r *Result) FirstAttemptsAfter(within time.Duration) (share float64, median time.Duration, n int) {
	var times []time.Duration
	for _, outage := range r.Log.Outages {
		from := outage.Back.Sub(r.Start)
		for _, s := range r.Samples {
			begun := s.At - s.Took
			if dispatcherName(s.Dispatcher) != outage.Dispatcher || begun < from || begun > from+within ||
				s.Outcome == Abandoned {
				continue
			}
			if n++; s.Outcome == Served {
				times = append(times, s.Took)
			}
		}
	}
	if len(times) == 0 {
		return 0, 0, n
	}
	slices.Sort(times)
	return float64(len(times)) / float64(n), times[len(times)/2], n
}

// dispatcherName returns the name of a dispatcher in the log of the relays.
func dispatcherName(index int) string { return "d" + strconv.Itoa(index) }
