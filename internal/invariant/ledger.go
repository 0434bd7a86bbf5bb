package invariant

import (
	"slices"
	"time"

	"cresspass"
)

// Rules are what the Ledger holds acts against.
type Rules struct {
	Classes     []cresspass.Class
	RetryBudget RetryBudget
	// MayHedge allows two attempts of a request at a time
	MayHedge bool
}

// RetryBudget bounds further attempts: at most Free plus Share of the requests taken, over each span of
// Window. A request counts from when it was taken, but only once it was served: strangers send requests that
// nobody else counts as taken, and by which a dispatcher would allow itself more than it has. Requests are
// counted over Slack less and attempts over Slack more than that, so that clocks that differ by as much see
// the bound kept.
type RetryBudget struct {
	Enabled   bool
	Free      float64
	Ratio     float64
	Window    time.Duration
	ClockSkew time.Duration
}

// Request is a request as the Ledger knows it.
type Request struct {
	ID          cresspass.QueryID
	Class       string
	OrderingKey string    // it is ordered by; "": none
	Deadline    time.Time // its client waits no longer
}

// Target is where an attempt goes, as it stands in that moment.
type Target struct {
	Engine    cresspass.EngineID
	Kind      string
	Zone      string
	Accepting bool // it is up, and at that address
}

// requestState is what happened to a request.
type requestState struct {
	Request
	class         *cresspass.Class
	acceptedAt    time.Time
	ended         bool
	attemptsBegun int       // attempts that were begun
	firstRunAt    time.Time // when the first of those began that may have run
	inFlight      int       // attempts that have begun and not ended
	mayHaveRun    int       // attempts that are out or may have run
	begunAt       map[int]time.Time
}

// Ledger is the books of what has happened to requests. It is for one goroutine at a time.
type Ledger struct {
	rules      Rules
	classes    map[string]*cresspass.Class
	requests   map[cresspass.QueryID]*requestState
	keyHolders map[string]cresspass.QueryID // whose attempt is out
	// when requests were taken that have been served, in ascending order
	servedRequests []time.Time
	retries        []time.Time // when further attempts were begun
	serving        bool
}

// NewLedger returns empty books of a dispatcher that does not serve yet.
func NewLedger(rules Rules) *Ledger {
	l := &Ledger{rules: rules, classes: map[string]*cresspass.Class{},
		requests: map[cresspass.QueryID]*requestState{}, keyHolders: map[string]cresspass.QueryID{}}
	for i := range rules.Classes {
		l.classes[rules.Classes[i].Name] = &rules.Classes[i]
	}
	return l
}

// SetServing opens the books, or closes them at the dispatcher's end.
func (l *Ledger) SetServing(serving bool) { l.serving = serving }

// Len returns how many requests are in the books.
func (l *Ledger) Len() int { return len(l.requests) }

// Accept enters a request. One that may not be taken is entered too, as it is owed a refusal.
func (l *Ledger) Accept(now time.Time, r Request) Result {
	class := l.classes[r.Class]
	if class == nil {
		class = &cresspass.Class{Name: r.Class, Effect: cresspass.NotIdempotent}
	}
	l.requests[r.ID] = &requestState{Request: r, class: class, acceptedAt: now, begunAt: map[int]time.Time{}}
	if !l.serving {
		return violated(AcceptedWhileNotServing, "class %s", r.Class)
	}
	return Result{}
}

// Complete enters a request's final answer, or that nobody waits for one any more. served: it has its result.
func (l *Ledger) Complete(id cresspass.QueryID, served bool) Result {
	r := l.requests[id]
	if r == nil || r.ended {
		return violated(AnsweredTwice, "query %d", id)
	}
	r.ended = true
	if served && l.rules.RetryBudget.Enabled {
		at, _ := slices.BinarySearchFunc(l.servedRequests, r.acceptedAt, time.Time.Compare)
		l.servedRequests = slices.Insert(l.servedRequests, at, r.acceptedAt)
		// Those that are too old for the youngest count for no further attempt to come.
		l.servedRequests = keepAfter(
			l.servedRequests,
			l.servedRequests[len(l.servedRequests)-1].Add(-l.rules.RetryBudget.Window),
		)
	}
	l.removeIfFinished(r)
	return Result{}
}

