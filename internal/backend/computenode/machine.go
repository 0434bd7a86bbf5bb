// Package computenode implements the protocol of one attempt to run a query on one compute node of the
// platform. A POST starts the query, GETs poll it and fetch the pages of its result, and a DELETE cancels
// it. The Machine holds the state of the attempt and decides the next call. It does no I/O and reads no
// clock: the caller makes the calls and reports their outcomes as events.
package computenode

import (
	"net/http"
	"strconv"
	"time"

	"cresspass"
	"cresspass/internal/protocol/nodehttp"
)

// Timeouts, delays and limits of the protocol and of the dispatcher's side of it.
const (
	longPollTimeout = 250 * time.Millisecond // after this, a compute node answers that the query runs
	abandonAfter    = 2 * time.Second        // a compute node drops a query that was not polled for this long
	abandonSlack    = 100 * time.Millisecond // added to abandonAfter: the compute node's clock may differ

	initialTransitTimeout = 100 * time.Millisecond // for a response in transit; doubles with each failure
	maxTransitTimeout     = 350 * time.Millisecond
	maxTransitDoublings   = 4 // limits the shift

	// dueWithin is how soon a Start and a poll for page 0 are due. It is the same for all attempts, so such
	// calls get connections in the order in which they arrive.
	dueWithin = time.Second

	initialBackoff = 10 * time.Millisecond // before the first delayed repeat; doubles with each repeat
	maxBackoff     = 160 * time.Millisecond
	maxDoublings   = 8 // limits the shift

	maxQuickPolls   = 3                     // consecutive polls answered at once before polls are paced
	minPollInterval = 25 * time.Millisecond // between polls that are paced

	// maxFailures is how many consecutive calls may get no good response before the result counts as lost.
	// The result does not count as lost before abandonAfter has passed since Begin.
	maxFailures = 8
)

// Machine is the state machine of one attempt. The zero value is ready for a Begin event. All times are on
// the clock of the now that Next receives.
type Machine struct {
	// Exclusive means that neither another attempt of the query nor the next query of its ordering key may
	// run at the same time.
	Exclusive bool

	startedAt time.Duration
	postedAt  time.Duration // Start had been written by this time
	reachedAt time.Duration // the last time at which a Start or a Poll may have reached the compute node
	calledAt  time.Duration // when Next returned the last step, plus the delay of a poll

	posted            bool // the compute node may have the query
	startUnanswered   bool // the response to Start was lost or invalid
	nodeOutlivedStart bool // Start was not answered, although the compute node's process did not die then
	confirmed         bool // Start was answered, or a response showed that the compute node has the query
	responseLost      bool // a call got no good response; unless confirmed, Start may never have arrived
	lastCallReset     bool // the last call that was written ended with a connection reset

	cancelling    bool
	cancelOutcome cresspass.Outcome

	failures   int // consecutive calls without a good response
	quickPolls int // consecutive polls that were answered at once without ending the query

	pages       [][]byte
	pageCount   int
	resultBytes int
}

// Next handles an event that happened at now and returns the next step.
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
		return m.handleDeleteOutcome(now, ev)
	case ev.Type == ResponseReceived:
		return m.handleResponse(now, took, ev.Response)
	case !m.posted:
		return Step{Type: End, Outcome: unstartedOutcome(ev.Type)}
	case ev.Type == NodeReplaced:
		// The query can't be asked for any more. It may run on where it is, beside its next attempt.
		return Step{Type: End, Outcome: cresspass.OutcomeTimedOut}
	case ev.Type == ConnRefused && m.processDead():
		return Step{Type: End, Outcome: cresspass.OutcomeConnectionReset}
	}
	return m.retry(now, ev.Type != ConnRefused)
}

// recordCall records what a call that was written shows about the query and the compute node's process.
func (m *Machine) recordCall(now time.Duration, ev Event) {
	m.lastCallReset = ev.Reset
	if m.cancelling { // the call was a Delete, which does not show whether Start arrived
		return
	}
	switch {
	case !m.posted && (ev.Type == ResponseLost || classify(ev.Response, 0) == kindInvalid):
		// An invalid response may be a late duplicate of an earlier one: it shows no more than a lost
		// response.
		m.startUnanswered, m.nodeOutlivedStart = true, !ev.Reset
	case ev.Type == ResponseReceived:
		m.nodeOutlivedStart = m.nodeOutlivedStart || m.startUnanswered
		m.confirmed = m.confirmed || !m.posted || confirmsQuery(ev.Response, len(m.pages))
	}
	if !m.posted {
		m.posted, m.postedAt = true, now
	}
	m.reachedAt = now
}

// unstartedOutcome returns the outcome of an attempt whose Start was never written.
func unstartedOutcome(ev EventType) cresspass.Outcome {
	switch ev {
	case NoDescriptor, NotNeeded:
		return cresspass.OutcomeNotStarted
	case Withheld: // not the compute node's fault; the query may go to another one
		return cresspass.OutcomeRejected
	}
	return cresspass.OutcomeConnectFailed
}

