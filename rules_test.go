package cresspass

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// allRulesConfig has a class of each effect, two kinds, two zones and all rules switched on.
func allRulesConfig() Config {
	return Config{
		Seed: 1, GatewayCount: 2, Zone: "a", BatchInterval: 5 * ms,
		Classes: []Class{
			{
				Name:             "short",
				LatencyObjective: time.Second,
				ObjectiveStretch: 1,
				Deadline:         5 * time.Second,
				PriorityWeight:   1,
				Effect:           Idempotent,
			},
			{
				Name:                "load",
				LatencyObjective:    4 * time.Second,
				ObjectiveStretch:    2,
				Deadline:            20 * time.Second,
				PriorityWeight:      5,
				LateAnswerValue:     0.5,
				Effect:              IdempotentWithKey,
				DeduplicationWindow: 3 * time.Second,
				OrderedByKey:        true,
			},
			{
				Name:             "once",
				LatencyObjective: 4 * time.Second,
				Deadline:         20 * time.Second,
				PriorityWeight:   5,
				Effect:           NotIdempotent,
			},
			{
				Name:             "bound",
				LatencyObjective: 2 * time.Second,
				Deadline:         9 * time.Second,
				PriorityWeight:   2,
				Effect:           Idempotent,
				AllowedKinds:     []string{"big"},
				AllowedZones:     []string{"b"},
			},
			{
				Name:                "cell",
				LatencyObjective:    4 * time.Second,
				Deadline:            20 * time.Second,
				PriorityWeight:      5,
				Effect:              IdempotentWithKey,
				DeduplicationScope:  ScopeCell,
				DeduplicationWindow: 6 * time.Second,
			},
		},
		ClassThreads: []float64{1, 2, 2, 1, 1}, ClassIsBulkLoad: []bool{false, true, false, false, false},
		KindNames: []string{"std", "big"}, KindCores: []float64{8, 16},
		Rules: Rules{
			AnswerGrace:             20 * ms,
			DrainGrace:              time.Second,
			SlowStartFrom:           0.4,
			SlowStartDuration:       10 * time.Second,
			SlowStartOverloadFactor: 3,
			SlowStartWindow:         2 * time.Second,
			OrderSettleDelay:        500 * ms,
			HasRetryBudget:          true,
			RetryBudgetFree:         2,
			RetryBudgetRatio:        0.2,
			RetryBudgetWindow:       5 * time.Second,
		},
		MaxAttempts: 4, MaxRetryAfter: time.Second, MayCancel: true, MaySendRetryAfter: true, ProgressInterval: 2 * time.Second,
	}
}

// harness drives a gateway by hand and keeps its actions.
type harness struct {
	t           *testing.T
	g           *Gateway
	now         time.Duration
	lastActions []Action
}

func newHarness(t *testing.T, cfg Config, engines ...EngineInfo) *harness {
	t.Helper()
	g, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, g: g, now: time.Hour}
	b.advance(0, Event{Type: EngineListReceived, ListType: ListCached, Engines: engines})
	return b
}

// advance lets time pass, delivers events and returns the actions other than timers.
func (b *harness) advance(pass time.Duration, events ...Event) []Action {
	b.now += pass
	b.lastActions = b.lastActions[:0]
	for _, a := range b.g.Handle(b.now, events, nil) {
		if a.Type != SetTimer && a.Type != SetResources {
			b.lastActions = append(b.lastActions, a)
		}
	}
	return b.lastActions
}

func (b *harness) submit(id QueryID, class, key string) []Action {
	left := b.g.classes[class].Deadline
	return b.advance(
		0,
		Event{
			Type:              QueryArrived,
			Query:             id,
			Class:             class,
			Key:               key,
			RemainingDeadline: left,
			HasCostEstimate:   true,
			CostEstimate:      200 * ms,
		},
	)
}

func attemptDoneEvent(a Action, n int, o Outcome, took time.Duration) Event {
	return Event{
		Type:          AttemptDone,
		Query:         a.Query,
		Attempt:       n,
		Engine:        a.Engine,
		Outcome:       o,
		Elapsed:       took,
		QueryFinished: o == OutcomeOK,
	}
}

