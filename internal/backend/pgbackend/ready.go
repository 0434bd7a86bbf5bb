package pgbackend

import (
	"errors"
	"fmt"
	"time"

	"cresspass"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/protocol/pgwire"
)

var errUnknownState = errors.New("what the query left on the connection is not known")

// queryOutcome holds what the connection collected of a query's response, and how the query ended.
type queryOutcome struct {
	batch       []byte // last messages of the response
	description []byte
	failed      bool // an ErrorResponse arrived
	engineError pgwire.Fields
	queryError  bool // success, or an error of the query itself: the engine's messages are the response
	retryable   bool // the decision module may make another attempt
}

// endQuery ends the attempt at its ReadyForQuery. The connection is returned to the pool first, because the
// client's next query may follow at once. If endQuery returns an error, the connection is closed.
func (c *conn) endQuery(a *Attempt, status byte) error {
	if a.restoresStatus {
		return c.endRestore(a, status)
	}
	result, outcome := c.takeOutcome(a)
	keep, tainted := c.settleSession(a, status, outcome.retryable)
	err := c.detach(status, keep, tainted)
	c.respond(a, result, outcome)
	if keep && err == nil {
		c.resumeSession()
	}
	return err
}

// takeOutcome returns how the query ended, and clears what was collected of its response.
func (c *conn) takeOutcome(a *Attempt) (Result, queryOutcome) {
	r := Result{Outcome: cresspass.OutcomeOK, ServiceTime: max(time.Since(a.startedAt), 1),
		LoadReport: c.loadReport}
	o := queryOutcome{batch: c.batch, description: c.description, failed: c.failed,
		engineError: c.engineError, queryError: true}
	if c.failed {
		r.SQLState, r.Message = c.engineError.Code, c.engineError.Message
		r.Outcome, o.queryError = c.classifyError(c.engineError.Code)
		if o.queryError {
			// Errors come quickly. Counted as a service time, they would make the engine look fast to the
			// estimator; counted as failures, they would make it an outlier.
			r.ServiceTime = 0
		}
	}
	if c.hadCopyIn {
		r.ServiceTime = 0 // a COPY lasts as long as its client sends, which does not measure the engine
	}
	o.retryable = o.failed && !o.queryError && a.Query != nil && !a.Query.Sticky
	c.batch, c.description, c.failed, c.engineError, c.loadReport = nil, nil, false, pgwire.Fields{}, nil
	return r, o
}

// settleSession determines what state a query left on the connection, and whether its session keeps the
// connection. tainted reports whether the state is unknown: then no other session may use the
// connection.
func (c *conn) settleSession(a *Attempt, status byte, retryable bool) (keep, tainted bool) {
	if a.Response == nil || !a.Stateful && !c.settingReported {
		return false, c.tainted
	}
	d := Disposition{}
	committed := !retryable && a.Response.Commit(a.Number)
	if !committed && c.answeredEarly(a) {
		// The client was answered before the engine, and its session follows that answer (restore.go). A
		// setting that changed outside a transaction stays changed, and the session does not know it.
		return true, c.tainted || c.settingReported && status == enginequery.StatusIdle
	}
	// A query whose response has ended otherwise, or that is attempted elsewhere, may have left a table, a
	// lock or a setting here that belongs to no session. Then the disposition stays unknown.
	if committed {
		d = a.Settle(QueryEnd{Engine: c.engine.id, PID: c.pid, Secret: c.secret, TransactionStatus: status,
			CommandTags: c.commandTags, SettingReported: c.settingReported, Settings: c.settings})
		c.settings = d.Settings
	}
	tainted = c.tainted || !d.Known
	keep = d.Keep && !tainted
	if keep && !a.Lease.acquire(c) {
		keep, tainted = false, true // the client disconnected in the meantime
	}
	if keep {
		c.lease.Store(a.Lease)
		return true, false
	}
	// A tainted connection is closed, and onClosed then notifies its session.
	if l := c.lease.Load(); l != nil && !tainted {
		c.lease.Store(nil)
		l.release()
	}
	return false, tainted
}

// detach ends the attempt's use of the connection and returns the connection to the pool if other sessions
// may use it. An error means that the connection must be closed.
func (c *conn) detach(status byte, keep, tainted bool) error {
	var err error
	c.mu.Lock()
	c.current.Store(nil)
	c.status = status
	switch {
	case tainted:
		err = errUnknownState
	case keep:
		c.awaitingCancel = c.pendingCancels > 0
	case status != enginequery.StatusIdle:
		// The query left a transaction open. The next query on this connection would run inside it.
		err = fmt.Errorf("the query left transaction state %q", status)
	case c.pendingCancels > 0:
		c.awaitingCancel = true
	}
	c.closed = c.closed || err != nil
	idle := !c.awaitingCancel && err == nil && !keep
	c.mu.Unlock()
	if idle {
		c.pool.putIdle(c)
	}
	return err
}

// respond ends the client's response with the engine's messages or leaves it to another attempt, and reports
// the attempt's result.
func (c *conn) respond(a *Attempt, r Result, o queryOutcome) {
	switch {
	case a.Response == nil:
		a.end(r)
	case o.queryError:
		c.cacheDescription(a, o)
		if r.ResponseFinished = a.Response.Finish(a.Number, o.batch, o.failed); !r.ResponseFinished {
			r.Outcome = cresspass.OutcomeCancelled // the attempt was revoked, which reported its end
		}
		a.end(r)
	case a.Stateful && !o.retryable:
		// A sticky query is not attempted elsewhere: the engine's error is its response.
		last := pgwire.AppendFields(o.batch, 'E', &o.engineError)
		r.ResponseFinished = a.Response.Finish(a.Number, last, true)
		a.end(r)
	default:
		c.failAttempt(a, r)
	}
}

// cacheDescription passes a statement's description to the cache, or drops the cached one after an error.
func (c *conn) cacheDescription(a *Attempt, o queryOutcome) {
	if a.OnDescribed == nil || !o.failed && o.description == nil {
		return
	}
	key, ok := a.Query.DescriptionKey()
	switch {
	case !ok:
	case o.failed:
		a.OnDescribed(key, nil)
	default:
		a.OnDescribed(key, o.description)
	}
}

// applyCommandTag updates the state of the connection after a statement that resets part of it.
func (c *conn) applyCommandTag(tag string) {
	if tag == "DISCARD ALL" || tag == "DEALLOCATE ALL" {
		clear(c.preparedByKey)
		c.preparedLRU.Init()
	}
	switch tag {
	case "DISCARD ALL", "RESET", "ROLLBACK": // ROLLBACK undoes the SETs sent in its transaction
		c.invalidateResourceSettings()
	}
}

// invalidateResourceSettings makes the next request set work_mem and the priority again.
func (c *conn) invalidateResourceSettings() {
	c.workMemMB, c.priority = unknownSetting, unknownSetting
}
