package soak

import (
	"math"
	"sort"
	"time"
)

// process names one process of a dispatcher.
type process struct{ dispatcher, incarnation int }

// roundingSlack keeps sums of many small shares from counting as over their bound.
const roundingSlack = 1e-9

// judgeRetryBudget finds retries beyond what the requests of the window before them allow.
func (o *oracle) judgeRetryBudget() {
	arrivals, retries := map[process][]time.Time{}, map[process][]postedQuery{}
	for _, r := range o.requests {
		p := process{r.dispatcher, r.incarnation}
		if !r.sentAt.IsZero() && !r.malformed {
			arrivals[p] = append(arrivals[p], r.sentAt)
		}
		sort.Slice(r.posts, func(i, j int) bool {
			return r.posts[i].firstByteAt.Before(r.posts[j].firstByteAt)
		})
		for i, post := range r.posts {
			if i > 0 {
				post.ticket = r.ticket
				retries[p] = append(retries[p], post)
			}
		}
	}
	for p, posts := range retries {
		for _, retry := range posts {
			if overRetryBudget(retry, posts, arrivals[p]) {
				o.addFindingLocked(invariantRetryBudget, retry.ticket, retry.firstByteAt,
					"dispatcher %d", p.dispatcher)
			}
		}
	}
}

// overRetryBudget reports whether a retry was over the budget of its process, given all retries and arrivals
// there, even where either edge of the window is read a little earlier or later.
func overRetryBudget(retry postedQuery, retries []postedQuery, arrivals []time.Time) bool {
	for _, edge := range []time.Duration{-measurementSlack, 0, measurementSlack} {
		from := retry.firstByteAt.Add(edge - retryBudgetWindow)
		used, allowed := 0.0, retryBudgetFree
		for _, other := range retries {
			if other.firstByteAt.After(from) && !other.firstByteAt.After(retry.firstByteAt) {
				used++
			}
		}
		for _, arrival := range arrivals {
			if arrival.After(from) && !arrival.After(retry.firstByteAt.Add(measurementSlack)) {
				allowed += retryBudgetRatio
			}
		}
		if used <= allowed+roundingSlack {
			return false
		}
	}
	return true
}

// judgeSlowStart finds compute nodes that got more work during slow start than they can take.
func (o *oracle) judgeSlowStart() {
	posts := map[string][]postedQuery{} // by the compute node's generation
	for _, r := range o.requests {
		for _, post := range r.posts {
			start, ok := o.slowStarts[post.generation]
			if ok && post.firstByteAt.Sub(start) < slowStartDuration {
				posts[post.generation] = append(posts[post.generation], post)
			}
		}
	}
	mean := meanWorkSeconds()
	for generation, all := range posts {
		for _, post := range all {
			work := workInWindow(post.firstByteAt, all, mean)
			allowed := slowStartAllowance(post.firstByteAt.Sub(o.slowStarts[generation]), mean)
			if work > allowed {
				o.addFindingLocked(invariantSlowStart, post.ticket, post.firstByteAt,
					"%s: %.0f requests in %v, %.0f allowed", generation, work, slowStartWindow, allowed)
				break
			}
		}
	}
}

// workInWindow is the work of the queries that were started in the window before a time, in requests of the
// mean work.
func workInWindow(at time.Time, posts []postedQuery, mean float64) float64 {
	work := 0.0
	for _, post := range posts {
		if since := at.Sub(post.firstByteAt); since >= 0 && since < slowStartWindow {
			work += classNamed(post.class).meanWork.Seconds() / mean
		}
	}
	return work
}

// slowStartAllowance is the work that a compute node may get in a window so long after its start, in requests
// of the mean work: what it can take, and some deviations of a Poisson process on top.
func slowStartAllowance(sinceStart time.Duration, mean float64) float64 {
	const fewRequests = 30 // below this, the tail of the distribution is longer
	ramp := slowStartFrom + (1-slowStartFrom)*sinceStart.Seconds()/slowStartDuration.Seconds()
	expected := slowStartFactor * nodeCores * ramp * slowStartWindow.Seconds() / mean
	if expected < fewRequests {
		return expected + 3*math.Sqrt(expected) + 3
	}
	return expected + 2*math.Sqrt(expected) + 2
}
