// Package dispatch turns what clients, engines and the roster say into the module's events, and the module's
// actions into outputs that a shell carries out. Core is that turn without I/O, clock or goroutine: events
// in, outputs out, all under a clock that is handed in. Loop is the goroutine that owns a Core.
//
// When, where, again, refuse, fail, cancel, probe, grant and priority are the module's. What Core adds is the
// protocol's: each attempt has one outcome, each query one end, and nothing is started for a query that
// ended.
package dispatch

import (
	"time"

	"cresspass"
	"cresspass/internal/timingwheel"
)

// OutputType tells which fields of an Output count.
type OutputType int

// The outputs of a Core.
const (
	// Query, Attempt, Engine, Priority, MemoryMB, Within: begin an attempt; one AttemptDone is owed
	Start OutputType = iota
	// Query, Attempt, Engine, Outcome: disown it, and report AttemptDone with that outcome
	Stop
	Refuse    // Query, Wait (come-back time, 0: none), Ran: an attempt may have run
	Fail      // Query
	Probe     // Engine; one ProbeDone is owed
	Fetch     // ask for the complete engine list once
	Subscribe // On: have the engine list pushed
	CloseIdle // Engine
	Tell      // Peer (-1: all), Data
	Log       // Text
)

// Output is one thing the shell is to do, in order.
type Output struct {
	Type     OutputType
	Query    cresspass.QueryID
	Attempt  int
	Engine   cresspass.EngineID
	Outcome  cresspass.Outcome
	Wait     time.Duration
	Within   time.Duration // the attempt must have come to its engine by then, or must not begin
	Priority int           // -1: not set
	MemoryMB float64
	Ran      bool
	On       bool
	Peer     int
	Data     []byte
	Text     string
	Reason   cresspass.Reason // with Refuse and Fail
}

// ReasonOverdue is the reason of a query that the module lost sight of.
const ReasonOverdue cresspass.Reason = "its client's time is over"

// Stats counts what a Core saw. Taken = Served + Refused + Failed + Gone + those still open.
type Stats struct {
	Taken, Served, Refused, Failed, Gone uint64
	Attempts, Further, Stopped, Moot     uint64
	Overdue                              uint64 // ended here because the module had not: a defect
	Open, Running, Timers                int
}

type query struct {
	id       cresspass.QueryID
	deadline time.Duration
	safe     bool
	window   time.Duration // in which repeats are dropped; 0: the class is not keyed
	ended    bool
	ran      bool          // an attempt may have run...
	ranAt    time.Duration // ...the first of them was started then
	starts   int
	priority int
	memory   float64
	out      []attempt
}

type attempt struct {
	number int
	engine cresspass.EngineID
	at     time.Duration
	stop   bool // Stop was put out
}

// due is what a timer of the wheel stands for.
type due struct {
	label   uint64            // of the module's timers
	query   cresspass.QueryID // else: the client's deadline, or an attempt's time-out
	attempt int               // -1: the deadline
	module  bool
}

// Decider decides: it takes events and returns actions. The program's is cresspass.Gateway; the rehearsal kit
// puts others in its place, to compare with and to see that the judge notices what they break.
type Decider interface {
	Handle(now time.Duration, events []cresspass.Event, actions []cresspass.Action) []cresspass.Action
	Snapshot() []byte
	Restore(data []byte, age time.Duration) error
}

// Core is the dispatcher without its sockets. It is for one goroutine at a time.
type Core struct {
	gateway Decider
	safe    map[string]bool
	windows map[string]time.Duration // of keyed classes
	grace   time.Duration
	slack   time.Duration // off a window's end
	timers  *timingwheel.Wheel[due]
	queries map[cresspass.QueryID]*query
	events  []cresspass.Event
	actions []cresspass.Action
	out     []Output
	late    []cresspass.QueryID // whose clients' time is over, in this step
	now     time.Duration
	stats   Stats
}

// TimerTick is the grain of a Core's timers.
const TimerTick = time.Millisecond

// NewCore returns a Core whose clock stands at now.
func NewCore(cfg cresspass.Config, now time.Duration) (*Core, error) {
	g, err := cresspass.New(cfg)
	if err != nil {
		return nil, err
	}
	return NewCoreWith(g, cfg, now), nil
}

// NewCoreWith returns a Core around a decider.
func NewCoreWith(g Decider, cfg cresspass.Config, now time.Duration) *Core {
	c := &Core{gateway: g, safe: map[string]bool{}, windows: map[string]time.Duration{},
		grace: cfg.Rules.AnswerGrace, slack: 2 * max(cfg.Tick, TimerTick), now: now,
		timers: timingwheel.New[due](now, TimerTick), queries: map[cresspass.QueryID]*query{}}
	for _, k := range cfg.Classes {
		c.safe[k.Name] = k.Effect == cresspass.Safe
		if k.Effect == cresspass.Keyed {
			c.windows[k.Name] = k.Window
		}
	}
	return c
}

