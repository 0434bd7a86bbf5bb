package soak

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"sync"
	"time"
)

// idempotency says what a repeat of a class does.
type idempotency int

// The effects.
const (
	idempotent idempotency = iota
	idempotentWithKey
	notIdempotent
)

// requestClass is a class of requests of the soak's fleet.
type requestClass struct {
	name                string
	idempotency         idempotency
	inOrder             bool
	deduplicationWindow time.Duration
	meanWork            time.Duration // mean, on one core
	share               float64       // of the requests
}

var requestClasses = []requestClass{
	{name: "quick", idempotency: idempotent, meanWork: 40 * time.Millisecond, share: 0.55},
	{name: "load", idempotency: idempotentWithKey, deduplicationWindow: 3 * time.Second, meanWork: 150 * time.Millisecond, share: 0.15},
	{name: "once", idempotency: notIdempotent, meanWork: 80 * time.Millisecond, share: 0.15},
	{name: "turn", idempotency: idempotent, inOrder: true, meanWork: 60 * time.Millisecond, share: 0.15},
}

func classNamed(name string) requestClass {
	for _, c := range requestClasses {
		if c.name == name {
			return c
		}
	}
	return requestClass{name: name, idempotency: notIdempotent}
}

// Of the settings that the fleet is given, and the slack with which the platform's page judges. measured
// is what this machine may take between an act and its entry here.
const (
	drainGrace        = 2 * time.Second
	orderSettleDelay  = 100 * time.Millisecond
	answerSlack       = 500 * time.Millisecond
	clientGoneSlack   = 100 * time.Millisecond
	deadlineSlack     = 150 * time.Millisecond
	measurementSlack  = 60 * time.Millisecond
	retryBudgetFree   = 1.0
	retryBudgetRatio  = 0.04
	retryBudgetWindow = 4 * time.Second
	slowStartFrom     = 0.3
	slowStartDuration = 6 * time.Second
	slowStartFactor   = 0.6
	slowStartWindow   = time.Second
	nodeCores         = 4.0
	discoveryCatchUp  = 4 * time.Second // after discovery's trouble, what it would have told counts as told
)

// excuseCrossedClose excuses a request that came as a dispatcher which ends, or whose descriptors idle clients
// fill, closed its connection, unless it was forwarded all the same.
const excuseCrossedClose = "it crossed the close of a dispatcher that ends or is crowded"

// Finding is a rule that was broken.
type Finding struct {
	Invariant string
	Ticket    string // "": of no request
	At        time.Duration
	Detail    string
}

func (f Finding) String() string {
	return fmt.Sprintf("%.3fs %s %s: %s", f.At.Seconds(), f.Invariant, f.Ticket, f.Detail)
}

// receivedAnswer is an answer that came.
type receivedAnswer struct {
	kind answerKind
	body string
	at   time.Time
}

// postedQuery is a start of a query, as the tap on a link saw it.
type postedQuery struct {
	call
	node        int
	generation  string
	dispatcher  int
	incarnation int
}

// interval is a time in which an attempt was out at a compute node.
type interval struct {
	node       int
	start, end time.Time // to zero: yet
}

// observedRequest is a request with all that was seen of it.
type observedRequest struct {
	ticket, class, orderingKey string
	dispatcher, incarnation    int
	sentAt                     time.Time // its last byte
	limit                      time.Duration
	answers                    []receivedAnswer
	clientGoneAt               time.Time // its client cancelled or closed; zero: it waits
	connectionEndedAt          time.Time // its connection ended without an answer
	excused                    string    // why no answer is owed
	malformed                  bool      // it raises no budget
	posts                      []postedQuery
	intervals                  []interval
	results                    []string
}

// drainNoticeKey names what a dispatcher was told of a compute node.
type drainNoticeKey struct {
	dispatcher, incarnation int
	generation              string
}

// oracle takes in what is seen, and judges it in the end. It is for any number of goroutines.
type oracle struct {
	mu             sync.Mutex
	startedAt      time.Time
	requests       map[string]*observedRequest
	drainNotices   map[drainNoticeKey]time.Time
	slowStarts     map[string]time.Time // starts, by generation
	findings       []Finding
	hasRetryBudget bool
}

