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
)

// scope is one lane of a session: that of its statements outside transactions, or a transaction.
type scope struct {
	session       *session
	transactionID string // of the transaction; "": outside
	lease         pgbackend.Lease

	mu               sync.Mutex
	queue            statementqueue.Queue
	waiters          map[statementqueue.StatementID]chan struct{}
	affinity         *affinity.Session
	current          *call            // that has the lane alone
	endVerdict       *verdict.Verdict // why the lane has ended; nil: it has not
	connectionLost   bool             // its engine connection was lost while a statement was under way
	notice           string           // to be told at the next call's end
	transactionBegan bool             // a transaction's BEGIN was carried out
	registration     registry.Entry
}

func newScope(of *session, id string, settings *sessionparams.Set) *scope {
	t := &scope{
		session:       of,
		transactionID: id,
		waiters:       map[statementqueue.StatementID]chan struct{}{},
		affinity:      affinity.NewSession(),
	}
	t.affinity.Params.Inherit(settings)
	t.lease.OnLost, t.lease.OnDrain = t.onIdleConnectionLost, t.onEngineDraining
	t.registration.User, t.registration.Expire = of.user, t.terminateIfDue
	return t
}

// acquireTurn waits for a statement's turn.
func (t *scope) acquireTurn(ctx context.Context, alone bool) (statementqueue.StatementID, *verdict.Verdict) {
	t.mu.Lock()
	if t.endVerdict != nil {
		defer t.mu.Unlock()
		return 0, t.endedVerdict()
	}
	if most := t.session.server.cfg.MaxWaiting; most > 0 && t.queue.Waiting() >= most {
		t.mu.Unlock()
		return 0, verdict.RejectOverLimit("too many statements of the session wait for their turn")
	}
	id := statementqueue.StatementID(t.session.server.nextID.Add(1))
	ch := make(chan struct{})
	t.waiters[id] = ch
	t.wakeWaiters(t.queue.Enqueue(id, alone))
	t.mu.Unlock()
	select {
	case <-ch:
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.endVerdict != nil {
			return 0, t.endedVerdict()
		}
		return id, nil
	case <-ctx.Done():
		t.releaseTurn(id)
		return 0, verdict.RejectOverLimit("its time was over before its session's turn came")
	}
}

// endedVerdict is what a statement of a lane that has ended is told: nothing of it ran. The caller holds the
// lock.
func (t *scope) endedVerdict() *verdict.Verdict {
	what := "the transaction has ended: "
	if t.transactionID == "" {
		what = "the session has ended: "
	}
	return verdict.Invalid("25000", what+t.endVerdict.Message+". "+t.endVerdict.Detail)
}

// wakeWaiters lets statements run. The caller holds the lock.
func (t *scope) wakeWaiters(run []statementqueue.StatementID) {
	for _, id := range run {
		if ch := t.waiters[id]; ch != nil {
			close(ch)
			delete(t.waiters, id)
		}
	}
}

// releaseTurn ends a statement's turn.
func (t *scope) releaseTurn(id statementqueue.StatementID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ch := t.waiters[id]; ch != nil {
		delete(t.waiters, id)
	}
	t.wakeWaiters(t.queue.Remove(id))
}

// needsExclusive reports whether statements may leave something, or change what is replayed.
func needsExclusive(parsed []sqlscan.Statement) bool {
	return slices.ContainsFunc(parsed, func(st sqlscan.Statement) bool {
		_, sets := sessionparams.ChangeOf(&st)
		return sets || affinity.MayLeaveState(&st) || changesSessionState(&st)
	})
}

// changesSessionState reports whether a statement is about the transaction or session state that may stand.
func changesSessionState(st *sqlscan.Statement) bool {
	switch st.Words[0] {
	case "COMMIT", "END", "ROLLBACK", "ABORT", "RELEASE", "DISCARD", "RESET", "UNLISTEN", "CLOSE",
		"DEALLOCATE",
		"PREPARE":
		return true
	}
	return false
}

// prepareQuery puts a statement that has its turn into the terms of the core. The caller has the turn.
func (t *scope) prepareQuery(c *call, k *enginequery.Query) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k.OutsideTransaction, k.Settings = t.affinity.Status() == 'I', t.affinity.Params.Desired()
	bound := t.affinity.Bound()
	if !c.exclusive && !bound {
		c.query.Lease = &pgbackend.Lease{OnLost: func() {}, OnDrain: func(time.Duration) {}}
		return
	}
	t.current = c
	c.query.Lease = &t.lease
	k.Sticky = bound
	if k.Kind == enginequery.Execute {
		t.affinity.StatementsSent(k.Parsed)
		k.MayBecomeSticky = !bound &&
			(t.affinity.Bound() || slices.ContainsFunc(k.Parsed, func(st sqlscan.Statement) bool {
				return affinity.MayLeaveState(&st)
			}))
	}
	k.Stateful = bound || k.MayBecomeSticky || slices.ContainsFunc(k.Parsed, func(st sqlscan.Statement) bool {
		_, ok := sessionparams.ChangeOf(&st)
		return ok
	})
}

