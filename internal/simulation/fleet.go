package simulation

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/modelstate"
	"cresspass/internal/membership/observation"
	"cresspass/internal/simulation/enginemodel"
)

// GossipMode says what dispatchers have of one another.
type GossipMode int

// The ways.
const (
	NoGossip           GossipMode = iota // nothing is said; the settings' ordinal and count stand
	GossipOnly                           // they talk; one that begins does so from nothing
	GossipAndBootstrap                   // they talk, and one that begins asks for what others have learnt
)

func (t GossipMode) String() string { return [...]string{"silent", "talking", "newcomers"}[t] }

// Traffic is what clients of one class ask.
type Traffic struct {
	Class              string
	Rate               float64 // queries a second, of all dispatchers together
	Work               float64 // mean thread seconds
	Spread             float64 // sigma of the logarithm of the work
	Threads            float64
	Repeats            int  // a refused query comes again so many times
	Keys               int  // queries carry one of so many keys; 0: none
	Tables             int  // and one of so many table groups
	Loads              bool // it holds its tables
	NeedMB             float64
	CostEstimateFactor float64 // its cost is told as this times its work, roughly; 0: it is not
}

// Engine is an engine as it stands in the list, and its machine.
type Engine struct {
	Kind, Zone string
	Cell       int
	Machine    enginemodel.Kind
}

// UniformEngines returns so many engines of one kind and machine.
func UniformEngines(n int, kind string, m enginemodel.Kind) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{Kind: kind, Zone: "a", Cell: i / 4, Machine: m}
	}
	return out
}

// Replay is one client as it was recorded. Its class's traffic says what else it is like.
type Replay struct {
	At           time.Duration
	Traffic      int // of the config's
	Dispatcher   int
	Work         float64
	CostEstimate float64 // thread seconds; 0: not told
	Key          string
}

// Restart is dispatchers that end and come back.
type Restart struct {
	At, After    time.Duration
	Dispatchers  []int
	WithoutState bool // without what they had learnt; else with it
}

// Config describes a fleet and its day.
type Config struct {
	Seed        uint64
	Dispatchers int
	Engines     []Engine
	Policy      string // "" is the module; else a baseline, see Policies
	// Decide makes each dispatcher's decisions at the beginning of a life; nil: Policy's. What it returns may
	// have a Retire, which is called when that life ends.
	Decide      func(cfg *cresspass.Config, now time.Duration) (dispatch.Decider, error)
	Module      cresspass.Config
	Traffic     []Traffic
	Length      time.Duration
	Gossip      GossipMode
	Byzantine   int // the first so many tell lies, as well as what they do
	Network     NetworkConditions
	Restarts    []Restart
	Faults      []Fault
	TransitTime time.Duration // from a dispatcher to an engine, one way
	ListDelay   time.Duration // a change of engines reaches dispatchers so much later
	ReportDelay time.Duration // engines' reports are so old
	Imbalance   float64       // share of all clients that the busiest tenth has; 0: all alike
	OmitLoads   bool          // only tries are kept, not how engines stood
	Workers     int           // cores that a run may use; 0: all
	Replay      []Replay      // clients that come as they were recorded, besides those of the traffic
}

// End is how a try ended.
type End int

// The ends.
const (
	Served End = iota
	Rejected
	Failed
	Abandoned // its client did; not in the model
)

// Request is a try of a client, once it has ended.
type Request struct {
	Class      int
	Dispatcher int
	At         time.Duration // when the client first asked
	Elapsed    time.Duration
	End        End
	Late       bool // after its class's aim
}

// LoadSample is how the engines stood.
type LoadSample struct {
	At      time.Duration
	Threads []float64 // threads a core, by engine
}

// Result is what a day came to.
type Result struct {
	Requests     []Request
	Loads        []LoadSample
	Events       uint64
	Stats        []gossip.Stats
	Violations   RuleViolations
	OpenRequests []float64 // queries that had no answer, at even times
}

