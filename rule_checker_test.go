package cresspass

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRulesHoldOnRandomEvents delivers long random sequences of valid and stray events. Its checker keeps its
// own state of queries and engines and checks every action against rules 1 to 7.
func TestRulesHoldOnRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newRuleChecker(t, seed).play(1500) })
	}
}

type trackedQuery struct {
	class        Class
	key          string
	deadline     time.Duration
	done         bool
	attemptCount int
	inFlight     map[int]Action
	maybeRanAt   time.Duration // when the first attempt that may have run was sent
	maybeRanOn   EngineInfo
	maybeRan     bool
	sentAt       map[int]time.Duration
}

type ruleChecker struct {
	t              *testing.T
	random         *rand.Rand
	cfg            Config
	g              *Gateway
	now            time.Duration
	nextID         QueryID
	queries        map[QueryID]*trackedQuery
	ids            []QueryID
	engines        map[EngineID]EngineInfo
	order          map[string][]QueryID
	settlesAt      map[string]time.Duration
	arrivals       []time.Duration
	retries        []time.Duration
	timers         []Event
	dueAt          []time.Duration
	classes        map[string]Class
	slowStartSends map[EngineID][]slowStartSend
}

func newRuleChecker(t *testing.T, seed uint64) *ruleChecker {
	c := &ruleChecker{t: t, random: rand.New(rand.NewPCG(seed, 7)), cfg: allRulesConfig(), now: time.Hour,
		nextID: 1}
	c.cfg.PollEngineList = seed%2 == 1
	// Half of the seeds: health checks and load reports, no Retry-After, a shorter drain grace, 20 gateways,
	// no slow start.
	if seed%4 > 1 {
		c.cfg.MayCheckHealth, c.cfg.LoadReportFields = true, []string{
			"concurrent",
			"depth",
			"load_share",
			"x0",
		}
		c.cfg.OnMemoryShortage, c.cfg.KindMemoryMB, c.cfg.ReportsCost = ShortagePages, []float64{
			8192,
			16384,
		}, true
		c.cfg.MaySendRetryAfter, c.cfg.Rules.DrainGrace, c.cfg.Rules.SlowStartDuration = false, 250*ms, 0
		c.cfg.GatewayCount, c.cfg.ProgressInterval = 20, 0
	}
	c.classes = map[string]Class{}
	for _, k := range c.cfg.Classes {
		c.classes[k.Name] = k
	}
	c.engines = map[EngineID]EngineInfo{}
	c.restart()
	return c
}

// restart replaces the gateway by a new one, which knows only the latest engine list.
func (c *ruleChecker) restart() {
	g, err := New(c.cfg)
	if err != nil {
		c.t.Fatal(err)
	}
	c.g, c.queries, c.ids, c.order = g, map[QueryID]*trackedQuery{}, nil, map[string][]QueryID{}
	c.slowStartSends = map[EngineID][]slowStartSend{}
	c.settlesAt, c.arrivals, c.retries, c.timers, c.dueAt = map[string]time.Duration{}, nil, nil, nil, nil
	c.deliver(c.listEvent(ListCached))
}

func (c *ruleChecker) listEvent(listType EngineListType) Event {
	ev := Event{Type: EngineListReceived, ListType: listType}
	for i := range 5 {
		if e, ok := c.engines[EngineID(fmt.Sprint("e", i))]; ok && e.State != EngineRemoved {
			ev.Engines = append(ev.Engines, e)
		}
	}
	return ev
}

func (c *ruleChecker) play(steps int) {
	for range steps {
		c.passTicks(c.random.IntN(8))
		var events []Event
		switch n := c.random.IntN(100); {
		case n < 55:
			events = append(events, c.newQuery())
		case n < 88:
			events = append(events, c.outcome()...)
		case n < 94:
			events = append(events, c.engineChange())
		case n < 96 && len(c.ids) > 0:
			if q := c.queries[c.ids[c.random.IntN(len(c.ids))]]; !q.done {
				q.done = true
				events = append(events, Event{Type: QueryAbandoned, Query: c.idOf(q)})
			}
		case n == 96 && c.random.IntN(6) == 0:
			c.restart()
			continue
		default:
			events = append(events, c.strayEvent())
		}
		c.deliver(events...)
	}
	c.passTicks(6000) // no more events: every query must end in time
	for id, q := range c.queries {
		if !q.done {
			c.t.Errorf("query %d was never answered", id)
		}
	}
}

