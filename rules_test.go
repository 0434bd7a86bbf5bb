package cresspass

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// testConfig has a class of each effect, two kinds, two zones and all rules switched on.
func testConfig() Config {
	return Config{
		Seed: 1, Gateways: 2, Zone: "a", Tick: 5 * ms,
		Classes: []Class{
			{Name: "short", Aim: time.Second, AimStretch: 1, Deadline: 5 * time.Second, Worth: 1, Effect: Safe},
			{Name: "load", Aim: 4 * time.Second, AimStretch: 2, Deadline: 20 * time.Second, Worth: 5, LateValue: 0.5,
				Effect: Keyed, Window: 3 * time.Second, InOrder: true},
			{Name: "once", Aim: 4 * time.Second, Deadline: 20 * time.Second, Worth: 5, Effect: Unsafe},
			{Name: "bound", Aim: 2 * time.Second, Deadline: 9 * time.Second, Worth: 2, Effect: Safe,
				Kinds: []string{"big"}, Zones: []string{"b"}},
			{Name: "cell", Aim: 4 * time.Second, Deadline: 20 * time.Second, Worth: 5, Effect: Keyed,
				Scope: ScopeCell, Window: 6 * time.Second},
		},
		ClassThreads: []float64{1, 2, 2, 1, 1}, ClassLoads: []bool{false, true, false, false, false},
		KindNames: []string{"std", "big"}, KindCores: []float64{8, 16},
		Rules: Rules{AnswerGrace: 20 * ms, DrainGrace: time.Second, ColdFrom: 0.4, ColdFor: 10 * time.Second,
			ColdMultiple: 3, ColdWindow: 2 * time.Second, OrderRest: 500 * ms, HasBudget: true, BudgetFree: 2,
			BudgetShare: 0.2, BudgetLookBack: 5 * time.Second},
		MaxAttempts: 4, MaxComeBack: time.Second, MayCancel: true, MayComeBack: true, ProgressEvery: 2 * time.Second,
	}
}

// bench drives a gateway by hand and keeps its actions.
type bench struct {
	t    *testing.T
	g    *Gateway
	now  time.Duration
	last []Action
}

func newBench(t *testing.T, cfg Config, engines ...EngineInfo) *bench {
	t.Helper()
	g, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, g: g, now: time.Hour}
	b.at(0, Event{Type: EngineList, Listing: ListCached, Engines: engines})
	return b
}

// at lets time pass, delivers events and returns the actions other than timers.
func (b *bench) at(pass time.Duration, events ...Event) []Action {
	b.now += pass
	b.last = b.last[:0]
	for _, a := range b.g.Handle(b.now, events, nil) {
		if a.Type != SetTimer && a.Type != SetTerms {
			b.last = append(b.last, a)
		}
	}
	return b.last
}

func (b *bench) ask(id QueryID, class, key string) []Action {
	left := b.g.classes[class].Deadline
	return b.at(0, Event{Type: QueryTaken, Query: id, Class: class, Key: key, TimeLeft: left, HasCost: true, Cost: 200 * ms})
}

func ended(a Action, n int, o Outcome, took time.Duration) Event {
	return Event{Type: AttemptDone, Query: a.Query, Attempt: n, Engine: a.Engine, Outcome: o, Took: took, Finished: o == OK}
}

func std(id string) EngineInfo { return EngineInfo{ID: EngineID(id), Kind: "std", Zone: "a"} }

func want(t *testing.T, got []Action, types ...ActionType) {
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
	b := newBench(t, testConfig()) // no engine known: the query is held
	want(t, b.ask(1, "short", ""))
	want(t, b.at(5*time.Second-10*ms, Event{Type: TimerDue, Label: 2}), Refuse)
	want(t, b.at(ms, Event{Type: TimerDue, Label: 2}))
	want(t, b.at(ms, Event{Type: EngineList, Listing: ListFull, Engines: []EngineInfo{std("e1")}}))
}