// Fleet is a fleet that runs. Make one with NewFleet.
type Fleet struct {
	cfg           Config
	queue         *Queue
	members       *Members
	engines       []*engine
	dispatchers   []*dispatcher
	random        *rand.Rand
	lastRequestID uint64
	result        Result
	byID          map[cresspass.EngineID]*engine
	openRequests  int // queries without an answer
	load          struct{ burst, tail, hot float64 }
	hotDispatcher int
	shift         *Fault
	independent   bool          // dispatchers decide by what they hear alone
	reportDelay   time.Duration // reports, by a trouble
	listDelay     time.Duration
}

type engine struct {
	Engine
	number    int
	id        cresspass.EngineID
	state     cresspass.EngineState
	up        bool
	startedAt time.Duration
	listedAt  time.Duration // when its dispatchers were told of its present state
	faults    engineFaults
	reports   []loadReport
	arrivals  []arrival
	model     *enginemodel.Model
	jobs      map[*enginemodel.Running]*job
	nextEvent time.Duration // the event that is set
}

type job struct {
	dispatcher  *dispatcher
	incarnation uint64
	query       cresspass.QueryID
	attempt     int
	sentAt      time.Duration
	running     *enginemodel.Running
	engine      *engine
}

type dispatcher struct {
	fleet              *Fleet
	number             int
	up                 bool
	incarnation        uint64
	epoch              time.Duration
	core               *dispatch.Core
	decider            dispatch.Decider
	nextWakeup         time.Duration
	member             *Member
	requests           map[cresspass.QueryID]*request
	jobs               map[jobKey]*job
	zone               string
	retryTimes         []time.Duration // further attempts
	acceptTimes        []time.Duration
	snapshot           []byte // what it had learnt when it ended
	stoppedAt          time.Duration
	bootstrapRequested bool // it waits for what others have learnt
	waiting            []*request
	pendingOutputs     []dispatch.Output // of steps, not carried out yet
}

type jobKey struct {
	query   cresspass.QueryID
	attempt int
}

// request is a client's query.
type request struct {
	id           cresspass.QueryID
	traffic      int
	class        *cresspass.Class
	firstArrival time.Duration
	work         float64
	key          string
	tableGroup   int
	costEstimate float64 // thread seconds; 0: not told
	attempts     int
	done         bool
}

// NewFleet returns a fleet that has not begun.
func NewFleet(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, queue: &Queue{}, random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		byID: map[cresspass.EngineID]*engine{}}
	if cfg.Dispatchers < 1 || len(cfg.Engines) == 0 {
		return nil, fmt.Errorf("model: %d dispatchers, %d engines", cfg.Dispatchers, len(cfg.Engines))
	}
	f.load.burst, f.load.tail, f.hotDispatcher = 1, 1, -1
	f.independent = cfg.Policy == "" && cfg.Decide == nil
	f.queue.Workers(cfg.Workers)
	for _, t := range cfg.Traffic {
		if f.class(t.Class) == nil {
			return nil, fmt.Errorf("model: traffic of %q: there is no such class", t.Class)
		}
	}
	cores := map[cresspass.EngineID]float64{}
	for i, spec := range cfg.Engines {
		if !slices.Contains(cfg.Module.KindNames, spec.Kind) {
			return nil, fmt.Errorf("model: engine %d: there is no kind %q", i, spec.Kind)
		}
		e := &engine{Engine: spec, number: i, id: engineID(i), up: true,
			model: enginemodel.New(spec.Machine, 0, false),
			jobs:  map[*enginemodel.Running]*job{}, nextEvent: math.MaxInt64}
		f.engines, f.byID[e.id] = append(f.engines, e), e
		cores[e.id] = spec.Machine.Cores
	}
	threads := 1.0
	for _, n := range cfg.Module.ClassThreads {
		threads = max(threads, n)
	}
	f.members = NewMembers(f.queue, cfg.Seed, cfg.Dispatchers, cfg.Network, DefaultDetection(),
		GossipConfig(cfg.Dispatchers, threads), func(t *gossip.Node) { t.SetEngines(cores) })
	for i := range cfg.Dispatchers {
		d := &dispatcher{fleet: f, number: i, zone: zoneOf(cfg.Engines, i)}
		f.dispatchers = append(f.dispatchers, d)
		if err := d.start(0, true); err != nil {
			return nil, err
		}
	}
	for i := range cfg.Traffic {
		f.startArrivals(i)
	}
	for i := range cfg.Replay {
		r := &cfg.Replay[i]
		if r.Traffic < 0 || r.Traffic >= len(cfg.Traffic) {
			return nil, fmt.Errorf("model: replay %d: there is no traffic %d", i, r.Traffic)
		}
	}
	f.scheduleReplay(0)
	for _, r := range cfg.Restarts {
		f.queue.At(r.At, func() { f.restartDispatchers(r) })
	}
	for _, t := range cfg.Faults {
		if err := f.scheduleFault(t); err != nil {
			return nil, err
		}
	}
	for i := range cfg.Byzantine {
		f.forgeMessage(f.dispatchers[i])
	}
	f.sampleLoads()
	return f, nil
}

