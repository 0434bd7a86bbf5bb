// Package computenode is the life of a query on one compute node of the platform: started by a POST, asked
// about until it ends, its pages gathered, or given up. A Machine does no I/O and reads no clock: what
// became of a call goes in, the next call comes out.
package computenode

import (
	"net/http"
	"strconv"
	"time"

	"cresspass"
	"cresspass/internal/protocol/nodehttp"
)

// What the protocol says of times, and what is waited beyond it.
const (
	longPollTimeout       = 250 * time.Millisecond // after which a compute node answers a question for news
	initialTransitTimeout = 100 * time.Millisecond // more than that an answer may take on its way at first...
	maxTransitTimeout     = 350 * time.Millisecond // ...and at most: doubled after each that did not come
	abandonAfter          = 2 * time.Second        // after which a compute node gives up what nobody asks for
	abandonSlack          = 100 * time.Millisecond // on top of forgotten, for a clock that is not ours
	dueWithin             = time.Second            // of those that start or ask, the first to come has a turn
	initialBackoff        = 10 * time.Millisecond  // before a call is made again, from the second on, doubled each time
	maxBackoff            = 160 * time.Millisecond
	maxQuickPolls         = 3                     // answers without an end that may come at once, one after another
	minPollInterval       = 25 * time.Millisecond // between questions, from then on
	maxFailures           = 8                     // calls in a row without a good answer: the result is lost
	maxPages              = 64                    // pages of a result
	maxPageBytes          = 6000                  // bytes of a page
	maxResultBytes        = 48000                 // bytes of a result
	maxProgressValue      = 1e9                   // of a note's figure
)

// EventType says what became of the last Step.
type EventType int

// The events of a Machine.
const (
	Begin            EventType = iota // the first event
	ResponseReceived                  // Answer came whole
	ResponseLost                      // the call may have come to the compute node; no answer that can be read came
	ConnRefused                       // the connection was refused by an address that should take new ones
	Unreachable                       // no connection came up, or it broke before anything was written
	NoDescriptor                      // there was no descriptor for a connection
	NotNeeded                         // nothing was written: nobody waits for the query any more
	Withheld                          // nothing was written: the compute node takes nothing new, or it is too late
	Stop                              // it is to end with Outcome; what became of the last call was told before
)

// Event is what became of the last Step, or Stop.
type Event struct {
	Type     EventType
	Response *nodehttp.Response
	Reset    bool // with Broken: the other side reset the connection
	Outcome  cresspass.Outcome
}

// StepType says what is to be done.
type StepType int

// The steps of a Machine.
const (
	Start  StepType = iota // POST the query; Wait
	Poll                   // GET Page; after Pause; Fresh: not on the last connection; Wait
	Delete                 // DELETE the query; after Pause; Fresh; Wait; no longer than Until
	End                    // Outcome, Pages
)

// Step is the next thing to be done. Times are on the clock that the events' times are on.
type Step struct {
	Type           StepType
	Page           int
	FreshConn      bool
	Due            time.Duration // by when it is to be made, where there are fewer connections than calls
	Delay, Timeout time.Duration
	Deadline       time.Duration
	Outcome        cresspass.Outcome
	Pages          [][]byte
	Progress       Progress // with any step, what the last answer told
}

// Progress is word of a query that runs; Type 0: none.
type Progress struct {
	Type  cresspass.NoteType
	Value float64
}

// Machine is one attempt. The zero value is ready for Begin.
type Machine struct {
	// Exclusive: nothing may run beside the query, neither another attempt of it nor the next of its key
	Exclusive bool

	startedAt, reachedAt   time.Duration // asked: the last time at which a call may have come to the compute node
	posted                 bool          // the query may be there
	responseLost           bool          // a call broke, so that the compute node may never have had the query
	lastCallReset          bool          // the last call that was written ended with a reset
	startBroken            bool          // the start broke
	startLost              bool          // the start was not answered, although its process lived on
	confirmed              bool          // an answer showed that the query had come to the compute node
	cancelling             bool
	cancelOutcome          cresspass.Outcome // with which it is left
	failures, quickPolls   int
	pageCount, resultBytes int
	pages                  [][]byte
	calledAt               time.Duration // end of the pause before the last call
}