// TestRule1AnswersBeforeTheEnd: one that is told when it ends answers all before, those it takes meanwhile
// as well.
func TestRule1AnswersBeforeTheEnd(t *testing.T) {
	b := newBench(t, testConfig(), std("e1"))
	want(t, b.ask(1, "short", ""), Send)
	sent := b.last[0]
	b.at(ms, Event{Type: Ending, TimeLeft: time.Second})
	want(t, b.at(400*ms, Event{Type: EngineList, Listing: ListFull}))
	want(t, b.ask(2, "short", "")) // no engine is left: it is held while it may yet fit
	want(t, b.at(590*ms, Event{Type: TimerDue, Label: 2}, Event{Type: TimerDue, Label: 3}), Refuse, Cancel, Refuse)
	want(t, b.at(ms, ended(sent, 0, Cancelled, ms)))
	want(t, b.at(20*ms, Event{Type: QueryTaken, Query: 3, Class: "short", TimeLeft: time.Second}), Refuse)
}

func TestRule1NothingAfterTheClientLeft(t *testing.T) {
	b := newBench(t, testConfig())
	want(t, b.ask(1, "short", ""))
	want(t, b.at(ms, Event{Type: ClientGone, Query: 1}))
	want(t, b.at(ms, Event{Type: EngineList, Listing: ListFull, Engines: []EngineInfo{std("e1")}}))
	want(t, b.ask(2, "short", ""), Send)
	sent := b.last[0]
	b.at(ms, Event{Type: ClientGone, Query: 2})
	want(t, b.at(ms, ended(sent, 0, Reset, ms)))
}

func TestRule1NoTimeLeft(t *testing.T) {
	b := newBench(t, testConfig(), std("e1"))
	for i, left := range []time.Duration{0, -time.Second} {
		want(t, b.at(0, Event{Type: QueryTaken, Query: QueryID(i + 1), Class: "short", TimeLeft: left}), Refuse)
	}
}

func TestRule2Repeats(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome Outcome
		after   time.Duration
		want    ActionType
	}{
		{"short", Reset, ms, Send}, {"short", Failed, 100 * ms, Send}, {"once", Full, ms, Send},
		{"once", ConnectFailed, ms, Send}, {"once", Reset, ms, Fail}, {"once", Failed, ms, Fail},
		{"once", TimedOut, ms, Fail}, {"load", Reset, ms, Send}, {"load", Reset, 3100 * ms, Refuse},
		{"cell", Reset, 7 * time.Second, Fail}, {"short", Moot, ms, Refuse},
	} {
		t.Run(fmt.Sprint(c.class, c.outcome, c.after), func(t *testing.T) {
			b := newBench(t, testConfig(), std("e1"), std("e2"))
			want(t, b.ask(1, c.class, ""), Send)
			want(t, b.at(c.after, ended(b.last[0], 0, c.outcome, c.after)), c.want)
		})
	}
}

func TestRule2StaysInTheCell(t *testing.T) {
	e1, e2, e3 := std("e1"), std("e2"), std("e3")
	e1.Cell, e2.Cell, e3.Cell = 1, 2, 1
	b := newBench(t, testConfig(), e1, e2, e3)
	want(t, b.ask(1, "cell", ""), Send)
	first := b.last[0]
	want(t, b.at(ms, ended(first, 0, Reset, ms)), Send)
	if cell := b.g.engines[b.last[0].Engine].Cell; cell != b.g.engines[first.Engine].Cell {
		t.Errorf("sent again to cell %d", cell)
	}
}

func TestRule3NothingToADrainingEngine(t *testing.T) {
	e := std("e1")
	b := newBench(t, testConfig(), e)
	e.State = EngineDraining
	b.at(ms, Event{Type: EngineList, Listing: ListChanges, Engines: []EngineInfo{e}})
	want(t, b.ask(1, "short", ""))
	b.at(ms, Event{Type: EngineList, Listing: ListFull})
	want(t, b.ask(2, "short", ""))
}

