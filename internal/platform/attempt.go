package platform

import (
	"context"
	"errors"
	"math"
	"strconv"
	"sync"
	"time"

	"cresspass"
	"cresspass/internal/backend/computenode"
	"cresspass/internal/backend/duplicateresponse"
	"cresspass/internal/dispatch"
	"cresspass/internal/eventlog"
	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/protocol/nodehttp"
)

// errDuplicateResponse is the error of a call whose response may be a duplicate of an earlier one.
var errDuplicateResponse = errors.New("platform: a response that may be a duplicate of an earlier one")

// attempt is one attempt of a query on one compute node. It does the I/O for a computenode.Machine. One
// goroutine, in run, makes its calls; stop may be called from any goroutine. The fields above mu do not
// change once run was called, except for those of run's goroutine.
type attempt struct {
	service        *service
	request        *thriftserver.Request
	number         int
	engine         cresspass.EngineID
	addr           string
	memoryGrant    string    // in MB; empty if none
	priority       string    // empty if none
	clientDeadline time.Time // until which the client waits
	decidedAt      time.Time // zero of the machine's clock
	startBy        time.Time // the query must not be sent after this time
	exclusive      bool      // the query must not run twice, nor while another of its key runs

	ctx    context.Context // cancelled by stop
	cancel context.CancelFunc

	// Used only by run's goroutine.
	suspected   duplicateresponse.Fingerprint // of the last response, if it may be a duplicate; else 0
	checkedAt   time.Time                     // when mayStart last checked
	ticketHeld  bool                          // the registry counts the attempt as sent
	resultBytes int64                         // reserved for the pages of the result

	mu          sync.Mutex // guards the fields below
	conn        *nodeConn  // the connection that stop interrupts
	stopped     bool
	stopOutcome cresspass.Outcome
}

// attemptKey identifies an attempt that has not ended.
type attemptKey struct {
	query  cresspass.QueryID
	number int
}

// newAttempt returns the attempt that the core decided on, for an open request, on the compute node at addr.
func (s *service) newAttempt(output *dispatch.Output, request *thriftserver.Request, addr string) *attempt {
	a := &attempt{service: s, request: request, number: output.Attempt, engine: output.Engine, addr: addr,
		clientDeadline: request.Deadline, decidedAt: time.Now()}
	a.startBy = a.decidedAt.Add(output.StartWithin)
	for _, c := range s.cfg.Module.Classes {
		if c.Name == request.Class {
			a.exclusive = c.Effect != cresspass.Idempotent || c.OrderedByKey
		}
	}
	if output.MemoryGrantMB > 0 {
		a.memoryGrant = strconv.FormatInt(int64(math.Ceil(output.MemoryGrantMB)), 10)
	}
	if output.Priority >= 0 {
		a.priority = strconv.Itoa(output.Priority)
	}
	return a
}

// stop makes the attempt end with an outcome, unless a response ends it first. If the compute node may have
// the query, the attempt ends only when the query is known to be over there.
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

// attach makes conn the connection that stop interrupts. It returns false if the attempt was stopped.
func (a *attempt) attach(conn *nodeConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	return !a.stopped
}

// stopRequested reports whether stop was called.
func (a *attempt) stopRequested() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopped
}

// release returns the connection of the last call to the pool, for reuse or to be closed. A nil connection is
// ignored.
func (a *attempt) release(conn *nodeConn, reusable bool) {
	if conn != nil {
		a.attach(nil)
		a.service.pool.put(conn, reusable)
	}
}

// elapsed returns the time on the machine's clock, which starts at decidedAt.
func (a *attempt) elapsed() time.Duration { return time.Since(a.decidedAt) }