func (f *Fleet) class(name string) *cresspass.Class {
	for i := range f.cfg.Module.Classes {
		if f.cfg.Module.Classes[i].Name == name {
			return &f.cfg.Module.Classes[i]
		}
	}
	return nil
}

// Run plays the day to its end.
func (f *Fleet) Run() *Result {
	f.queue.Run(f.cfg.Length)
	f.result.Events = f.queue.Executed()
	for _, d := range f.dispatchers {
		if d.member != nil {
			f.result.Stats = append(f.result.Stats, d.member.Node.Stats())
		}
	}
	return &f.result
}

// startArrivals has clients of one kind come. Danger: all that is drawn for them comes from a stream of their
// own, so that two ways of deciding are compared on the same clients.
func (f *Fleet) startArrivals(i int) {
	t := &f.cfg.Traffic[i]
	r := rand.New(rand.NewPCG(f.cfg.Seed, uint64(100+i)))
	class := f.class(t.Class)
	var next func()
	next = func() {
		if t.Rate <= 0 {
			return
		}
		f.queue.In(time.Duration(r.ExpFloat64()/(t.Rate*f.rateFactor(t.Class))*float64(time.Second)), func() {
			a := &request{traffic: i, class: class, firstArrival: f.queue.Now(),
				work: t.Work * math.Exp(t.Spread*r.NormFloat64()-t.Spread*t.Spread/2)}
			if r.Float64() < 0.05 {
				a.work *= f.load.tail
			}
			if t.Keys > 0 {
				a.key = fmt.Sprint(t.Class, " ", r.IntN(t.Keys))
			}
			if t.Tables > 0 {
				a.tableGroup = 1 + r.IntN(t.Tables)
			}
			if a.costEstimate = t.CostEstimateFactor * a.work * math.Exp(0.2*r.NormFloat64()); t.CostEstimateFactor == 0 {
				a.costEstimate = 0
			}
			f.handleArrival(a, f.pickDispatcher(r))
			next()
		})
	}
	next()
}

// scheduleReplay has recorded clients come, one after another.
func (f *Fleet) scheduleReplay(i int) {
	if i >= len(f.cfg.Replay) {
		return
	}
	r := &f.cfg.Replay[i]
	f.queue.At(r.At, func() {
		f.handleArrival(
			&request{traffic: r.Traffic, class: f.class(f.cfg.Traffic[r.Traffic].Class), firstArrival: f.queue.Now(),
				work: r.Work, costEstimate: r.CostEstimate, key: r.Key},
			r.Dispatcher%len(f.dispatchers),
		)
		f.scheduleReplay(i + 1)
	})
}

// handleArrival has a client ask a dispatcher; where it is down, the next one that is not.
func (f *Fleet) handleArrival(a *request, at int) {
	if a.attempts == 0 {
		f.openRequests++
	}
	for range f.dispatchers {
		if d := f.dispatchers[at]; d.up {
			d.admit(a)
			return
		}
		at = (at + 1) % len(f.dispatchers)
	}
	f.finishRequest(a, f.dispatchers[at], Failed, 0)
}

