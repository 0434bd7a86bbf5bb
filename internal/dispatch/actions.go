package dispatch

import (
	"time"

	"cresspass"
)

// applyAction carries out an action of the decision module, or puts it out for the shell.
func (c *Core) applyAction(action *cresspass.Action) {
	q := c.queries[action.Query]
	switch action.Type {
	case cresspass.Send:
		c.startAttempt(action, q)
	case cresspass.SetTimer:
		c.timers.Schedule(c.now+action.Wait, timerTarget{ofModule: true, label: action.Label})
	case cresspass.Reject, cresspass.Fail:
		c.endUnserved(action, q)
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

// endUnserved ends a query that the decision module rejects or fails.
func (c *Core) endUnserved(action *cresspass.Action, q *query) {
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

// startAttempt puts out the start of an attempt, and the timer of its time-out.
func (c *Core) startAttempt(action *cresspass.Action, q *query) {
	if q == nil || q.ended {
		c.declineStart(action, q)
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
		c.timers.Schedule(c.now+action.Wait, timerTarget{query: q.id, attempt: number})
	}
	c.outputs = append(c.outputs, Output{Type: StartAttempt, Query: q.id, Attempt: number,
		Engine: action.Engine, Priority: q.priority, MemoryGrantMB: q.memoryGrantMB,
		StartWithin: startWithin})
}

// declineStart reports an attempt that must not start, as its query has ended (rule 1). The end of a query
// and the decision to start an attempt of it can cross.
func (c *Core) declineStart(action *cresspass.Action, q *query) {
	c.stats.NotStarted++
	if q == nil {
		return
	}
	c.events = append(c.events, cresspass.Event{Type: cresspass.AttemptDone, Query: action.Query,
		Attempt: q.nextAttempt, Engine: action.Engine, Outcome: cresspass.OutcomeNotStarted,
		QueryFinished: true})
	q.nextAttempt++
}

// startWithin returns how long an attempt may take to reach its engine: until the deadline, for as long as
// the decision holds, and inside the deduplication window of what may have run before. Between the decision
// and the engine lie a wait for a connection and a dial; a retry that was inside the window when it was
// decided on but comes after it would run twice.
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
