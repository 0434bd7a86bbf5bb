package platform

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/nodehttp"
)

const (
	newsAfter  = 250 * time.Millisecond // after which a compute node answers a question for news (PROTOCOL)
	wayFirst   = 100 * time.Millisecond // more than that an answer may take on its way at first...
	answerWait = 350 * time.Millisecond // ...and at most: doubled after each that did not come
	forgotten  = 2 * time.Second        // after which a compute node gives up what nobody asks for
	againFirst = 10 * time.Millisecond  // before a call is made again, doubled each time
	againMost  = 160 * time.Millisecond //
	spoiltMost = 8                      // calls in a row without a good answer: the result is lost
	quickNews  = 3                      // answers without an end that may come at once, one after another
	quickPause = 25 * time.Millisecond  // between questions, from then on
	pagesMost  = 64                     // pages of a result
	overtime   = 100 * time.Millisecond // on top of forgotten, for a clock that is not ours
)

// attempt is one query on one compute node, from its POST to its end.
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
	asked  time.Time // last call that may have come to the compute node
	sent   bool      // the POST may have come whole

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

func (a *attempt) isStopped() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopped
}

// hold makes a connection the one that stop interrupts. It reports whether the attempt goes on.
func (a *attempt) hold(c *nodeConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.stopped
}

func (a *attempt) path(page int) string { return "/x/" + a.q.ticket + "/" + strconv.Itoa(page) }

// run plays the attempt and posts its one outcome.
func (a *attempt) run() {
	ev := cresspass.Event{Type: cresspass.AttemptDone, Query: a.q.id, Attempt: a.number, Engine: a.engine}
	pages, outcome, report := a.play()
	ev.Outcome, ev.Report, ev.HasReport = outcome, report, report != nil
	ev.Took = time.Since(a.begun)
	switch {
	case outcome == cresspass.OK:
		ev.Finished = a.q.serve(pages)
	case a.isStopped():
		a.giveUp()
		ev.Outcome = a.outcome
	case outcome != cresspass.OK && !outcome.NeverRan() && outcome != cresspass.Failed:
		a.giveUp() // danger: it may still run, and no other may be out beside it
	}
	a.cancel()
	a.s.count(ev.Outcome)
	a.s.forget(a)
	a.s.loop.Post(ev)
}

// play returns the result's pages with OK, else how it ended.
func (a *attempt) play() (pages [][]byte, outcome cresspass.Outcome, report []float64) {
	c, err := a.s.pool.get(a.ctx, a.engine, a.addr, false)
	if err != nil {
		if errors.Is(err, errNoSlot) {
			return nil, cresspass.Moot, nil
		}
		return nil, cresspass.ConnectFailed, nil
	}
	good := false
	defer func() {
		a.hold(nil)
		if c != nil {
			a.s.pool.put(c, good)
		}
	}()
	if !a.hold(c) {
		good = c.rested != time.Time{}
		return nil, cresspass.Moot, nil
	}
	a.sent = true
	a.asked = time.Now()
	left := max(time.Until(a.until).Milliseconds(), 1)
	answer, err := c.call(newsAfter+patience(0), "POST", "/x", a.q.body, "X-Ticket", a.q.ticket,
		"X-Queue", a.q.class, "X-Max-Ms", strconv.FormatInt(left, 10), "X-Nonce", a.q.nonce,
		"Grant-Mb", a.grant, "Rank", a.rank)
	if errors.Is(err, errUnsure) { // nothing was written
		a.sent = false
		return nil, cresspass.ConnectFailed, nil
	}
	bad, doubt, quick := 0, false, 0
	next := 0 // the page that is asked for
	count := 0
	for {
		if a.isStopped() {
			return nil, cresspass.Cancelled, nil
		}
		if err == nil {
			if r, ok := meter(answer.Header["x-meter"], a.s.reportFields); ok {
				report = r
			}
			state := a.judge(answer, next, count)
			switch state {
			case pageGood:
				if next == 0 {
					count, _ = strconv.Atoi(answer.Header["page-count"])
				}
				pages = append(pages, answer.Body)
				bad = 0
				if next++; next >= max(count, 1) {
					good = !answer.Close
					return pages, cresspass.OK, report
				}
			case news:
				bad = 0
				a.note(answer)
				// Danger: a compute node that answers at once, and always without news, would be asked
				// without a pause.
				if quick++; time.Since(a.asked) >= quickPause {
					quick = 0
				} else if quick > quickNews {
					a.sleep(quickPause)
				}
			case never:
				good = !answer.Close
				if answer.Status == 504 {
					return nil, cresspass.Moot, report
				}
				return nil, cresspass.Full, report
			case failed:
				good = !answer.Close
				if doubt {
					// Danger: the way there broke, and the compute node is well: it says that it knows no
					// such query. As a reset it would count as failing, be shunned, and leave the others
					// with its load.
					return nil, cresspass.TimedOut, report
				}
				return nil, cresspass.Failed, report
			case nonsense:
				a.s.spoilt.Add(1)
				err = nodehttp.ErrSpoilt
			}
		}
		if err != nil || answer.Close {
			// Danger: the query runs on although its connection is lost, so its news is asked for on
			// another one.
			a.hold(nil)
			a.s.pool.put(c, false)
			c = nil
			if err != nil {
				a.s.broken.Add(1)
				doubt = true
				if bad++; bad > spoiltMost && time.Since(a.begun) > forgotten {
					return nil, cresspass.Reset, report
				}
			}
		} else if a.s.pool.wanted() {
			// Others wait for a connection: this one goes to the back of their line.
			a.hold(nil)
			a.s.pool.put(c, true)
			c = nil
		}
		for c == nil {
			if bad > 1 { // one reset is asked about at once
				a.sleep(min(againFirst<<min(bad-2, 8), againMost))
			}
			if c, err = a.s.pool.get(a.ctx, a.engine, a.addr, bad > 0); err != nil {
				if a.isStopped() {
					return nil, cresspass.Cancelled, report
				}
				if errors.Is(err, syscall.ECONNREFUSED) { // its process is dead, and with it the query
					a.sent = false
					return nil, cresspass.Reset, report
				}
				bad++
				doubt = true
				c = nil
				if time.Now().After(a.until) {
					return nil, cresspass.TimedOut, report
				}
			}
		}
		if !a.hold(c) {
			return nil, cresspass.Cancelled, report
		}
		a.asked = time.Now()
		wait := patience(bad)
		if next == 0 {
			wait += newsAfter
		}
		answer, err = c.call(wait, "GET", a.path(next), nil)
	}
}

