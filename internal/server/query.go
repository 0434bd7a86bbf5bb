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

// query is a query in flight with its attempts.
type query struct {
	*frontend.Query
	id       cresspass.QueryID
	class    string
	key      string // by which queries are ordered; "": none
	admitted bool   // it counts against the limit of open queries

	arrivedAt time.Time // set where the query is recorded

	// Guarded by the server's mu.
	attempts    map[int]*pgbackend.Attempt // that have no outcome yet
	attempted   bool                       // an attempt was started
	finished    bool                       // its response has ended
	lastError   string                     // of its attempts
	recordEntry *recording.Entry           // nil: not recorded, or written
}

// logName names the query in the log.
func (q *query) logName() string { return strconv.FormatUint(uint64(q.id), 10) }

// Submit accepts a query of a frontend. It responds at once or hands the query to the module.
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
		s.forget(q)
		s.respond(q, verdict.ShuttingDown(false))
		return
	}
	select {
	case <-clientQuery.Response.Done():
		// The client went before its query had an ID, so its frontend could not withdraw it. Without this
		// the module would keep the query.
		s.Withdraw(clientQuery, false)
	default:
	}
}

// Withdraw abandons a query: its client cancelled it, or is gone.
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
		s.forget(q)
	}
	s.loop.Post(ev)
}

// lookup returns a query in flight, or nil.
func (s *Server) lookup(id cresspass.QueryID) *query {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries[id]
}

// forget finishes a query that was not served.
func (s *Server) forget(q *query) { s.finishQuery(q, true, false) }

// finishQuery drops a query that has finished and has no attempt without an outcome; it is called at each
// of its ends. finished says that the response has ended, served that it was the result.
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

// respond ends a query with the dispatcher's own verdict, unless its response has ended.
func (s *Server) respond(q *query, v *verdict.Verdict) {
	if q.Response.FinishWithVerdict(v) {
		q.OnResponseEnded()
	}
}

// lastError is the last error of a query's attempts.
func (s *Server) lastError(q *query) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return q.lastError
}