// run carries out the attempt and posts its only outcome.
func (a *attempt) run() {
	machine := computenode.Machine{Exclusive: a.exclusive}
	done := cresspass.Event{Type: cresspass.AttemptDone, Query: a.request.ID, Attempt: a.number,
		Engine: a.engine}
	var conn *nodeConn // of the last call, while it can be reused
	stopHandled := false
	step := machine.Next(a.elapsed(), computenode.Event{Type: computenode.Begin})
	for step.Type != computenode.End {
		a.postProgress(step.Progress)
		if step.FreshConn || step.Type == computenode.Poll && a.service.pool.hasWaiters() {
			// A connection that failed is closed. If other calls wait for a connection, this one goes back
			// to the pool, and the poll queues behind them.
			a.release(conn, !step.FreshConn)
			conn = nil
		}
		var event computenode.Event
		event, conn = a.execute(step, conn)
		if event.Response != nil {
			a.readLoadReport(event.Response, &done)
			a.reserveResult(event.Response)
			if event.Response.Close {
				a.release(conn, false)
				conn = nil
			}
		}
		stopNow := a.stopRequested() && !stopHandled
		if !stopNow || event.Type == computenode.ResponseReceived || event.Type == computenode.ResponseLost {
			step = machine.Next(a.elapsed(), event)
		}
		if !stopNow || step.Type == computenode.End {
			continue
		}
		if mutantEnabled(mutantNoCancelWait) {
			step = computenode.Step{Type: computenode.End, Outcome: a.stopOutcome}
			continue
		}
		stopHandled = true
		a.release(conn, false) // stop has interrupted it
		conn = nil
		step = machine.Next(a.elapsed(), computenode.Event{Type: computenode.Stop, Outcome: a.stopOutcome})
	}
	a.release(conn, true)
	done.Outcome, done.Elapsed = step.Outcome, a.elapsed()
	if step.Outcome == cresspass.OutcomeOK {
		done.QueryFinished = a.service.frontend.respondResult(a.request.ID, step.Pages)
	}
	a.service.memory.results.Release(a.resultBytes)
	a.cancel()
	a.service.attemptEnded(a, done.Outcome)
	a.service.loop.Post(done)
}

// reserveResult reserves memory for a part of the result. If there is none, the attempt is stopped, with an
// outcome that is no evidence against the compute node.
func (a *attempt) reserveResult(response *nodehttp.Response) {
	bytes := int64(len(response.Body))
	if !a.service.memory.results.TryReserve(bytes) {
		a.service.events.Add(a.event(eventlog.AttemptStopped, "no memory for the result"))
		a.stop(cresspass.OutcomeTimedOut)
		return
	}
	a.resultBytes += bytes
}

// readLoadReport copies the load report of a response, if it has a valid one, to the event done.
func (a *attempt) readLoadReport(response *nodehttp.Response, done *cresspass.Event) {
	header := response.Header[nodehttp.HeaderLoadReport]
	if report, ok := parseLoadReport(header, a.service.reportFields); ok {
		done.LoadReport, done.HasLoadReport = report, true
	}
}

// postProgress posts the progress of a running query to the core.
func (a *attempt) postProgress(note computenode.Progress) {
	if note.Type != 0 {
		a.service.loop.Post(cresspass.Event{Type: cresspass.ProgressReported, Query: a.request.ID,
			Attempt: a.number, Engine: a.engine, Note: note.Type, Value: note.Value})
	}
}

// mayStart checks again, right before the query is written, whether it may be sent. If not, it returns the
// event that ends the attempt. Since the decision the attempt may have waited for a descriptor and for a
// dial; without this check a query would be sent although its client or compute node has gone, or although
// its time or the retry budget is used up. The check is valid for startCheckTTL.
func (a *attempt) mayStart() (computenode.EventType, bool) {
	if mutantEnabled(mutantNoStartRecheck) {
		a.checkedAt = time.Now()
		return 0, true
	}
	var waiting bool
	if a.checkedAt, waiting = a.service.frontend.clientWaiting(a.request, a.startBy); !waiting {
		a.service.events.Add(a.event(eventlog.AttemptWithheld, "client gone"))
		return computenode.NotNeeded, false
	}
	if !time.Now().Before(a.startBy) {
		a.service.events.Add(a.event(eventlog.AttemptWithheld, "decision expired"))
		return computenode.Withheld, false
	}
	eventType, verdict := a.service.guard.beginAttempt(a)
	if !verdict.OK() {
		a.service.events.Add(a.event(eventlog.AttemptWithheld, verdict.String()))
		return eventType, false
	}
	// The client is checked again: since the first check it may have left and sent its ticket again.
	if !a.service.frontend.beginAttempt(a) {
		a.service.events.Add(a.event(eventlog.AttemptWithheld, "client gone"))
		return computenode.NotNeeded, false
	}
	a.service.events.Add(a.event(eventlog.AttemptSent, ""))
	return 0, true
}
