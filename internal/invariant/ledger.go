package invariant

import (
	"slices"
	"time"

	"cresspass"
)

// Rules are what the Ledger holds acts against.
type Rules struct {
	Classes []cresspass.Class
	Budget  Budget
	// MayDuplicate allows two attempts of a request at a time
	MayDuplicate bool
}

// Budget bounds further attempts: at most Free plus Share of the requests taken, over each span of LookBack.
// A request counts from when it was taken, but only once it was served: strangers send requests that nobody
// else counts as taken, and by which a dispatcher would allow itself more than it has.
// Requests are counted over Slack less and attempts over Slack more than that, so that clocks that differ by
// as much see the bound kept.
type Budget struct {
	On       bool
	Free     float64
	Share    float64
	LookBack time.Duration
	Slack    time.Duration
}

// Request is a request as the Ledger knows it.
type Request struct {
	ID    cresspass.QueryID
	Class string
	Key   string    // it is ordered by; "": none
	Until time.Time // its client waits no longer
}

// Place is where an attempt goes, as it stands in that moment.
type Place struct {
	Engine cresspass.EngineID
	Kind   string
	Zone   string
	Takes  bool // it is up, and at that address
}

// entry is what happened to a request.
type entry struct {
	Request
	class  *cresspass.Class
	taken  time.Time
	ended  bool
	begun  int       // attempts that were begun
	first  time.Time // when the first of those began that may have run
	out    int       // attempts that have begun and not ended
	ran    int       // attempts that are out or may have run
	passed map[int]time.Time
}

// Ledger is the books of what has happened to requests. It is for one goroutine at a time.
type Ledger struct {
	rules    Rules
	classes  map[string]*cresspass.Class
	requests map[cresspass.QueryID]*entry
	keys     map[string]cresspass.QueryID // whose attempt is out
	// when requests were taken that have been served, in ascending order
	served  []time.Time
	further []time.Time // when further attempts were begun
	serving bool
}

// NewLedger returns empty books of a dispatcher that does not serve yet.
func NewLedger(rules Rules) *Ledger {
	l := &Ledger{rules: rules, classes: map[string]*cresspass.Class{},
		requests: map[cresspass.QueryID]*entry{}, keys: map[string]cresspass.QueryID{}}
	for i := range rules.Classes {
		l.classes[rules.Classes[i].Name] = &rules.Classes[i]
	}
	return l
}

// Serve opens the books, or closes them at the dispatcher's end.
func (l *Ledger) Serve(on bool) { l.serving = on }

// Len returns how many requests are in the books.
func (l *Ledger) Len() int { return len(l.requests) }

// Take enters a request. One that may not be taken is entered too, as it is owed a refusal.
func (l *Ledger) Take(now time.Time, r Request) Verdict {
	class := l.classes[r.Class]
	if class == nil {
		class = &cresspass.Class{Name: r.Class, Effect: cresspass.Unsafe}
	}
	l.requests[r.ID] = &entry{Request: r, class: class, taken: now, passed: map[int]time.Time{}}
	if !l.serving {
		return violated(TakenOutsideLife, "class %s", r.Class)
	}
	return Verdict{}
}

// Answer enters a request's final answer, or that nobody waits for one any more. served: it has its result.
func (l *Ledger) Answer(id cresspass.QueryID, served bool) Verdict {
	r := l.requests[id]
	if r == nil || r.ended {
		return violated(AnsweredTwice, "query %d", id)
	}
	r.ended = true
	if served && l.rules.Budget.On {
		at, _ := slices.BinarySearchFunc(l.served, r.taken, time.Time.Compare)
		l.served = slices.Insert(l.served, at, r.taken)
		// Those that are too old for the youngest count for no further attempt to come.
		l.served = after(l.served, l.served[len(l.served)-1].Add(-l.rules.Budget.LookBack))
	}
	l.drop(r)
	return Verdict{}
}

