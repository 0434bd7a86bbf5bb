package server

import (
	"strconv"
	"time"

	"cresspass"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend"
	"cresspass/internal/invariant"
	"cresspass/internal/recording"
)

// query is a query in flight and its attempts.
type query struct {
	*frontend.Query
	id       cresspass.QueryID
	class    string
	key      string // queries with the same key are ordered; "": none
	admitted bool   // the query counts towards the limit of open queries

	arrivedAt time.Time // set if the query is recorded

	// Guarded by the server's mu.
	attempts    map[int]*pgbackend.Attempt // attempts without an outcome, by number
	attempted   bool                       // an attempt was started
	finished    bool                       // the response has ended
	lastError   string                     // last error of an attempt
	recordEntry *recording.Entry           // nil: not recorded, or already written
}

// logName returns the name of the query in the log.
func (q *query) logName() string { return strconv.FormatUint(uint64(q.id), 10) }

// Submit accepts a query from a frontend. It responds at once if the query is invalid or rejected, and passes
// it to the module otherwise. It may be called from several goroutines.
func (s *Server) Submit(clientQuery *frontend.Query) {
	q := &query{
		Query:    clientQuery,
		id:       cresspass.QueryID(s.nextID.Add(1)),
		attempts: map[int]*pgbackend.Attempt{},
	}
	clientQuery.ID.Store(uint64(q.id))
	ev, invalid := s.classifier.Load().Classify(q.id, clientQuery.Client, clientQuery.EngineQuery)
	if invalid != nil {
		s.respond(q, verdict.Invalid(invalid.Code, invalid.Message))
		return
	}
	ev.StickyEngine, ev.OpensSession = clientQuery.Lease.Engine(), clientQuery.EngineQuery.MayBecomeSticky
	s.beginRecording(q, &ev)
	if reason, ok := s.admitQuery(q); !ok {
		s.finishRecording(q, recording.Rejected)
		s.respond(q, verdict.RejectOverLimit(reason))
		return
	}
	deadline := time.Now().Add(ev.RemainingDeadline)
	s.mu.Lock()
	s.queries[q.id] = q
	s.mu.Unlock()
	s.invariantGuard.Accept(
		invariant.Request{ID: q.id, Class: ev.Class, OrderingKey: ev.Key, Deadline: deadline}, q.logName())
	if s.delayForRecovery(q, &ev) {
		return
	}
	if !s.loop.Post(ev) {
		s.finishUnserved(q)
		s.respond(q, verdict.ShuttingDown(false))
		return
	}
	select {
	case <-clientQuery.Response.Done():
		// The client may have left before its query had an ID, when its frontend could not withdraw the
		// query. Without this call the module would keep the query.
		s.Withdraw(clientQuery, false)
	default:
	}
}

// Withdraw abandons a query whose client is gone or, if cancelled is set, has cancelled it. It may be called
// from several goroutines.
func (s *Server) Withdraw(clientQuery *frontend.Query, cancelled bool) {
	ev := cresspass.Event{
		Type:  cresspass.QueryAbandoned,
		Query: cresspass.QueryID(clientQuery.ID.Load()),
	}
	if cancelled {
		ev.Outcome = cresspass.OutcomeCancelled
	}
	if q := s.lookup(ev.Query); q != nil {
		s.finishRecording(q, recording.Abandoned)
		s.finishUnserved(q)
	}
	s.loop.Post(ev)
}

// lookup returns a query in flight, or nil.
func (s *Server) lookup(id cresspass.QueryID) *query {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries[id]
}

// finishUnserved finishes a query that was not served.
func (s *Server) finishUnserved(q *query) { s.finishQuery(q, true, false) }

// finishQuery is called when a query's response ends and when an attempt has its outcome. It deletes the
// query once the response has ended and each attempt has an outcome. finished means that the response has
// ended, served that the response was the query's result.
func (s *Server) finishQuery(q *query, finished, served bool) {
	s.mu.Lock()
	first := finished && !q.finished
	q.finished = q.finished || finished
	if q.finished && len(q.attempts) == 0 {
		delete(s.queries, q.id)
	}
	s.mu.Unlock()
	if !first {
		return
	}
	s.invariantGuard.Complete(q.id, served, q.logName())
	if q.admitted {
		s.releaseQuery(q)
	}
}

// respond ends a query with a verdict of the dispatcher, unless its response has already ended.
func (s *Server) respond(q *query, v *verdict.Verdict) {
	if q.Response.FinishWithVerdict(v) {
		q.OnResponseEnded()
	}
}

// lastError returns the last error of a query's attempts, "" if there was none.
func (s *Server) lastError(q *query) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return q.lastError
}
