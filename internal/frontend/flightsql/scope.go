package flightsql

import (
	"context"
	"slices"
	"sync"
	"time"

	"cresspass/internal/affinity"
	"cresspass/internal/affinity/orphanedsession"
	"cresspass/internal/affinity/registry"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend/flightsql/statementqueue"
	"cresspass/internal/protocol/sqlscan"
	"cresspass/internal/protocol/sqlstate"
)

// scope groups statements of a session that share an engine connection while it is sticky: the statements of
// one transaction, or all statements outside transactions.
type scope struct {
	session       *session
	transactionID string // "": outside transactions
	lease         pgbackend.Lease

	mu               sync.Mutex
	queue            statementqueue.Queue
	waiters          map[statementqueue.StatementID]chan struct{} // closed when the statement's turn comes
	affinity         *affinity.Session
	registration     registry.Entry
	exclusiveCall    *call            // the call that runs exclusively; nil: none
	endVerdict       *verdict.Verdict // why the scope has ended; nil: it has not
	connectionLost   bool             // the engine connection was lost while a statement ran
	transactionBegan bool             // an engine has run the transaction's BEGIN
	notice           string           // sent to the client with its next calls
}

// newScope returns a scope of a session that starts with the given settings.
func newScope(sess *session, transactionID string, settings *sessionparams.Set) *scope {
	sc := &scope{session: sess, transactionID: transactionID,
		waiters: map[statementqueue.StatementID]chan struct{}{}, affinity: affinity.NewSession()}
	sc.affinity.Params.Inherit(settings)
	sc.lease.OnLost, sc.lease.OnDrain = sc.onIdleConnectionLost, sc.onEngineDraining
	sc.registration.User, sc.registration.Expire = sess.user, sc.terminateIfDue
	return sc
}

// acquireTurn waits for a statement's turn. releaseTurn must follow if the verdict is nil.
func (sc *scope) acquireTurn(ctx context.Context, exclusive bool) (statementqueue.StatementID,
	*verdict.Verdict) {
	sc.mu.Lock()
	if sc.endVerdict != nil {
		defer sc.mu.Unlock()
		return 0, sc.endedVerdict()
	}
	if limit := sc.session.server.cfg.MaxWaiting; limit > 0 && sc.queue.Waiting() >= limit {
		sc.mu.Unlock()
		return 0, verdict.RejectOverLimit("too many statements of the session wait for their turn")
	}
	id := statementqueue.StatementID(sc.session.server.nextID.Add(1))
	turn := make(chan struct{})
	sc.waiters[id] = turn
	sc.wakeWaiters(sc.queue.Enqueue(id, exclusive))
	sc.mu.Unlock()
	select {
	case <-turn:
		sc.mu.Lock()
		defer sc.mu.Unlock()
		if sc.endVerdict != nil {
			return 0, sc.endedVerdict()
		}
		return id, nil
	case <-ctx.Done():
		sc.releaseTurn(id)
		return 0, verdict.RejectOverLimit("its time was over before its session's turn came")
	}
}

// endedVerdict returns the answer to a statement whose scope has ended: nothing of it ran. The caller holds
// the scope's lock.
func (sc *scope) endedVerdict() *verdict.Verdict {
	what := "the transaction has ended: "
	if sc.transactionID == "" {
		what = "the session has ended: "
	}
	return verdict.Invalid(sqlstate.InvalidTransactionState,
		what+sc.endVerdict.Message+". "+sc.endVerdict.Detail)
}

// wakeWaiters wakes the goroutines of statements whose turn has come. The caller holds the scope's lock.
func (sc *scope) wakeWaiters(started []statementqueue.StatementID) {
	for _, id := range started {
		if turn := sc.waiters[id]; turn != nil {
			close(turn)
			delete(sc.waiters, id)
		}
	}
}

// releaseTurn ends a statement's turn.
func (sc *scope) releaseTurn(id statementqueue.StatementID) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	delete(sc.waiters, id)
	sc.wakeWaiters(sc.queue.Remove(id))
}

// needsExclusive reports whether any of the statements may leave or change session state, or change settings
// that are replayed.
func needsExclusive(parsed []sqlscan.Statement) bool {
	return sessionparams.ChangesAny(parsed) || slices.ContainsFunc(parsed, mayLeaveState) ||
		slices.ContainsFunc(parsed, changesSessionState)
}

// changesSessionState reports whether a statement acts on a transaction or on session state that may exist.
func changesSessionState(st sqlscan.Statement) bool {
	switch st.Words[0] {
	case "COMMIT", "END", "ROLLBACK", "ABORT", "RELEASE", "DISCARD", "RESET", "UNLISTEN", "CLOSE",
		"DEALLOCATE", "PREPARE":
		return true
	}
	return false
}