// patience is how long an answer that is due may take, after so many in a row that did not come. Danger: an
// answer that got lost is only found missing, and asked for again, when this is over; but where the core is
// full, answers that are there are read late.
func patience(bad int) time.Duration { return min(wayFirst<<min(bad, 4), answerWait) }

// sleep waits, or until the attempt is stopped.
func (a *attempt) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-a.ctx.Done():
	}
}

// state is what an answer means.
type state int

const (
	nonsense state = iota // no answer to what was asked
	news                  // not yet over
	pageGood              // the page that was asked for
	never                 // it never ran
	failed                // it may have run
)

// judge reads an answer to a call for a page; count is the number of pages, as page 0 told it.
func (a *attempt) judge(r *nodehttp.Answer, page, count int) state {
	switch {
	case r.Status == 202 && page == 0:
		return news
	case r.Status == 200:
		number, numbered := r.Header["page-no"]
		n, err := strconv.Atoi(r.Header["page-count"])
		switch {
		case !rows(r.Body):
			return nonsense
		case page > 0 && (!numbered || number != strconv.Itoa(page)):
			return nonsense // danger: a second copy of an earlier page
		case page == 0 && (numbered && number != "0" || err != nil || n < 0 || n > pagesMost):
			return nonsense
		}
		return pageGood
	case r.Status == 503 && r.Header["x-shed"] == "1", r.Status == 504 && r.Header["x-shed"] == "1":
		return never
	case r.Status == 500, r.Status == 503, r.Status == 504:
		return failed
	}
	return nonsense
}

// note passes a note on.
func (a *attempt) note(r *nodehttp.Answer) {
	kinds := map[string]cresspass.NoteType{"frac": cresspass.NoteShareDone, "missing": cresspass.NoteSpills,
		"parked": cresspass.NoteWaits}
	kind, ok := kinds[r.Header["x-remark"]]
	v, err := strconv.ParseFloat(r.Header["figure"], 64)
	if ok && err == nil && v >= 0 && v <= valueMost {
		a.s.loop.Post(cresspass.Event{Type: cresspass.Progress, Query: a.q.id, Attempt: a.number,
			Engine: a.engine, Note: kind, Value: v})
	}
}

// giveUp has the compute node give the query up. Danger: until it has, the attempt is out, and no other may
// be sent beside it. Where the compute node can't be told, it gives up by itself what nobody asks for.
func (a *attempt) giveUp() {
	if !a.sent {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.asked.Add(forgotten+overtime))
	defer cancel()
	tries := 0
	for wait := againFirst; ctx.Err() == nil; wait = min(wait*2, againMost) {
		c, err := a.s.pool.get(ctx, a.engine, a.addr, wait > againFirst)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			r, err := c.call(patience(tries), "DELETE", "/x/"+a.q.ticket, nil)
			tries++
			good := err == nil && r.Status/100 == 2
			a.s.pool.put(c, good && !r.Close)
			if good || err == nil && r.Status == 500 {
				return
			}
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// probe asks a compute node for its load, or whether it is there.
func (s *service) probe(engine cresspass.EngineID, addr string) {
	ev := cresspass.Event{Type: cresspass.ProbeDone, Engine: engine, Outcome: cresspass.TimedOut}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.ConnectTimeout+answerWait)
	defer cancel()
	path := "/ping"
	if len(s.reportFields) > 0 {
		path = "/load"
	}
	c, err := s.pool.get(ctx, engine, addr, false)
	if err != nil {
		ev.Outcome = cresspass.ConnectFailed
	} else {
		r, err := c.call(answerWait, "GET", path, nil)
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