func standardEngine(id string) EngineInfo {
	return EngineInfo{ID: EngineID(id), Kind: "std", Zone: "a"}
}

func wantActions(t *testing.T, got []Action, types ...ActionType) {
	t.Helper()
	ok := len(got) == len(types)
	for i := 0; ok && i < len(got); i++ {
		ok = got[i].Type == types[i]
	}
	if !ok {
		t.Fatalf("got %+v, want action types %v", got, types)
	}
}

func TestRule1FinalAnswerBeforeDeadline(t *testing.T) {
	b := newHarness(t, allRulesConfig()) // no engine known: the query is held
	wantActions(t, b.submit(1, "short", ""))
	wantActions(t, b.advance(5*time.Second-10*ms, Event{Type: TimerFired, Label: 2}), Reject)
	wantActions(t, b.advance(ms, Event{Type: TimerFired, Label: 2}))
	wantActions(
		t,
		b.advance(
			ms,
			Event{
				Type:     EngineListReceived,
				ListType: ListComplete,
				Engines:  []EngineInfo{standardEngine("e1")},
			},
		),
	)
}

// TestRule1AnswersBeforeShutdown: one that is told when it ends answers all before, those it takes meanwhile
// as well.
func TestRule1AnswersBeforeShutdown(t *testing.T) {
	b := newHarness(t, allRulesConfig(), standardEngine("e1"))
	wantActions(t, b.submit(1, "short", ""), Send)
	sent := b.lastActions[0]
	b.advance(ms, Event{Type: ShutdownScheduled, RemainingDeadline: time.Second})
	wantActions(t, b.advance(400*ms, Event{Type: EngineListReceived, ListType: ListComplete}))
	wantActions(t, b.submit(2, "short", "")) // no engine is left: it is held while it may yet fit
	wantActions(
		t,
		b.advance(590*ms, Event{Type: TimerFired, Label: 2}, Event{Type: TimerFired, Label: 3}),
		Reject,
		Cancel,
		Reject,
	)
	wantActions(t, b.advance(ms, attemptDoneEvent(sent, 0, OutcomeCancelled, ms)))
	wantActions(
		t,
		b.advance(20*ms, Event{Type: QueryArrived, Query: 3, Class: "short", RemainingDeadline: time.Second}),
		Reject,
	)
}

func TestRule1NothingAfterQueryAbandoned(t *testing.T) {
	b := newHarness(t, allRulesConfig())
	wantActions(t, b.submit(1, "short", ""))
	wantActions(t, b.advance(ms, Event{Type: QueryAbandoned, Query: 1}))
	wantActions(
		t,
		b.advance(
			ms,
			Event{
				Type:     EngineListReceived,
				ListType: ListComplete,
				Engines:  []EngineInfo{standardEngine("e1")},
			},
		),
	)
	wantActions(t, b.submit(2, "short", ""), Send)
	sent := b.lastActions[0]
	b.advance(ms, Event{Type: QueryAbandoned, Query: 2})
	wantActions(t, b.advance(ms, attemptDoneEvent(sent, 0, OutcomeConnectionReset, ms)))
}

func TestRule1NoRemainingDeadline(t *testing.T) {
	b := newHarness(t, allRulesConfig(), standardEngine("e1"))
	for i, left := range []time.Duration{0, -time.Second} {
		wantActions(
			t,
			b.advance(
				0,
				Event{Type: QueryArrived, Query: QueryID(i + 1), Class: "short", RemainingDeadline: left},
			),
			Reject,
		)
	}
}