func TestRule4ColdEngineGetsItsPartOnly(t *testing.T) {
	cfg := testConfig()
	e := std("e1")
	e.Started = time.Hour - time.Second
	b := newBench(t, cfg, e)
	sent := 0
	for i := range 200 {
		for _, a := range b.ask(QueryID(i+1), "short", "") {
			if a.Type == Send {
				sent++
				b.at(0, ended(a, 0, OK, 10*ms)) // idle again at once: the idle rule must not go round
			}
		}
	}
	budget := cfg.Rules.ColdMultiple * cfg.Rules.ColdFrom * 8 * cpuShare * cfg.Rules.ColdWindow.Seconds() / 2
	if work := float64(sent) * 0.2; sent == 0 || work > budget {
		t.Errorf("sent %d queries, %.1f s of work, budget %.1f s", sent, work, budget)
	}
}

// TestRule4RationHoldsForAMoment: a send to a cold engine must begin within half of its ration's window,
// one to a warm engine within its client's time only.
func TestRule4RationHoldsForAMoment(t *testing.T) {
	cfg := testConfig()
	cold, warm := std("e1"), std("e2")
	cold.Started = time.Hour - time.Second
	b := newBench(t, cfg, cold, warm)
	seen := map[EngineID]bool{}
	for i := range 50 {
		for _, a := range b.ask(QueryID(i+1), "short", "") {
			if a.Type != Send {
				continue
			}
			seen[a.Engine] = true
			want := time.Duration(0)
			if a.Engine == cold.ID {
				want = cfg.Rules.ColdWindow / 2
			}
			if a.Within != want {
				t.Fatalf("a send to %s holds for %v, want %v", a.Engine, a.Within, want)
			}
		}
	}
	if len(seen) != 2 {
		t.Errorf("sends went to %v alone", seen)
	}
}

func TestRule5OneAtATimeAndRest(t *testing.T) {
	b := newBench(t, testConfig(), std("e1"), std("e2"))
	want(t, b.ask(1, "load", "k"), Send)
	first := b.last[0]
	want(t, b.ask(2, "load", "k"))
	want(t, b.ask(3, "load", "other"), Send)
	want(t, b.at(ms, Event{Type: ClientGone, Query: 1})) // over, but its attempt has no outcome yet
	want(t, b.at(ms, ended(first, 0, Reset, ms)))
	want(t, b.at(499*ms, Event{Type: TimerDue}))
	want(t, b.at(2*ms, Event{Type: TimerDue}), Send)
}

func TestRule6PlacementEvenWhenGone(t *testing.T) {
	big := EngineInfo{ID: "e2", Kind: "big", Zone: "b"}
	b := newBench(t, testConfig(), std("e1"), EngineInfo{ID: "e3", Kind: "big", Zone: "a"},
		EngineInfo{ID: "e4", Kind: "std", Zone: "b"}, big)
	want(t, b.ask(1, "bound", ""), Send)
	if b.last[0].Engine != "e2" {
		t.Errorf("sent to %s", b.last[0].Engine)
	}
	big.State = EngineGone
	b.at(ms, Event{Type: EngineList, Listing: ListChanges, Engines: []EngineInfo{big}})
	want(t, b.ask(2, "bound", ""))
}

func TestRule7BudgetOfFurtherAttempts(t *testing.T) {
	var engines []EngineInfo // one that turned work away rests for a while
	for i := range 20 {
		engines = append(engines, std(fmt.Sprintf("e%02d", i)))
	}
	b := newBench(t, testConfig(), engines...)
	further := 0
	for i := range 10 {
		b.ask(QueryID(i+1), "short", "")
		a := b.last[0]
		for _, again := range b.at(0, ended(a, 0, Full, 0)) {
			if again.Type == Send {
				further++
				b.at(0, ended(again, 1, OK, 100*ms))
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
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newChecker(t, seed).play(1500) })
	}
}

type tracked struct {
	class    Class
	key      string
	deadline time.Duration
	over     bool
	tries    int
	out      map[int]Action
	doubtAt  time.Duration // sending of the first attempt that may have run
	doubtOn  EngineInfo
	doubtful bool
	sentAt   map[int]time.Duration
}

type checker struct {
	t       *testing.T
	r       *rand.Rand
	cfg     Config
	g       *Gateway
	now     time.Duration
	next    QueryID
	queries map[QueryID]*tracked
	ids     []QueryID
	engines map[EngineID]EngineInfo
	order   map[string][]QueryID
	rest    map[string]time.Duration
	taken   []time.Duration
	further []time.Duration
	timers  []Event
	due     []time.Duration
	classes map[string]Class
	cold    map[EngineID][]spent
}

