// Package computenode is the protocol of one attempt: a query on one compute node of the platform. It is
// started by a POST, polled until it ends, its pages are collected, or it is cancelled by a DELETE. The
// Machine owns the state of the attempt and decides the next call. It does no I/O and reads no clock: what
// became of a call goes in, the next call comes out.
package computenode

import (
	"net/http"
	"strconv"
	"time"

	"cresspass"
	"cresspass/internal/protocol/nodehttp"
)

// Times of the protocol, and of this side of it.
const (
	longPollTimeout = 250 * time.Millisecond // after which a compute node answers: still running
	abandonAfter    = 2 * time.Second        // after which a compute node drops a query that nobody polls
	abandonSlack    = 100 * time.Millisecond // on top of it, for a clock that is not ours

	initialTransitTimeout = 100 * time.Millisecond // for a response on its way, doubled after a lost one...
	maxTransitTimeout     = 350 * time.Millisecond // ...up to this
	maxTransitDoublings   = 4

	dueWithin = time.Second // a Start and a first poll are due so soon: the first to come is the first served

	initialBackoff = 10 * time.Millisecond  // before the second repeat of a call, doubled with each...
	maxBackoff     = 160 * time.Millisecond // ...up to this
	maxDoublings   = 8                      // keeps the shift small

	maxQuickPolls   = 3                     // polls in a row that were answered at once, without an end
	minPollInterval = 25 * time.Millisecond // between polls, from then on

	maxFailures = 8 // calls in a row without a good response: the result is lost
)

// Machine is one attempt. The zero value is ready for Begin.
type Machine struct {
	// Exclusive: nothing may run beside the query, neither another attempt of it nor the next of its key.
	Exclusive bool

	startedAt time.Duration
	postedAt  time.Duration // Start was written by then
	reachedAt time.Duration // the last time at which a Start or a Poll may have reached the compute node
	calledAt  time.Duration // when the last call was made

	posted        bool // the query may be at the compute node
	startBroken   bool // the response to Start was lost
	startLost     bool // Start was not answered, although the process lived on
	confirmed     bool // a response showed that the query had reached the compute node
	responseLost  bool // a response was lost, so that the compute node may never have had the query
	lastCallReset bool // the last call that was written ended with a reset

	cancelling    bool
	cancelOutcome cresspass.Outcome

	failures   int // calls in a row without a good response
	quickPolls int // polls in a row that were answered at once, without an end

	pages       [][]byte
	pageCount   int
	resultBytes int
}

// Next takes an event at a time and returns what is to be done.
func (m *Machine) Next(now time.Duration, ev Event) Step {
	took := now - m.calledAt
	m.calledAt = now
	if ev.Type == Begin {
		m.startedAt = now
		return Step{Type: Start, Due: now + dueWithin, Timeout: longPollTimeout + transitTimeout(0)}
	}
	if ev.Type == ResponseReceived || ev.Type == ResponseLost {
		m.recordCall(now, ev)
	}
	switch {
	case ev.Type == Stop:
		return m.cancel(ev.Outcome)
	case m.cancelling:
		return m.afterDelete(now, ev)
	case ev.Type == ResponseReceived:
		return m.handleResponse(now, took, ev.Response)
	case !m.posted:
		return Step{Type: End, Outcome: unstartedOutcome(ev.Type)}
	case ev.Type == ConnRefused && m.processDead():
		return Step{Type: End, Outcome: cresspass.OutcomeConnectionReset}
	}
	return m.retry(now, ev.Type != ConnRefused)
}

// recordCall takes in what a call that was written shows of the query and of the compute node's process.
func (m *Machine) recordCall(now time.Duration, ev Event) {
	m.lastCallReset = ev.Reset
	if m.cancelling { // the call was a Delete, which shows nothing of the query
		return
	}
	switch {
	case !m.posted && (ev.Type == ResponseLost || classify(ev.Response, 0) == kindInvalid):
		// An invalid response may be a late copy of an earlier one, and shows as little as one that was lost.
		m.startBroken, m.startLost = true, !ev.Reset
	case ev.Type == ResponseReceived:
		m.startLost = m.startLost || m.startBroken
		m.confirmed = m.confirmed || !m.posted || confirmsQuery(ev.Response, len(m.pages))
	}
	if !m.posted {
		m.posted, m.postedAt = true, now
	}
	m.reachedAt = now
}