// Snapshot returns what the module has learnt.
func (c *Core) Snapshot() []byte { return c.gateway.Snapshot() }

// Restore has the module take over what an earlier one had learnt, so long ago.
func (c *Core) Restore(data []byte, age time.Duration) error { return c.gateway.Restore(data, age) }

// Stats returns the counts so far.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Open, s.Timers = 0, c.timers.Len()
	for _, q := range c.queries {
		if !q.ended {
			s.Open++
		}
		s.Running += len(q.out)
	}
	return s
}

// Next returns the time at which Step must be called at the latest, and whether there is one.
func (c *Core) Next() (time.Duration, bool) { return c.timers.Next() }

// Step takes the time and what has happened since the last call, in order, and returns what is to be done,
// valid until the next call. Times never go back. Events that name what is not known are left out. A
// ClientGone with outcome Cancelled is a client that asked for its query's cancel.
func (c *Core) Step(now time.Duration, events []cresspass.Event) []Output {
	c.now = max(now, c.now)
	c.out, c.events, c.late = c.out[:0], c.events[:0], c.late[:0]
	for i := range events {
		c.take(&events[i])
	}
	c.timers.Advance(c.now, c.timer)
	c.handle()
	// What the module could not start comes back to it at once: nothing ran.
	for len(c.events) > 0 {
		c.handle()
	}
	for _, id := range c.late {
		c.overdue(id)
	}
	return c.out
}

// overdue ends a query whose client's time is over. Danger: one of which the module lost sight would hang its
// client. It comes after the module's own timers, which a long pause brings due in the same step; that it is
// needed at all is a defect.
func (c *Core) overdue(id cresspass.QueryID) {
	q := c.queries[id]
	if q == nil || q.ended {
		return
	}
	c.stats.Overdue++
	c.stats.Failed++
	c.out = append(c.out, Output{Type: Fail, Query: q.id, Reason: ReasonOverdue})
	c.events = append(c.events, cresspass.Event{Type: cresspass.ClientGone, Query: q.id})
	c.end(q, false)
	c.handle()
}

func (c *Core) handle() {
	events := c.events
	c.actions = c.gateway.Handle(c.now, events, c.actions[:0])
	c.events = c.events[:0]
	for i := range c.actions {
		c.do(&c.actions[i])
	}
}

func (c *Core) timer(d due) {
	switch q := c.queries[d.query]; {
	case d.module:
		c.events = append(c.events, cresspass.Event{Type: cresspass.TimerDue, Label: d.label})
	case q == nil:
	case d.attempt >= 0:
		c.stop(q, d.attempt, cresspass.TimedOut)
	case !q.ended:
		c.late = append(c.late, q.id)
	}
}

func (c *Core) take(ev *cresspass.Event) {
	switch ev.Type {
	case cresspass.QueryTaken:
		if c.queries[ev.Query] != nil {
			return
		}
		q := &query{id: ev.Query, deadline: c.now + ev.TimeLeft, safe: c.safe[ev.Class],
			window: c.windows[ev.Class], priority: -1}
		c.queries[ev.Query] = q
		c.stats.Taken++
		c.timers.Set(q.deadline+c.grace, due{query: q.id, attempt: -1})
	case cresspass.ClientGone:
		q := c.queries[ev.Query]
		if q == nil || q.ended {
			return
		}
		c.stats.Gone++
		c.end(q, ev.Outcome == cresspass.Cancelled)
	case cresspass.AttemptDone:
		q := c.queries[ev.Query]
		i := q.find(ev.Attempt)
		if i < 0 || q.out[i].engine != ev.Engine {
			return
		}
		if ev.Took == 0 && ev.Outcome != cresspass.OK {
			ev.Took = c.now - q.out[i].at
		}
		if at := q.out[i].at; !ev.Outcome.NeverRan() && (!q.ran || at < q.ranAt) {
			q.ran, q.ranAt = true, at
		}
		q.out = append(q.out[:i], q.out[i+1:]...)
		if ev.Finished && !q.ended {
			if ev.Outcome == cresspass.OK {
				c.stats.Served++
			} else {
				c.stats.Failed++
			}
			q.ended = true
		}
		ev.Finished = q.ended
		c.drop(q)
	case cresspass.Progress, cresspass.StreamBegun:
		if c.queries[ev.Query].find(ev.Attempt) < 0 {
			return
		}
	}
	c.events = append(c.events, *ev)
}