// finishRequest is a client's answer.
func (f *Fleet) finishRequest(a *request, d *dispatcher, how End, back time.Duration) {
	if a.done {
		return
	}
	t := &f.cfg.Traffic[a.traffic]
	left := a.class.Deadline - (f.queue.Now() - a.firstArrival)
	if a.attempts++; how == Rejected && a.attempts <= t.Repeats && back > 0 && left > 2*back {
		// As clients do, not all at the same moment.
		f.queue.In(
			back+time.Duration(f.random.Float64()*float64(back)/2),
			func() { f.handleArrival(a, d.number) },
		)
		return
	}
	a.done = true
	f.openRequests--
	took := f.queue.Now() - a.firstArrival
	if took > a.class.Deadline+f.cfg.Module.Rules.AnswerGrace+lateTolerance {
		f.result.Violations.LateAnswers++
	}
	f.result.Requests = append(
		f.result.Requests,
		Request{Class: a.traffic, Dispatcher: d.number, At: a.firstArrival, Elapsed: took,
			End:  how,
			Late: took > a.class.LatencyObjective},
	)
}

// sampleLoads keeps how the engines stand, twice a second.
func (f *Fleet) sampleLoads() {
	f.result.OpenRequests = append(f.result.OpenRequests, float64(f.openRequests))
	if !f.cfg.OmitLoads {
		l := LoadSample{At: f.queue.Now()}
		for _, e := range f.engines {
			l.Threads = append(l.Threads, e.model.Threads()/e.Machine.Cores)
		}
		f.result.Loads = append(f.result.Loads, l)
	}
	f.queue.In(500*time.Millisecond, f.sampleLoads)
}

// restartDispatchers has dispatchers end, and come back.
func (f *Fleet) restartDispatchers(r Restart) {
	var gone []*dispatcher
	for _, i := range r.Dispatchers {
		if d := f.dispatchers[i]; d.up { // another trouble may have ended it
			d.stop()
			gone = append(gone, d)
		}
	}
	f.queue.In(r.After, func() {
		for _, d := range gone {
			if d.up {
				continue
			}
			if r.WithoutState {
				d.snapshot = nil
			}
			d.start(f.queue.Now(), false)
		}
	})
}

// start begins a dispatcher's life.
func (d *dispatcher) start(now time.Duration, first bool) error {
	f := d.fleet
	d.incarnation++
	life := d.incarnation
	d.up, d.epoch, d.nextWakeup = true, now-clockStart, math.MaxInt64
	d.requests, d.jobs, d.waiting = map[cresspass.QueryID]*request{}, map[jobKey]*job{}, nil
	cfg := f.cfg.Module
	cfg.Ordinal, cfg.GatewayCount, cfg.Seed = d.number, f.cfg.Dispatchers, f.cfg.Seed+uint64(
		d.number,
	)+1000*d.incarnation
	cfg.MayGossip = f.cfg.Gossip != NoGossip
	g, err := newDecider(f, &cfg, d.clock())
	if err != nil {
		return err
	}
	d.decider = g
	d.retryTimes, d.acceptTimes = nil, nil
	d.core = dispatch.NewCoreWithDecider(g, cfg, d.clock())
	if f.cfg.Gossip != NoGossip {
		wait := time.Duration(0)
		if f.cfg.Gossip == GossipAndBootstrap && !first {
			wait = time.Second
		}
		d.bootstrapRequested = wait > 0
		d.member = f.members.All[d.number]
		d.member.HandleAction = d.handleGossip
		f.members.Start(d.number, d.number, wait)
		d.saveSnapshots(life)
	}
	if !d.bootstrapRequested {
		d.bootstrap()
	}
	return nil
}

// bootstrap has it take clients.
func (d *dispatcher) bootstrap() {
	f := d.fleet
	d.bootstrapRequested = false
	cfg := &f.cfg.Module
	if d.member != nil {
		var names []string
		for _, c := range cfg.Classes {
			names = append(names, c.Name)
		}
		age := time.Duration(0)
		now := d.member.now(f.queue)
		data := modelstate.Assemble(names, cfg.KindNames, func(name string) (float64, bool) {
			b, ok := d.member.Node.Store().InitialParameter(now, name)
			age = max(age, b.Age)
			return b.Value, ok
		})
		if data != nil {
			d.core.Restore(data, age)
		}
	}
	if d.snapshot != nil {
		d.core.Restore(d.snapshot, f.queue.Now()-d.stoppedAt)
	}
	d.step(d.engineListEvent(f.engineList()))
	for _, a := range d.waiting {
		d.admit(a)
	}
	d.waiting = nil
}