// unstartedOutcome is the outcome of an attempt whose Start was never written.
func unstartedOutcome(ev EventType) cresspass.Outcome {
	switch ev {
	case NoDescriptor, NotNeeded:
		return cresspass.OutcomeNotStarted
	case Withheld: // no fault of its compute node, and it may go to another
		return cresspass.OutcomeRejected
	}
	return cresspass.OutcomeConnectFailed
}

// processDead reports whether a refused connection shows that the process which had the query is dead. A
// compute node refuses connections while it drains, and while it holds as many as it can, and still runs
// what it has: if it were taken for dead then, its query, or the next of its key, would run beside it. A
// process that dies resets its connections, so the refusal has to follow a reset. Where Start was never
// answered although the process lived on, not even that ends the attempt for the platform: it is in flight
// until the query was not polled for abandonAfter.
func (m *Machine) processDead() bool { return m.lastCallReset && !m.startLost }

// handleResponse reads a response to Start or Poll.
func (m *Machine) handleResponse(now, took time.Duration, resp *nodehttp.Response) Step {
	switch classify(resp, len(m.pages)) {
	case kindPage:
		return m.addPage(resp)
	case kindRunning:
		m.failures = 0
		return m.poll(resp.Close, m.pollDelay(took), parseProgress(resp))
	case kindRejected:
		if resp.Status == http.StatusGatewayTimeout {
			return Step{Type: End, Outcome: cresspass.OutcomeNotStarted}
		}
		return Step{Type: End, Outcome: cresspass.OutcomeRejected}
	case kindFailed:
		if m.mayStillArrive(now) {
			m.failures++
			delay := min(backoff(m.failures), m.arrivedBy()-now)
			return m.poll(resp.Close, delay, Progress{})
		}
		if m.responseLost {
			// The compute node is well and knows no such query: Start was lost on its way. Reported as a
			// reset it would count against the compute node, which would be ejected and leave the others
			// with its load.
			return Step{Type: End, Outcome: cresspass.OutcomeTimedOut}
		}
		return Step{Type: End, Outcome: cresspass.OutcomeFailed}
	}
	return m.retry(now, true)
}

// arrivedBy is when a Start that was written is no longer on its way.
func (m *Machine) arrivedBy() time.Duration { return m.postedAt + maxTransitTimeout }

// mayStillArrive reports whether a Start of which nothing was heard may come to its compute node after a poll
// on another connection. An exclusive query that is not known there is not over then: if it counted as over,
// it would run beside its next attempt, or beside the next of its key.
func (m *Machine) mayStillArrive(now time.Duration) bool {
	return m.Exclusive && m.responseLost && !m.confirmed && now < m.arrivedBy()
}

// addPage takes a page of the result, and polls for the next one or ends.
func (m *Machine) addPage(resp *nodehttp.Response) Step {
	if len(m.pages) == 0 {
		m.pageCount, _ = strconv.Atoi(resp.Header[nodehttp.HeaderPageCount]) // validPage has read it
	}
	m.resultBytes += len(resp.Body)
	if m.resultBytes > maxResultBytes {
		return m.cancel(cresspass.OutcomeFailed)
	}
	m.pages = append(m.pages, resp.Body)
	m.failures = 0
	if len(m.pages) >= max(m.pageCount, 1) {
		return Step{Type: End, Outcome: cresspass.OutcomeOK, Pages: m.pages}
	}
	return m.poll(resp.Close, 0, Progress{})
}

