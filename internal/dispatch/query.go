package dispatch

import (
	"time"

	"cresspass"
)

// query is one query from its arrival until it has an end and each of its attempts has an outcome.
type query struct {
	id                  cresspass.QueryID
	deadline            time.Duration
	idempotent          bool
	deduplicationWindow time.Duration // 0: its class has no idempotency key
	ended               bool
	mayHaveRun          bool          // an attempt that has ended may have run
	firstRunAt          time.Duration // when the first of these was started
	nextAttempt         int           // number of the next attempt
	priority            int
	memoryGrantMB       float64
	running             []attempt // started, without an outcome
}

// attempt is one sending of a query to an engine.
type attempt struct {
	number        int
	engine        cresspass.EngineID
	startedAt     time.Duration
	stopRequested bool
}

// attemptIndex returns the index of a running attempt, or -1. A nil query has none.
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

// firstPossibleRun returns when the first attempt was started that has run, may have run, or may run yet.
func (q *query) firstPossibleRun() (startedAt time.Duration, ok bool) {
	startedAt, ok = q.firstRunAt, q.mayHaveRun
	for _, running := range q.running {
		if !ok || running.startedAt < startedAt {
			startedAt, ok = running.startedAt, true
		}
	}
	return startedAt, ok
}

// endQuery ends a query that has its answer or whose client is gone. Its attempts are stopped where the query
// is idempotent, as nobody waits for their rows. A query that changes data runs to its end, as in PostgreSQL
// itself, unless its client asked for a cancel.
func (c *Core) endQuery(q *query, cancelled bool) {
	q.ended = true
	for _, running := range q.running {
		if q.idempotent || cancelled {
			c.stopAttempt(q, running.number, cresspass.OutcomeCancelled)
		}
	}
	c.removeIfFinished(q)
}

// stopAttempt has the shell disown a running attempt, once.
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

// removeIfFinished drops a query that has ended and has no running attempt.
func (c *Core) removeIfFinished(q *query) {
	if q.ended && len(q.running) == 0 {
		delete(c.queries, q.id)
	}
}
