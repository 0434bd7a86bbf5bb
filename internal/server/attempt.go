package server

import (
	"time"

	"cresspass"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/discovery/eds"
	"cresspass/internal/dispatch"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/invariant"
	"cresspass/internal/recording"
)

// handleOutput executes one output of the core. It runs in the loop's goroutine.
func (s *Server) handleOutput(o *dispatch.Output) {
	switch o.Type {
	case dispatch.StartAttempt:
		s.startAttempt(o)
	case dispatch.StopAttempt:
		s.stopAttempt(o)
	case dispatch.RejectQuery:
		if q := s.lookup(o.Query); q != nil {
			s.finishRecording(q, recording.Rejected)
			s.finishUnserved(q)
			s.respond(q, verdict.Reject(o.RetryAfter, o.MayHaveRun, s.lastError(q)))
		}
	case dispatch.FailQuery:
		if q := s.lookup(o.Query); q != nil {
			s.finishRecording(q, recording.Failed)
			s.finishUnserved(q)
			s.respond(q, verdict.Fail(s.lastError(q)))
		}
	case dispatch.CheckHealth:
		s.startHealthCheck(o.Engine)
	case dispatch.FetchEngineList, dispatch.SubscribeEngineList:
		s.discovery.Refresh()
	case dispatch.CloseIdleConnections:
		s.pool.CloseIdle(o.Engine)
	case dispatch.SendToPeer:
		if p := s.membership.Load(); p != nil {
			p.SendMessage(o.Peer, o.Data)
		}
	case dispatch.WriteLog:
		s.log.Info("decision module", "text", o.Text)
	}
}

// startAttempt starts an attempt to run a query on an engine. An attempt at a write starts once the write's
// record is durable, or after maxDurableWait.
func (s *Server) startAttempt(o *dispatch.Output) {
	q := s.lookup(o.Query)
	if q == nil || !q.Response.BeginAttempt(o.Attempt) {
		// The query ended while the module decided: its client is gone or has cancelled it.
		s.loop.Post(cresspass.Event{
			Type:          cresspass.AttemptDone,
			Query:         o.Query,
			Attempt:       o.Attempt,
			Engine:        o.Engine,
			Outcome:       cresspass.OutcomeNotStarted,
			QueryFinished: true,
		})
		return
	}
	attempt, engine := o.Attempt, o.Engine
	startBy := time.Now().Add(o.StartWithin)
	writeID, durable := s.recordSent(q, engine)
	a := &pgbackend.Attempt{
		Query:            q.EngineQuery,
		Number:           attempt,
		Response:         q.Response,
		Priority:         o.Priority,
		MemoryMB:         o.MemoryGrantMB,
		Throttle:         q.Throttle,
		Lease:            q.Lease,
		Stateful:         q.EngineQuery.Stateful,
		Settle:           q.Settle,
		StartCopyIn:      q.StartCopyIn,
		OnCopyCapacity:   q.OnCopyCapacity,
		OnConnectionLost: q.OnConnectionLost,
		OnDescribed:      s.describeCache.put,
		FailureVerdict: func() *verdict.Verdict {
			return verdict.Fail("engine " + string(engine) + " broke off its answer")
		},
		MayStart: func() (cresspass.Outcome, bool) { return s.checkBeforeSend(q, attempt, engine, startBy) },
		OnProgress: func(note cresspass.NoteType, v float64) {
			s.loop.Post(cresspass.Event{
				Type:    cresspass.ProgressReported,
				Query:   q.id,
				Attempt: attempt,
				Engine:  engine,
				Note:    note,
				Value:   v,
			})
		},
		OnEnded: func(r pgbackend.Result) { s.attemptEnded(q, attempt, engine, writeID, r) },
	}
	s.mu.Lock()
	q.attempts[attempt] = a
	q.attempted = true
	s.mu.Unlock()
	s.afterDurable(writeID, durable, func() { s.pool.Start(engine, a) })
}