// settleQuery takes the end of a statement at its engine.
func (t *scope) settleQuery(c *call, end pgbackend.QueryEnd) pgbackend.Disposition {
	t.mu.Lock()
	if t.current != c || t.endVerdict != nil {
		t.mu.Unlock()
		return pgbackend.Disposition{} // its answer has ended by other hands, or it was to leave nothing
	}
	p := t.affinity
	p.Params.ConnectionHad(end.Settings)
	if end.SettingReported {
		p.UnexpectedParameterStatus()
	}
	for _, tag := range end.CommandTags {
		p.CommandComplete(tag)
	}
	book := t.session.server.cfg.Registry
	changed := p.ReadyForQuery(book.Now(), end.TransactionStatus)
	keep := p.Bound()
	t.queue.SetSticky(keep)
	t.transactionBegan = t.transactionBegan || keep
	stay := pgbackend.Disposition{Known: true, Keep: keep, Settings: p.Params.OnConnection()}
	if t.transactionID != "" && t.transactionBegan && end.TransactionStatus == 'I' {
		// What a transaction leaves behind itself belongs to nobody: its connection is closed.
		t.endVerdict = &verdict.Verdict{Kind: verdict.InvalidRequest, Code: "25000",
			Message: "it was committed or rolled back"}
		stay.Keep, stay.Known = false, !keep
		changed, keep = true, false
	}
	t.mu.Unlock()
	if changed {
		book.Update(&t.registration, keep, orphanedsession.Session{Engine: string(end.Engine), PID: end.PID,
			Secret: end.Secret})
	}
	return stay
}

// onResponseEnded tells that the lane's statement has its final answer. It is called under the answer's lock.
func (t *scope) onResponseEnded(c *call) {
	t.mu.Lock()
	var end affinity.Termination
	if t.current == c {
		t.current = nil
		if t.connectionLost {
			end = t.affinity.ConnectionLost(false)
		} else if t.lease.Engine() == "" {
			// Danger: a statement that was refused before an engine saw it would hold the session to nothing.
			t.affinity.Reset()
			t.queue.SetSticky(false)
		}
	}
	t.mu.Unlock()
	if end.Code != "" {
		go t.terminate(verdict.ConnectionLost(end.Code, end.Message, end.Detail))
	}
}

// onConnectionLost ends the lane, whose engine connection was lost while a statement was out.
func (t *scope) onConnectionLost(c *call, sent bool) {
	t.mu.Lock()
	end := t.affinity.ConnectionLost(sent)
	t.mu.Unlock()
	v := verdict.ConnectionLost(end.Code, end.Message, end.Detail)
	if !sent {
		v.MayHaveRun = false
	}
	c.query.Response.FinishWithVerdict(v)
	t.terminate(v)
}

// onIdleConnectionLost ends a lane whose engine connection was lost at rest.
func (t *scope) onIdleConnectionLost() {
	t.mu.Lock()
	busy, bound := t.current != nil, t.affinity.Bound()
	var end affinity.Termination
	switch {
	case bound && !busy:
		end = t.affinity.ConnectionLost(false)
	case bound: // the statement that is under way is ended first; then the lane is
		t.connectionLost = true
	}
	t.mu.Unlock()
	if end.Code != "" {
		t.terminate(verdict.ConnectionLost(end.Code, end.Message, end.Detail))
	}
}

// onEngineDraining tells the lane that its engine drains, and ends it at the limit.
func (t *scope) onEngineDraining(within time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.affinity.StartDrain(t.session.server.cfg.Registry.Now() + within)
	if t.affinity.Bound() {
		t.notice = "the engine that this is kept on drains; what is not ended within " + within.String() +
			" will be"
	}
}

// terminateIfDue ends the lane where its time has come.
func (t *scope) terminateIfDue(now time.Duration, l affinity.Limits) {
	t.mu.Lock()
	if t.endVerdict != nil {
		t.mu.Unlock()
		return
	}
	end, due := t.affinity.Expire(now, t.current != nil, l)
	t.mu.Unlock()
	if due {
		t.terminate(verdict.ConnectionLost(end.Code, end.Message, end.Detail))
	}
}

// terminate ends the lane: what runs gets the verdict, what waits is told that it did not run, and the
// engine's connection is closed, so that nothing stays open there. A session whose own lane ends, ends.
func (t *scope) terminate(v *verdict.Verdict) {
	t.mu.Lock()
	if t.endVerdict == nil {
		t.endVerdict = v
	}
	cur := t.current
	t.queue.Close()
	for id, ch := range t.waiters {
		close(ch)
		delete(t.waiters, id)
	}
	t.mu.Unlock()
	if cur != nil {
		cur.cancel(v)
	}
	t.lease.Close()
	t.session.server.cfg.Registry.Update(&t.registration, false, orphanedsession.Session{})
	if t.transactionID == "" {
		t.session.server.endSession(t.session.token, v.Message)
	}
}

// isSticky reports whether the lane is kept on an engine, or a statement of its runs.
func (t *scope) isSticky() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endVerdict == nil && (t.affinity.Bound() || t.transactionID != "" && !t.queue.Idle())
}