// passTicks lets the given number of batch intervals pass and fires the timers that are due.
func (c *ruleChecker) passTicks(ticks int) {
	for range ticks {
		c.now += c.cfg.BatchInterval
		var events []Event
		for i := 0; i < len(c.dueAt); i++ {
			if c.dueAt[i] <= c.now {
				events = append(events, c.timers[i])
				c.timers, c.dueAt = append(
					c.timers[:i],
					c.timers[i+1:]...), append(
					c.dueAt[:i],
					c.dueAt[i+1:]...)
				i--
			}
		}
		if len(events) > 0 {
			c.deliver(events...)
		}
	}
}

func (c *ruleChecker) idOf(q *trackedQuery) QueryID {
	for id, v := range c.queries {
		if v == q {
			return id
		}
	}
	return 0
}

func (c *ruleChecker) newQuery() Event {
	k := c.cfg.Classes[c.random.IntN(len(c.cfg.Classes))]
	q := &trackedQuery{
		class:    k,
		deadline: c.now + k.Deadline,
		inFlight: map[int]Action{},
		sentAt:   map[int]time.Duration{},
	}
	ev := Event{Type: QueryArrived, Query: c.nextID, Class: k.Name, RemainingDeadline: k.Deadline}
	if c.random.IntN(2) == 0 {
		ev.HasCostEstimate, ev.CostEstimate = true, time.Duration(c.random.IntN(2000))*ms
	}
	if k.OrderedByKey {
		q.key = fmt.Sprint("k", c.random.IntN(3))
		ev.Key = q.key
		c.order[q.key] = append(c.order[q.key], c.nextID)
	}
	c.queries[c.nextID] = q
	c.ids = append(c.ids, c.nextID)
	c.arrivals = append(c.arrivals, c.now)
	c.nextID++
	return ev
}

// outcome ends a random running attempt with a random outcome. One in ten outcomes is delivered twice.
func (c *ruleChecker) outcome() []Event {
	for range 20 {
		if len(c.ids) == 0 {
			return nil
		}
		id := c.ids[c.random.IntN(len(c.ids))]
		q := c.queries[id]
		for n := range q.attemptCount {
			a, out := q.inFlight[n]
			if !out {
				continue
			}
			o := []Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeRejected,
				OutcomeConnectionReset, OutcomeConnectFailed}[c.random.IntN(7)]
			return c.endAttempt(id, q, n, a, o)
		}
	}
	return nil
}

func (c *ruleChecker) endAttempt(id QueryID, q *trackedQuery, n int, a Action, o Outcome) []Event {
	delete(q.inFlight, n)
	if !o.NeverRan() && (!q.maybeRan || q.sentAt[n] < q.maybeRanAt) {
		q.maybeRan, q.maybeRanAt, q.maybeRanOn = true, q.sentAt[n], c.engines[a.Engine]
	}
	if q.key != "" && (o == OutcomeConnectionReset || o == OutcomeTimedOut || o == OutcomeCancelled) {
		c.settlesAt[q.key] = max(c.settlesAt[q.key], c.now+c.cfg.Rules.OrderSettleDelay)
	}
	if o == OutcomeOK {
		q.done = true
	}
	ev := Event{
		Type:          AttemptDone,
		Query:         id,
		Attempt:       n,
		Engine:        a.Engine,
		Outcome:       o,
		Elapsed:       c.now - q.sentAt[n],
		QueryFinished: q.done,
		ActualCost:    time.Duration(c.random.IntN(900)) * ms,
	}
	ev.LoadReport, ev.HasLoadReport = c.loadReport()
	if c.random.IntN(10) == 0 {
		return []Event{ev, ev}
	}
	return []Event{ev}
}