// memberID it is in the order of events of one time.
func (d *dispatcher) memberID() uint64 { return uint64(d.number) + 1 }

func (d *dispatcher) clock() time.Duration { return d.fleet.queue.Now() - d.epoch }

// stop ends its life: what it runs ends with its connections, and its clients' connections break.
func (d *dispatcher) stop() {
	f := d.fleet
	d.up = false
	d.snapshot, d.stoppedAt = d.core.Snapshot(), f.queue.Now()
	if r, ok := d.decider.(interface{ Retire(now time.Duration) }); ok {
		r.Retire(d.clock())
	}
	var jobs []*job
	for _, j := range d.jobs {
		jobs = append(jobs, j)
	}
	// Danger: a map's order is chance that comes from no seed.
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.query, b.query), cmp.Compare(a.attempt, b.attempt))
	})
	for _, j := range jobs {
		d.withdraw(j)
	}
	var open []*request
	for _, a := range d.requests {
		open = append(open, a)
	}
	slices.SortFunc(open, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	for _, a := range append(open, d.waiting...) {
		f.finishRequest(a, d, Failed, 0)
	}
	if d.member != nil {
		f.members.Stop(d.number, false)
	}
}

func (d *dispatcher) withdraw(j *job) {
	f := d.fleet
	if j.running != nil {
		delete(j.engine.jobs, j.running)
		j.engine.model.End(f.queue.Now(), j.running)
		f.scheduleEngine(j.engine)
	}
	delete(d.jobs, jobKey{j.query, j.attempt})
}

// admit has it take a client's query.
func (d *dispatcher) admit(a *request) {
	f := d.fleet
	if d.bootstrapRequested {
		d.waiting = append(d.waiting, a)
		return
	}
	f.lastRequestID++
	a.id = cresspass.QueryID(f.lastRequestID)
	d.requests[a.id] = a
	d.acceptTimes = append(d.acceptTimes, f.queue.Now())
	left := a.class.Deadline - (f.queue.Now() - a.firstArrival)
	d.step(cresspass.Event{Type: cresspass.QueryArrived, Query: a.id, Class: a.class.Name,
		RemainingDeadline: max(left, 1),
		HasCostEstimate:   a.costEstimate > 0, CostEstimate: time.Duration(a.costEstimate * float64(time.Second)), Key: a.key,
		TableGroup: float64(a.tableGroup), IsRetry: a.attempts > 0, IsWrite: a.class.Effect != cresspass.Idempotent})
}

// step hands events to the core and carries out what it wants.
func (d *dispatcher) step(events ...cresspass.Event) {
	if !d.up {
		return
	}
	for _, o := range d.core.Step(d.clock(), events) {
		d.execute(o)
	}
	d.scheduleTimer()
}

// scheduleTimer sets the event of its next timer.
func (d *dispatcher) scheduleTimer() {
	next, ok := d.core.NextWakeup()
	at := max(next+d.epoch, d.fleet.queue.Now()+time.Microsecond)
	if !ok || at >= d.nextWakeup {
		return
	}
	d.nextWakeup = at
	d.at(at, func() bool { // no other was set since
		due := d.nextWakeup == at
		if due {
			d.nextWakeup = math.MaxInt64
		}
		return due
	})
}

// post hands an event over a moment later.
func (d *dispatcher) post(after time.Duration, ev cresspass.Event) {
	d.at(d.fleet.queue.Now()+after, func() bool { return true }, ev)
}

// at has the core take events at a time, in this life, if they are due still.
func (d *dispatcher) at(at time.Duration, due func() bool, events ...cresspass.Event) {
	f, life := d.fleet, d.incarnation
	if !f.independent { // one that decides by what others do waits for its turn
		f.queue.AtFor(d.memberID(), at, func() {
			if d.incarnation == life && d.up && due() {
				d.step(events...)
			}
		})
		return
	}
	f.queue.AtParallel(d.memberID(), at, func() {
		if d.incarnation == life && d.up && due() {
			d.pendingOutputs = append(d.pendingOutputs, d.core.Step(d.clock(), events)...)
		}
	}, func() {
		out := d.pendingOutputs
		if d.pendingOutputs = nil; d.incarnation != life || !d.up {
			return
		}
		for _, o := range out {
			d.execute(o)
		}
		if d.scheduleTimer(); d.pendingOutputs == nil {
			d.pendingOutputs = out[:0]
		}
	})
}