// pollDelay is how long to wait after a response without an end. Without it, a compute node that answers at
// once each time would be polled without a pause.
func (m *Machine) pollDelay(took time.Duration) time.Duration {
	m.quickPolls++
	if took >= minPollInterval {
		m.quickPolls = 0
	}
	if m.quickPolls > maxQuickPolls {
		return minPollInterval
	}
	return 0
}

// retry polls again, on a fresh connection or on any that is open: a query runs on although its connection is
// lost, and its result can be fetched again.
func (m *Machine) retry(now time.Duration, freshConn bool) Step {
	m.responseLost = true
	m.failures++
	if m.failures > maxFailures && now-m.startedAt > abandonAfter {
		return m.cancel(cresspass.OutcomeConnectionReset)
	}
	delay := time.Duration(0) // the first lost response is followed up at once
	if m.failures > 1 {
		delay = backoff(m.failures - 1)
	}
	return m.poll(freshConn, delay, Progress{})
}

// poll asks for the next page.
func (m *Machine) poll(freshConn bool, delay time.Duration, progress Progress) Step {
	m.calledAt += delay
	step := Step{Type: Poll, Page: len(m.pages), FreshConn: freshConn, Due: m.calledAt, Delay: delay,
		Timeout: transitTimeout(m.failures), Progress: progress}
	if step.Page == 0 {
		step.Timeout += longPollTimeout
		// Calls that start queries come before this one only up to the time at which the compute node would
		// drop the query because nobody polled it.
		step.Due = min(m.calledAt+dueWithin, m.reachedAt+abandonAfter-maxTransitTimeout)
	}
	return step
}

// cancel has the compute node drop the query. Until that is confirmed the attempt is in flight: another one
// beside it could run the query twice.
func (m *Machine) cancel(outcome cresspass.Outcome) Step {
	m.cancelling, m.cancelOutcome, m.failures = true, outcome, 0
	if !m.posted {
		return Step{Type: End, Outcome: outcome}
	}
	return Step{Type: Delete, Due: m.calledAt, Timeout: transitTimeout(0), Deadline: m.abandonedAt()}
}

// abandonedAt is when the compute node has dropped the query by itself, because nobody polled it.
func (m *Machine) abandonedAt() time.Duration { return m.reachedAt + abandonAfter + abandonSlack }

// afterDelete takes in what became of a Delete, which is repeated until the query is known to be over.
func (m *Machine) afterDelete(now time.Duration, ev Event) Step {
	over := ev.Type == ConnRefused && m.processDead() ||
		ev.Type == ResponseReceived && confirmsDelete(ev.Response)
	// A Start of which nothing was heard may still be on its way, on the connection that it was written to,
	// and arrive after the Delete. Where the query is exclusive, only a Delete that was sent when no Start
	// can be on its way shows that it is over. Other queries do not wait for that: they would wait for
	// nothing.
	if arrived := m.reachedAt + maxTransitTimeout; over && m.Exclusive && !m.confirmed && now < arrived {
		return Step{Type: Delete, Due: arrived, Timeout: transitTimeout(0), Deadline: m.abandonedAt(),
			Delay: arrived - now}
	}
	if over || now >= m.abandonedAt() {
		return Step{Type: End, Outcome: m.cancelOutcome}
	}
	m.failures++
	return Step{Type: Delete, FreshConn: ev.Type != ConnRefused, Due: now,
		Timeout: transitTimeout(m.failures), Deadline: m.abandonedAt(), Delay: backoff(m.failures)}
}

// backoff is the delay before the nth repeat of a call, from 1.
func backoff(n int) time.Duration {
	return min(initialBackoff<<min(n-1, maxDoublings), maxBackoff)
}

// transitTimeout is how long a response that is due may take on its way, after so many calls in a row that
// failed. A short one finds a lost response early; but where the core is busy, responses that have arrived
// are read late, and would be taken for lost.
func transitTimeout(failures int) time.Duration {
	return min(initialTransitTimeout<<min(failures, maxTransitDoublings), maxTransitTimeout)
}