func newChecker(t *testing.T, seed uint64) *checker {
	c := &checker{t: t, r: rand.New(rand.NewPCG(seed, 7)), cfg: testConfig(), now: time.Hour, next: 1}
	c.cfg.AskList = seed%2 == 1
	if seed%4 > 1 { // probes and reports, no come-back time, a shorter grace; many gateways, no rule on cold engines
		c.cfg.MayProbe, c.cfg.ReportFields = true, []string{"concurrent", "depth", "load_share", "x0"}
		c.cfg.WhenShort, c.cfg.KindMemoryMB, c.cfg.TellsCost = ShortagePage, []float64{8192, 16384}, true
		c.cfg.MayComeBack, c.cfg.Rules.DrainGrace, c.cfg.Rules.ColdFor = false, 250*ms, 0
		c.cfg.Gateways, c.cfg.ProgressEvery = 20, 0
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
func (c *checker) restart() {
	g, err := New(c.cfg)
	if err != nil {
		c.t.Fatal(err)
	}
	c.g, c.queries, c.ids, c.order = g, map[QueryID]*tracked{}, nil, map[string][]QueryID{}
	c.cold = map[EngineID][]spent{}
	c.rest, c.taken, c.further, c.timers, c.due = map[string]time.Duration{}, nil, nil, nil, nil
	c.deliver(c.list(ListCached))
}

func (c *checker) list(how Listing) Event {
	ev := Event{Type: EngineList, Listing: how}
	for i := range 5 {
		if e, ok := c.engines[EngineID(fmt.Sprint("e", i))]; ok && e.State != EngineGone {
			ev.Engines = append(ev.Engines, e)
		}
	}
	return ev
}

func (c *checker) play(steps int) {
	for range steps {
		c.pass(c.r.IntN(8))
		var events []Event
		switch n := c.r.IntN(100); {
		case n < 55:
			events = append(events, c.newQuery())
		case n < 88:
			events = append(events, c.outcome()...)
		case n < 94:
			events = append(events, c.change())
		case n < 96 && len(c.ids) > 0:
			if q := c.queries[c.ids[c.r.IntN(len(c.ids))]]; !q.over {
				q.over = true
				events = append(events, Event{Type: ClientGone, Query: c.idOf(q)})
			}
		case n == 96 && c.r.IntN(6) == 0:
			c.restart()
			continue
		default:
			events = append(events, c.stray())
		}
		c.deliver(events...)
	}
	c.pass(6000) // nothing more comes: every query must end in time
	for id, q := range c.queries {
		if !q.over {
			c.t.Errorf("query %d was never answered", id)
		}
	}
}

// pass lets so many ticks pass and rings the timers that fall due.
func (c *checker) pass(ticks int) {
	for range ticks {
		c.now += c.cfg.Tick
		var events []Event
		for i := 0; i < len(c.due); i++ {
			if c.due[i] <= c.now {
				events = append(events, c.timers[i])
				c.timers, c.due = append(c.timers[:i], c.timers[i+1:]...), append(c.due[:i], c.due[i+1:]...)
				i--
			}
		}
		if len(events) > 0 {
			c.deliver(events...)
		}
	}
}

func (c *checker) idOf(q *tracked) QueryID {
	for id, v := range c.queries {
		if v == q {
			return id
		}
	}
	return 0
}

func (c *checker) newQuery() Event {
	k := c.cfg.Classes[c.r.IntN(len(c.cfg.Classes))]
	q := &tracked{class: k, deadline: c.now + k.Deadline, out: map[int]Action{}, sentAt: map[int]time.Duration{}}
	ev := Event{Type: QueryTaken, Query: c.next, Class: k.Name, TimeLeft: k.Deadline}
	if c.r.IntN(2) == 0 {
		ev.HasCost, ev.Cost = true, time.Duration(c.r.IntN(2000))*ms
	}
	if k.InOrder {
		q.key = fmt.Sprint("k", c.r.IntN(3))
		ev.Key = q.key
		c.order[q.key] = append(c.order[q.key], c.next)
	}
	c.queries[c.next] = q
	c.ids = append(c.ids, c.next)
	c.taken = append(c.taken, c.now)
	c.next++
	return ev
}

// outcome ends one running attempt in some way, now and then twice.
func (c *checker) outcome() []Event {
	for range 20 {
		if len(c.ids) == 0 {
			return nil
		}
		id := c.ids[c.r.IntN(len(c.ids))]
		q := c.queries[id]
		for n := range q.tries {
			a, out := q.out[n]
			if !out {
				continue
			}
			o := []Outcome{OK, OK, OK, Failed, Full, Reset, ConnectFailed}[c.r.IntN(7)]
			return c.end(id, q, n, a, o)
		}
	}
	return nil
}

func (c *checker) end(id QueryID, q *tracked, n int, a Action, o Outcome) []Event {
	delete(q.out, n)
	if !o.NeverRan() && (!q.doubtful || q.sentAt[n] < q.doubtAt) {
		q.doubtful, q.doubtAt, q.doubtOn = true, q.sentAt[n], c.engines[a.Engine]
	}
	if q.key != "" && (o == Reset || o == TimedOut || o == Cancelled) {
		c.rest[q.key] = max(c.rest[q.key], c.now+c.cfg.Rules.OrderRest)
	}
	if o == OK {
		q.over = true
	}
	ev := Event{Type: AttemptDone, Query: id, Attempt: n, Engine: a.Engine, Outcome: o, Took: c.now - q.sentAt[n], Finished: q.over,
		WorkDone: time.Duration(c.r.IntN(900)) * ms}
	ev.Report, ev.HasReport = c.report()
	if c.r.IntN(10) == 0 {
		return []Event{ev, ev}
	}
	return []Event{ev}
}

// report is what an engine tells of itself, at times odd, where the settings have reports.
func (c *checker) report() ([]float64, bool) {
	if len(c.cfg.ReportFields) == 0 {
		return nil, false
	}
	return [][]float64{{3, 0, 0.4, 0.2}, {40, 2, 1, 3}, {1}, nil, {math.NaN(), -1, 1e300, math.Inf(1)}}[c.r.IntN(5)], true
}

func (c *checker) change() Event {
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
		e.State = EngineGone
	default:
		if e.State != EngineOn || e.Kind == "" {
			e.Started = c.now
		}
		e.State = EngineOn
	}
	c.engines[e.ID] = e
	if c.r.IntN(4) == 0 {
		return c.list(ListFull)
	}
	return Event{Type: EngineList, Listing: ListChanges, Engines: []EngineInfo{e}}
}

func (c *checker) stray() Event {
	return []Event{
		{Type: AttemptDone, Query: 1 << 40, Outcome: OK}, {Type: ClientGone, Query: 1 << 41},
		{Type: Progress, Query: 1 << 42, Note: NoteShareDone}, {Type: ProbeDone, Engine: "nobody"},
		{Type: EngineList, Listing: ListFailed}, {Type: TimerDue, Label: 1 << 43}, {Type: PeerMessage, Peer: 9, Data: []byte("x")},
		{Type: FleetCount, Peer: c.r.IntN(2), Value: float64(c.cfg.Gateways * (1 + c.r.IntN(3))), Took: c.now},
		{Type: FleetCount, Peer: 5, Value: 3}, {Type: FleetCount, Value: math.NaN()}, {Type: FleetCount},
		{Type: EngineDown, Engine: EngineID(fmt.Sprint("e", c.r.IntN(9)))},
	}[c.r.IntN(12)]
}

// deliver hands events over and checks what the gateway does.
func (c *checker) deliver(events ...Event) {
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

func (c *checker) check(a Action) []Event {
	q := c.queries[a.Query]
	switch a.Type {
	case SetTimer:
		c.timers, c.due = append(c.timers, Event{Type: TimerDue, Label: a.Label}), append(c.due, c.now+a.Wait)
	case Send:
		c.checkSend(a, q)
		q.out[q.tries], q.sentAt[q.tries] = a, c.now
		q.tries++
	case Probe:
		if !c.cfg.MayProbe {
			c.t.Errorf("a probe where none is allowed")
		}
		ev := Event{Type: ProbeDone, Engine: a.Engine, Outcome: []Outcome{OK, TimedOut}[c.r.IntN(2)]}
		ev.Report, ev.HasReport = c.report()
		return []Event{ev}
	case Refuse, Fail:
		if a.Wait > 0 && !c.cfg.MayComeBack {
			c.t.Errorf("query %d refused with a come-back time where none is allowed", a.Query)
		}
		if q.over {
			c.t.Errorf("rule 1: query %d answered twice", a.Query)
		}
		if c.now > q.deadline+c.cfg.Rules.AnswerGrace {
			c.t.Errorf("rule 1: query %d answered %v late", a.Query, c.now-q.deadline)
		}
		maybe := q.doubtful || len(q.out) > 0
		if a.Type == Refuse && maybe && (q.class.Effect == Unsafe || q.class.Effect == Keyed && q.class.Scope != ScopeAll) {
			c.t.Errorf("rule 2: %s query %d refused though it may have run", q.class.Name, a.Query)
		}
		q.over = true
	case Cancel:
		if out, ok := q.out[a.Attempt]; ok {
			return c.end(a.Query, q, a.Attempt, out, Cancelled)
		}
	}
	return nil
}

func (c *checker) checkSend(a Action, q *tracked) {
	e := c.engines[a.Engine]
	if q.over || c.now > q.deadline {
		c.t.Errorf("rule 1: query %d sent after its end", a.Query)
	}
	if len(q.out) > 0 {
		c.t.Errorf("rule 2: query %d has two attempts out", a.Query)
	}
	if q.doubtful && q.class.Effect == Unsafe {
		c.t.Errorf("rule 2: unsafe query %d sent again", a.Query)
	}
	if q.doubtful && q.class.Effect == Keyed {
		if c.now-q.doubtAt > q.class.Window || q.class.Scope == ScopeCell && e.Cell != q.doubtOn.Cell {
			c.t.Errorf("rule 2: keyed query %d sent outside its window or cell", a.Query)
		}
	}
	if e.State != EngineOn {
		c.t.Errorf("rule 3: query %d sent to an engine in state %v", a.Query, e.State)
	}
	if r := &c.cfg.Rules; e.Started > 0 && c.now < e.Started+r.ColdFor {
		c.cold[e.ID] = append(c.cold[e.ID], spent{c.now, c.g.classes[q.class.Name].work})
		sum, cores := 0.0, map[string]float64{"std": 8, "big": 16}[e.Kind]
		for _, s := range c.cold[e.ID] {
			if s.at > c.now-r.ColdWindow {
				sum += s.work
			}
		}
		if sum > r.ColdMultiple*r.ColdFrom*cores*0.85*r.ColdWindow.Seconds()/float64(c.cfg.Gateways) {
			c.t.Errorf("rule 4: %.1f s of work sent to a cold engine", sum)
		}
	}
	if q.key != "" {
		for _, id := range c.order[q.key] {
			o := c.queries[id]
			if id < a.Query && (!o.over || len(o.out) > 0) {
				c.t.Errorf("rule 5: query %d overtakes %d", a.Query, id)
			}
		}
		if c.now < c.rest[q.key] && q.tries == 0 {
			c.t.Errorf("rule 5: query %d sent while its key rests", a.Query)
		}
	}
	if len(q.class.Kinds) > 0 && (e.Kind != q.class.Kinds[0] || e.Zone != q.class.Zones[0]) {
		c.t.Errorf("rule 6: query %d sent to kind %s in zone %s", a.Query, e.Kind, e.Zone)
	}
	if q.tries > 0 {
		r := &c.cfg.Rules
		c.further = append(c.further, c.now)
		made, taken := 0, 0
		for _, at := range c.further {
			if at > c.now-r.BudgetLookBack {
				made++
			}
		}
		for _, at := range c.taken {
			if at > c.now-r.BudgetLookBack {
				taken++
			}
		}
		if float64(made) > r.BudgetFree+r.BudgetShare*float64(taken) {
			c.t.Errorf("rule 7: %d further attempts for %d queries", made, taken)
		}
	}
}