func newOracle(budget bool) *oracle {
	return &oracle{
		startedAt:      time.Now(),
		requests:       map[string]*observedRequest{},
		drainNotices:   map[drainNoticeKey]time.Time{},
		slowStarts:     map[string]time.Time{},
		hasRetryBudget: budget,
	}
}

// addFinding enters a broken rule.
func (o *oracle) addFinding(invariant, ticket, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addFindingLocked(invariant, ticket, time.Now(), format, args...)
}

func (o *oracle) addFindingLocked(invariant, ticket string, at time.Time, format string, args ...any) {
	o.findings = append(o.findings, Finding{invariant, ticket, at.Sub(o.startedAt), fmt.Sprintf(format,
		args...)})
}

// updateRequest has a request's entry changed.
func (o *oracle) updateRequest(ticket string, f func(a *observedRequest)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.requests[ticket]
	if a == nil {
		a = &observedRequest{ticket: ticket, class: "?"}
		o.requests[ticket] = a
	}
	f(a)
}

// recordInterval enters that an attempt came whole to a compute node, or that it is over there.
func (o *oracle) recordInterval(ticket string, node int, begun bool) {
	now := time.Now()
	o.updateRequest(ticket, func(a *observedRequest) {
		if begun {
			a.intervals = append(a.intervals, interval{node: node, start: now})
			return
		}
		for i := range a.intervals {
			if a.intervals[i].node == node && a.intervals[i].end.IsZero() {
				a.intervals[i].end = now
			}
		}
	})
}

// recordResult enters a result.
func (o *oracle) recordResult(ticket, body string) {
	o.updateRequest(ticket, func(a *observedRequest) { a.results = append(a.results, body) })
}

// excuseKilled excuses all requests of a dispatcher's life that have no answer.
func (o *oracle) excuseKilled(dispatcher, life int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.requests {
		if a.dispatcher == dispatcher && a.incarnation == life && len(a.answers) == 0 &&
			(a.excused == "" || a.excused == excuseCrossedClose) {
			a.excused = "its dispatcher was killed"
		}
	}
}

// recordDrain enters that a drain was told.
func (o *oracle) recordDrain(dispatcher, life int, generation string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.drainNotices[drainNoticeKey{dispatcher, life, generation}]; !ok {
		o.drainNotices[drainNoticeKey{dispatcher, life, generation}] = at
	}
}

// recordStart enters a cold start.
func (o *oracle) recordStart(generation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slowStarts[generation] = time.Now()
}

// judge judges all that was seen, at the end.
func (o *oracle) judge() []Finding {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.requests {
		if a.class != "?" {
			o.judgeAnswer(a)
			o.judgePosts(a)
			o.judgeRetries(a)
		}
	}
	o.judgeOrder()
	if o.hasRetryBudget {
		o.judgeBudget()
	}
	o.judgeSlowStart()
	sort.SliceStable(o.findings, func(i, j int) bool { return o.findings[i].At < o.findings[j].At })
	return o.findings
}

func (o *oracle) judgeAnswer(a *observedRequest) {
	switch {
	case len(a.answers) > 1:
		o.addFindingLocked("second_answer", a.ticket, a.answers[1].at, "%d answers", len(a.answers))
	case len(a.answers) == 0 && a.clientGoneAt.IsZero() && (a.excused == "" || a.excused == excuseCrossedClose &&
		len(a.posts) > 0):
		o.addFindingLocked("lost", a.ticket, a.sentAt,
			"class %s at dispatcher %d: no answer in %v; connection ended %v", a.class,
			a.dispatcher, a.limit, !a.connectionEndedAt.IsZero())
	}
	if len(a.answers) == 0 {
		return
	}
	first := a.answers[0]
	if late := first.at.Sub(a.sentAt) - a.limit; late > answerSlack+measurementSlack && a.clientGoneAt.IsZero() {
		o.addFindingLocked("late", a.ticket, first.at, "%s %v after its time", first.kind, late)
	}
	if first.kind == answerServed && !slices.Contains(a.results, first.body) {
		o.addFindingLocked("served_other", a.ticket, first.at, "%q, of %d results made", first.body,
			len(a.results))
	}
}

