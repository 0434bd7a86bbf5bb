package cresspass

import (
	"math"
	"slices"
	"time"
)

const (
	meanWorkGain      = 0.05 // gain of a class's mean work, per query or answer
	firstAttemptShare = 0.98 // a retry with less than this share of the longest deadline seen has waited
)

// class is a query class of the settings with the values learnt about it.
type class struct {
	Class
	index           int
	threads         float64
	bulkLoad        bool
	baseScale       float64       // unloaded time over a query's cost estimate (or over the objective)
	outcomesSeen    float64       // outcomes that have corrected baseScale, weighted
	meanWork        float64       // mean work of a query, in thread seconds
	grantFactor     float64       // memory granted over a query's memory estimate
	longestDeadline time.Duration // longest remaining deadline seen at an arrival
}

func newClass(cfg *Config, i int) *class {
	c := &class{
		Class: cfg.Classes[i], index: i, threads: valueOr(cfg.ClassThreads, i, 1),
		baseScale: 1, grantFactor: initialGrantFactor,
	}
	c.bulkLoad = valueOr(cfg.ClassIsBulkLoad, i, false)
	c.meanWork = c.LatencyObjective.Seconds() * c.threads
	return c
}

// query is a client's query. Once done is set, it has its final answer or needs none.
type query struct {
	id              QueryID
	class           *class
	tableGroup      float64
	orderKey        *orderKey
	inFlight        []*attempt
	previousEngine  *engine  // engine of the attempt that ended last
	firstMaybeRan   *attempt // of the ended attempts that may have run, the one sent first; nil: none
	stickyEngine    EngineID // the only engine that may run the query; "": any
	opensSession    bool
	hasCostEstimate bool
	overQuota       bool
	queued          bool
	done            bool

	arrivedAt, deadline time.Duration
	priorWait           time.Duration // how long the client waited in its earlier requests
	awaitReportsUntil   time.Duration // queued until then: it waits for requested load reports
	rawBase             float64       // cost estimate over threads, or the objective, in seconds
	estimateSpread      float64       // factor by which its overrun limits are wider than with a known cost
	memoryMB            float64       // memory estimate at its arrival; 0: unknown
	attemptCount        int
	earlyCancels        int // attempts cancelled in order to retry
}

// newQuery creates the query of an arrival and updates what its class learns from arrivals.
func (g *Gateway) newQuery(c *class, ev *Event) *query {
	q := &query{
		id: ev.Query, class: c, stickyEngine: ev.StickyEngine, opensSession: ev.OpensSession,
		tableGroup: ev.TableGroup, arrivedAt: g.now, deadline: g.now + ev.RemainingDeadline,
		rawBase: c.LatencyObjective.Seconds(), estimateSpread: unknownCostSpread,
		memoryMB: ev.MemoryEstimateMB,
	}
	if ev.HasCostEstimate && ev.CostEstimate > 0 {
		q.rawBase, q.hasCostEstimate, q.estimateSpread = ev.CostEstimate.Seconds()/c.threads, true, 1
	}
	// A rejected client retries. Its latency objective counts from its first request, and work for answers
	// that can earn nothing prolongs an overload. The remaining deadline shows how long the client has
	// waited, but only on a request marked as a retry: some clients set short deadlines on first requests
	// too, and must not be rejected for that.
	c.longestDeadline = max(c.longestDeadline, ev.RemainingDeadline)
	if ev.IsRetry && float64(ev.RemainingDeadline) < firstAttemptShare*float64(c.longestDeadline) {
		q.priorWait = max(0, c.Deadline-ev.RemainingDeadline)
	}
	q.rawBase = math.Max(q.rawBase, minBaseShare*c.LatencyObjective.Seconds())
	if q.hasCostEstimate || !g.cfg.ReportsCost {
		c.meanWork += meanWorkGain * (q.rawBase*math.Max(1, c.baseScale)*c.threads - c.meanWork)
	}
	return q
}

// removeQuery drops a query that has its final answer, or needs none. Its attempts keep running.
func (g *Gateway) removeQuery(q *query) {
	q.done = true
	delete(g.queries, q.id)
	if q.queued {
		g.queue.remove(q)
	}
	if k := q.orderKey; k != nil {
		k.waiting = slices.DeleteFunc(k.waiting, func(other *query) bool { return other == q })
	}
}