func (d *dispatcher) execute(o dispatch.Output) {
	f := d.fleet
	switch o.Type {
	case dispatch.StartAttempt:
		d.startAttempt(o)
	case dispatch.StopAttempt:
		if j := d.jobs[jobKey{o.Query, o.Attempt}]; j != nil {
			d.withdraw(j)
			d.post(0, cresspass.Event{Type: cresspass.AttemptDone, Query: o.Query, Attempt: o.Attempt,
				Engine: o.Engine, Outcome: o.Outcome})
		}
	case dispatch.RejectQuery, dispatch.FailQuery:
		a := d.requests[o.Query]
		delete(d.requests, o.Query)
		if a != nil {
			how := Rejected
			if o.Type == dispatch.FailQuery {
				how = Failed
			}
			f.finishRequest(a, d, how, o.RetryAfter)
		}
	case dispatch.CheckHealth:
		d.checkHealth(o.Engine)
	case dispatch.SendToPeer:
		if d.member != nil {
			d.member.Node.SendMessage(d.member.now(f.queue), o.Peer, o.Data)
			f.members.ApplyActions(d.member)
		}
	}
}

// startAttempt has a query reach an engine.
func (d *dispatcher) startAttempt(o dispatch.Output) {
	f := d.fleet
	a, e := d.requests[o.Query], f.byID[o.Engine]
	ev := cresspass.Event{Type: cresspass.AttemptDone, Query: o.Query, Attempt: o.Attempt, Engine: o.Engine}
	if a == nil || e == nil {
		ev.Outcome = cresspass.OutcomeConnectFailed
		d.post(0, ev)
		return
	}
	f.checkSend(d, e, o.Attempt)
	j := &job{
		dispatcher:  d,
		incarnation: d.incarnation,
		query:       o.Query,
		attempt:     o.Attempt,
		sentAt:      f.queue.Now(),
		engine:      e,
	}
	d.jobs[jobKey{o.Query, o.Attempt}] = j
	t := &f.cfg.Traffic[a.traffic]
	told := e.listedAt > 0
	f.queue.In(f.cfg.TransitTime, func() {
		if d.jobs[jobKey{o.Query, o.Attempt}] != j || d.incarnation != j.incarnation {
			return // taken back on its way
		}
		if !e.up || e.faults.errorShare > 0 && f.random.Float64() < e.faults.errorShare {
			delete(d.jobs, jobKey{o.Query, o.Attempt})
			if ev.Outcome = cresspass.OutcomeConnectFailed; e.up {
				ev.Outcome = cresspass.OutcomeFailed
			}
			d.post(f.cfg.TransitTime, ev)
			return
		}
		f.recordArrival(e, a.work, told)
		tables := ""
		if a.tableGroup > 0 {
			tables = fmt.Sprint(a.tableGroup)
		}
		j.running = e.model.Start(f.queue.Now(), enginemodel.Job{Work: a.work, Threads: t.Threads,
			NeedMB: t.NeedMB, GrantMB: o.MemoryGrantMB, Tables: tables, Loads: t.Loads,
			Priority: max(o.Priority, 0)})
		if e.model.Fallen() {
			f.engineCollapsed(e)
			return
		}
		if j.running == nil {
			delete(d.jobs, jobKey{o.Query, o.Attempt})
			ev.Outcome = cresspass.OutcomeRejected
			d.post(f.cfg.TransitTime, ev)
		} else {
			e.jobs[j.running] = j
		}
		f.scheduleEngine(e)
	})
}

