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

var errCopy = errors.New("platform: an answer that may be a copy of an earlier one")

const probeWait = 350 * time.Millisecond // for the answer

// attempt is one query on one compute node: the shell of a computenode.Machine.
type attempt struct {
	s      *service
	q      *thriftserver.Request
	number int
	engine cresspass.EngineID
	addr   string
	grant  string
	rank   string
	until  time.Time // the client's wait ends
	latest time.Time // it must not begin later
	begun  time.Time
	alone  bool // nothing may run beside it

	ctx    context.Context
	cancel context.CancelFunc

	doubted duplicateresponse.Fingerprint // of the last answer, if it may have been another's; run's alone

	mu      sync.Mutex
	conn    *nodeConn
	stopped bool
	outcome cresspass.Outcome // with which it was stopped
}

// stop has the attempt end as soon as its compute node knows, with an outcome.
func (a *attempt) stop(outcome cresspass.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return
	}
	a.stopped, a.outcome = true, outcome
	a.cancel()
	if a.conn != nil {
		a.conn.interrupt()
	}
}

// hold makes a connection the one that stop interrupts. It reports whether the attempt goes on.
func (a *attempt) hold(c *nodeConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.stopped
}

// run plays the attempt and posts its one outcome.
func (a *attempt) run() {
	m := computenode.Machine{Alone: a.alone}
	var c *nodeConn // of the last call, while it is whole
	release := func(good bool) {
		if c != nil {
			a.hold(nil)
			a.s.pool.put(c, good)
			c = nil
		}
	}
	ev := cresspass.Event{Type: cresspass.AttemptDone, Query: a.q.ID, Attempt: a.number, Engine: a.engine}
	now := func() time.Duration { return time.Since(a.begun) }
	stopSeen := false
	step := m.Next(now(), computenode.Event{Type: computenode.Begin})
	for step.Type != computenode.End {
		a.note(step.Note)
		if step.Fresh || step.Type == computenode.Ask && a.s.pool.wanted() {
			// A broken one is closed; where others wait for a connection, this query goes to the end of
			// their line.
			release(!step.Fresh)
		}
		var got computenode.Event
		got, c = a.do(step, c)
		if got.Answer != nil {
			if r, ok := meter(got.Answer.Header["x-meter"], a.s.reportFields); ok {
				ev.Report, ev.HasReport = r, true
			}
			if got.Answer.Close {
				release(false)
			}
		}
		a.mu.Lock()
		stopped := a.stopped && !stopSeen
		a.mu.Unlock()
		if !stopped || got.Type == computenode.Answered || got.Type == computenode.Broken {
			step = m.Next(now(), got)
		}
		if stopped && step.Type != computenode.End {
			if mutated(noGiveUp) {
				step = computenode.Step{Type: computenode.End, Outcome: a.outcome}
				break
			}
			stopSeen = true
			release(false) // it was interrupted
			step = m.Next(now(), computenode.Event{Type: computenode.Stop, Outcome: a.outcome})
		}
	}
	release(true)
	ev.Outcome, ev.Took = step.Outcome, now()
	if step.Outcome == cresspass.OK {
		ev.Finished = a.s.front.serve(a.q.ID, step.Pages)
	}
	a.cancel()
	a.s.ended(a, ev.Outcome)
	a.s.loop.Post(ev)
}

// do carries out a step on a connection, or on another where there is none. Nothing interrupts a Delete.
func (a *attempt) do(step computenode.Step, c *nodeConn) (computenode.Event, *nodeConn) {
	ctx := a.ctx
	if step.Type == computenode.Delete {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.Background(), a.begun.Add(step.Until))
		defer cancel()
	}
	sleep(ctx, step.Pause)
	w := want{a.engine, a.addr, step.Fresh, step.Type == computenode.Delete, a.begun.Add(step.Due)}
	for {
		if c == nil {
			var err error
			if c, err = a.s.pool.getPatiently(ctx, w); err != nil {
				return computenode.Event{Type: a.unreached(err)}, nil
			}
		}
		if step.Type != computenode.Delete && !a.hold(c) {
			return computenode.Event{Type: computenode.Unreached}, c
		}
		if step.Type == computenode.Start {
			if why, ok := a.mayBegin(); !ok {
				return computenode.Event{Type: why}, c
			}
		}
		used, written := !c.rested.IsZero(), time.Now()
		answer, err := a.call(step, c)
		if err == nil && a.believes(c, time.Since(written), answer) {
			return computenode.Event{Type: computenode.Answered, Answer: answer}, c
		}
		a.hold(nil)
		a.s.pool.put(c, false)
		if c = nil; errors.Is(err, errUnsure) { // nothing was written
			if used && ctx.Err() == nil { // its compute node closed it in this moment
				w.fresh = true
				continue
			}
			return computenode.Event{Type: computenode.Unreached}, nil
		}
		if err == nil {
			err = errCopy
		}
		a.s.events.Add(a.event(eventlog.Broken, err.Error()))
		if step.Type != computenode.Delete {
			a.s.broken.Add(1)
			if errors.Is(err, nodehttp.ErrSpoilt) {
				a.s.spoilt.Add(1)
			}
		}
		return computenode.Event{Type: computenode.Broken, Reset: errors.Is(err, syscall.ECONNRESET) ||
			errors.Is(err, syscall.EPIPE)}, nil
	}
}