func TestRule2Retries(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome Outcome
		after   time.Duration
		want    ActionType
	}{
		{"short", OutcomeConnectionReset, ms, Send}, {"short", OutcomeFailed, 100 * ms, Send}, {"once", OutcomeRejected, ms, Send},
		{"once", OutcomeConnectFailed, ms, Send}, {"once", OutcomeConnectionReset, ms, Fail}, {"once", OutcomeFailed, ms, Fail},
		{"once", OutcomeTimedOut, ms, Fail}, {"load", OutcomeConnectionReset, ms, Send}, {"load", OutcomeConnectionReset, 3100 * ms, Reject},
		{"cell", OutcomeConnectionReset, 7 * time.Second, Fail}, {"short", OutcomeNotStarted, ms, Reject},
	} {
		t.Run(fmt.Sprint(c.class, c.outcome, c.after), func(t *testing.T) {
			b := newHarness(t, allRulesConfig(), standardEngine("e1"), standardEngine("e2"))
			wantActions(t, b.submit(1, c.class, ""), Send)
			wantActions(
				t,
				b.advance(c.after, attemptDoneEvent(b.lastActions[0], 0, c.outcome, c.after)),
				c.want,
			)
		})
	}
}

func TestRule2StaysInTheCell(t *testing.T) {
	e1, e2, e3 := standardEngine("e1"), standardEngine("e2"), standardEngine("e3")
	e1.Cell, e2.Cell, e3.Cell = 1, 2, 1
	b := newHarness(t, allRulesConfig(), e1, e2, e3)
	wantActions(t, b.submit(1, "cell", ""), Send)
	first := b.lastActions[0]
	wantActions(t, b.advance(ms, attemptDoneEvent(first, 0, OutcomeConnectionReset, ms)), Send)
	if cell := b.g.engines[b.lastActions[0].Engine].Cell; cell != b.g.engines[first.Engine].Cell {
		t.Errorf("sent again to cell %d", cell)
	}
}

func TestRule3NothingToADrainingEngine(t *testing.T) {
	e := standardEngine("e1")
	b := newHarness(t, allRulesConfig(), e)
	e.State = EngineDraining
	b.advance(ms, Event{Type: EngineListReceived, ListType: ListIncremental, Engines: []EngineInfo{e}})
	wantActions(t, b.submit(1, "short", ""))
	b.advance(ms, Event{Type: EngineListReceived, ListType: ListComplete})
	wantActions(t, b.submit(2, "short", ""))
}

func TestRule4WarmingEngineGetsItsShareOnly(t *testing.T) {
	cfg := allRulesConfig()
	e := standardEngine("e1")
	e.StartedAt = time.Hour - time.Second
	b := newHarness(t, cfg, e)
	sent := 0
	for i := range 200 {
		for _, a := range b.submit(QueryID(i+1), "short", "") {
			if a.Type == Send {
				sent++
				b.advance(
					0,
					attemptDoneEvent(a, 0, OutcomeOK, 10*ms),
				) // idle again at once: the idle rule must not go round
			}
		}
	}
	budget := cfg.Rules.SlowStartOverloadFactor * cfg.Rules.SlowStartFrom * 8 * capacityCPUShare * cfg.Rules.SlowStartWindow.Seconds() / 2
	if work := float64(sent) * 0.2; sent == 0 || work > budget {
		t.Errorf("sent %d queries, %.1f s of work, budget %.1f s", sent, work, budget)
	}
}

// TestRule4SlowStartSendExpires: a send to a cold engine must begin within half of its ration's window,
// one to a warm engine within its client's time only.
func TestRule4SlowStartSendExpires(t *testing.T) {
	cfg := allRulesConfig()
	cold, warm := standardEngine("e1"), standardEngine("e2")
	cold.StartedAt = time.Hour - time.Second
	b := newHarness(t, cfg, cold, warm)
	seen := map[EngineID]bool{}
	for i := range 50 {
		for _, a := range b.submit(QueryID(i+1), "short", "") {
			if a.Type != Send {
				continue
			}
			seen[a.Engine] = true
			want := time.Duration(0)
			if a.Engine == cold.ID {
				want = cfg.Rules.SlowStartWindow / 2
			}
			if a.StartWithin != want {
				t.Fatalf("a send to %s holds for %v, want %v", a.Engine, a.StartWithin, want)
			}
		}
	}
	if len(seen) != 2 {
		t.Errorf("sends went to %v alone", seen)
	}
}