func (o *oracle) judgePosts(a *observedRequest) {
	for _, p := range a.posts {
		if !a.clientGoneAt.IsZero() {
			if late := p.firstByteAt.Sub(a.clientGoneAt); late > clientGoneSlack+measurementSlack {
				o.addFindingLocked("sent_after_gone", a.ticket, p.firstByteAt, "%v after its client had gone", late)
			}
		}
		if len(a.answers) > 0 {
			if late := p.firstByteAt.Sub(a.answers[0].at); late > 0 {
				o.addFindingLocked("sent_after_answer", a.ticket, p.firstByteAt, "%v after its answer", late)
			}
		}
		if more := p.limit - (a.limit - p.firstByteAt.Sub(a.sentAt)); more > deadlineSlack+measurementSlack {
			o.addFindingLocked("told_deadline", a.ticket, p.firstByteAt, "%v told, %v more than is left", p.limit,
				more)
		}
		if told, ok := o.drainNotices[drainNoticeKey{p.dispatcher, p.incarnation, p.generation}]; ok {
			if late := p.firstByteAt.Sub(told); late > drainGrace+measurementSlack {
				o.addFindingLocked("sent_to_drained", a.ticket, p.firstByteAt, "%s %v after its drain was told",
					p.generation, late)
			}
		}
	}
}

func (o *oracle) judgeRetries(a *observedRequest) {
	c := classNamed(a.class)
	sort.Slice(
		a.intervals,
		func(i, j int) bool { return a.intervals[i].start.Before(a.intervals[j].start) },
	)
	for i := 1; i < len(a.intervals); i++ {
		before, now := a.intervals[i-1], a.intervals[i]
		if c.idempotency == notIdempotent {
			o.addFindingLocked("repeated_unsafe", a.ticket, now.start, "at node %d after node %d", now.node,
				before.node)
		}
		alone := c.idempotency != idempotent || c.inOrder // of others the page forbids no second attempt
		if alone && (before.end.IsZero() || now.start.Before(before.end)) {
			o.addFindingLocked("repeated_beside", a.ticket, now.start, "at node %d while at node %d", now.node,
				before.node)
		}
		if late := now.start.Sub(a.intervals[0].start) - c.deduplicationWindow; c.idempotency == idempotentWithKey &&
			late > measurementSlack {
			o.addFindingLocked("repeated_late", a.ticket, now.start, "%v after its window", late)
		}
	}
}

// judgeOrder finds requests of one key that were out together.
func (o *oracle) judgeOrder() {
	byKey := map[string][]*observedRequest{}
	for _, a := range o.requests {
		if classNamed(a.class).inOrder && a.orderingKey != "" {
			byKey[a.orderingKey] = append(byKey[a.orderingKey], a)
		}
	}
	for _, all := range byKey {
		for i, a := range all {
			for _, b := range all[i+1:] {
				if both, at := overlapping(a, b); both {
					o.addFindingLocked("out_of_order", a.ticket, at, "key %s, beside %s", a.orderingKey, b.ticket)
				}
			}
		}
	}
}

func overlapping(a, b *observedRequest) (bool, time.Time) {
	if a.dispatcher != b.dispatcher || a.incarnation != b.incarnation {
		return false, time.Time{}
	}
	for _, x := range a.intervals {
		for _, y := range b.intervals {
			if (y.end.IsZero() || x.start.Before(y.end)) && (x.end.IsZero() || y.start.Before(x.end)) {
				if x.start.Before(y.start) {
					return true, y.start
				}
				return true, x.start
			}
		}
	}
	return false, time.Time{}
}