// believes reports whether an answer is that of the last call. One that may be a copy of an earlier answer is
// not: the call is then made again on a new connection, and its answer there tells which it was.
func (a *attempt) believes(c *nodeConn, took time.Duration, answer *nodehttp.Answer) bool {
	if a.doubted != 0 {
		a.s.pool.again(a.doubted, answer)
		a.doubted = 0
	}
	f, suspect := a.s.pool.suspect(c, took, answer)
	if suspect {
		a.doubted = f
	}
	return !suspect || mutated(believeCopies)
}

// mayBegin looks again, in the moment in which the query is written. Danger: since the module decided, the
// attempt may have waited for a connection and for a dial, and its client, its compute node, its time or its
// budget may have gone meanwhile.
func (a *attempt) mayBegin() (computenode.EventType, bool) {
	if mutated(noLookAtBegin) {
		return 0, true
	}
	if !a.s.front.awaited(a.q) {
		a.s.events.Add(a.event(eventlog.Withheld, "its client has gone"))
		return computenode.Unwanted, false
	}
	if !time.Now().Before(a.latest) {
		a.s.events.Add(a.event(eventlog.Withheld, "its decision holds no longer"))
		return computenode.Withheld, false
	}
	why, v := a.s.acts.begin(a)
	if !v.OK() {
		a.s.events.Add(a.event(eventlog.Withheld, v.String()))
		return why, false
	}
	a.s.events.Add(a.event(eventlog.Written, ""))
	return 0, true
}

// event is an event of this attempt.
func (a *attempt) event(what eventlog.What, why string) eventlog.Event {
	return eventlog.Event{What: what, Request: a.q.Ticket, Attempt: a.number, Node: string(a.engine),
		Why: why}
}

// outcomeText names an outcome in the event log.
func outcomeText(o cresspass.Outcome) string {
	switch o {
	case cresspass.OK:
		return "good"
	case cresspass.Failed:
		return "failed"
	case cresspass.Full:
		return "turned away"
	case cresspass.Reset:
		return "reset"
	case cresspass.TimedOut:
		return "no answer"
	case cresspass.ConnectFailed:
		return "no connection"
	case cresspass.Moot:
		return "moot"
	case cresspass.Cancelled:
		return "given up"
	}
	return strconv.Itoa(int(o))
}

// call makes a step's call.
func (a *attempt) call(step computenode.Step, c *nodeConn) (*nodehttp.Answer, error) {
	path := "/x/" + a.q.Ticket
	switch step.Type {
	case computenode.Start:
		left := max(time.Until(a.until).Milliseconds(), 1)
		if mutated(fullDeadline) {
			left += a.q.Until.Sub(a.begun).Milliseconds()
		}
		return c.call(step.Wait, "POST", "/x", a.q.Body, "X-Ticket", a.q.Ticket,
			"X-Queue", a.q.Class, "X-Max-Ms", strconv.FormatInt(left, 10), "X-Nonce", a.q.Nonce,
			"Grant-Mb", a.grant, "Rank", a.rank)
	case computenode.Delete:
		return c.call(step.Wait, "DELETE", path, nil)
	}
	return c.call(step.Wait, "GET", path+"/"+strconv.Itoa(step.Page), nil)
}

// unreached says what it means that no connection was had. Danger: a compute node that drains closes its
// listener and runs on, so its refusal is none of a process that is not there.
func (a *attempt) unreached(err error) computenode.EventType {
	switch {
	case errors.Is(err, errNoSlot):
		return computenode.NoRoom
	case errors.Is(err, syscall.ECONNREFUSED) && !a.s.watch.drains(a.engine):
		return computenode.Refused
	}
	return computenode.Unreached
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

// note passes a note on.
func (a *attempt) note(n computenode.Note) {
	if n.Type != 0 {
		a.s.loop.Post(cresspass.Event{Type: cresspass.Progress, Query: a.q.ID, Attempt: a.number,
			Engine: a.engine, Note: n.Type, Value: n.Value})
	}
}

// probe asks a compute node for its load, or whether it is there.
func (s *service) probe(engine cresspass.EngineID, addr string) {
	ev := cresspass.Event{Type: cresspass.ProbeDone, Engine: engine, Outcome: cresspass.TimedOut}
	path := "/ping"
	if len(s.reportFields) > 0 {
		path = "/load"
	}
	var c *nodeConn
	var begun time.Time
	var err error
	for {
		begun = time.Now()
		// Danger: that there is no descriptor tells nothing of the compute node, which would be shunned.
		c, err = s.pool.getPatiently(s.watch.life, want{engine: engine, addr: addr, spare: true, due: begun})
		if !errors.Is(err, errNoSlot) || s.watch.life.Err() != nil {
			break
		}
	}
	if err != nil {
		ev.Outcome = cresspass.ConnectFailed
	} else {
		r, err := c.call(probeWait, "GET", path, nil)
		switch {
		case err != nil:
			ev.Outcome = cresspass.Reset
			var timeout interface{ Timeout() bool }
			if errors.As(err, &timeout) && timeout.Timeout() {
				ev.Outcome = cresspass.TimedOut
			}
		case r.Status == 200:
			ev.Outcome = cresspass.OK
			ev.Report, ev.HasReport = meter(r.Header["x-meter"], s.reportFields)
		default:
			ev.Outcome = cresspass.Failed
		}
		s.pool.put(c, err == nil && !r.Close)
	}
	ev.Took = time.Since(begun)
	s.loop.Post(ev)
}