func mayLeaveState(st sqlscan.Statement) bool { return affinity.MayLeaveState(&st) }

// prepareQuery fills in the parts of a query that depend on its scope. The caller has the turn.
func (sc *scope) prepareQuery(c *call, q *enginequery.Query) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	q.OutsideTransaction = sc.affinity.Status() == enginequery.StatusIdle
	q.Settings = sc.affinity.Params.Desired()
	sticky := sc.affinity.Bound()
	if !c.exclusive && !sticky {
		c.query.Lease = &pgbackend.Lease{OnLost: func() {}, OnDrain: func(time.Duration) {}}
		return
	}
	sc.exclusiveCall = c
	c.query.Lease = &sc.lease
	q.Sticky = sticky
	if q.Kind == enginequery.Execute {
		sc.affinity.StatementsSent(q.Parsed)
		q.MayBecomeSticky = !sticky &&
			(sc.affinity.Bound() || slices.ContainsFunc(q.Parsed, mayLeaveState))
	}
	q.Stateful = sticky || q.MayBecomeSticky || sessionparams.ChangesAny(q.Parsed)
}

// settleQuery updates the scope after a statement ended at its engine, and returns what becomes of the engine
// connection.
func (sc *scope) settleQuery(c *call, end pgbackend.QueryEnd) pgbackend.Disposition {
	sc.mu.Lock()
	if sc.exclusiveCall != c || sc.endVerdict != nil {
		sc.mu.Unlock()
		return pgbackend.Disposition{} // the call or the scope has ended, or the call has its own lease
	}
	a := sc.affinity
	a.Params.ConnectionHad(end.Settings)
	if end.SettingReported {
		a.UnexpectedParameterStatus()
	}
	for _, tag := range end.CommandTags {
		a.CommandComplete(tag)
	}
	registry := sc.session.server.cfg.Registry
	changed := a.ReadyForQuery(registry.Now(), end.TransactionStatus)
	keep := a.Bound()
	sc.queue.SetSticky(keep)
	sc.transactionBegan = sc.transactionBegan || keep
	d := pgbackend.Disposition{Known: true, Keep: keep, Settings: a.Params.OnConnection()}
	transactionEnded := sc.transactionBegan && end.TransactionStatus == enginequery.StatusIdle
	if sc.transactionID != "" && transactionEnded {
		// A connection with state that outlives the transaction is closed: the state belongs to no session.
		sc.endVerdict = verdict.Invalid(sqlstate.InvalidTransactionState, "it was committed or rolled back")
		d.Keep, d.Known = false, !keep
		changed, keep = true, false
	}
	sc.mu.Unlock()
	if changed {
		registry.Update(&sc.registration, keep, orphanedsession.Session{Engine: string(end.Engine),
			PID: end.PID, Secret: end.Secret})
	}
	return d
}

// onAnswered is called under the response's lock when a statement has ended with its engine's response.
func (sc *scope) onAnswered(c *call) {
	sc.mu.Lock()
	var t affinity.Termination
	if sc.exclusiveCall == c {
		sc.exclusiveCall = nil
		if sc.connectionLost {
			t = sc.affinity.ConnectionLost(false)
		} else if sc.lease.Engine() == "" {
			sc.resetState()
		}
	}
	sc.mu.Unlock()
	sc.terminateLater(t)
}

// resetState records that the scope holds no engine connection. A statement that was rejected before an
// engine ran it has left no state: without this reset, it would bind the scope to an engine connection that
// does not exist. The caller holds the scope's lock.
func (sc *scope) resetState() {
	sc.affinity.Reset()
	sc.queue.SetSticky(false)
}

// terminateLater ends the scope, unless t is empty. It may be called under the response's lock.
func (sc *scope) terminateLater(t affinity.Termination) {
	if t.Code != "" {
		go sc.terminate(lostVerdict(t))
	}
}

