package dispatch

import "cresspass"

// applyEvent updates the state of the event's query and queues the event for the decision module. An event
// that names an unknown query or attempt is dropped.
func (c *Core) applyEvent(event *cresspass.Event) {
	known := true
	switch event.Type {
	case cresspass.QueryArrived:
		known = c.queryArrived(event)
	case cresspass.QueryAbandoned:
		known = c.queryAbandoned(event)
	case cresspass.AttemptDone:
		known = c.attemptDone(event)
	case cresspass.ProgressReported, cresspass.ResponseStarted:
		known = c.queries[event.Query].attemptIndex(event.Attempt) >= 0
	}
	if known {
		c.events = append(c.events, *event)
	}
}

// queryArrived adds a query and schedules the end of its answer grace. It returns false if the query's ID is
// already in use.
func (c *Core) queryArrived(event *cresspass.Event) bool {
	if c.queries[event.Query] != nil {
		return false
	}
	q := &query{
		id:                  event.Query,
		deadline:            c.now + event.RemainingDeadline,
		idempotent:          c.idempotentClasses[event.Class],
		deduplicationWindow: c.deduplicationWindows[event.Class],
		priority:            -1,
	}
	c.queries[event.Query] = q
	c.stats.Arrived++
	c.schedule(q.deadline+c.answerGrace, timerTarget{query: q.id, attempt: noAttempt})
	return true
}

// queryAbandoned ends a query whose client is gone or has cancelled it. It returns false if the query is
// unknown or has ended.
func (c *Core) queryAbandoned(event *cresspass.Event) bool {
	q := c.queries[event.Query]
	if q == nil || q.ended {
		return false
	}
	c.stats.Abandoned++
	c.endQuery(q, event.Outcome == cresspass.OutcomeCancelled)
	return true
}

// attemptDone records an attempt's outcome. It completes the event: it sets the elapsed time of an attempt
// that did not succeed, if that is missing, and whether the query has ended. It returns false if the attempt
// is not running on the event's engine.
func (c *Core) attemptDone(event *cresspass.Event) bool {
	q := c.queries[event.Query]
	i := q.attemptIndex(event.Attempt)
	if i < 0 || q.running[i].engine != event.Engine {
		return false
	}
	startedAt := q.running[i].startedAt
	if event.Elapsed == 0 && event.Outcome != cresspass.OutcomeOK {
		event.Elapsed = c.now - startedAt
	}
	if !event.Outcome.NeverRan() && (!q.mayHaveRun || startedAt < q.firstRunAt) {
		q.mayHaveRun, q.firstRunAt = true, startedAt
	}
	q.running = append(q.running[:i], q.running[i+1:]...)
	if event.QueryFinished && !q.ended {
		if event.Outcome == cresspass.OutcomeOK {
			c.stats.Served++
		} else {
			c.stats.Failed++
		}
		q.ended = true
	}
	event.QueryFinished = q.ended
	c.removeIfFinished(q)
	return true
}
