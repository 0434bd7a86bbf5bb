package dispatch

import (
	"time"

	"cresspass"
)

// applyAction executes an action of the decision module, or adds it to the outputs for the shell.
func (c *Core) applyAction(action *cresspass.Action) {
	q := c.queries[action.Query]
	switch action.Type {
	case cresspass.Send:
		c.startAttempt(action, q)
	case cresspass.SetTimer:
		c.schedule(c.now+action.Wait, timerTarget{isModuleTimer: true, label: action.Label})
	case cresspass.Reject, cresspass.Fail:
		c.rejectOrFail(action, q)
	case cresspass.SetResources:
		if q != nil {
			q.priority, q.memoryGrantMB = action.Priority, action.MemoryGrantMB
		}
	case cresspass.Cancel:
		if q != nil {
			c.stopAttempt(q, action.Attempt, cresspass.OutcomeCancelled)
		}
	case cresspass.CheckHealth:
		c.outputs = append(c.outputs, Output{Type: CheckHealth, Engine: action.Engine})
	case cresspass.FetchEngineList:
		c.outputs = append(c.outputs, Output{Type: FetchEngineList})
	case cresspass.SubscribeEngineList:
		c.outputs = append(c.outputs, Output{Type: SubscribeEngineList, Enabled: action.Enabled})
	case cresspass.CloseIdleConnections:
		c.outputs = append(c.outputs, Output{Type: CloseIdleConnections, Engine: action.Engine})
	case cresspass.SendToPeer:
		c.outputs = append(c.outputs, Output{Type: SendToPeer, Peer: action.Peer, Data: action.Data})
	case cresspass.Log:
		c.outputs = append(c.outputs, Output{Type: WriteLog, Text: action.Text})
	}
}

// rejectOrFail ends a query that the decision module rejects or fails. It does nothing if the query has
// already ended.
func (c *Core) rejectOrFail(action *cresspass.Action, q *query) {
	if q == nil || q.ended {
		return
	}
	if action.Type == cresspass.Reject {
		c.stats.Rejected++
		c.outputs = append(c.outputs, Output{Type: RejectQuery, Query: q.id, RetryAfter: action.Wait,
			MayHaveRun: q.mayHaveRun || len(q.running) > 0, Reason: action.Reason})
	} else {
		c.stats.Failed++
		c.outputs = append(c.outputs, Output{Type: FailQuery, Query: q.id, Reason: action.Reason})
	}
	q.ended = true
	c.removeIfFinished(q)
}

// startAttempt adds the start of an attempt to the outputs, and schedules the attempt's timeout if it comes
// before the query's deadline.
func (c *Core) startAttempt(action *cresspass.Action, q *query) {
	if q == nil || q.ended {
		c.reportNotStarted(action, q)
		return
	}
	startWithin := c.startWithin(action, q)
	number := q.nextAttempt
	q.nextAttempt++
	q.running = append(q.running, attempt{number: number, engine: action.Engine, startedAt: c.now})
	c.stats.Attempts++
	if number > 0 {
		c.stats.Retries++
	}
	if action.Wait > 0 && c.now+action.Wait < q.deadline {
		c.schedule(c.now+action.Wait, timerTarget{query: q.id, attempt: number})
	}
	c.outputs = append(c.outputs, Output{Type: StartAttempt, Query: q.id, Attempt: number,
		Engine: action.Engine, Priority: q.priority, MemoryGrantMB: q.memoryGrantMB,
		StartWithin: startWithin})
}

// reportNotStarted reports to the decision module that an attempt was not started because its query has ended
// (rule 1). A query may end while the module decides to start an attempt of it. If the query is no longer
// known, the attempt is only counted.
func (c *Core) reportNotStarted(action *cresspass.Action, q *query) {
	c.stats.NotStarted++
	if q == nil {
		return
	}
	c.events = append(c.events, cresspass.Event{Type: cresspass.AttemptDone, Query: action.Query,
		Attempt: q.nextAttempt, Engine: action.Engine, Outcome: cresspass.OutcomeNotStarted,
		QueryFinished: true})
	q.nextAttempt++
}

// startWithin returns how long an attempt may take to reach its engine. The time is bounded by the query's
// deadline, by how long the decision is valid, and by the deduplication window, less windowMargin, of earlier
// attempts that may have run. After the decision the attempt may still wait for a connection and a dial. A
// retry that was decided on within the window but reaches the engine after it would have its effect twice.
func (c *Core) startWithin(action *cresspass.Action, q *query) time.Duration {
	within := q.deadline - c.now
	if action.StartWithin > 0 {
		within = min(within, action.StartWithin)
	}
	if q.deduplicationWindow > 0 {
		if firstRun, ok := q.firstPossibleRun(); ok {
			within = min(within, firstRun+q.deduplicationWindow-c.windowMargin-c.now)
		}
	}
	return within
}
