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

// track is one lane of a session: that of its statements outside transactions, or a transaction.
type track struct {
	of    *session
	id    string // of the transaction; "": outside
	lease pgbackend.Lease

	mu     sync.Mutex
	lane   statementqueue.Lane
	waits  map[statementqueue.ID]chan struct{}
	pin    *affinity.Session
	cur    *call            // that has the lane alone
	over   *verdict.Verdict // why the lane has ended; nil: it has not
	lost   bool             // its engine connection was lost while a statement was under way
	notice string           // to be told at the next call's end
	began  bool             // a transaction's BEGIN was carried out
	hold   registry.Hold
}

func newTrack(of *session, id string, settings *sessionparams.Set) *track {
	t := &track{of: of, id: id, waits: map[statementqueue.ID]chan struct{}{}, pin: affinity.New()}
	t.pin.Params.From(settings)
	t.lease.OnLost, t.lease.OnDrain = t.connLost, t.drained
	t.hold.User, t.hold.Due = of.user, t.due
	return t
}

// enter waits for a statement's turn.
func (t *track) enter(ctx context.Context, alone bool) (statementqueue.ID, *verdict.Verdict) {
	t.mu.Lock()
	if t.over != nil {
		defer t.mu.Unlock()
		return 0, t.gone()
	}
	if most := t.of.s.cfg.MaxWaiting; most > 0 && t.lane.Waiting() >= most {
		t.mu.Unlock()
		return 0, verdict.Limit("too many statements of the session wait for their turn")
	}
	id := statementqueue.ID(t.of.s.nextID.Add(1))
	ch := make(chan struct{})
	t.waits[id] = ch
	t.wake(t.lane.Enter(id, alone))
	t.mu.Unlock()
	select {
	case <-ch:
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.over != nil {
			return 0, t.gone()
		}
		return id, nil
	case <-ctx.Done():
		t.leave(id)
		return 0, verdict.Limit("its time was over before its session's turn came")
	}
}

// gone is what a statement of a lane that has ended is told: nothing of it ran. The caller holds the lock.
func (t *track) gone() *verdict.Verdict {
	what := "the transaction has ended: "
	if t.id == "" {
		what = "the session has ended: "
	}
	return verdict.Fault("25000", what+t.over.Message+". "+t.over.Detail)
}

// wake lets statements run. The caller holds the lock.
func (t *track) wake(run []statementqueue.ID) {
	for _, id := range run {
		if ch := t.waits[id]; ch != nil {
			close(ch)
			delete(t.waits, id)
		}
	}
}

// leave ends a statement's turn.
func (t *track) leave(id statementqueue.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ch := t.waits[id]; ch != nil {
		delete(t.waits, id)
	}
	t.wake(t.lane.Leave(id))
}

// alone reports whether statements may leave something, or change what is replayed.
func alone(parsed []sqlscan.Statement) bool {
	return slices.ContainsFunc(parsed, func(st sqlscan.Statement) bool {
		_, sets := sessionparams.Of(&st)
		return sets || affinity.Starts(&st) || ends(&st)
	})
}

// ends reports whether a statement is about the transaction or session state that may stand.
func ends(st *sqlscan.Statement) bool {
	switch st.Words[0] {
	case "COMMIT", "END", "ROLLBACK", "ABORT", "RELEASE", "DISCARD", "RESET", "UNLISTEN", "CLOSE",
		"DEALLOCATE",
		"PREPARE":
		return true
	}
	return false
}

// open puts a statement that has its turn into the terms of the core. The caller has the turn.
func (t *track) open(c *call, k *enginequery.Ask) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k.Rest, k.Settings = t.pin.Status() == 'I', t.pin.Params.Want()
	bound := t.pin.Bound()
	if !c.alone && !bound {
		c.q.Lease = &pgbackend.Lease{OnLost: func() {}, OnDrain: func(time.Duration) {}}
		return
	}
	t.cur = c
	c.q.Lease = &t.lease
	k.Bound = bound
	if k.Kind == enginequery.Execute {
		t.pin.Sent(k.Parsed)
		k.Begins = !bound && (t.pin.Bound() || slices.ContainsFunc(k.Parsed, func(st sqlscan.Statement) bool {
			return affinity.Starts(&st)
		}))
	}
	k.Pinned = bound || k.Begins || slices.ContainsFunc(k.Parsed, func(st sqlscan.Statement) bool {
		_, ok := sessionparams.Of(&st)
		return ok
	})
}

