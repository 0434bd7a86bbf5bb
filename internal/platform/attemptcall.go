package platform

import (
	"context"
	"errors"
	"strconv"
	"syscall"
	"time"

	"cresspass/internal/backend/computenode"
	"cresspass/internal/eventlog"
	"cresspass/internal/protocol/nodehttp"
)

// execute carries out a step on conn, or on a connection from the pool if conn is nil or can't be used. It
// returns the resulting event, and the connection if it can be used again.
func (a *attempt) execute(step computenode.Step, conn *nodeConn) (computenode.Event, *nodeConn) {
	ctx, cancel := a.stepContext(step)
	defer cancel()
	sleepContext(ctx, step.Delay)
	wanted := connRequest{engine: a.engine, addr: a.addr, fresh: step.FreshConn,
		urgent: step.Type == computenode.Delete, dueAt: a.decidedAt.Add(step.Due),
		addressTaken: a.service.watcher.addressTaken}
	for {
		if conn == nil {
			var err error
			if conn, err = a.service.pool.getWithRetry(ctx, wanted); err != nil {
				return computenode.Event{Type: a.classifyDialError(err)}, nil
			}
		}
		if a.exclusive && conn.failureSeen && !mutantEnabled(mutantAcceptFailures) {
			// A late duplicate of that failure would end this attempt while its query runs, and the query
			// could run twice.
			a.service.pool.put(conn, true)
			conn, wanted.fresh = nil, true
			continue
		}
		if step.Type != computenode.Delete && !a.attach(conn) {
			return computenode.Event{Type: computenode.Unreachable}, conn
		}
		conn.writeBy = time.Time{}
		if step.Type == computenode.Start {
			if eventType, ok := a.mayStart(); !ok {
				return computenode.Event{Type: eventType}, conn
			}
			conn.writeBy = a.checkedAt.Add(startCheckTTL)
		}
		reused, sentAt := !conn.idleSince.IsZero(), time.Now()
		response, err := a.call(step, conn)
		if errors.Is(err, errChecksExpired) {
			continue
		}
		if err == nil && a.acceptResponse(conn, time.Since(sentAt), response) {
			return computenode.Event{Type: computenode.ResponseReceived, Response: response}, conn
		}
		a.attach(nil)
		a.service.pool.put(conn, false)
		conn = nil
		if !errors.Is(err, errNotWritten) {
			return a.callBroken(step, err), nil
		}
		if !reused || ctx.Err() != nil {
			return computenode.Event{Type: computenode.Unreachable}, nil
		}
		wanted.fresh = true // the compute node closed the idle connection just before the call
	}
}

// stepContext returns the context of a step. That of a Delete is not cancelled when the attempt is stopped;
// it ends at the step's deadline.
func (a *attempt) stepContext(step computenode.Step) (context.Context, context.CancelFunc) {
	if step.Type == computenode.Delete {
		return context.WithDeadline(context.Background(), a.decidedAt.Add(step.Deadline))
	}
	return a.ctx, func() {}
}

// call makes the call of a step to the compute node.
func (a *attempt) call(step computenode.Step, conn *nodeConn) (*nodehttp.Response, error) {
	path := "/x/" + a.request.Ticket
	switch step.Type {
	case computenode.Start:
		remaining := max(time.Until(a.clientDeadline).Milliseconds(), 1)
		if mutantEnabled(mutantFullDeadline) {
			remaining += a.request.Deadline.Sub(a.decidedAt).Milliseconds()
		}
		return conn.roundTrip(step.Timeout, "POST", "/x", a.request.Body, "X-Ticket", a.request.Ticket,
			"X-Queue", a.request.Class, "X-Max-Ms", strconv.FormatInt(remaining, 10),
			"X-Nonce", a.request.Nonce, "Grant-Mb", a.memoryGrant, "Rank", a.priority)
	case computenode.Delete:
		return conn.roundTrip(step.Timeout, "DELETE", path, nil)
	}
	return conn.roundTrip(step.Timeout, "GET", path+"/"+strconv.Itoa(step.Page), nil)
}

// acceptResponse reports whether a response belongs to the last call. One that may be a duplicate of an
// earlier response is not accepted: the call is repeated on a new connection, and the response there shows
// whether the suspicion was right.
func (a *attempt) acceptResponse(conn *nodeConn, took time.Duration, response *nodehttp.Response) bool {
	if a.suspected != 0 {
		a.service.pool.recordRetry(a.suspected, response)
		a.suspected = 0
	}
	fingerprint, suspect := a.service.pool.checkDuplicate(conn, took, response)
	if suspect {
		a.suspected = fingerprint
	}
	numbered := response.Header[nodehttp.HeaderPageNumber] != ""
	return !suspect || mutantEnabled(mutantAcceptDuplicates) || numbered && mutantEnabled(mutantAcceptPages)
}

// callBroken records a call that was written and got no reliable response. err is nil for a response that may
// be a duplicate.
func (a *attempt) callBroken(step computenode.Step, err error) computenode.Event {
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
	return computenode.Event{Type: computenode.ResponseLost,
		Reset: errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)}
}

// classifyDialError returns the event for a connection that could not be obtained. A draining compute node
// closes its listener and keeps running, so neither a refused connection nor another compute node at its
// address proves that its process has died.
func (a *attempt) classifyDialError(err error) computenode.EventType {
	taken := errors.Is(err, errAddressTaken)
	switch {
	case errors.Is(err, errNoDescriptor):
		return computenode.NoDescriptor
	case taken && !a.exclusive:
		return computenode.NodeReplaced
	case (taken || errors.Is(err, syscall.ECONNREFUSED)) && !a.service.watcher.draining(a.engine):
		return computenode.ConnRefused
	}
	return computenode.Unreachable
}
