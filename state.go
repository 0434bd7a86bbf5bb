package cresspass

// State of a gateway: what it holds of classes, engines, queries and peers. Decisions are in gateway.go.

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

type class struct {
	Class
	index   int
	threads float64
	loads   bool
	scale   float64       // unloaded time over the told estimate (or over the aim where none is told)
	seen    float64       // outcomes that have corrected it
	work    float64       // mean work of a query, in thread seconds
	grant   float64       // memory granted over the told estimate
	wait    time.Duration // longest wait of a try seen
}

type kind struct {
	cores, memory  float64     // memory in MB
	crowd, granted float64     // threads a core, and memory granted over memory, as told or reported
	weights        [][]float64 // per class: time a running query of each class adds, over base, per core
}

type engine struct {
	EngineInfo
	kind    *kind
	tag     uint16 // stands for its ID in messages
	known   bool   // on the present list and neither draining nor gone
	own     [][]float64
	running []*attempt

	count, area     []float64     // this gateway's running queries per class; their integral in seconds
	threads, bound  float64       // threads running; threads this gateway may run under pressure
	slow, latency   float64       // logs: fast-moving slowness; recent latency over best
	excess          float64       // slowness beyond the fleet's median at the last tick
	sessions        float64       // of this gateway, that are kept there
	offAt           time.Duration // when it was told to drain or be gone
	areaAt, cutAt   time.Duration // when area and bound were last changed
	full            time.Duration // under pressure until then: it turned work away
	toldAt          time.Duration // when others' threads were last told
	granted         float64       // memory granted over memory, as reported
	recent          float64       // threads told as just sent, fading into the sums
	sum             float64       // threads of all gateways, while this one is a hub
	goodSum, badSum float64       // the same of all gateways, fading, while this one is a hub
	good, bad       int           // answers, and failures or lost answers, since the last digest

	failing            float64       // recent share of failed attempts
	streak, trialsOK   int           // failures in a row; trials answered since it fell sick
	heard, since       time.Duration // last sign of life; beginning of what is known of it
	sick, probing      bool
	trial              bool // open to one trial query at a time
	shunUntil, shunFor time.Duration
	coldSent           []spent
	turn               float64 // part of the period of a cold engine's turns that has passed
	turnEnds           time.Duration
}

type spent struct {
	at   time.Duration
	work float64
}

type attempt struct {
	q         *query
	e         *engine
	trial     int
	at, noted time.Duration // sent; last note of it
	base, est float64       // seconds
	grant     float64
	area      []float64 // the engine's integral of the mix when it was sent
	late      float64   // next multiple of the estimate at which it counts as overdue

	cancelled, spilled, lost bool
}

// attemptKey names an attempt as events do.
type attemptKey struct {
	query QueryID
	trial int
}

type query struct {
	id     QueryID
	c      *class
	tables float64
	key    *orderKey
	out    []*attempt
	avoid  *engine  // where its last attempt ended
	doubt  *attempt // earliest attempt that may have run
	only   EngineID // the one engine that may run it; "": any
	stays  bool     // a session is opened by it

	deadline, taken, waited time.Duration // waited: what the client had waited in earlier tries
	waits                   time.Duration // held until then for reports that were asked for
	spread                  float64       // how much further over Est it may be than a query of told cost
	unit, memory            float64       // told estimate over threads, or the aim, in seconds; told MB
	tries, kills            int
	over, told, held, done  bool // over: beyond its tenant's share; told: its cost was estimated
}

type orderKey struct {
	line    []*query
	running int
	rest    time.Duration
}

type bucket struct {
	level, rate float64
	at          time.Duration
}

// report is what a peer told of what it runs.
type report struct {
	at      time.Duration
	entries []peerEntry
}

// Gateway decides for one gateway. It is not safe for concurrent use.
type Gateway struct {
	cfg      Config
	now      time.Duration
	out      []Action
	classes  map[string]*class
	order    []*class
	kinds    map[string]*kind
	engines  map[EngineID]*engine
	list     []*engine // all engines known, by ID
	duty     float64   // share of their time in which kept sessions run something
	byTag    map[uint16]*engine
	queries  map[QueryID]*query
	attempts map[attemptKey]*attempt
	held     []*query // earliest deadline first
	keys     map[string]*orderKey
	tenants  map[string]*bucket
	scratch  []float64
	random   *rand.Rand
	askAt    time.Duration
	endsAt   time.Duration // no answer may be given later; 0: none told
	started  bool

	gateways           float64
	fleet              float64 // log of the fleet's slowness, of which an engine's own is a deviation
	threads            float64 // ours running on all engines
	cores              float64 // told cores of all engines on the list
	crowd              float64 // threads a core over the whole fleet, as told
	reports            map[int]report
	talkAt             time.Duration
	ahead              time.Duration // how far the gateways' common clock is ahead of ours
	relay              []peerEntry   // entries of sent queries to pass on
	gathers            int           // reports sent since this gateway last became a hub; 0: it is none
	median             float64       // of the engines' slowness
	sweepAt            int           // number of order keys at which those with nothing left are forgotten
	sickAll            bool          // so many engines are sick that it is the fleet
	pressed            bool          // the fleet is under pressure
	pressure           float64
	margin             float64
	toldAt, reportedAt time.Duration   // when peers, and engines, last told of load
	taken, further     []time.Duration // times of queries taken and of further attempts (rule 7)
}