// loadReport returns a random load report, sometimes an invalid one, if the settings have load reports.
func (c *ruleChecker) loadReport() ([]float64, bool) {
	if len(c.cfg.LoadReportFields) == 0 {
		return nil, false
	}
	return [][]float64{{3, 0, 0.4, 0.2}, {40, 2, 1, 3}, {1}, nil, {math.NaN(), -1, 1e300,
		math.Inf(1)}}[c.random.IntN(5)], true
}

func (c *ruleChecker) engineChange() Event {
	e := EngineInfo{ID: EngineID(fmt.Sprint("e", c.random.IntN(5))), Kind: "std", Zone: "a",
		Cell: c.random.IntN(2)}
	if old, ok := c.engines[e.ID]; ok {
		e = old
	} else if c.random.IntN(2) == 0 {
		e.Kind, e.Zone = "big", "b"
	}
	switch c.random.IntN(4) {
	case 0:
		e.State = EngineDraining
	case 1:
		e.State = EngineRemoved
	default:
		if e.State != EngineActive || e.Kind == "" {
			e.StartedAt = c.now
		}
		e.State = EngineActive
	}
	c.engines[e.ID] = e
	if c.random.IntN(4) == 0 {
		return c.listEvent(ListComplete)
	}
	return Event{Type: EngineListReceived, ListType: ListIncremental, Engines: []EngineInfo{e}}
}

func (c *ruleChecker) strayEvent() Event {
	return []Event{
		{Type: AttemptDone, Query: 1 << 40, Outcome: OutcomeOK}, {Type: QueryAbandoned, Query: 1 << 41},
		{Type: ProgressReported, Query: 1 << 42, Note: NoteFractionDone}, {Type: HealthCheckDone,
			Engine: "nobody"},
		{Type: EngineListReceived, ListType: ListFailed}, {Type: TimerFired, Label: 1 << 43},
		{Type: PeerMessageReceived, Peer: 9, Data: []byte("x")},
		{Type: MembershipChanged, Peer: c.random.IntN(2),
			Value: float64(c.cfg.GatewayCount * (1 + c.random.IntN(3))), Elapsed: c.now},
		{Type: MembershipChanged, Peer: 5, Value: 3}, {Type: MembershipChanged, Value: math.NaN()},
		{Type: MembershipChanged},
		{Type: EngineReportedDown, Engine: EngineID(fmt.Sprint("e", c.random.IntN(9)))},
	}[c.random.IntN(12)]
}

// deliver passes events to the gateway and checks its actions. It then does the same with the events that
// these actions cause, until they cause none.
func (c *ruleChecker) deliver(events ...Event) {
	for len(events) > 0 || c.g != nil {
		actions := c.g.Handle(c.now, events, nil)
		events = nil
		for _, a := range actions {
			events = append(events, c.check(a)...)
		}
		if len(events) == 0 {
			return
		}
	}
}

func (c *ruleChecker) check(a Action) []Event {
	q := c.queries[a.Query]
	switch a.Type {
	case SetTimer:
		c.timers, c.dueAt = append(
			c.timers,
			Event{Type: TimerFired, Label: a.Label},
		), append(
			c.dueAt,
			c.now+a.Wait,
		)
	case Send:
		c.checkSend(a, q)
		q.inFlight[q.attemptCount], q.sentAt[q.attemptCount] = a, c.now
		q.attemptCount++
	case CheckHealth:
		if !c.cfg.MayCheckHealth {
			c.t.Errorf("health check, though the settings do not allow any")
		}
		ev := Event{
			Type:    HealthCheckDone,
			Engine:  a.Engine,
			Outcome: []Outcome{OutcomeOK, OutcomeTimedOut}[c.random.IntN(2)],
		}
		ev.LoadReport, ev.HasLoadReport = c.loadReport()
		return []Event{ev}
	case Reject, Fail:
		if a.Wait > 0 && !c.cfg.MaySendRetryAfter {
			c.t.Errorf("query %d rejected with a Retry-After time, which the settings do not allow", a.Query)
		}
		if q.done {
			c.t.Errorf("rule 1: query %d answered twice", a.Query)
		}
		if c.now > q.deadline+c.cfg.Rules.AnswerGrace {
			c.t.Errorf("rule 1: query %d answered %v late", a.Query, c.now-q.deadline)
		}
		mayHaveRun := q.maybeRan || len(q.inFlight) > 0
		if a.Type == Reject && mayHaveRun &&
			(q.class.Effect == NotIdempotent || q.class.Effect == IdempotentWithKey &&
				q.class.DeduplicationScope != ScopeAll) {
			c.t.Errorf("rule 2: %s query %d rejected though it may have run", q.class.Name, a.Query)
		}
		q.done = true
	case Cancel:
		if out, ok := q.inFlight[a.Attempt]; ok {
			return c.endAttempt(a.Query, q, a.Attempt, out, OutcomeCancelled)
		}
	}
	return nil
}