func TestRule5OneAtATimeAndSettles(t *testing.T) {
	b := newHarness(t, allRulesConfig(), standardEngine("e1"), standardEngine("e2"))
	wantActions(t, b.submit(1, "load", "k"), Send)
	first := b.lastActions[0]
	wantActions(t, b.submit(2, "load", "k"))
	wantActions(t, b.submit(3, "load", "other"), Send)
	wantActions(
		t,
		b.advance(ms, Event{Type: QueryAbandoned, Query: 1}),
	) // over, but its attempt has no outcome yet
	wantActions(t, b.advance(ms, attemptDoneEvent(first, 0, OutcomeConnectionReset, ms)))
	wantActions(t, b.advance(499*ms, Event{Type: TimerFired}))
	wantActions(t, b.advance(2*ms, Event{Type: TimerFired}), Send)
}

func TestRule6PlacementWhenEngineRemoved(t *testing.T) {
	big := EngineInfo{ID: "e2", Kind: "big", Zone: "b"}
	b := newHarness(t, allRulesConfig(), standardEngine("e1"), EngineInfo{ID: "e3", Kind: "big", Zone: "a"},
		EngineInfo{ID: "e4", Kind: "std", Zone: "b"}, big)
	wantActions(t, b.submit(1, "bound", ""), Send)
	if b.lastActions[0].Engine != "e2" {
		t.Errorf("sent to %s", b.lastActions[0].Engine)
	}
	big.State = EngineRemoved
	b.advance(ms, Event{Type: EngineListReceived, ListType: ListIncremental, Engines: []EngineInfo{big}})
	wantActions(t, b.submit(2, "bound", ""))
}

func TestRule7RetryBudget(t *testing.T) {
	var engines []EngineInfo // one that turned work away rests for a while
	for i := range 20 {
		engines = append(engines, standardEngine(fmt.Sprintf("e%02d", i)))
	}
	b := newHarness(t, allRulesConfig(), engines...)
	further := 0
	for i := range 10 {
		b.submit(QueryID(i+1), "short", "")
		a := b.lastActions[0]
		for _, again := range b.advance(0, attemptDoneEvent(a, 0, OutcomeRejected, 0)) {
			if again.Type == Send {
				further++
				b.advance(0, attemptDoneEvent(again, 1, OutcomeOK, 100*ms))
			}
		}
	}
	if further == 0 || further > 2+10/5 {
		t.Errorf("%d further attempts for 10 queries", further)
	}
}

// TestRulesHoldOnRandomEvents feeds long random but legal sequences and checks every action by itself.
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
	maybeRanAt   time.Duration // sending of the first attempt that may have run
	maybeRanOn   EngineInfo
	maybeRan     bool
	sentAt       map[int]time.Duration
}

