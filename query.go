package cresspass

import (
	"math"
	"slices"
	"time"
)

const (
	meanWorkGain      = 0.05 // gain of a class's mean work
	firstAttemptShare = 0.98 // an attempt that may last less than this share of the longest seen is a retry
)

// class is a class of the settings with what was learnt of it.
type class struct {
	Class
	index           int
	threads         float64
	bulkLoad        bool
	baseScale       float64       // unloaded time over a query's own estimate (or over the objective)
	outcomesSeen    float64       // outcomes that have corrected baseScale
	meanWork        float64       // of a query, in thread seconds
	grantFactor     float64       // memory granted over the estimate that came with a query
	longestDeadline time.Duration // longest remaining deadline of an attempt seen
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

// query is a client's query that has no final answer yet.
type query struct {
	id              QueryID
	class           *class
	tableGroup      float64
	orderKey        *orderKey
	inFlight        []*attempt
	previousEngine  *engine  // where its last attempt ended
	firstMaybeRan   *attempt // earliest attempt that may have run
	stickyEngine    EngineID // the one engine that may run it; "": any
	opensSession    bool
	hasCostEstimate bool
	overQuota       bool
	queued          bool
	done            bool

	arrivedAt, deadline time.Duration
	priorWait           time.Duration // what the client had waited in earlier attempts
	awaitReportsUntil   time.Duration // queued until then for load reports that were asked for
	rawBase             float64       // cost estimate over threads, or the objective, in seconds
	estimateSpread      float64       // how much further over its estimate it may be than one of known cost
	memoryMB            float64       // estimate that came with it
	attemptCount        int
	earlyCancels        int // attempts cancelled to be retried
}

// newQuery returns the query of an arrival and takes in what the arrival shows of its class.
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
	// A rejected client comes again. Its objective counts from its first attempt, and work for answers that
	// can earn nothing keeps an overload alive. The deadline that remains tells how long it has waited, but
	// only on what is marked as a retry: hurried clients give first attempts short deadlines too, and
	// rejecting them for that would be wrong.
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

// removeQuery drops a query that has its final answer, or needs none. Its attempts run on.
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
