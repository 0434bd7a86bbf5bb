package platform

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/backend/computenode"
	"cresspass/internal/backend/duplicateresponse"
	"cresspass/internal/eventlog"
	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/protocol/nodehttp"
)

var errDuplicateResponse = errors.New("platform: an answer that may be a copy of an earlier one")

const healthCheckTimeout = 350 * time.Millisecond // for the answer

// attempt is one query on one compute node: the shell of a computenode.Machine.
type attempt struct {
	service        *service
	request        *thriftserver.Request
	number         int
	engine         cresspass.EngineID
	addr           string
	memoryGrant    string
	priority       string
	clientDeadline time.Time // the client's wait ends
	startBy        time.Time // it must not begin later
	decidedAt      time.Time
	exclusive      bool // nothing may run beside it

	ctx    context.Context
	cancel context.CancelFunc

	suspected duplicateresponse.Fingerprint // of the last answer, if it may have been another's; run's alone

	mu          sync.Mutex
	conn        *nodeConn
	stopped     bool
	stopOutcome cresspass.Outcome // with which it was stopped
}

// stop has the attempt end as soon as its compute node knows, with an outcome.
func (a *attempt) stop(outcome cresspass.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return
	}
	a.stopped, a.stopOutcome = true, outcome
	a.cancel()
	if a.conn != nil {
		a.conn.interrupt()
	}
}

// attach makes a connection the one that stop interrupts. It reports whether the attempt goes on.
func (a *attempt) attach(conn *nodeConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	return !a.stopped
}

// run plays the attempt and posts its one outcome.
func (a *attempt) run() {
	machine := computenode.Machine{Exclusive: a.exclusive}
	var conn *nodeConn // of the last call, while it is whole
	release := func(reusable bool) {
		if conn != nil {
			a.attach(nil)
			a.service.pool.put(conn, reusable)
			conn = nil
		}
	}
	done := cresspass.Event{
		Type:    cresspass.AttemptDone,
		Query:   a.request.ID,
		Attempt: a.number,
		Engine:  a.engine,
	}
	elapsed := func() time.Duration { return time.Since(a.decidedAt) }
	stopHandled := false
	step := machine.Next(elapsed(), computenode.Event{Type: computenode.Begin})
	for step.Type != computenode.End {
		a.postProgress(step.Progress)
		if step.FreshConn || step.Type == computenode.Poll && a.service.pool.hasWaiters() {
			// A broken one is closed; where others wait for a connection, this query goes to the end of
			// their line.
			release(!step.FreshConn)
		}
		var event computenode.Event
		event, conn = a.execute(step, conn)
		if event.Response != nil {
			if report, ok := parseLoadReport(event.Response.Header["x-meter"], a.service.reportFields); ok {
				done.LoadReport, done.HasLoadReport = report, true
			}
			if event.Response.Close {
				release(false)
			}
		}
		a.mu.Lock()
		stopped := a.stopped && !stopHandled
		a.mu.Unlock()
		if !stopped || event.Type == computenode.ResponseReceived || event.Type == computenode.ResponseLost {
			step = machine.Next(elapsed(), event)
		}
		if stopped && step.Type != computenode.End {
			if mutated(noGiveUp) {
				step = computenode.Step{Type: computenode.End, Outcome: a.stopOutcome}
				break
			}
			stopHandled = true
			release(false) // it was interrupted
			step = machine.Next(elapsed(), computenode.Event{Type: computenode.Stop, Outcome: a.stopOutcome})
		}
	}
	release(true)
	done.Outcome, done.Elapsed = step.Outcome, elapsed()
	if step.Outcome == cresspass.OutcomeOK {
		done.QueryFinished = a.service.frontend.respondResult(a.request.ID, step.Pages)
	}
	a.cancel()
	a.service.attemptEnded(a, done.Outcome)
	a.service.loop.Post(done)
}

