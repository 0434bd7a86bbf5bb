package platform

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/computenode"
	"cresspass/internal/nodehttp"
)

// probeWait is how long an answer to a probe may take.
const probeWait = 350 * time.Millisecond

// attempt is one query on one compute node: the shell of a computenode.Machine.
type attempt struct {
	s      *service
	q      *ask
	number int
	engine cresspass.EngineID
	addr   string
	grant  string
	rank   string
	until  time.Time // the client's wait ends
	begun  time.Time

	ctx    context.Context
	cancel context.CancelFunc

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
	var m computenode.Machine
	var c *nodeConn
	ev := cresspass.Event{Type: cresspass.AttemptDone, Query: a.q.id, Attempt: a.number, Engine: a.engine}
	now := func() time.Duration { return time.Since(a.begun) }
	stopSeen := false
	step := m.Next(now(), computenode.Event{Type: computenode.Begin})
	for step.Type != computenode.End {
		a.note(step.Note)
		if c != nil && (step.Fresh || step.Type == computenode.Ask && a.s.pool.wanted()) {
			// A broken one is closed; where others wait for a connection, this query goes to the end of
			// their line.
			a.hold(nil)
			a.s.pool.put(c, !step.Fresh)
			c = nil
		}
		var got computenode.Event
		if step.Type == computenode.Delete {
			got, c = a.giveUp(step, c)
		} else {
			got, c = a.call(step, c)
		}
		if got.Answer != nil {
			if r, ok := meter(got.Answer.Header["x-meter"], a.s.reportFields); ok {
				ev.Report, ev.HasReport = r, true
			}
			if got.Answer.Close && c != nil {
				a.hold(nil)
				a.s.pool.put(c, false)
				c = nil
			}
		}
		a.mu.Lock()
		stopped := a.stopped && !stopSeen
		a.mu.Unlock()
		if !stopped || got.Type == computenode.Answered || got.Type == computenode.Broken {
			step = m.Next(now(), got)
		}
		if stopped && step.Type != computenode.End {
			stopSeen = true
			if c != nil { // it was interrupted
				a.hold(nil)
				a.s.pool.put(c, false)
				c = nil
			}
			step = m.Next(now(), computenode.Event{Type: computenode.Stop, Outcome: a.outcome})
		}
	}
	a.hold(nil)
	if c != nil {
		a.s.pool.put(c, step.Keep)
	}
	ev.Outcome, ev.Took = step.Outcome, now()
	if step.Outcome == cresspass.OK {
		ev.Finished = a.q.serve(step.Pages)
	}
	a.cancel()
	a.s.count(ev.Outcome)
	a.s.forget(a)
	a.s.loop.Post(ev)
}

// call carries out a Start or an Ask on a connection, or on another where there is none.
func (a *attempt) call(step computenode.Step, c *nodeConn) (computenode.Event, *nodeConn) {
	a.sleep(a.ctx, step.Pause)
	if c == nil {
		var err error
		if c, err = a.s.pool.get(a.ctx, a.engine, a.addr, step.Fresh); err != nil {
			return computenode.Event{Type: unreached(err)}, nil
		}
	}
	if !a.hold(c) {
		return computenode.Event{Type: computenode.Unreached}, c
	}
	var answer *nodehttp.Answer
	var err error
	if step.Type == computenode.Start {
		left := max(time.Until(a.until).Milliseconds(), 1)
		answer, err = c.call(step.Wait, "POST", "/x", a.q.body, "X-Ticket", a.q.ticket,
			"X-Queue", a.q.class, "X-Max-Ms", strconv.FormatInt(left, 10), "X-Nonce", a.q.nonce,
			"Grant-Mb", a.grant, "Rank", a.rank)
	} else {
		answer, err = c.call(step.Wait, "GET", "/x/"+a.q.ticket+"/"+strconv.Itoa(step.Page), nil)
	}
	if err == nil {
		return computenode.Event{Type: computenode.Answered, Answer: answer}, c
	}
	a.hold(nil)
	a.s.pool.put(c, false)
	if errors.Is(err, errUnsure) { // nothing was written
		return computenode.Event{Type: computenode.Unreached}, nil
	}
	a.s.broken.Add(1)
	if errors.Is(err, nodehttp.ErrSpoilt) {
		a.s.spoilt.Add(1)
	}
	return computenode.Event{Type: computenode.Broken}, nil
}

// giveUp carries out a Delete, which nothing interrupts.
func (a *attempt) giveUp(step computenode.Step, c *nodeConn) (computenode.Event, *nodeConn) {
	ctx, cancel := context.WithDeadline(context.Background(), a.begun.Add(step.Until))
	defer cancel()
	a.sleep(ctx, step.Pause)
	if c == nil {
		var err error
		if c, err = a.s.pool.get(ctx, a.engine, a.addr, step.Fresh); err != nil {
			return computenode.Event{Type: unreached(err)}, nil
		}
	}
	answer, err := c.call(step.Wait, "DELETE", "/x/"+a.q.ticket, nil)
	if err != nil {
		a.s.pool.put(c, false)
		return computenode.Event{Type: computenode.Broken}, nil
	}
	return computenode.Event{Type: computenode.Answered, Answer: answer}, c
}

// unreached says what it means that no connection was had.
func unreached(err error) computenode.EventType {
	switch {
	case errors.Is(err, errNoSlot):
		return computenode.NoRoom
	case errors.Is(err, syscall.ECONNREFUSED):
		return computenode.Refused
	}
	return computenode.Unreached
}

// sleep waits, or until the context ends.
func (a *attempt) sleep(ctx context.Context, d time.Duration) {
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
		a.s.loop.Post(cresspass.Event{Type: cresspass.Progress, Query: a.q.id, Attempt: a.number,
			Engine: a.engine, Note: n.Type, Value: n.Value})
	}
}

// probe asks a compute node for its load, or whether it is there.
func (s *service) probe(engine cresspass.EngineID, addr string) {
	ev := cresspass.Event{Type: cresspass.ProbeDone, Engine: engine, Outcome: cresspass.TimedOut}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.ConnectTimeout+probeWait)
	defer cancel()
	path := "/ping"
	if len(s.reportFields) > 0 {
		path = "/load"
	}
	c, err := s.pool.get(ctx, engine, addr, false)
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