// onAnsweredEarly is called under the response's lock when a statement ends with a verdict of the dispatcher.
// The engine may not have received the statement, or may still run it. It returns the verdict for the client.
func (sc *scope) onAnsweredEarly(c *call, v *verdict.Verdict) *verdict.Verdict {
	sc.mu.Lock()
	if sc.exclusiveCall != c {
		sc.mu.Unlock()
		return v
	}
	sc.exclusiveCall = nil
	holds := sc.lease.Engine() != ""
	switch {
	case sc.connectionLost || !holds && c.query.EngineQuery.Sticky:
		t := sc.affinity.ConnectionLost(false)
		sc.mu.Unlock()
		sc.terminateLater(t)
		return v
	case !holds:
		sc.resetState()
		sc.mu.Unlock()
		return v
	}
	sent := sc.lease.Sent(c.query.EngineQuery)
	if sent && sc.affinity.CommitSent() {
		v = verdict.CommitUndecided(v)
	}
	registry := sc.session.server.cfg.Registry
	changed, known := sc.affinity.AnsweredEarly(registry.Now(), sent)
	bound := sc.affinity.Bound()
	sc.queue.SetSticky(bound)
	transactionEnded := sc.transactionBegan && sc.affinity.Status() == enginequery.StatusIdle
	if sc.transactionID != "" && transactionEnded && sc.endVerdict == nil {
		sc.endVerdict = verdict.Invalid(sqlstate.InvalidTransactionState, v.Message)
		bound, changed = false, true
	}
	var t affinity.Termination
	switch {
	case !known:
		t = sc.affinity.EndBySettings()
	case bound:
		sc.lease.RestoreStatus(sc.affinity.Status())
	default:
		sc.lease.Detach()
	}
	sc.mu.Unlock()
	if changed {
		registry.Update(&sc.registration, bound, orphanedsession.Session{})
	}
	sc.terminateLater(t)
	return v
}

// onConnectionLost ends the scope after its engine connection was lost while a statement ran or waited to be
// sent. sent reports whether the statement had been sent to the engine.
func (sc *scope) onConnectionLost(c *call, sent bool) {
	sc.mu.Lock()
	t := sc.affinity.ConnectionLost(sent)
	sc.mu.Unlock()
	v := lostVerdict(t)
	v.MayHaveRun = sent
	c.query.Response.FinishWithVerdict(v)
	sc.terminate(v)
}

// onIdleConnectionLost ends the scope after its engine connection was lost. If a statement runs, the scope
// ends when the statement's response has ended (onResponseEnded).
func (sc *scope) onIdleConnectionLost() {
	sc.mu.Lock()
	bound := sc.affinity.Bound()
	ended := bound && sc.exclusiveCall == nil
	var t affinity.Termination
	if ended {
		t = sc.affinity.ConnectionLost(false)
	} else if bound {
		sc.connectionLost = true
	}
	sc.mu.Unlock()
	if ended {
		sc.terminate(lostVerdict(t))
	}
}

func lostVerdict(t affinity.Termination) *verdict.Verdict {
	return verdict.ConnectionLost(t.Code, t.Message, t.Detail)
}

// onEngineDraining notifies the client that the scope's engine drains. within is how long the scope may stay
// on that engine.
func (sc *scope) onEngineDraining(within time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.affinity.StartDrain(sc.session.server.cfg.Registry.Now() + within)
	if sc.affinity.Bound() {
		sc.notice = "the engine that this is kept on drains; what is not ended within " + within.String() +
			" will be"
	}
}

// terminateIfDue ends the scope if one of its time limits has passed.
func (sc *scope) terminateIfDue(now time.Duration, limits affinity.Limits) {
	sc.mu.Lock()
	if sc.endVerdict != nil {
		sc.mu.Unlock()
		return
	}
	t, due := sc.affinity.Expire(now, sc.exclusiveCall != nil, limits)
	sc.mu.Unlock()
	if due {
		sc.terminate(lostVerdict(t))
	}
}

// terminate ends the scope: the statement that runs exclusively gets the verdict, waiting statements are
// answered that they did not run, and the engine connection is closed, so that nothing stays open there. The
// end of a session's default scope ends the session.
func (sc *scope) terminate(v *verdict.Verdict) {
	sc.mu.Lock()
	if sc.endVerdict == nil {
		sc.endVerdict = v
	}
	current := sc.exclusiveCall
	sc.queue.Close()
	for id, turn := range sc.waiters {
		close(turn)
		delete(sc.waiters, id)
	}
	sc.mu.Unlock()
	if current != nil {
		current.cancel(v)
	}
	sc.lease.Close()
	server := sc.session.server
	server.cfg.Registry.Update(&sc.registration, false, orphanedsession.Session{})
	if sc.transactionID == "" {
		server.endSession(sc.session.token, v.Message)
	}
}

// isSticky reports whether the scope is bound to an engine connection, or is a transaction with a statement
// that runs or waits.
func (sc *scope) isSticky() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.endVerdict == nil &&
		(sc.affinity.Bound() || sc.transactionID != "" && !sc.queue.Idle())
}