type ruleChecker struct {
	t              *testing.T
	r              *rand.Rand
	cfg            Config
	g              *Gateway
	now            time.Duration
	next           QueryID
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
	c := &ruleChecker{t: t, r: rand.New(rand.NewPCG(seed, 7)), cfg: allRulesConfig(), now: time.Hour, next: 1}
	c.cfg.PollEngineList = seed%2 == 1
	if seed%4 > 1 { // probes and reports, no come-back time, a shorter grace; many gateways, no rule on cold engines
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

// restart kills the gateway: all it held is void, and a new one knows the last list only.
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

func (c *ruleChecker) listEvent(how EngineListType) Event {
	ev := Event{Type: EngineListReceived, ListType: how}
	for i := range 5 {
		if e, ok := c.engines[EngineID(fmt.Sprint("e", i))]; ok && e.State != EngineRemoved {
			ev.Engines = append(ev.Engines, e)
		}
	}
	return ev
}

func (c *ruleChecker) play(steps int) {
	for range steps {
		c.passTicks(c.r.IntN(8))
		var events []Event
		switch n := c.r.IntN(100); {
		case n < 55:
			events = append(events, c.newQuery())
		case n < 88:
			events = append(events, c.outcome()...)
		case n < 94:
			events = append(events, c.engineChange())
		case n < 96 && len(c.ids) > 0:
			if q := c.queries[c.ids[c.r.IntN(len(c.ids))]]; !q.done {
				q.done = true
				events = append(events, Event{Type: QueryAbandoned, Query: c.idOf(q)})
			}
		case n == 96 && c.r.IntN(6) == 0:
			c.restart()
			continue
		default:
			events = append(events, c.strayEvent())
		}
		c.deliver(events...)
	}
	c.passTicks(6000) // nothing more comes: every query must end in time
	for id, q := range c.queries {
		if !q.done {
			c.t.Errorf("query %d was never answered", id)
		}
	}
}

// passTicks lets so many ticks pass and rings the timers that fall due.
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
	k := c.cfg.Classes[c.r.IntN(len(c.cfg.Classes))]
	q := &trackedQuery{
		class:    k,
		deadline: c.now + k.Deadline,
		inFlight: map[int]Action{},
		sentAt:   map[int]time.Duration{},
	}
	ev := Event{Type: QueryArrived, Query: c.next, Class: k.Name, RemainingDeadline: k.Deadline}
	if c.r.IntN(2) == 0 {
		ev.HasCostEstimate, ev.CostEstimate = true, time.Duration(c.r.IntN(2000))*ms
	}
	if k.OrderedByKey {
		q.key = fmt.Sprint("k", c.r.IntN(3))
		ev.Key = q.key
		c.order[q.key] = append(c.order[q.key], c.next)
	}
	c.queries[c.next] = q
	c.ids = append(c.ids, c.next)
	c.arrivals = append(c.arrivals, c.now)
	c.next++
	return ev
}

// outcome ends one running attempt in some way, now and then twice.
func (c *ruleChecker) outcome() []Event {
	for range 20 {
		if len(c.ids) == 0 {
			return nil
		}
		id := c.ids[c.r.IntN(len(c.ids))]
		q := c.queries[id]
		for n := range q.attemptCount {
			a, out := q.inFlight[n]
			if !out {
				continue
			}
			o := []Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeRejected, OutcomeConnectionReset, OutcomeConnectFailed}[c.r.IntN(7)]
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
		ActualCost:    time.Duration(c.r.IntN(900)) * ms,
	}
	ev.LoadReport, ev.HasLoadReport = c.loadReport()
	if c.r.IntN(10) == 0 {
		return []Event{ev, ev}
	}
	return []Event{ev}
}

// loadReport is what an engine tells of itself, at times odd, where the settings have reports.
func (c *ruleChecker) loadReport() ([]float64, bool) {
	if len(c.cfg.LoadReportFields) == 0 {
		return nil, false
	}
	return [][]float64{{3, 0, 0.4, 0.2}, {40, 2, 1, 3}, {1}, nil, {math.NaN(), -1, 1e300, math.Inf(1)}}[c.r.IntN(5)], true
}

func (c *ruleChecker) engineChange() Event {
	e := EngineInfo{ID: EngineID(fmt.Sprint("e", c.r.IntN(5))), Kind: "std", Zone: "a", Cell: c.r.IntN(2)}
	if old, ok := c.engines[e.ID]; ok {
		e = old
	} else if c.r.IntN(2) == 0 {
		e.Kind, e.Zone = "big", "b"
	}
	switch c.r.IntN(4) {
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
	if c.r.IntN(4) == 0 {
		return c.listEvent(ListComplete)
	}
	return Event{Type: EngineListReceived, ListType: ListIncremental, Engines: []EngineInfo{e}}
}

func (c *ruleChecker) strayEvent() Event {
	return []Event{
		{Type: AttemptDone, Query: 1 << 40, Outcome: OutcomeOK}, {Type: QueryAbandoned, Query: 1 << 41},
		{Type: ProgressReported, Query: 1 << 42, Note: NoteFractionDone}, {Type: HealthCheckDone, Engine: "nobody"},
		{Type: EngineListReceived, ListType: ListFailed}, {Type: TimerFired, Label: 1 << 43}, {Type: PeerMessageReceived, Peer: 9, Data: []byte("x")},
		{Type: MembershipChanged, Peer: c.r.IntN(2), Value: float64(c.cfg.GatewayCount * (1 + c.r.IntN(3))), Elapsed: c.now},
		{Type: MembershipChanged, Peer: 5, Value: 3}, {Type: MembershipChanged, Value: math.NaN()}, {Type: MembershipChanged},
		{Type: EngineReportedDown, Engine: EngineID(fmt.Sprint("e", c.r.IntN(9)))},
	}[c.r.IntN(12)]
}

// deliver hands events over and checks what the gateway does.
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
			c.t.Errorf("a probe where none is allowed")
		}
		ev := Event{
			Type:    HealthCheckDone,
			Engine:  a.Engine,
			Outcome: []Outcome{OutcomeOK, OutcomeTimedOut}[c.r.IntN(2)],
		}
		ev.LoadReport, ev.HasLoadReport = c.loadReport()
		return []Event{ev}
	case Reject, Fail:
		if a.Wait > 0 && !c.cfg.MaySendRetryAfter {
			c.t.Errorf("query %d refused with a come-back time where none is allowed", a.Query)
		}
		if q.done {
			c.t.Errorf("rule 1: query %d answered twice", a.Query)
		}
		if c.now > q.deadline+c.cfg.Rules.AnswerGrace {
			c.t.Errorf("rule 1: query %d answered %v late", a.Query, c.now-q.deadline)
		}
		maybe := q.maybeRan || len(q.inFlight) > 0
		if a.Type == Reject && maybe &&
			(q.class.Effect == NotIdempotent || q.class.Effect == IdempotentWithKey && q.class.DeduplicationScope != ScopeAll) {
			c.t.Errorf("rule 2: %s query %d refused though it may have run", q.class.Name, a.Query)
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
		c.t.Errorf("rule 2: query %d has two attempts out", a.Query)
	}
	if q.maybeRan && q.class.Effect == NotIdempotent {
		c.t.Errorf("rule 2: unsafe query %d sent again", a.Query)
	}
	if q.maybeRan && q.class.Effect == IdempotentWithKey {
		if c.now-q.maybeRanAt > q.class.DeduplicationWindow ||
			q.class.DeduplicationScope == ScopeCell && e.Cell != q.maybeRanOn.Cell {
			c.t.Errorf("rule 2: keyed query %d sent outside its window or cell", a.Query)
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
			c.t.Errorf("rule 4: %.1f s of work sent to a cold engine", sum)
		}
	}
	if q.key != "" {
		for _, id := range c.order[q.key] {
			o := c.queries[id]
			if id < a.Query && (!o.done || len(o.inFlight) > 0) {
				c.t.Errorf("rule 5: query %d overtakes %d", a.Query, id)
			}
		}
		if c.now < c.settlesAt[q.key] && q.attemptCount == 0 {
			c.t.Errorf("rule 5: query %d sent while its key rests", a.Query)
		}
	}
	if len(q.class.AllowedKinds) > 0 &&
		(e.Kind != q.class.AllowedKinds[0] || e.Zone != q.class.AllowedZones[0]) {
		c.t.Errorf("rule 6: query %d sent to kind %s in zone %s", a.Query, e.Kind, e.Zone)
	}
	if q.attemptCount > 0 {
		r := &c.cfg.Rules
		c.retries = append(c.retries, c.now)
		made, taken := 0, 0
		for _, at := range c.retries {
			if at > c.now-r.RetryBudgetWindow {
				made++
			}
		}
		for _, at := range c.arrivals {
			if at > c.now-r.RetryBudgetWindow {
				taken++
			}
		}
		if float64(made) > r.RetryBudgetFree+r.RetryBudgetRatio*float64(taken) {
			c.t.Errorf("rule 7: %d further attempts for %d queries", made, taken)
		}
	}
}