// attemptEnded handles the result of an attempt.
func (s *Server) attemptEnded(q *query, attempt int, engine cresspass.EngineID, writeID uint64,
	r pgbackend.Result) {
	s.recordSentOutcome(writeID, r)
	s.observeOutcome(engine, &r)
	s.mu.Lock()
	delete(q.attempts, attempt)
	if r.Outcome != cresspass.OutcomeOK && r.Message != "" {
		q.lastError = r.Message
	}
	s.mu.Unlock()
	served := r.ResponseFinished && r.Outcome == cresspass.OutcomeOK
	if served {
		s.finishRecording(q, recording.Served)
	} else if r.ResponseFinished {
		s.finishRecording(q, recording.Failed)
	}
	s.finishQuery(q, r.ResponseFinished, served)
	s.invariantGuard.EndAttempt(q.id, attempt, r.Outcome)
	s.loop.Post(cresspass.Event{
		Type:          cresspass.AttemptDone,
		Query:         q.id,
		Attempt:       attempt,
		Engine:        engine,
		Outcome:       r.Outcome,
		Elapsed:       r.ServiceTime,
		QueryFinished: r.ResponseFinished,
		LoadReport:    r.LoadReport,
		HasLoadReport: r.LoadReport != nil,
	})
	if r.ResponseFinished {
		q.OnResponseEnded()
	}
}

// stopAttempt cancels an attempt, unless it already has its outcome.
func (s *Server) stopAttempt(o *dispatch.Output) {
	q := s.lookup(o.Query)
	if q == nil {
		return
	}
	s.mu.Lock()
	a := q.attempts[o.Attempt]
	s.mu.Unlock()
	if a != nil {
		s.pool.Stop(a, o.Outcome)
	}
}

// checkBeforeSend checks whether an attempt may still be sent, right before it is written to its connection:
// the query's response must not have ended, the time to start must not have passed, and no invariant may be
// violated, as the engine may be draining by now. With AllowViolations set, a violation does not prevent the
// attempt. It returns true if the attempt may be sent, and otherwise the attempt's outcome and false.
func (s *Server) checkBeforeSend(q *query, attempt int, engine cresspass.EngineID,
	startBy time.Time) (cresspass.Outcome, bool) {
	recordStale := func(name invariant.Name) bool {
		return s.invariantGuard.Record(invariant.Result{Kind: invariant.Stale, Name: name}, q.logName())
	}
	select {
	case <-q.Response.Done():
		return cresspass.OutcomeNotStarted, recordStale(invariant.SentAfterEnd)
	default:
	}
	if !time.Now().Before(startBy) {
		return cresspass.OutcomeRejected, recordStale(invariant.SentAfterDeadline)
	}
	result := s.invariantGuard.BeginAttempt(q.id, attempt, s.invariantTarget(q, engine), q.logName())
	if result.OK() || s.cfg.AllowViolations {
		return 0, true
	}
	switch result.Name {
	case invariant.SentAfterDeadline, invariant.SentToDraining, invariant.RetriedAfterWindow:
		return cresspass.OutcomeRejected, false // the module may choose another engine or reject the query
	}
	return cresspass.OutcomeNotStarted, false // forbidden on every engine
}

// invariantTarget returns what the invariant guard checks about a query's engine. Statements of sticky
// sessions count as accepted, as an engine that drains still accepts them.
func (s *Server) invariantTarget(q *query, engine cresspass.EngineID) invariant.Target {
	target := invariant.Target{Engine: engine, Accepting: q.EngineQuery.Sticky}
	if e := s.listedEngine(string(engine)); e != nil {
		target.Kind, target.Zone = e.Kind, e.Zone
		target.Accepting = target.Accepting || e.State == eds.StateActive
	}
	return target
}

// startHealthCheck checks an engine with an empty query. The engine's response may include a load report.
func (s *Server) startHealthCheck(engine cresspass.EngineID) {
	startedAt := s.clock()
	a := &pgbackend.Attempt{Priority: noPriority}
	a.OnEnded = func(r pgbackend.Result) {
		s.loop.Post(cresspass.Event{
			Type:          cresspass.HealthCheckDone,
			Engine:        engine,
			Outcome:       r.Outcome,
			Elapsed:       s.clock() - startedAt,
			LoadReport:    r.LoadReport,
			HasLoadReport: r.LoadReport != nil,
		})
	}
	// Without a timeout the check of a hung engine would never end, and the module, which waits for the end,
	// would not check that engine again.
	time.AfterFunc(s.cfg.ConnectTimeout, func() { s.pool.Stop(a, cresspass.OutcomeTimedOut) })
	s.pool.Start(engine, a)
}

// noPriority is the priority of an attempt whose priority is not set.
const noPriority = -1