// Next takes an event at a time and returns what is to be done.
func (m *Machine) Next(now time.Duration, ev Event) Step {
	last := m.calledAt
	m.calledAt = now
	switch {
	case ev.Type == Begin:
		m.startedAt = now
		return Step{Type: Start, Due: now + dueWithin, Timeout: longPollTimeout + transitTimeout(0)}
	case ev.Type != ResponseReceived && ev.Type != ResponseLost:
	case m.cancelling: // a call that gives it up is no question
		m.lastCallReset = ev.Reset
	default:
		if ev.Type == ResponseLost && !m.posted {
			m.startBroken, m.startLost = true, !ev.Reset
		} else if ev.Type == ResponseReceived {
			m.startLost = m.startLost || m.startBroken
			m.confirmed = m.confirmed || !m.posted || confirmsQuery(ev.Response, len(m.pages))
		}
		m.posted, m.reachedAt, m.lastCallReset = true, now, ev.Reset
	}
	switch {
	case ev.Type == Stop:
		return m.cancel(ev.Outcome)
	case m.cancelling:
		return m.afterDelete(now, ev)
	case ev.Type == ResponseReceived:
		return m.handleResponse(now, now-last, ev.Response)
	case !m.posted && (ev.Type == NoDescriptor || ev.Type == NotNeeded):
		return Step{Type: End, Outcome: cresspass.OutcomeNotStarted}
	case !m.posted && ev.Type == Withheld: // no fault of its compute node, and it may go to another
		return Step{Type: End, Outcome: cresspass.OutcomeRejected}
	case !m.posted:
		return Step{Type: End, Outcome: cresspass.OutcomeConnectFailed}
	case ev.Type == ConnRefused && m.processDead():
		return Step{Type: End, Outcome: cresspass.OutcomeConnectionReset}
	}
	return m.retry(now, ev.Type != ConnRefused)
}

// processDead reports whether a refused connection tells that the process which had the query is dead.
// Danger: a compute node that drains refuses connections while it runs what it has, and so does one that
// holds as many as it can: taken for dead, its query would be sent again, or the next of its key, beside it.
// A process that dies resets its connections, so the refusal has to follow a reset. Where the start was
// never answered, although the process went on, not even that ended the attempt for the platform: it is out
// until nobody has asked for it for long enough.
func (m *Machine) processDead() bool { return m.lastCallReset && !m.startLost }

// handleResponse reads an answer to Start or Ask.
func (m *Machine) handleResponse(now, took time.Duration, r *nodehttp.Response) Step {
	next := len(m.pages)
	switch classify(r, next) {
	case kindPage:
		if next == 0 {
			m.pageCount, _ = strconv.Atoi(r.Header["page-count"])
		}
		if m.resultBytes += len(r.Body); m.resultBytes > maxResultBytes {
			return m.cancel(cresspass.OutcomeFailed)
		}
		m.pages = append(m.pages, r.Body)
		m.failures = 0
		if len(m.pages) >= max(m.pageCount, 1) {
			return Step{Type: End, Outcome: cresspass.OutcomeOK, Pages: m.pages}
		}
		return m.poll(r.Close, 0, Progress{})
	case kindRunning:
		m.failures = 0
		// Danger: a compute node that answers at once, and always without news, would be asked without a
		// pause.
		pause := time.Duration(0)
		if m.quickPolls++; took >= minPollInterval {
			m.quickPolls = 0
		} else if m.quickPolls > maxQuickPolls {
			pause = minPollInterval
		}
		return m.poll(r.Close, pause, parseProgress(r))
	case kindRejected:
		if r.Status == 504 {
			return Step{Type: End, Outcome: cresspass.OutcomeNotStarted}
		}
		return Step{Type: End, Outcome: cresspass.OutcomeRejected}
	case kindFailed:
		if m.responseLost {
			// Danger: the way there broke, and the compute node is well: it says that it knows no such
			// query. As a reset it would count as failing, be shunned, and leave the others with its load.
			return Step{Type: End, Outcome: cresspass.OutcomeTimedOut}
		}
		return Step{Type: End, Outcome: cresspass.OutcomeFailed}
	}
	return m.retry(now, true)
}

// retry asks again, on a fresh connection or on any that is there: a query runs on although its connection
// is lost, and a result can be had again.
func (m *Machine) retry(now time.Duration, fresh bool) Step {
	m.responseLost = true
	if m.failures++; m.failures > maxFailures && now-m.startedAt > abandonAfter {
		return m.cancel(cresspass.OutcomeConnectionReset)
	}
	pause := time.Duration(0) // one break is followed up at once
	if m.failures > 1 {
		pause = min(initialBackoff<<min(m.failures-2, 8), maxBackoff)
	}
	return m.poll(fresh, pause, Progress{})
}

func (m *Machine) poll(fresh bool, pause time.Duration, n Progress) Step {
	m.calledAt += pause
	s := Step{
		Type:      Poll,
		Page:      len(m.pages),
		FreshConn: fresh,
		Delay:     pause,
		Timeout:   transitTimeout(m.failures),
		Progress:  n,
		Due:       m.calledAt,
	}
	if s.Page == 0 {
		s.Timeout += longPollTimeout
		// Danger: what nobody asks for is dropped, and those that are to start must not keep it waiting.
		s.Due = min(m.calledAt+dueWithin, m.reachedAt+abandonAfter-maxTransitTimeout)
	}
	return s
}