// execute carries out a step on a connection, or on another where there is none. Nothing interrupts a Delete.
func (a *attempt) execute(step computenode.Step, conn *nodeConn) (computenode.Event, *nodeConn) {
	ctx := a.ctx
	if step.Type == computenode.Delete {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.Background(), a.decidedAt.Add(step.Deadline))
		defer cancel()
	}
	sleep(ctx, step.Delay)
	wanted := connRequest{
		a.engine,
		a.addr,
		step.FreshConn,
		step.Type == computenode.Delete,
		a.decidedAt.Add(step.Due),
	}
	for {
		if conn == nil {
			var err error
			if conn, err = a.service.pool.getWithRetry(ctx, wanted); err != nil {
				return computenode.Event{Type: a.classifyDialError(err)}, nil
			}
		}
		if step.Type != computenode.Delete && !a.attach(conn) {
			return computenode.Event{Type: computenode.Unreachable}, conn
		}
		if step.Type == computenode.Start {
			if why, ok := a.mayStart(); !ok {
				return computenode.Event{Type: why}, conn
			}
		}
		reused, sentAt := !conn.idleSince.IsZero(), time.Now()
		response, err := a.call(step, conn)
		if err == nil && a.acceptResponse(conn, time.Since(sentAt), response) {
			return computenode.Event{Type: computenode.ResponseReceived, Response: response}, conn
		}
		a.attach(nil)
		a.service.pool.put(conn, false)
		if conn = nil; errors.Is(err, errNotWritten) { // nothing was written
			if reused && ctx.Err() == nil { // its compute node closed it in this moment
				wanted.fresh = true
				continue
			}
			return computenode.Event{Type: computenode.Unreachable}, nil
		}
		if err == nil {
			err = errDuplicateResponse
		}
		a.service.events.Add(a.event(eventlog.ResponseUnreadable, err.Error()))
		if step.Type != computenode.Delete {
			a.service.brokenCalls.Add(1)
			if errors.Is(err, nodehttp.ErrMalformed) {
				a.service.malformedResponses.Add(1)
			}
		}
		return computenode.Event{Type: computenode.ResponseLost, Reset: errors.Is(err, syscall.ECONNRESET) ||
			errors.Is(err, syscall.EPIPE)}, nil
	}
}

// acceptResponse reports whether an answer is that of the last call. One that may be a copy of an earlier
// answer is not: the call is then made again on a new connection, and its answer there tells which it was.
func (a *attempt) acceptResponse(conn *nodeConn, took time.Duration, response *nodehttp.Response) bool {
	if a.suspected != 0 {
		a.service.pool.recordRetry(a.suspected, response)
		a.suspected = 0
	}
	fingerprint, suspect := a.service.pool.checkDuplicate(conn, took, response)
	if suspect {
		a.suspected = fingerprint
	}
	return !suspect || mutated(believeCopies)
}

// mayStart looks again, in the moment in which the query is written. Danger: since the module decided, the
// attempt may have waited for a connection and for a dial, and its client, its compute node, its time or its
// budget may have gone meanwhile.
func (a *attempt) mayStart() (computenode.EventType, bool) {
	if mutated(noLookAtBegin) {
		return 0, true
	}
	if !a.service.frontend.clientWaiting(a.request) {
		a.service.events.Add(a.event(eventlog.AttemptWithheld, "its client has gone"))
		return computenode.NotNeeded, false
	}
	if !time.Now().Before(a.startBy) {
		a.service.events.Add(a.event(eventlog.AttemptWithheld, "its decision holds no longer"))
		return computenode.Withheld, false
	}
	why, v := a.service.guard.beginAttempt(a)
	if !v.OK() {
		a.service.events.Add(a.event(eventlog.AttemptWithheld, v.String()))
		return why, false
	}
	a.service.events.Add(a.event(eventlog.AttemptSent, ""))
	return 0, true
}

// event is an event of this attempt.
func (a *attempt) event(what eventlog.Kind, why string) eventlog.Event {
	return eventlog.Event{Kind: what, RequestID: a.request.Ticket, Attempt: a.number, Node: string(a.engine),
		Reason: why}
}