// scheduleEngine sets the event of an engine's next end.
func (f *Fleet) scheduleEngine(e *engine) {
	next, ok := e.model.Next()
	if !ok || next >= e.nextEvent && e.nextEvent > f.queue.Now() {
		return
	}
	e.nextEvent = next
	f.queue.AtFor(uint64(len(f.dispatchers)+e.number)+1, next, func() {
		if e.nextEvent != next {
			return // another was set
		}
		e.nextEvent = math.MaxInt64
		for _, r := range e.model.Advance(f.queue.Now()) {
			if j := e.jobs[r]; j != nil {
				delete(e.jobs, r)
				j.dispatcher.attemptEnded(j)
			}
		}
		f.scheduleEngine(e)
	})
}

// attemptEnded has an answer reach the dispatcher and its client.
func (d *dispatcher) attemptEnded(j *job) {
	f := d.fleet
	if j.engine.faults.lostShare > 0 && f.random.Float64() < j.engine.faults.lostShare {
		return // its answer never comes
	}
	report, has := f.latestReport(j.engine)
	f.queue.In(f.cfg.TransitTime, func() {
		if d.incarnation != j.incarnation || !d.up || d.jobs[jobKey{j.query, j.attempt}] != j {
			return
		}
		delete(d.jobs, jobKey{j.query, j.attempt})
		if a := d.requests[j.query]; a != nil {
			delete(d.requests, j.query)
			f.finishRequest(a, d, Served, 0)
		}
		if d.member != nil {
			d.member.Node.RecordAttempt(d.member.now(f.queue), j.engine.id, true, -1)
		}
		d.step(cresspass.Event{Type: cresspass.AttemptDone, Query: j.query, Attempt: j.attempt,
			Engine:  j.engine.id,
			Outcome: cresspass.OutcomeOK, Elapsed: f.queue.Now() - j.sentAt, QueryFinished: true,
			LoadReport:    report,
			HasLoadReport: has})
	})
}

// handleGossip carries out what the others have to do with its module.
func (d *dispatcher) handleGossip(o gossip.Action) {
	switch o.Type {
	case gossip.DeliverMessage:
		d.post(0, cresspass.Event{Type: cresspass.PeerMessageReceived, Peer: o.From, Data: o.Data})
	case gossip.UpdateView:
		d.post(0, cresspass.Event{Type: cresspass.MembershipChanged, Peer: o.View.Ordinal,
			Value:   float64(o.View.Count),
			Elapsed: o.Clock})
	case gossip.ReportEngineDown:
		d.post(0, cresspass.Event{Type: cresspass.EngineReportedDown, Engine: cresspass.EngineID(o.Engine)})
	case gossip.CompleteBootstrap:
		if d.bootstrapRequested {
			d.bootstrap()
		}
	}
}

// saveSnapshots has others able to learn what the module has learnt, every ten seconds.
func (d *dispatcher) saveSnapshots(life uint64) {
	f := d.fleet
	f.queue.In(10*time.Second, func() {
		if d.incarnation != life || !d.up {
			return
		}
		if all, err := modelstate.Flatten(d.core.Snapshot()); err == nil {
			if d.number < f.cfg.Byzantine {
				for name := range all {
					all[name] = 100
				}
			}
			d.member.Node.RecordModelState(d.member.now(f.queue), all)
		}
		d.saveSnapshots(life)
	})
}

// forgeMessage has a dispatcher tell, twice a second, that all engines are full, sick or dead.
func (f *Fleet) forgeMessage(d *dispatcher) {
	f.queue.In(500*time.Millisecond, func() {
		if d.up && d.member != nil {
			now := d.member.now(f.queue)
			for k, kind := range []byte{1, 2, 2, 3, 4} {
				data := []byte{kind}
				for _, e := range f.engines {
					tag := cresspass.EngineTag(e.id)
					load := byte(255 - k%2)
					if data = append(data, byte(tag>>8), byte(tag), load); kind == 1 {
						data = append(data, 0x0f)
					}
				}
				d.member.Node.SendMessage(now, -1, data)
			}
			for _, e := range f.engines {
				d.member.Node.Store().Observe(now, observation.Key{Engine: string(e.id),
					Property: observation.Health}, 0)
			}
			f.members.ApplyActions(d.member)
		}
		f.forgeMessage(d)
	})
}
