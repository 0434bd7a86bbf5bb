package cresspass

import (
	"slices"
	"time"
)

const (
	meanWorkGain      = 0.05 // gain of a class's mean work
	firstAttemptShare = 0.98 // a try that may last less than this share of the longest seen is a later one
)

type class struct {
	Class
	index           int
	threads         float64
	bulkLoad        bool
	baseScale       float64       // unloaded time over the told estimate (or over the aim where none is told)
	outcomesSeen    float64       // outcomes that have corrected it
	meanWork        float64       // mean work of a query, in thread seconds
	grantFactor     float64       // memory granted over the told estimate
	longestDeadline time.Duration // longest wait of a try seen
}

type query struct {
	id             QueryID
	class          *class
	tableGroup     float64
	orderKey       *orderKey
	inFlight       []*attempt
	previousEngine *engine  // where its last attempt ended
	firstMaybeRan  *attempt // earliest attempt that may have run
	stickyEngine   EngineID // the one engine that may run it; "": any
	opensSession   bool     // a session is opened by it

	deadline, arrivedAt, priorWait           time.Duration // waited: what the client had waited in earlier tries
	awaitReportsUntil                        time.Duration // held until then for reports that were asked for
	estimateSpread                           float64       // how much further over Est it may be than a query of told cost
	rawBase, memoryMB                        float64       // told estimate over threads, or the aim, in seconds; told MB
	attemptCount, earlyCancels               int
	overQuota, hasCostEstimate, queued, done bool // over: beyond its tenant's share; told: its cost was estimated
}

func (g *Gateway) removeQuery(q *query) {
	q.done = true
	delete(g.queries, q.id)
	if q.queued {
		g.queue = slices.DeleteFunc(g.queue, func(h *query) bool { return h == q })
		q.queued = false
	}
	if k := q.orderKey; k != nil {
		k.waiting = slices.DeleteFunc(k.waiting, func(h *query) bool { return h == q })
	}
}