// settled takes the end of a statement at its engine.
func (t *track) settled(c *call, end pgbackend.End) pgbackend.Stay {
	t.mu.Lock()
	if t.cur != c || t.over != nil {
		t.mu.Unlock()
		return pgbackend.Stay{} // its answer has ended by other hands, or it was to leave nothing
	}
	p := t.pin
	p.Params.Ran(end.Had)
	if end.Told {
		p.Told()
	}
	for _, tag := range end.Tags {
		p.Tag(tag)
	}
	book := t.of.s.cfg.Book
	changed := p.Ready(book.Now(), end.Status)
	keep := p.Bound()
	t.lane.Bind(keep)
	t.began = t.began || keep
	stay := pgbackend.Stay{Known: true, Keep: keep, Has: p.Params.Real()}
	if t.id != "" && t.began && end.Status == 'I' {
		// What a transaction leaves behind itself belongs to nobody: its connection is closed.
		t.over = &verdict.Verdict{Kind: verdict.Faulty, Code: "25000",
			Message: "it was committed or rolled back"}
		stay.Keep, stay.Known = false, !keep
		changed, keep = true, false
	}
	t.mu.Unlock()
	if changed {
		book.Count(&t.hold, keep, orphanedsession.Session{Engine: string(end.Engine), PID: end.PID,
			Secret: end.Secret})
	}
	return stay
}

// closed tells that the lane's statement has its final answer. It is called under the answer's lock.
func (t *track) closed(c *call) {
	t.mu.Lock()
	var end affinity.End
	if t.cur == c {
		t.cur = nil
		if t.lost {
			end = t.pin.Lost(false)
		} else if t.lease.Engine() == "" {
			// Danger: a statement that was refused before an engine saw it would hold the session to nothing.
			t.pin.Clear()
			t.lane.Bind(false)
		}
	}
	t.mu.Unlock()
	if end.Code != "" {
		go t.end(verdict.Lost(end.Code, end.Message, end.Detail))
	}
}

// broken ends the lane, whose engine connection was lost while a statement was out.
func (t *track) broken(c *call, sent bool) {
	t.mu.Lock()
	end := t.pin.Lost(sent)
	t.mu.Unlock()
	v := verdict.Lost(end.Code, end.Message, end.Detail)
	if !sent {
		v.Ran = false
	}
	c.q.Answer.End(v)
	t.end(v)
}

// connLost ends a lane whose engine connection was lost at rest.
func (t *track) connLost() {
	t.mu.Lock()
	busy, bound := t.cur != nil, t.pin.Bound()
	var end affinity.End
	switch {
	case bound && !busy:
		end = t.pin.Lost(false)
	case bound: // the statement that is under way is ended first; then the lane is
		t.lost = true
	}
	t.mu.Unlock()
	if end.Code != "" {
		t.end(verdict.Lost(end.Code, end.Message, end.Detail))
	}
}

// drained tells the lane that its engine drains, and ends it at the limit.
func (t *track) drained(within time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pin.Drain(t.of.s.cfg.Book.Now() + within)
	if t.pin.Bound() {
		t.notice = "the engine that this is kept on drains; what is not ended within " + within.String() +
			" will be"
	}
}

// due ends the lane where its time has come.
func (t *track) due(now time.Duration, l affinity.Limits) {
	t.mu.Lock()
	if t.over != nil {
		t.mu.Unlock()
		return
	}
	end, due := t.pin.Due(now, t.cur != nil, l)
	t.mu.Unlock()
	if due {
		t.end(verdict.Lost(end.Code, end.Message, end.Detail))
	}
}

// end ends the lane: what runs gets the verdict, what waits is told that it did not run, and the engine's
// connection is closed, so that nothing stays open there. A session whose own lane ends, ends.
func (t *track) end(v *verdict.Verdict) {
	t.mu.Lock()
	if t.over == nil {
		t.over = v
	}
	cur := t.cur
	t.lane.Close()
	for id, ch := range t.waits {
		close(ch)
		delete(t.waits, id)
	}
	t.mu.Unlock()
	if cur != nil {
		cur.cancel(v)
	}
	t.lease.Drop()
	t.of.s.cfg.Book.Count(&t.hold, false, orphanedsession.Session{})
	if t.id == "" {
		t.of.s.end(t.of.token, v.Message)
	}
}

// holds reports whether the lane is kept on an engine, or a statement of its runs.
func (t *track) holds() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.over == nil && (t.pin.Bound() || t.id != "" && !t.lane.Idle())
}