// Begin asks whether an attempt may be written now, and enters it if so. Done is owed for each that may. An
// attempt of which not a byte could be written asks again.
func (l *Ledger) Begin(now time.Time, id cresspass.QueryID, attempt int, at Place) Verdict {
	r := l.requests[id]
	switch {
	case r == nil || r.ended:
		return stale(SentAfterEnd, "query %d", id)
	case !l.serving:
		return violated(SentOutsideLife, "query %d", id)
	}
	if v := mayGo(now, r, at); !v.OK() {
		return v
	}
	if _, again := r.passed[attempt]; again {
		return Verdict{} // not a byte of it had left
	}
	if v := l.mayRepeat(now, r); !v.OK() {
		return v
	}
	if r.Key != "" && r.class.InOrder {
		if other, ok := l.keys[r.Key]; ok && other != id {
			return violated(SentOutOfOrder, "key %q has query %d out", r.Key, other)
		}
		l.keys[r.Key] = id
	}
	if r.begun > 0 && l.rules.Budget.On {
		l.further = append(l.further, now)
	}
	r.begun++
	r.out++
	r.ran++
	r.passed[attempt] = now
	return Verdict{}
}

// mayGo judges the moment and the place of an attempt.
func mayGo(now time.Time, r *entry, at Place) Verdict {
	c := r.class
	switch {
	case !now.Before(r.Until):
		return stale(SentTooLate, "%v after the client's time", now.Sub(r.Until))
	case !at.Takes:
		return stale(SentToDrained, "compute node %s", at.Engine)
	case len(c.Kinds) > 0 && !slices.Contains(c.Kinds, at.Kind),
		len(c.Zones) > 0 && !slices.Contains(c.Zones, at.Zone):
		return violated(SentWrongPlace, "class %s to kind %s in zone %s", c.Name, at.Kind, at.Zone)
	}
	return Verdict{}
}

// mayRepeat judges an attempt by those that were begun before it.
func (l *Ledger) mayRepeat(now time.Time, r *entry) Verdict {
	switch {
	case r.out > 0 && !l.rules.MayDuplicate:
		return violated(RepeatedBeside, "%d attempts are out", r.out)
	case r.ran > 0 && r.class.Effect == cresspass.Unsafe:
		return violated(RepeatedUnsafe, "%d attempts may have run", r.ran)
	case r.ran > 0 && r.class.Effect == cresspass.Keyed && now.Sub(r.first) > r.class.Window:
		return stale(RepeatedLate, "%v after the first attempt", now.Sub(r.first))
	case r.begun > 0 && !l.budgetLeft(now):
		return stale(RepeatedOverBudget, "%d further attempts, %d requests served", len(l.further),
			len(l.served))
	}
	return Verdict{}
}

// budgetLeft reports whether one more further attempt is allowed now.
func (l *Ledger) budgetLeft(now time.Time) bool {
	b := &l.rules.Budget
	if !b.On {
		return true
	}
	from := now.Add(-b.LookBack)
	l.served = after(l.served, from.Add(b.Slack))
	l.further = after(l.further, from.Add(-b.Slack))
	return float64(len(l.further)+1) <= b.Free+b.Share*float64(len(l.served))
}

// after drops the times, in ascending order, that are not after from.
func after(times []time.Time, from time.Time) []time.Time {
	n, _ := slices.BinarySearchFunc(times, from, func(t, from time.Time) int {
		if t.After(from) {
			return 1
		}
		return -1
	})
	return slices.Delete(times, 0, n)
}

// Done enters that an attempt has ended. neverRan: it is sure that it did not run.
func (l *Ledger) Done(id cresspass.QueryID, attempt int, neverRan bool) {
	r := l.requests[id]
	if r == nil {
		return
	}
	began, ok := r.passed[attempt]
	if !ok {
		return // it was not let through
	}
	delete(r.passed, attempt)
	r.out--
	if neverRan {
		r.ran--
	} else if r.first.IsZero() || began.Before(r.first) {
		r.first = began
	}
	if r.out == 0 && l.keys[r.Key] == id {
		delete(l.keys, r.Key)
	}
	l.drop(r)
}

func (l *Ledger) drop(r *entry) {
	if r.ended && r.out == 0 {
		delete(l.requests, r.ID)
	}
}