// outcomeText names an outcome in the event log.
func outcomeText(o cresspass.Outcome) string {
	switch o {
	case cresspass.OutcomeOK:
		return "good"
	case cresspass.OutcomeFailed:
		return "failed"
	case cresspass.OutcomeRejected:
		return "turned away"
	case cresspass.OutcomeConnectionReset:
		return "reset"
	case cresspass.OutcomeTimedOut:
		return "no answer"
	case cresspass.OutcomeConnectFailed:
		return "no connection"
	case cresspass.OutcomeNotStarted:
		return "moot"
	case cresspass.OutcomeCancelled:
		return "given up"
	}
	return strconv.Itoa(int(o))
}

// call makes a step's call.
func (a *attempt) call(step computenode.Step, conn *nodeConn) (*nodehttp.Response, error) {
	path := "/x/" + a.request.Ticket
	switch step.Type {
	case computenode.Start:
		remainingMs := max(time.Until(a.clientDeadline).Milliseconds(), 1)
		if mutated(fullDeadline) {
			remainingMs += a.request.Deadline.Sub(a.decidedAt).Milliseconds()
		}
		return conn.roundTrip(
			step.Timeout,
			"POST",
			"/x",
			a.request.Body,
			"X-Ticket",
			a.request.Ticket,
			"X-Queue",
			a.request.Class,
			"X-Max-Ms",
			strconv.FormatInt(remainingMs, 10),
			"X-Nonce",
			a.request.Nonce,
			"Grant-Mb",
			a.memoryGrant,
			"Rank",
			a.priority,
		)
	case computenode.Delete:
		return conn.roundTrip(step.Timeout, "DELETE", path, nil)
	}
	return conn.roundTrip(step.Timeout, "GET", path+"/"+strconv.Itoa(step.Page), nil)
}

// classifyDialError says what it means that no connection was had. Danger: a compute node that drains closes
// its listener and runs on, so its refusal is none of a process that is not there.
func (a *attempt) classifyDialError(err error) computenode.EventType {
	switch {
	case errors.Is(err, errNoDescriptor):
		return computenode.NoDescriptor
	case errors.Is(err, syscall.ECONNREFUSED) && !a.service.watcher.draining(a.engine):
		return computenode.ConnRefused
	}
	return computenode.Unreachable
}

// sleep waits, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// postProgress passes a note on.
func (a *attempt) postProgress(n computenode.Progress) {
	if n.Type != 0 {
		a.service.loop.Post(
			cresspass.Event{Type: cresspass.ProgressReported, Query: a.request.ID, Attempt: a.number,
				Engine: a.engine, Note: n.Type, Value: n.Value},
		)
	}
}

// checkHealth asks a compute node for its load, or whether it is there.
func (s *service) checkHealth(engine cresspass.EngineID, addr string) {
	result := cresspass.Event{
		Type:    cresspass.HealthCheckDone,
		Engine:  engine,
		Outcome: cresspass.OutcomeTimedOut,
	}
	path := "/ping"
	if len(s.reportFields) > 0 {
		path = "/load"
	}
	var conn *nodeConn
	var begun time.Time
	var err error
	for {
		begun = time.Now()
		// Danger: that there is no descriptor tells nothing of the compute node, which would be shunned.
		conn, err = s.pool.getWithRetry(
			s.watcher.ctx,
			connRequest{engine: engine, addr: addr, urgent: true, dueAt: begun},
		)
		if !errors.Is(err, errNoDescriptor) || s.watcher.ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		result.Outcome = cresspass.OutcomeConnectFailed
	} else {
		response, err := conn.roundTrip(healthCheckTimeout, "GET", path, nil)
		switch {
		case err != nil:
			result.Outcome = cresspass.OutcomeConnectionReset
			var timeout interface{ Timeout() bool }
			if errors.As(err, &timeout) && timeout.Timeout() {
				result.Outcome = cresspass.OutcomeTimedOut
			}
		case response.Status == 200:
			result.Outcome = cresspass.OutcomeOK
			result.LoadReport, result.HasLoadReport = parseLoadReport(response.Header["x-meter"], s.reportFields)
		default:
			result.Outcome = cresspass.OutcomeFailed
		}
		s.pool.put(conn, err == nil && !response.Close)
	}
	result.Elapsed = time.Since(begun)
	s.loop.Post(result)
}