func (q *query) find(number int) int {
	if q != nil {
		for i := range q.out {
			if q.out[i].number == number {
				return i
			}
		}
	}
	return -1
}

// end ends a query whose client is gone or was answered, and takes back what runs for it where a repeat is
// harmless: nobody waits for its rows. What changes data runs to its end, as in PostgreSQL itself, unless the
// client asked for its cancel.
func (c *Core) end(q *query, cancelled bool) {
	q.ended = true
	for _, a := range q.out {
		if q.safe || cancelled {
			c.stop(q, a.number, cresspass.Cancelled)
		}
	}
	c.drop(q)
}

func (c *Core) drop(q *query) {
	if q.ended && len(q.out) == 0 {
		delete(c.queries, q.id)
	}
}

// stop has the shell disown an attempt, once.
func (c *Core) stop(q *query, number int, outcome cresspass.Outcome) {
	if i := q.find(number); i >= 0 && !q.out[i].stop {
		q.out[i].stop = true
		c.stats.Stopped++
		c.out = append(c.out, Output{Type: Stop, Query: q.id, Attempt: number, Engine: q.out[i].engine,
			Outcome: outcome})
	}
}

func (c *Core) do(a *cresspass.Action) {
	q := c.queries[a.Query]
	switch a.Type {
	case cresspass.Send:
		c.send(a, q)
	case cresspass.SetTimer:
		c.timers.Set(c.now+a.Wait, due{module: true, label: a.Label})
	case cresspass.Refuse, cresspass.Fail:
		if q == nil || q.ended {
			return
		}
		if a.Type == cresspass.Refuse {
			c.stats.Refused++
			c.out = append(c.out, Output{Type: Refuse, Query: q.id, Wait: a.Wait, Ran: q.ran ||
				len(q.out) > 0, Reason: a.Reason})
		} else {
			c.stats.Failed++
			c.out = append(c.out, Output{Type: Fail, Query: q.id, Reason: a.Reason})
		}
		q.ended = true
		c.drop(q)
	case cresspass.SetTerms:
		if q != nil {
			q.priority, q.memory = a.Priority, a.MemoryMB
		}
	case cresspass.Cancel:
		if q != nil {
			c.stop(q, a.Attempt, cresspass.Cancelled)
		}
	case cresspass.Probe:
		c.out = append(c.out, Output{Type: Probe, Engine: a.Engine})
	case cresspass.FetchList:
		c.out = append(c.out, Output{Type: Fetch})
	case cresspass.Subscribe:
		c.out = append(c.out, Output{Type: Subscribe, On: a.On})
	case cresspass.CloseIdle:
		c.out = append(c.out, Output{Type: CloseIdle, Engine: a.Engine})
	case cresspass.Tell:
		c.out = append(c.out, Output{Type: Tell, Peer: a.Peer, Data: a.Data})
	case cresspass.Log:
		c.out = append(c.out, Output{Type: Log, Text: a.Text})
	}
}

func (c *Core) send(a *cresspass.Action, q *query) {
	if q == nil || q.ended {
		// Danger: an end and a send can cross. A query that ended is never sent (rule 1).
		c.stats.Moot++
		if q != nil {
			c.events = append(c.events, cresspass.Event{Type: cresspass.AttemptDone, Query: a.Query,
				Attempt: q.starts, Engine: a.Engine, Outcome: cresspass.Moot, Finished: true})
			q.starts++
		}
		return
	}
	// Danger: between this decision and the engine lie a wait for a connection and a dial. A repeat that was
	// inside the window when it was decided on would run twice if it came after it.
	within := q.deadline - c.now
	if a.Within > 0 {
		within = min(within, a.Within)
	}
	if q.window > 0 {
		first, ran := q.ranAt, q.ran
		for _, a := range q.out {
			if !ran || a.at < first {
				first, ran = a.at, true
			}
		}
		if ran {
			within = min(within, first+q.window-c.slack-c.now)
		}
	}
	n := q.starts
	q.starts++
	q.out = append(q.out, attempt{number: n, engine: a.Engine, at: c.now})
	c.stats.Attempts++
	if n > 0 {
		c.stats.Further++
	}
	if a.Wait > 0 && c.now+a.Wait < q.deadline {
		c.timers.Set(c.now+a.Wait, due{query: q.id, attempt: n})
	}
	c.out = append(c.out, Output{Type: Start, Query: q.id, Attempt: n, Engine: a.Engine, Priority: q.priority,
		MemoryMB: q.memory, Wait: q.deadline - c.now, Within: within})
}