func (c *ruleChecker) checkSend(a Action, q *trackedQuery) {
	e := c.engines[a.Engine]
	if q.done || c.now > q.deadline {
		c.t.Errorf("rule 1: query %d sent after its end", a.Query)
	}
	if len(q.inFlight) > 0 {
		c.t.Errorf("rule 2: query %d sent while an attempt of it is in flight", a.Query)
	}
	if q.maybeRan && q.class.Effect == NotIdempotent {
		c.t.Errorf("rule 2: query %d, not idempotent, sent again", a.Query)
	}
	if q.maybeRan && q.class.Effect == IdempotentWithKey {
		if c.now-q.maybeRanAt > q.class.DeduplicationWindow ||
			q.class.DeduplicationScope == ScopeCell && e.Cell != q.maybeRanOn.Cell {
			c.t.Errorf("rule 2: query %d sent outside its deduplication window or cell", a.Query)
		}
	}
	if e.State != EngineActive {
		c.t.Errorf("rule 3: query %d sent to an engine in state %v", a.Query, e.State)
	}
	if r := &c.cfg.Rules; e.StartedAt > 0 && c.now < e.StartedAt+r.SlowStartDuration {
		c.slowStartSends[e.ID] = append(
			c.slowStartSends[e.ID],
			slowStartSend{c.now, c.g.classes[q.class.Name].meanWork},
		)
		sum, cores := 0.0, map[string]float64{"std": 8, "big": 16}[e.Kind]
		for _, s := range c.slowStartSends[e.ID] {
			if s.at > c.now-r.SlowStartWindow {
				sum += s.work
			}
		}
		if sum > r.SlowStartOverloadFactor*r.SlowStartFrom*cores*0.85*r.SlowStartWindow.Seconds()/float64(
			c.cfg.GatewayCount,
		) {
			c.t.Errorf("rule 4: %.1f s of work in a window sent to an engine in slow start", sum)
		}
	}
	if q.key != "" {
		for _, id := range c.order[q.key] {
			o := c.queries[id]
			if id < a.Query && (!o.done || len(o.inFlight) > 0) {
				c.t.Errorf("rule 5: query %d sent before query %d of its key ended", a.Query, id)
			}
		}
		if c.now < c.settlesAt[q.key] && q.attemptCount == 0 {
			c.t.Errorf("rule 5: query %d sent before its key settled", a.Query)
		}
	}
	if len(q.class.AllowedKinds) > 0 &&
		(e.Kind != q.class.AllowedKinds[0] || e.Zone != q.class.AllowedZones[0]) {
		c.t.Errorf("rule 6: query %d sent to kind %s in zone %s", a.Query, e.Kind, e.Zone)
	}
	if q.attemptCount > 0 {
		r := &c.cfg.Rules
		c.retries = append(c.retries, c.now)
		retryCount, arrivalCount := 0, 0
		for _, at := range c.retries {
			if at > c.now-r.RetryBudgetWindow {
				retryCount++
			}
		}
		for _, at := range c.arrivals {
			if at > c.now-r.RetryBudgetWindow {
				arrivalCount++
			}
		}
		if float64(retryCount) > r.RetryBudgetFree+r.RetryBudgetRatio*float64(arrivalCount) {
			c.t.Errorf("rule 7: %d retries for %d queries in a window", retryCount, arrivalCount)
		}
	}
}