// newWeights returns zero weights. The last column is for the threads of other gateways, all classes
// together: no gateway sees them run, so where they are told their weight does not start at zero.
func (g *Gateway) newWeights(others float64) [][]float64 {
	w := make([][]float64, len(g.order))
	for i := range w {
		w[i] = make([]float64, len(g.order)+1)
		w[i][len(g.order)] = others
	}
	return w
}

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }

func (g *Gateway) timer(in time.Duration, label uint64) {
	g.do(Action{Type: SetTimer, Wait: max(in, time.Microsecond), Label: label})
}

// accrue brings the integral of an engine's mix up to now.
func (g *Gateway) accrue(e *engine) {
	for j, n := range e.count {
		e.area[j] += n * (g.now - e.areaAt).Seconds()
	}
	e.areaAt = g.now
}

func (g *Gateway) hold(q *query) {
	at := sort.Search(len(g.held), func(i int) bool {
		h := g.held[i]
		return h.deadline > q.deadline || h.deadline == q.deadline && h.id > q.id
	})
	g.held = slices.Insert(g.held, at, q)
	q.held = true
}

func (g *Gateway) forget(q *query) {
	q.done = true
	delete(g.queries, q.id)
	if q.held {
		g.held = slices.DeleteFunc(g.held, func(h *query) bool { return h == q })
		q.held = false
	}
	if k := q.key; k != nil {
		k.line = slices.DeleteFunc(k.line, func(h *query) bool { return h == q })
	}
}

func (g *Gateway) tell(peer int, m peerMessage, entries []peerEntry) {
	for _, data := range encodePeer(m, entries) {
		g.do(Action{Type: Tell, Peer: peer, Data: data})
	}
}

// begin keeps the books of an attempt being sent, end those of one that got its outcome.
func (g *Gateway) begin(a *attempt) {
	q, e := a.q, a.e
	if q.tries > 0 {
		g.further = append(g.further, g.now)
	}
	q.tries++
	q.out = append(q.out, a)
	if q.key != nil {
		q.key.running++
	}
	e.running = append(e.running, a)
	e.count[q.c.index]++
	e.threads += q.c.threads
	g.threads += q.c.threads
	g.attempts[attemptKey{q.id, a.trial}] = a
}

func (g *Gateway) end(a *attempt) {
	q, e := a.q, a.e
	delete(g.attempts, attemptKey{q.id, a.trial})
	g.leave(a)
	if q.key != nil {
		q.key.running--
	}
	same := func(v *attempt) bool { return v == a }
	e.running, q.out = slices.DeleteFunc(e.running, same), slices.DeleteFunc(q.out, same)
}

// reset makes an engine as good as new: its own weights zero, so that its kind's average stands.
func (g *Gateway) reset(e *engine, info *EngineInfo) {
	k := g.kinds[info.Kind]
	if k == nil {
		k = &kind{cores: 1, weights: g.newWeights(othersStart)}
		g.kinds[info.Kind] = k
	}
	e.kind, e.own, e.latency, e.slow, e.excess, e.failing, e.streak = k, g.newWeights(0), 0, 0, 0, 0, 0
	e.bound = g.boundStart(e)
	e.sick, e.probing, e.trial, e.shunFor = false, false, false, 0
	e.heard, e.since = g.now, g.now
	e.turn, e.turnEnds = g.random.Float64(), 0
}

// enlist makes room for an engine never seen before.
func (g *Gateway) enlist(info *EngineInfo) *engine {
	e := &engine{tag: engineTag(info.ID)}
	e.count, e.area = make([]float64, len(g.order)+1), make([]float64, len(g.order)+1)
	g.engines[info.ID], g.byTag[e.tag] = e, e
	at := sort.Search(len(g.list), func(i int) bool { return g.list[i].ID >= info.ID })
	g.list = slices.Insert(g.list, at, e)
	g.reset(e, info)
	return e
}

// met returns the average mix that an attempt met, and its length over cores, squared, plus one.
func (g *Gateway) met(a *attempt, took float64) (mix []float64, norm float64) {
	mix, norm = g.scratch[:0], 1
	for j := range a.e.area {
		v := (a.e.area[j] - a.area[j]) / took
		mix = append(mix, v)
		norm += v * v / (a.e.kind.cores * a.e.kind.cores)
	}
	g.scratch = mix
	return mix, norm
}

// lineUp puts a query at the end of its key's line.
func (g *Gateway) lineUp(q *query, key string) {
	k := g.keys[key]
	if k == nil {
		if len(g.keys) >= g.sweepAt { // keys with nothing left are forgotten, at a cost that does not grow
			for name, old := range g.keys {
				if len(old.line) == 0 && old.running == 0 && g.now >= old.rest {
					delete(g.keys, name)
				}
			}
			g.sweepAt = 2*len(g.keys) + 64
		}
		k = &orderKey{}
		g.keys[key] = k
	}
	k.line = append(k.line, q)
	q.key = k
}

