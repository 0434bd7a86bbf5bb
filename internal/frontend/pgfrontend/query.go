package pgfrontend

import (
	"time"

	"cresspass/internal/affinity"
	"cresspass/internal/affinity/orphanedsession"
	"cresspass/internal/backend/copyin"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend"
	"cresspass/internal/frontend/classify"
)

// newQuery creates the client's current query from engineQuery. It returns nil if engineQuery is nil or the
// connection has closed. The caller holds c.mu.
func (c *client) newQuery(engineQuery *enginequery.Query) *frontend.Query {
	if engineQuery == nil || c.closed {
		return nil
	}
	s := c.session
	q := &frontend.Query{Frontend: Name, EngineQuery: engineQuery, OnResponseEnded: c.submitNext,
		Client: classify.Client{User: s.User, Database: s.Database, Application: s.Application(),
			Timeout: s.StatementTimeout()}}
	q.Response = response.New(&sink{c, engineQuery}, &c.server.budget, c.server.cfg.Load().HoldBack)
	q.Throttle = func() { c.awaitCapacity(q.Response.Done()) }
	q.Lease = &c.lease
	q.StartCopyIn = func(p *copyin.Pipe) bool { return c.startCopyIn(q, p) }
	q.OnCopyCapacity = func() { go c.readAvailable() }
	q.Settle = func(end pgbackend.QueryEnd) pgbackend.Disposition { return c.settleQuery(q, end) }
	q.OnConnectionLost = func(sent bool) { c.onConnectionLost(q, sent) }
	c.current = q
	return q
}

// submitNext submits the client's next query, if one arrived behind the query that has ended.
func (c *client) submitNext() {
	c.mu.Lock()
	pending := c.nextQuery
	c.nextQuery = nil
	q := c.newQuery(pending)
	c.mu.Unlock()
	if q != nil && !c.rejectIfStickyLimit(q) {
		c.server.dispatcher.Submit(q)
	}
}

// rejectIfStickyLimit ends a query that would make its session sticky when a limit allows no more sticky
// sessions, or whose sticky session has lost its connection. It returns true if it has ended the query;
// nothing of the query ran.
func (c *client) rejectIfStickyLimit(q *frontend.Query) bool {
	switch {
	case !q.EngineQuery.Stateful || q.Lease.Engine() != "":
		return false
	case q.EngineQuery.Sticky: // the session's connection is gone, so the session ends
		c.onConnectionLost(q, false)
		return true
	case !q.EngineQuery.MayBecomeSticky: // the query only changes settings
		return false
	}
	reason, ok := c.server.cfg.Load().Registry.Allow(c.session.User)
	if ok {
		return false
	}
	if q.Response.FinishWithVerdict(verdict.RejectOverLimit(reason)) {
		c.submitNext()
	}
	return true
}

// settleQuery updates the session when the engine has ended its query, and decides whether the session keeps
// the connection.
func (c *client) settleQuery(q *frontend.Query, end pgbackend.QueryEnd) pgbackend.Disposition {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != q {
		return pgbackend.Disposition{} // its response has already been ended otherwise
	}
	a := c.session.Affinity
	a.Params.ConnectionHad(end.Settings)
	if end.SettingReported {
		a.UnexpectedParameterStatus()
	}
	for _, tag := range end.CommandTags {
		c.session.CommandComplete(tag)
	}
	registry := c.server.cfg.Load().Registry
	changed := c.session.ReadyForQuery(registry.Now(), end.TransactionStatus)
	keep := a.Bound()
	if changed {
		registry.Update(&c.registration, keep, orphanedsession.Session{Engine: string(end.Engine),
			PID: end.PID, Secret: end.Secret})
	}
	return pgbackend.Disposition{Known: true, Keep: keep, Settings: a.Params.OnConnection()}
}

// onConnectionLost ends the session after its engine connection was lost while its query ran or waited to be
// sent. sent reports whether the query had been sent to the engine.
func (c *client) onConnectionLost(q *frontend.Query, sent bool) {
	if !q.Response.Abandon() {
		return
	}
	c.mu.Lock()
	t := c.session.Affinity.ConnectionLost(sent)
	c.mu.Unlock()
	c.endSession(t)
}

// onIdleConnectionLost ends the session after its engine connection was lost. If a query runs, the session
// ends with that query's response.
func (c *client) onIdleConnectionLost() {
	c.mu.Lock()
	bound := c.session.Affinity.Bound()
	ended := bound && !c.session.Busy()
	var t affinity.Termination
	if ended {
		t = c.session.Affinity.ConnectionLost(false)
	} else if bound {
		c.connectionLost = true
	}
	c.mu.Unlock()
	if ended {
		c.endSession(t)
	}
}

// onEngineDraining notifies a session that its engine drains, and lets it expire after the given time.
func (c *client) onEngineDraining(within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	notice := c.session.Affinity.StartDrain(c.server.cfg.Load().Registry.Now() + within)
	if notice != "" && !c.session.Busy() && !c.closed {
		c.sendWarning(notice)
	}
}

// terminateIfDue ends the session if one of its time limits has been reached.
func (c *client) terminateIfDue(now time.Duration, limits affinity.Limits) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	t, due := c.session.Affinity.Expire(now, c.session.Busy(), limits)
	q := c.current
	c.mu.Unlock()
	if !due {
		return
	}
	if q != nil && q.Response.Abandon() {
		c.server.dispatcher.Withdraw(q, true)
	}
	c.endSession(t)
}
