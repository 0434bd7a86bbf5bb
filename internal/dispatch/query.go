package dispatch

import (
	"time"

	"cresspass"
)

// query is the state of a query from its arrival until it has ended and each of its attempts has an outcome.
type query struct {
	id                  cresspass.QueryID
	deadline            time.Duration
	idempotent          bool
	deduplicationWindow time.Duration // 0: its class has no idempotency key
	ended               bool
	mayHaveRun          bool          // one or more attempts that have ended may have run
	firstRunAt          time.Duration // start time of the earliest of these attempts, if mayHaveRun
	nextAttempt         int           // number of the next attempt
	priority            int
	memoryGrantMB       float64
	running             []attempt // attempts that were started and have no outcome yet
}

// attempt is a running attempt of a query.
type attempt struct {
	number        int
	engine        cresspass.EngineID
	startedAt     time.Duration
	stopRequested bool
}

// attemptIndex returns the index in running of the attempt with a number, or -1. A nil query has no attempts.
func (q *query) attemptIndex(number int) int {
	if q == nil {
		return -1
	}
	for i := range q.running {
		if q.running[i].number == number {
			return i
		}
	}
	return -1
}

// firstPossibleRun returns the start time of the first attempt that has run, may have run or may still run,
// and false if there is none.
func (q *query) firstPossibleRun() (startedAt time.Duration, ok bool) {
	startedAt, ok = q.firstRunAt, q.mayHaveRun
	for _, running := range q.running {
		if !ok || running.startedAt < startedAt {
			startedAt, ok = running.startedAt, true
		}
	}
	return startedAt, ok
}

// endQuery ends a query that has its answer or whose client is gone. If the query is idempotent, its running
// attempts are stopped, as no client waits for their rows. Any other query may change data. It runs to
// completion, as in PostgreSQL itself, unless its client cancelled it.
func (c *Core) endQuery(q *query, cancelled bool) {
	q.ended = true
	for _, running := range q.running {
		if q.idempotent || cancelled {
			c.stopAttempt(q, running.number, cresspass.OutcomeCancelled)
		}
	}
	c.removeIfFinished(q)
}

// stopAttempt adds an output that makes the shell stop a running attempt and report the given outcome.
// Further calls for the same attempt do nothing.
func (c *Core) stopAttempt(q *query, number int, outcome cresspass.Outcome) {
	i := q.attemptIndex(number)
	if i < 0 || q.running[i].stopRequested {
		return
	}
	q.running[i].stopRequested = true
	c.stats.Stopped++
	c.outputs = append(c.outputs, Output{Type: StopAttempt, Query: q.id, Attempt: number,
		Engine: q.running[i].engine, Outcome: outcome})
}

// removeIfFinished deletes a query that has ended and has no running attempt.
func (c *Core) removeIfFinished(q *query) {
	if q.ended && len(q.running) == 0 {
		delete(c.queries, q.id)
	}
}