// processDead reports whether a refused connection shows that the process that had the query is dead. A
// compute node also refuses connections while it drains or is at its connection limit, and still runs its
// queries. If a refusal counted as the process's death, a retry of the query or the next query of its key
// would run concurrently with the query. A process that dies resets its connections, so a refusal shows its
// death only after a reset. If Start was not answered although the process lived on, even a refusal after a
// reset does not end the attempt for the platform: the attempt stays in flight until the query has not been
// polled for abandonAfter.
func (m *Machine) processDead() bool { return m.lastCallReset && !m.nodeOutlivedStart }

// handleResponse handles a response to Start or Poll.
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
		if m.startMayArrive(now) {
			m.failures++
			delay := min(backoff(m.failures), m.startArrivedBy()-now)
			return m.poll(resp.Close, delay, Progress{})
		}
		if m.responseLost {
			// The compute node works. It may not know the query because Start was lost in transit.
			// OutcomeConnectionReset would count against the compute node, which would be ejected, and its
			// load would go to the others.
			return Step{Type: End, Outcome: cresspass.OutcomeTimedOut}
		}
		return Step{Type: End, Outcome: cresspass.OutcomeFailed}
	}
	return m.retry(now, true)
}

// startArrivedBy returns the time from which a Start that was written is no longer in transit.
func (m *Machine) startArrivedBy() time.Duration { return m.postedAt + maxTransitTimeout }

// startMayArrive reports whether an unconfirmed Start may reach its compute node after a poll on another
// connection did. An exclusive query that the compute node does not know is not over then: if it counted as
// over, it would run concurrently with its next attempt or with the next query of its key.
func (m *Machine) startMayArrive(now time.Duration) bool {
	return m.Exclusive && m.responseLost && !m.confirmed && now < m.startArrivedBy()
}

// addPage adds a page of the result, and polls for the next page or ends the attempt. If the result is longer
// than maxResultBytes, it cancels the query.
func (m *Machine) addPage(resp *nodehttp.Response) Step {
	if len(m.pages) == 0 {
		m.pageCount, _ = strconv.Atoi(resp.Header[nodehttp.HeaderPageCount]) // validPage has checked it
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

// pollDelay returns how long to wait after a response that reports the query as running; took is how long the
// call took. Without the delay, a compute node that always answers at once would be polled without a pause.
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

// retry polls again after a failed call, on a new connection or on any open one. A query keeps running when
// its connection is lost, and its result can be fetched again. After more than maxFailures calls and a time
// of abandonAfter, the query is cancelled instead.
func (m *Machine) retry(now time.Duration, freshConn bool) Step {
	m.responseLost = true
	m.failures++
	if m.failures > maxFailures && now-m.startedAt > abandonAfter {
		return m.cancel(cresspass.OutcomeConnectionReset)
	}
	delay := time.Duration(0) // the first retry is made at once
	if m.failures > 1 {
		delay = backoff(m.failures - 1)
	}
	return m.poll(freshConn, delay, Progress{})
}

// poll returns the step that requests the next page.
func (m *Machine) poll(freshConn bool, delay time.Duration, progress Progress) Step {
	m.calledAt += delay
	step := Step{Type: Poll, Page: len(m.pages), FreshConn: freshConn, Due: m.calledAt, Delay: delay,
		Timeout: transitTimeout(m.failures), Progress: progress}
	if step.Page == 0 {
		step.Timeout += longPollTimeout
		// Calls that start queries may go before this one only as long as the compute node does not drop
		// the query for lack of polls.
		step.Due = min(m.calledAt+dueWithin, m.reachedAt+abandonAfter-maxTransitTimeout)
	}
	return step
}

// cancel makes the compute node drop the query. The attempt stays in flight until the drop is confirmed:
// another attempt before then could run the query twice.
func (m *Machine) cancel(outcome cresspass.Outcome) Step {
	m.cancelling, m.cancelOutcome, m.failures = true, outcome, 0
	if !m.posted {
		return Step{Type: End, Outcome: outcome}
	}
	return Step{Type: Delete, Due: m.calledAt, Timeout: transitTimeout(0), Deadline: m.abandonedAt()}
}

// abandonedAt returns the time by which the compute node has dropped the query by itself for lack of polls.
func (m *Machine) abandonedAt() time.Duration { return m.reachedAt + abandonAfter + abandonSlack }

// handleDeleteOutcome handles the outcome of a Delete, which is repeated until the query is known to be over.
func (m *Machine) handleDeleteOutcome(now time.Duration, ev Event) Step {
	over := ev.Type == NodeReplaced || ev.Type == ConnRefused && m.processDead() ||
		ev.Type == ResponseReceived && confirmsDelete(ev.Response)
	// An unconfirmed Start may still be in transit on its own connection and arrive after the Delete. Only a
	// Delete that is sent when the Start can no longer be in transit shows that an exclusive query is over. A
	// query that is not exclusive may run concurrently with such a Start, so it does not have to wait.
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

// backoff returns the delay before the nth delayed repeat of a call; n is at least 1.
func backoff(n int) time.Duration {
	return min(initialBackoff<<min(n-1, maxDoublings), maxBackoff)
}

// transitTimeout returns how long a response may be in transit after a number of consecutive failed calls. A
// short timeout detects a lost response early, but on a busy core responses that have arrived are read late
// and would count as lost.
func transitTimeout(failures int) time.Duration {
	return min(initialTransitTimeout<<min(failures, maxTransitDoublings), maxTransitTimeout)
}
