package soak

import (
	"fmt"
	"sync"
	"time"
)

// Invariant is the name of a rule as findings print it.
type Invariant string

// The rules that the oracle judges, and other failures of a run. docs/soak.md describes them.
const (
	invariantLost             Invariant = "lost"
	invariantLate             Invariant = "late"
	invariantSecondAnswer     Invariant = "second_answer"
	invariantServedOther      Invariant = "served_other"
	invariantUnreadableAnswer Invariant = "unreadable_answer"
	invariantSentAfterGone    Invariant = "sent_after_gone"
	invariantSentAfterAnswer  Invariant = "sent_after_answer"
	invariantDeadline         Invariant = "told_deadline"
	invariantSentToDrained    Invariant = "sent_to_drained"
	invariantRepeatedUnsafe   Invariant = "repeated_unsafe"
	invariantRepeatedBeside   Invariant = "repeated_beside"
	invariantRepeatedLate     Invariant = "repeated_late"
	invariantOrder            Invariant = "out_of_order"
	invariantRetryBudget      Invariant = "over_budget"
	invariantSlowStart        Invariant = "cold_overload"
	invariantCrash            Invariant = "crash"
	invariantNotReady         Invariant = "not_ready"
	invariantNotEnded         Invariant = "not_ended"

	// harnessFailed is not a rule of the dispatcher: the soak itself could not execute its plan.
	harnessFailed Invariant = "harness"
)

// Finding is one violation of a rule.
type Finding struct {
	Invariant Invariant
	Ticket    string        // of the request; "" if it concerns no single request
	At        time.Duration // since the start of the run
	Detail    string
}

// String returns the finding as reports print it.
func (f Finding) String() string {
	return fmt.Sprintf("%.3fs %s %s: %s", f.At.Seconds(), f.Invariant, f.Ticket, f.Detail)
}

// Reasons why no answer is owed to a request.
const (
	excuseUnwritten = "it could not be written"
	excuseKilled    = "its dispatcher was killed"

	// excuseCrossedClose holds only for a request that was not forwarded. The request arrived while the
	// dispatcher closed the connection, because of its shutdown or because idle clients used all descriptors.
	excuseCrossedClose = "it crossed the close of a dispatcher that ends or is crowded"
)

// receivedAnswer is an answer that a client received, and when.
type receivedAnswer struct {
	kind answerKind
	body string
	at   time.Time
}

// observedCall is a call from a dispatcher to a compute node, with the place where a tap saw it.
type observedCall struct {
	call
	node, connection int
}

// postedQuery is a call that starts a query.
type postedQuery struct {
	observedCall
	generation  string // of the compute node
	dispatcher  int
	incarnation int // number of the dispatcher's process
}

// interval is the time in which an attempt was running at a compute node.
type interval struct {
	node       int
	start, end time.Time // zero end: the attempt still runs
}

// unknownClass is the class of a request that was not yet seen at a client.
const unknownClass = "?"

// observedRequest is a request with all observations of it.
type observedRequest struct {
	ticket, class, orderingKey string
	dispatcher, incarnation    int
	sentAt                     time.Time // of its last byte
	limit                      time.Duration
	answers                    []receivedAnswer
	clientGoneAt               time.Time // when its client cancelled it or disconnected; zero if neither
	connectionEndedAt          time.Time // when its connection ended without an answer
	connectionEndedBy          string    // the error that ended the connection
	excused                    string    // why no answer is owed; "" if one is
	cancelledAtOnce            bool      // by its client, so that it does not raise the retry budget
	posts                      []postedQuery
	calls                      []observedCall // polls and cancels
	intervals                  []interval
	results                    []string // bodies that compute nodes made for it
}

// drainNoticeKey identifies the notice to one process of a dispatcher that a compute node drains.
type drainNoticeKey struct {
	dispatcher, incarnation int
	generation              string
}

// oracle records observations of requests, processes and compute nodes, and judges them at the end. It is
// safe for concurrent use.
type oracle struct {
	mu             sync.Mutex
	startedAt      time.Time
	requests       map[string]*observedRequest // by ticket
	drainNotices   map[drainNoticeKey]time.Time
	slowStarts     map[string]time.Time // starts, by the compute node's generation
	findings       []Finding
	hasRetryBudget bool
	machineLags    lagMonitor
}

func newOracle(hasRetryBudget bool) *oracle {
	return &oracle{
		startedAt:      time.Now(),
		requests:       map[string]*observedRequest{},
		drainNotices:   map[drainNoticeKey]time.Time{},
		slowStarts:     map[string]time.Time{},
		hasRetryBudget: hasRetryBudget,
	}
}

// start sets the moment to which the times of findings and traces are relative.
func (o *oracle) start() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.startedAt = time.Now()
}

// addFinding records a violation that concerns no single request.
func (o *oracle) addFinding(broken Invariant, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addFindingLocked(broken, "", time.Now(), format, args...)
}

// addFindingLocked records a violation; ticket is that of the request, or empty. The caller holds mu.
func (o *oracle) addFindingLocked(broken Invariant, ticket string, at time.Time, format string, args ...any) {
	o.findings = append(o.findings, Finding{
		Invariant: broken,
		Ticket:    ticket,
		At:        at.Sub(o.startedAt),
		Detail:    fmt.Sprintf(format, args...),
	})
}

// updateRequest changes the record of a request. It creates the record if the ticket is new.
func (o *oracle) updateRequest(ticket string, update func(r *observedRequest)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.requests[ticket]
	if r == nil {
		r = &observedRequest{ticket: ticket, class: unknownClass}
		o.requests[ticket] = r
	}
	update(r)
}

// recordInterval records that an attempt arrived completely at a compute node, or, if begun is false, that it
// ended there.
func (o *oracle) recordInterval(ticket string, node int, begun bool) {
	now := time.Now()
	o.updateRequest(ticket, func(r *observedRequest) {
		if begun {
			r.intervals = append(r.intervals, interval{node: node, start: now})
			return
		}
		for i := range r.intervals {
			if r.intervals[i].node == node && r.intervals[i].end.IsZero() {
				r.intervals[i].end = now
			}
		}
	})
}

// recordResult records the body of a result that a compute node made for a request.
func (o *oracle) recordResult(ticket, body string) {
	o.updateRequest(ticket, func(r *observedRequest) { r.results = append(r.results, body) })
}

// excuseKilled excuses the unanswered requests of a process that was killed.
func (o *oracle) excuseKilled(dispatcher, incarnation int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.requests {
		if r.dispatcher == dispatcher && r.incarnation == incarnation && len(r.answers) == 0 &&
			(r.excused == "" || r.excused == excuseCrossedClose) {
			r.excused = excuseKilled
		}
	}
}

// recordDrain records when a dispatcher's process was notified of a compute node's drain. Only the first
// notice counts.
func (o *oracle) recordDrain(dispatcher, incarnation int, generation string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := drainNoticeKey{dispatcher, incarnation, generation}
	if _, ok := o.drainNotices[key]; !ok {
		o.drainNotices[key] = at
	}
}

// recordStart records that a generation of a compute node started now, in slow start.
func (o *oracle) recordStart(generation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slowStarts[generation] = time.Now()
}
