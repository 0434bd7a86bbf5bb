package invariant

import (
	"slices"
	"time"

	"cresspass"
)

// Request holds the facts about a request that the Ledger checks.
type Request struct {
	ID          cresspass.QueryID
	Class       string
	OrderingKey string // "": none
	Deadline    time.Time
}

// Target is the engine to which an attempt is sent, in its state at that moment.
type Target struct {
	Engine    cresspass.EngineID
	Kind      string
	Zone      string
	Accepting bool // the engine is active at the attempt's address, or has the query's sticky session
}

// requestState is the recorded state of a request.
type requestState struct {
	Request
	class         *cresspass.Class
	acceptedAt    time.Time
	ended         bool // its final answer was recorded, or no client waits for it any more
	attemptsBegun int
	begunAt       map[int]time.Time // start times of the attempts in flight, by attempt number
	inFlight      int               // attempts that have begun and not ended
	mayHaveRun    int               // attempts that are in flight, or have ended and may have run
	firstRunAt    time.Time         // earliest start time of the attempts that have ended and may have run
}

// Ledger records what has happened to requests and checks actions against it. It is not safe for concurrent
// use.
type Ledger struct {
	rules      Rules
	classes    map[string]*cresspass.Class
	requests   map[cresspass.QueryID]*requestState
	keyHolders map[string]cresspass.QueryID // the request in flight with each ordering key
	retryUsage retryUsage
	serving    bool
}

// NewLedger returns an empty Ledger of a dispatcher that does not serve yet.
func NewLedger(rules Rules) *Ledger {
	l := &Ledger{
		rules:      rules,
		classes:    map[string]*cresspass.Class{},
		requests:   map[cresspass.QueryID]*requestState{},
		keyHolders: map[string]cresspass.QueryID{},
		retryUsage: retryUsage{budget: rules.RetryBudget},
	}
	for i := range rules.Classes {
		l.classes[rules.Classes[i].Name] = &rules.Classes[i]
	}
	return l
}

// SetServing records whether the dispatcher serves, which it does from its start to its end.
func (l *Ledger) SetServing(serving bool) { l.serving = serving }

// Len returns the number of recorded requests.
func (l *Ledger) Len() int { return len(l.requests) }

// Accept records a request and checks whether it may be accepted. A request that may not be accepted is
// recorded too, because it must still be answered with a rejection.
func (l *Ledger) Accept(now time.Time, request Request) Result {
	class := l.classes[request.Class]
	if class == nil {
		class = &cresspass.Class{Name: request.Class, Effect: cresspass.NotIdempotent}
	}
	l.requests[request.ID] = &requestState{Request: request, class: class, acceptedAt: now,
		begunAt: map[int]time.Time{}}
	if !l.serving {
		return violated(AcceptedWhileNotServing, "class %s", request.Class)
	}
	return Result{}
}

// Complete records the end of a request, by its final answer or because no client waits for an answer any
// more, and checks that it is the only end. served means that the request was answered with its result.
func (l *Ledger) Complete(id cresspass.QueryID, served bool) Result {
	r := l.requests[id]
	if r == nil || r.ended {
		return violated(AnsweredTwice, "query %d", id)
	}
	r.ended = true
	if served {
		l.retryUsage.addServed(r.acceptedAt)
	}
	l.removeIfFinished(r)
	return Result{}
}

// BeginAttempt checks whether an attempt may be sent now, and records it if so. EndAttempt must be called for
// each attempt that is allowed. An attempt of which no byte could be written may be checked again.
func (l *Ledger) BeginAttempt(now time.Time, id cresspass.QueryID, attempt int, target Target) Result {
	r := l.requests[id]
	switch {
	case r == nil || r.ended:
		return stale(SentAfterEnd, "query %d", id)
	case !l.serving:
		return violated(SentWhileNotServing, "query %d", id)
	}
	if result := checkTarget(now, r, target); !result.OK() {
		return result
	}
	if _, again := r.begunAt[attempt]; again {
		return Result{} // no byte of the attempt was written the first time
	}
	if result := l.checkRetry(now, r); !result.OK() {
		return result
	}
	if r.OrderingKey != "" && r.class.OrderedByKey {
		if holder, ok := l.keyHolders[r.OrderingKey]; ok && holder != id {
			return violated(SentOutOfOrder, "key %q has query %d in flight", r.OrderingKey, holder)
		}
		l.keyHolders[r.OrderingKey] = id
	}
	if r.attemptsBegun > 0 {
		l.retryUsage.addRetry(now)
	}
	r.attemptsBegun++
	r.inFlight++
	r.mayHaveRun++
	r.begunAt[attempt] = now
	return Result{}
}

// checkTarget checks that the deadline of a request has not passed and that its attempt may go to the target.
func checkTarget(now time.Time, r *requestState, target Target) Result {
	class := r.class
	switch {
	case !now.Before(r.Deadline):
		return stale(SentAfterDeadline, "%v after the deadline", now.Sub(r.Deadline))
	case !target.Accepting:
		return stale(SentToDraining, "engine %s", target.Engine)
	case len(class.AllowedKinds) > 0 && !slices.Contains(class.AllowedKinds, target.Kind),
		len(class.AllowedZones) > 0 && !slices.Contains(class.AllowedZones, target.Zone):
		return violated(SentToIneligible, "class %s to kind %s in zone %s", class.Name, target.Kind,
			target.Zone)
	}
	return Result{}
}

// checkRetry checks an attempt against the request's earlier attempts and the retry budget.
func (l *Ledger) checkRetry(now time.Time, r *requestState) Result {
	effect := r.class.Effect
	switch {
	case r.inFlight > 0 && !l.rules.MayHedge:
		return violated(RetriedConcurrently, "%d attempts in flight", r.inFlight)
	case r.mayHaveRun > 0 && effect == cresspass.NotIdempotent:
		return violated(RetriedNonIdempotent, "%d attempts may have run", r.mayHaveRun)
	case r.mayHaveRun > 0 && effect == cresspass.IdempotentWithKey &&
		now.Sub(r.firstRunAt) > r.class.DeduplicationWindow:
		return stale(RetriedAfterWindow, "%v after the first attempt", now.Sub(r.firstRunAt))
	case r.attemptsBegun > 0 && !l.retryUsage.allowsRetry(now):
		return stale(RetriedOverBudget, "%d retries, %d requests served", len(l.retryUsage.retries),
			len(l.retryUsage.served))
	}
	return Result{}
}

// EndAttempt records that an attempt has ended. neverRan means that the attempt certainly did not run. An
// attempt that was not allowed to begin is ignored.
func (l *Ledger) EndAttempt(id cresspass.QueryID, attempt int, neverRan bool) {
	r := l.requests[id]
	if r == nil {
		return
	}
	begunAt, ok := r.begunAt[attempt]
	if !ok {
		return // the attempt was not allowed to begin
	}
	delete(r.begunAt, attempt)
	r.inFlight--
	if neverRan {
		r.mayHaveRun--
	} else if r.firstRunAt.IsZero() || begunAt.Before(r.firstRunAt) {
		r.firstRunAt = begunAt
	}
	if r.inFlight == 0 && l.keyHolders[r.OrderingKey] == id {
		delete(l.keyHolders, r.OrderingKey)
	}
	l.removeIfFinished(r)
}

// removeIfFinished removes a request that has ended and has no attempt in flight.
func (l *Ledger) removeIfFinished(r *requestState) {
	if r.ended && r.inFlight == 0 {
		delete(l.requests, r.ID)
	}
}