// take reports whether a bucket that holds at most burst had one left.
func (b *bucket) take(now time.Duration, burst float64) bool {
	b.level = min(burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func (g *Gateway) take(ev *Event) {
	switch ev.Type {
	case EngineList:
		g.listed(ev)
	case QueryTaken:
		g.queryTaken(ev)
	case TimerDue:
		if ev.Label == 0 {
			g.watch()
		} else if q := g.queries[QueryID(ev.Label-1)]; q != nil && g.now >= q.deadline-g.expiry() {
			g.finish(q, ReasonTime)
		}
	case ProbeDone:
		g.probed(ev)
	case PeerMessage:
		g.peerTold(ev)
	case AttemptDone:
		g.attemptDone(ev)
	case Progress:
		g.progress(ev)
	case FleetCount:
		g.recount(ev.Peer, ev.Value)
		g.ahead = ev.Took - g.now
	case EngineDown:
		g.heardDown(g.engines[ev.Engine])
	case Ending:
		g.ending(ev.TimeLeft)
	case SessionKept:
		if e := g.engines[ev.Engine]; e != nil {
			e.sessions = math.Max(0, e.sessions+ev.Value)
		}
	case ClientGone:
		if q := g.queries[ev.Query]; q != nil {
			g.forget(q)
		}
	}
}

// warmth is the share of its capacity a started engine has at least.
func (g *Gateway) warmth(e *engine) float64 {
	age, r := g.now-e.Started, &g.cfg.Rules
	if e.Started <= 0 || r.ColdFor <= 0 || age >= r.ColdFor || r.ColdFrom <= 0 {
		return 1
	}
	return r.ColdFrom + (1-r.ColdFrom)*math.Max(0, age.Seconds())/r.ColdFor.Seconds()
}

// leave takes an attempt from what counts as running.
func (g *Gateway) leave(a *attempt) {
	if a.lost {
		return
	}
	g.accrue(a.e)
	a.e.count[a.q.c.index]--
	a.e.threads -= a.q.c.threads
	g.threads -= a.q.c.threads
}

// forgetGone drops engines that left the list and run nothing; a cold one stays, with what it was sent.
func (g *Gateway) forgetGone() {
	g.list = slices.DeleteFunc(g.list, func(e *engine) bool {
		gone := !e.known && e.State != EngineDraining && len(e.running) == 0 && g.warmth(e) >= 1
		if gone {
			delete(g.engines, e.ID)
			if g.byTag[e.tag] == e {
				delete(g.byTag, e.tag)
			}
		}
		return gone
	})
}

// learnt is the form of what a gateway has learnt of classes and kinds.
type learnt struct {
	Version int                    `json:"version"`
	Classes []learntClass          `json:"classes"`
	Kinds   map[string][][]float64 `json:"kinds"`
}

type learntClass struct {
	Name  string  `json:"name"`
	Scale float64 `json:"scale"`
	Seen  float64 `json:"seen"`
	Work  float64 `json:"work"`
	Grant float64 `json:"grant"`
}

// learntVersion is that of the form.
const learntVersion = 1

// Snapshot returns what the gateway has learnt, for Restore of a later one.
func (g *Gateway) Snapshot() []byte {
	l := learnt{Version: learntVersion, Kinds: map[string][][]float64{}}
	for _, c := range g.order {
		l.Classes = append(l.Classes, learntClass{c.Name, c.scale, c.seen, c.work, c.grant})
	}
	for name, k := range g.kinds {
		l.Kinds[name] = k.weights
	}
	data, _ := json.Marshal(l) // finite numbers and names cannot fail
	return data
}

// decodeLearnt reads a snapshot, or says why it is none.
func decodeLearnt(data []byte) (*learnt, error) {
	var l learnt
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, fmt.Errorf("cresspass: snapshot: %w", err)
	}
	if l.Version != learntVersion {
		return nil, fmt.Errorf("cresspass: snapshot: version %d, want %d", l.Version, learntVersion)
	}
	for _, c := range l.Classes {
		for _, v := range []float64{c.Scale, c.Work, c.Grant} {
			if !(v > 0 && v < math.MaxFloat32) {
				return nil, fmt.Errorf("cresspass: snapshot: class %q: value %v", c.Name, v)
			}
		}
		if !(c.Seen >= 0 && c.Seen < math.MaxFloat32) {
			return nil, fmt.Errorf("cresspass: snapshot: class %q: seen %v", c.Name, c.Seen)
		}
	}
	for name, rows := range l.Kinds {
		for _, row := range rows {
			for _, v := range row {
				if !(v >= 0 && v < math.MaxFloat32) || len(rows) != len(l.Classes) || len(row) != len(rows)+1 {
					return nil, fmt.Errorf("cresspass: snapshot: kind %q: weights", name)
				}
			}
		}
	}
	return &l, nil
}

// fits reports whether a snapshot's classes are the gateway's, in their order: its weights are told by number.
func (l *learnt) fits(g *Gateway) bool {
	return slices.EqualFunc(l.Classes, g.order, func(a learntClass, c *class) bool { return a.Name == c.Name })
}