// BeginAttempt asks whether an attempt may be written now, and enters it if so. Done is owed for each that
// may. An attempt of which not a byte could be written asks again.
func (l *Ledger) BeginAttempt(now time.Time, id cresspass.QueryID, attempt int, at Target) Result {
	r := l.requests[id]
	switch {
	case r == nil || r.ended:
		return stale(SentAfterEnd, "query %d", id)
	case !l.serving:
		return violated(SentWhileNotServing, "query %d", id)
	}
	if v := checkTarget(now, r, at); !v.OK() {
		return v
	}
	if _, again := r.begunAt[attempt]; again {
		return Result{} // not a byte of it had left
	}
	if v := l.checkRetry(now, r); !v.OK() {
		return v
	}
	if r.OrderingKey != "" && r.class.OrderedByKey {
		if other, ok := l.keyHolders[r.OrderingKey]; ok && other != id {
			return violated(SentOutOfOrder, "key %q has query %d out", r.OrderingKey, other)
		}
		l.keyHolders[r.OrderingKey] = id
	}
	if r.attemptsBegun > 0 && l.rules.RetryBudget.Enabled {
		l.retries = append(l.retries, now)
	}
	r.attemptsBegun++
	r.inFlight++
	r.mayHaveRun++
	r.begunAt[attempt] = now
	return Result{}
}

// checkTarget judges the moment and the place of an attempt.
func checkTarget(now time.Time, r *requestState, at Target) Result {
	c := r.class
	switch {
	case !now.Before(r.Deadline):
		return stale(SentAfterDeadline, "%v after the client's time", now.Sub(r.Deadline))
	case !at.Accepting:
		return stale(SentToDraining, "compute node %s", at.Engine)
	case len(c.AllowedKinds) > 0 && !slices.Contains(c.AllowedKinds, at.Kind),
		len(c.AllowedZones) > 0 && !slices.Contains(c.AllowedZones, at.Zone):
		return violated(SentToIneligible, "class %s to kind %s in zone %s", c.Name, at.Kind, at.Zone)
	}
	return Result{}
}

// checkRetry judges an attempt by those that were begun before it.
func (l *Ledger) checkRetry(now time.Time, r *requestState) Result {
	switch {
	case r.inFlight > 0 && !l.rules.MayHedge:
		return violated(RetriedConcurrently, "%d attempts are out", r.inFlight)
	case r.mayHaveRun > 0 && r.class.Effect == cresspass.NotIdempotent:
		return violated(RetriedNonIdempotent, "%d attempts may have run", r.mayHaveRun)
	case r.mayHaveRun > 0 && r.class.Effect == cresspass.IdempotentWithKey && now.Sub(r.firstRunAt) > r.class.DeduplicationWindow:
		return stale(RetriedAfterWindow, "%v after the first attempt", now.Sub(r.firstRunAt))
	case r.attemptsBegun > 0 && !l.retryBudgetAllows(now):
		return stale(RetriedOverBudget, "%d further attempts, %d requests served", len(l.retries),
			len(l.servedRequests))
	}
	return Result{}
}

// retryBudgetAllows reports whether one more further attempt is allowed now.
func (l *Ledger) retryBudgetAllows(now time.Time) bool {
	b := &l.rules.RetryBudget
	if !b.Enabled {
		return true
	}
	from := now.Add(-b.Window)
	l.servedRequests = keepAfter(l.servedRequests, from.Add(b.ClockSkew))
	l.retries = keepAfter(l.retries, from.Add(-b.ClockSkew))
	return float64(len(l.retries)+1) <= b.Free+b.Ratio*float64(len(l.servedRequests))
}

// keepAfter drops the times, in ascending order, that are not after from.
func keepAfter(times []time.Time, from time.Time) []time.Time {
	n, _ := slices.BinarySearchFunc(times, from, func(t, from time.Time) int {
		if t.After(from) {
			return 1
		}
		return -1
	})
	return slices.Delete(times, 0, n)
}

// EndAttempt enters that an attempt has ended. neverRan: it is sure that it did not run.
func (l *Ledger) EndAttempt(id cresspass.QueryID, attempt int, neverRan bool) {
	r := l.requests[id]
	if r == nil {
		return
	}
	began, ok := r.begunAt[attempt]
	if !ok {
		return // it was not let through
	}
	delete(r.begunAt, attempt)
	r.inFlight--
	if neverRan {
		r.mayHaveRun--
	} else if r.firstRunAt.IsZero() || began.Before(r.firstRunAt) {
		r.firstRunAt = began
	}
	if r.inFlight == 0 && l.keyHolders[r.OrderingKey] == id {
		delete(l.keyHolders, r.OrderingKey)
	}
	l.removeIfFinished(r)
}

func (l *Ledger) removeIfFinished(r *requestState) {
	if r.ended && r.inFlight == 0 {
		delete(l.requests, r.ID)
	}
}
