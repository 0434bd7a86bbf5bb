package soak

import (
	"fmt"
	"sync"
	"time"
)

// Invariant names a rule as findings print it.
type Invariant string

// The rules that the oracle judges, and what else may be wrong with a run. docs/soak.md describes them.
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

	// harnessFailed is no rule of the dispatcher's: the soak itself could not do what its plan says.
	harnessFailed Invariant = "harness"
)

// Finding is a rule that was broken.
type Finding struct {
	Invariant Invariant
	Ticket    string // of the request; "": it concerns none
	At        time.Duration
	Detail    string
}

// String is the finding as reports print it.
func (f Finding) String() string {
	return fmt.Sprintf("%.3fs %s %s: %s", f.At.Seconds(), f.Invariant, f.Ticket, f.Detail)
}

// Reasons why no answer is owed to a request.
const (
	excuseUnwritten = "it could not be written"
	excuseKilled    = "its dispatcher was killed"

	// excuseCrossedClose holds only for a request that was not forwarded: it came as a dispatcher that was
	// shutting down, or whose descriptors idle clients had taken, closed the connection.
	excuseCrossedClose = "it crossed the close of a dispatcher that ends or is crowded"
)

// receivedAnswer is an answer that a client received.
type receivedAnswer struct {
	kind answerKind
	body string
	at   time.Time
}

// observedCall is a call of a dispatcher to a compute node, as the tap on a link saw it.
type observedCall struct {
	call
	node, connection int
}

// postedQuery is the start of a query.
type postedQuery struct {
	observedCall
	generation  string // of the compute node
	dispatcher  int
	incarnation int // of the dispatcher
}

// interval is the time in which an attempt was running at a compute node.
type interval struct {
	node       int
	start, end time.Time // end zero: it still runs
}

// unknownClass is the class of a request of which only attempts were seen yet.
const unknownClass = "?"

// observedRequest is a request with all that was seen of it.
type observedRequest struct {
	ticket, class, orderingKey string
	dispatcher, incarnation    int
	sentAt                     time.Time // its last byte
	limit                      time.Duration
	answers                    []receivedAnswer
	clientGoneAt               time.Time // its client cancelled or closed; zero: it waits
	connectionEndedAt          time.Time // its connection ended without an answer
	connectionEndedBy          string    // the error that ended it
	excused                    string    // why no answer is owed; "": one is
	malformed                  bool      // it does not raise the retry budget
	posts                      []postedQuery
	calls                      []observedCall // polls and cancels
	intervals                  []interval
	results                    []string // that compute nodes made
}

// drainNoticeKey names an announcement to one process of a dispatcher that a compute node drains.
type drainNoticeKey struct {
	dispatcher, incarnation int
	generation              string
}

// oracle records what is seen of requests, processes and compute nodes, and judges it at the end. It is safe
// for concurrent use.
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

// start sets the moment from which findings and traces count their times.
func (o *oracle) start() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.startedAt = time.Now()
}

// addFinding records a broken rule that concerns no single request.
func (o *oracle) addFinding(broken Invariant, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addFindingLocked(broken, "", time.Now(), format, args...)
}

// addFindingLocked records a broken rule; ticket is that of the request.
func (o *oracle) addFindingLocked(broken Invariant, ticket string, at time.Time, format string, args ...any) {
	o.findings = append(o.findings, Finding{
		Invariant: broken,
		Ticket:    ticket,
		At:        at.Sub(o.startedAt),
		Detail:    fmt.Sprintf(format, args...),
	})
}

// updateRequest changes what is recorded of a request, which is new where its ticket was not seen before.
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

// recordInterval records that an attempt arrived completely at a compute node, or that it ended there.
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

// recordResult records a result that a compute node made.
func (o *oracle) recordResult(ticket, body string) {
	o.updateRequest(ticket, func(r *observedRequest) { r.results = append(r.results, body) })
}

// excuseKilled excuses all requests without an answer at a process that was killed.
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

// recordDrain records when a process of a dispatcher was first notified of a drain.
func (o *oracle) recordDrain(dispatcher, incarnation int, generation string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := drainNoticeKey{dispatcher, incarnation, generation}
	if _, ok := o.drainNotices[key]; !ok {
		o.drainNotices[key] = at
	}
}

// recordStart records that a compute node started and is in slow start.
func (o *oracle) recordStart(generation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slowStarts[generation] = time.Now()
}
