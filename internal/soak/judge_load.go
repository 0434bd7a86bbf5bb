package soak

import (
	"math"
	"sort"
	"time"
)

// processKey identifies one process of a dispatcher.
type processKey struct{ dispatcher, incarnation int }

// roundingSlack keeps the rounding errors of a sum of many small shares from counting as an excess.
const roundingSlack = 1e-9

// judgeRetryBudget finds retries in excess of what the requests in the window before them allow.
func (o *oracle) judgeRetryBudget() {
	arrivals, retries := map[processKey][]time.Time{}, map[processKey][]postedQuery{}
	for _, r := range o.requests {
		p := processKey{r.dispatcher, r.incarnation}
		if !r.sentAt.IsZero() && !r.cancelledAtOnce {
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

// overRetryBudget reports whether a retry exceeded the budget of its process, given all retries and arrivals
// there. Recorded times are inexact. Therefore the retry must exceed the budget for three starts of the
// window: the exact one, and those measurementSlack earlier and later. Arrivals up to measurementSlack after
// the retry count too.
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

// judgeSlowStart finds compute nodes that got more work during slow start than they may get.
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

// workInWindow returns the work of the queries that were started in the window before a time, in units of the
// mean work of a request.
func workInWindow(at time.Time, posts []postedQuery, mean float64) float64 {
	work := 0.0
	for _, post := range posts {
		if since := at.Sub(post.firstByteAt); since >= 0 && since < slowStartWindow {
			work += classNamed(post.class).meanWork.Seconds() / mean
		}
	}
	return work
}

// slowStartAllowance returns the work that a compute node may get in a window that ends at the given time
// after its start, in units of the mean work of a request. It is the expected number of requests and a
// margin: two or three standard deviations of a Poisson process, plus two or three requests.
func slowStartAllowance(sinceStart time.Duration, mean float64) float64 {
	const fewRequests = 30 // below this, the distribution has a longer tail and the margin is wider
	ramp := slowStartFrom + (1-slowStartFrom)*sinceStart.Seconds()/slowStartDuration.Seconds()
	expected := slowStartFactor * nodeCores * ramp * slowStartWindow.Seconds() / mean
	if expected < fewRequests {
		return expected + 3*math.Sqrt(expected) + 3
	}
	return expected + 2*math.Sqrt(expected) + 2
}