// cancel has the query given up. Danger: until its compute node knows, the attempt is out, and no other may
// be sent beside it.
func (m *Machine) cancel(outcome cresspass.Outcome) Step {
	m.cancelling, m.cancelOutcome, m.failures = true, outcome, 0
	if !m.posted {
		return Step{Type: End, Outcome: outcome}
	}
	return Step{Type: Delete, Due: m.calledAt, Timeout: transitTimeout(0), Deadline: m.abandonedAt()}
}

// abandonedAt is when the compute node has given up by itself what nobody asked for.
func (m *Machine) abandonedAt() time.Duration { return m.reachedAt + abandonAfter + abandonSlack }

// afterDelete reads what became of a Delete. What broke may not have come.
func (m *Machine) afterDelete(now time.Duration, ev Event) Step {
	done := ev.Type == ConnRefused && m.processDead() ||
		ev.Type == ResponseReceived && confirmsDelete(ev.Response)
	// Danger: a start of which nothing was heard may be on its way yet, on the connection that it was written
	// to, and come behind the Delete. Where nothing may run beside it, it is over only by one that is sent
	// when none can be on its way. Others would wait so long for nothing, and be refused.
	if arrived := m.reachedAt + maxTransitTimeout; done && m.Exclusive && !m.confirmed && now < arrived {
		return Step{
			Type:     Delete,
			Due:      arrived,
			Timeout:  transitTimeout(0),
			Deadline: m.abandonedAt(),
			Delay:    arrived - now,
		}
	}
	if done || now >= m.abandonedAt() {
		return Step{Type: End, Outcome: m.cancelOutcome}
	}
	m.failures++
	return Step{
		Type:      Delete,
		FreshConn: ev.Type != ConnRefused,
		Due:       now,
		Timeout:   transitTimeout(m.failures),
		Deadline:  m.abandonedAt(),
		Delay:     min(initialBackoff<<min(m.failures-1, 8), maxBackoff),
	}
}

// confirmsDelete reports whether an answer to a Delete shows that the query is over: it was given up, or is
// not known. Danger: an answer that no Delete gets may be a copy of an earlier one.
func confirmsDelete(r *nodehttp.Response) bool {
	return r.Status == http.StatusNoContent || r.Status == http.StatusInternalServerError
}

// transitTimeout is how long an answer that is due may take, after so many in a row that did not come.
// Danger: an answer that got lost is only found missing, and asked for again, when this is over; but where
// the core is full, answers that are there are read late.
func transitTimeout(bad int) time.Duration {
	return min(initialTransitTimeout<<min(bad, 4), maxTransitTimeout)
}

// responseKind is what an answer means.
type responseKind int

const (
	kindInvalid  responseKind = iota // no answer to what was asked
	kindRunning                      // not yet over
	kindPage                         // the page that was asked for
	kindRejected                     // it never ran
	kindFailed                       // it may have run
)

// classify reads an answer to a call for a page.
func classify(r *nodehttp.Response, page int) responseKind {
	switch {
	case r.Status == 202 && page == 0:
		return kindRunning
	case r.Status == 200:
		number, numbered := r.Header["page-no"]
		n, err := strconv.Atoi(r.Header["page-count"])
		switch {
		case len(r.Body) > maxPageBytes || !validRows(r.Body):
			return kindInvalid
		case page > 0 && (!numbered || number != strconv.Itoa(page)):
			return kindInvalid // danger: a second copy of an earlier page
		case page == 0 && (numbered && number != "0" || err != nil || n < 0 || n > maxPages):
			return kindInvalid
		}
		return kindPage
	case (r.Status == 503 || r.Status == 504) && r.Header["x-shed"] == "1":
		return kindRejected
	case r.Status == 500, r.Status == 503, r.Status == 504:
		return kindFailed
	}
	return kindInvalid
}

// confirmsQuery reports whether an answer to a question shows that the compute node has the query.
func confirmsQuery(r *nodehttp.Response, page int) bool {
	meaning := classify(r, page)
	return meaning == kindRunning || meaning == kindPage
}

// validRows reports whether a page holds whole rows of three columns.
func validRows(page []byte) bool {
	tabs := 0
	for _, c := range page {
		switch c {
		case '\t':
			tabs++
		case '\n':
			if tabs != 2 {
				return false
			}
			tabs = 0
		}
	}
	return tabs == 0 && (len(page) == 0 || page[len(page)-1] == '\n')
}

// parseProgress reads what an answer tells of a query that runs.
func parseProgress(r *nodehttp.Response) Progress {
	kinds := map[string]cresspass.NoteType{
		"frac":    cresspass.NoteFractionDone,
		"missing": cresspass.NoteSpilled,
		"parked":  cresspass.NoteBlocked,
	}
	v, err := strconv.ParseFloat(r.Header["figure"], 64)
	if kind, ok := kinds[r.Header["x-remark"]]; ok && err == nil && v >= 0 && v <= maxProgressValue {
		return Progress{kind, v}
	}
	return Progress{}
}