// judgeBudget finds further attempts beyond what the requests of the time before allow. Either edge of the
// time may be read a little later or earlier.
func (o *oracle) judgeBudget() {
	type life struct{ dispatcher, life int }
	taken, further := map[life][]time.Time{}, map[life][]postedQuery{}
	for _, a := range o.requests {
		at := life{a.dispatcher, a.incarnation}
		if !a.sentAt.IsZero() && !a.malformed {
			taken[at] = append(taken[at], a.sentAt)
		}
		sort.Slice(a.posts, func(i, j int) bool { return a.posts[i].firstByteAt.Before(a.posts[j].firstByteAt) })
		for i, p := range a.posts {
			if i > 0 {
				p.ticket = a.ticket
				further[at] = append(further[at], p)
			}
		}
	}
	for at, posts := range further {
		for _, p := range posts {
			broken := true
			for _, edge := range []time.Duration{-measurementSlack, 0, measurementSlack} {
				from := p.firstByteAt.Add(edge - retryBudgetWindow)
				used, allowed := 0.0, retryBudgetFree
				for _, other := range posts {
					if other.firstByteAt.After(from) && !other.firstByteAt.After(p.firstByteAt) {
						used++
					}
				}
				for _, t := range taken[at] {
					if t.After(from) && !t.After(p.firstByteAt.Add(measurementSlack)) {
						allowed += retryBudgetRatio
					}
				}
				broken = broken && used > allowed+1e-9
			}
			if broken {
				o.addFindingLocked("over_budget", p.ticket, p.firstByteAt, "dispatcher %d", at.dispatcher)
			}
		}
	}
}

// judgeSlowStart finds cold compute nodes that were given more than they bear.
func (o *oracle) judgeSlowStart() {
	arrivals := map[string][]postedQuery{}
	mean, shares := 0.0, 0.0
	for _, c := range requestClasses {
		mean, shares = mean+c.share*c.meanWork.Seconds(), shares+c.share
	}
	mean /= shares
	for _, a := range o.requests {
		for _, p := range a.posts {
			if start, ok := o.slowStarts[p.generation]; ok && p.firstByteAt.Sub(start) < slowStartDuration {
				arrivals[p.generation] = append(arrivals[p.generation], p)
			}
		}
	}
	for generation, posts := range arrivals {
		start := o.slowStarts[generation]
		for _, p := range posts {
			work := 0.0
			for _, other := range posts {
				if since := p.firstByteAt.Sub(other.firstByteAt); since >= 0 && since < slowStartWindow {
					work += classNamed(other.class).meanWork.Seconds() / mean
				}
			}
			warmth := slowStartFrom +
				(1-slowStartFrom)*p.firstByteAt.Sub(start).Seconds()/slowStartDuration.Seconds()
			n := slowStartFactor * nodeCores * warmth * slowStartWindow.Seconds() / mean
			allowed := n + 2*math.Sqrt(n) + 2
			if n < 30 {
				allowed = n + 3*math.Sqrt(n) + 3
			}
			if work > allowed {
				o.addFindingLocked("cold_overload", p.ticket, p.firstByteAt,
					"%s: %.0f requests in %v, %.0f allowed",
					generation, work,
					slowStartWindow, allowed)
				break
			}
		}
	}
}

// counts tells how many requests ended in which way.
func (o *oracle) counts() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]int{}
	for _, a := range o.requests {
		switch {
		case len(a.answers) > 0:
			out[string(a.answers[0].kind)]++
		case !a.clientGoneAt.IsZero():
			out["gone"]++
		case a.excused != "":
			out["excused"]++
		default:
			out["none"]++
		}
		if len(a.posts) > 1 {
			out["sent again"]++
		}
	}
	return out
}

// trace tells all that was seen of a request.
func (o *oracle) trace(ticket string) (lines []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.requests[ticket]
	if a == nil {
		return nil
	}
	at := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return fmt.Sprintf("%.3fs", t.Sub(o.startedAt).Seconds())
	}
	lines = append(lines,
		fmt.Sprintf("request %s of class %s, key %q, at dispatcher %d life %d: sent %s, limit %v, "+
			"client gone %s, connection ended %s, excused %q", a.ticket, a.class, a.orderingKey, a.dispatcher,
			a.incarnation,
			at(a.sentAt), a.limit, at(a.clientGoneAt), at(a.connectionEndedAt), a.excused))
	for _, p := range a.posts {
		lines = append(lines, fmt.Sprintf("  started at node %d (%s) %s to %s, told %v", p.node, p.generation,
			at(p.firstByteAt), at(p.lastByteAt), p.limit))
	}
	for _, x := range a.intervals {
		lines = append(lines, fmt.Sprintf("  out at node %d %s to %s", x.node, at(x.start), at(x.end)))
	}
	for _, h := range a.answers {
		lines = append(lines, fmt.Sprintf("  %s %s", h.kind, at(h.at)))
	}
	return lines
}
