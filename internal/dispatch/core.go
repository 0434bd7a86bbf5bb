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
	// Query, Attempt, Engine, Priority, MemoryGrantMB, Within: begin an attempt; one AttemptDone is owed
	StartAttempt OutputType = iota
	// Query, Attempt, Engine, Outcome: disown it, and report AttemptDone with that outcome
	StopAttempt
	RejectQuery          // Query, Wait (come-back time, 0: none), Ran: an attempt may have run
	FailQuery            // Query
	CheckHealth          // Engine; one ProbeDone is owed
	FetchEngineList      // ask for the complete engine list once
	SubscribeEngineList  // On: have the engine list pushed
	CloseIdleConnections // Engine
	SendToPeer           // Peer (-1: all), Data
	WriteLog             // Text
)

// Output is one thing the shell is to do, in order.
type Output struct {
	Type          OutputType
	Query         cresspass.QueryID
	Attempt       int
	Engine        cresspass.EngineID
	Outcome       cresspass.Outcome
	RetryAfter    time.Duration
	StartWithin   time.Duration // the attempt must have come to its engine by then, or must not begin
	Priority      int           // -1: not set
	MemoryGrantMB float64
	MayHaveRun    bool
	Enabled       bool
	Peer          int
	Data          []byte
	Text          string
	Reason        cresspass.Reason // with Refuse and Fail
}

// ReasonDeadlinePassed is the reason of a query that the module lost sight of.
const ReasonDeadlinePassed cresspass.Reason = "its client's time is over"

// Stats counts what a Core saw. Taken = Served + Refused + Failed + Gone + those still open.
type Stats struct {
	Arrived, Served, Rejected, Failed, Abandoned uint64
	Attempts, Retries, Stopped, NotStarted       uint64
	Overdue                                      uint64 // ended here because the module had not: a defect
	Open, Running, Timers                        int
}

type query struct {
	id                  cresspass.QueryID
	deadline            time.Duration
	idempotent          bool
	deduplicationWindow time.Duration // in which repeats are dropped; 0: the class is not keyed
	ended               bool
	mayHaveRun          bool          // an attempt may have run...
	firstRunAt          time.Duration // ...the first of them was started then
	nextAttempt         int
	priority            int
	memoryGrantMB       float64
	running             []attempt
}

type attempt struct {
	number        int
	engine        cresspass.EngineID
	startedAt     time.Duration
	stopRequested bool // Stop was put out
}

// timerTarget is what a timer of the wheel stands for.
type timerTarget struct {
	label    uint64            // of the module's timers
	query    cresspass.QueryID // else: the client's deadline, or an attempt's time-out
	attempt  int               // -1: the deadline
	ofModule bool
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
	decider              Decider
	idempotentClasses    map[string]bool
	deduplicationWindows map[string]time.Duration // of keyed classes
	answerGrace          time.Duration
	windowMargin         time.Duration // off a window's end
	timers               *timingwheel.Wheel[timerTarget]
	queries              map[cresspass.QueryID]*query
	events               []cresspass.Event
	actions              []cresspass.Action
	outputs              []Output
	overdueQueries       []cresspass.QueryID // whose clients' time is over, in this step
	now                  time.Duration
	stats                Stats
}

// TimerResolution is the grain of a Core's timers.
const TimerResolution = time.Millisecond

// NewCore returns a Core whose clock stands at now.
func NewCore(cfg cresspass.Config, now time.Duration) (*Core, error) {
	gateway, err := cresspass.New(cfg)
	if err != nil {
		return nil, err
	}
	return NewCoreWithDecider(gateway, cfg, now), nil
}

// NewCoreWithDecider returns a Core around a decider.
func NewCoreWithDecider(decider Decider, cfg cresspass.Config, now time.Duration) *Core {
	c := &Core{
		decider:              decider,
		idempotentClasses:    map[string]bool{},
		deduplicationWindows: map[string]time.Duration{},
		answerGrace:          cfg.Rules.AnswerGrace,
		windowMargin:         2 * max(cfg.BatchInterval, TimerResolution),
		now:                  now,
		timers:               timingwheel.New[timerTarget](now, TimerResolution),
		queries:              map[cresspass.QueryID]*query{},
	}
	for _, class := range cfg.Classes {
		c.idempotentClasses[class.Name] = class.Effect == cresspass.Idempotent
		if class.Effect == cresspass.IdempotentWithKey {
			c.deduplicationWindows[class.Name] = class.DeduplicationWindow
		}
	}
	return c
}

// Snapshot returns what the module has learnt.
func (c *Core) Snapshot() []byte { return c.decider.Snapshot() }

// Restore has the module take over what an earlier one had learnt, so long ago.
func (c *Core) Restore(data []byte, age time.Duration) error { return c.decider.Restore(data, age) }

// Stats returns the counts so far.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Open, s.Timers = 0, c.timers.Len()
	for _, q := range c.queries {
		if !q.ended {
			s.Open++
		}
		s.Running += len(q.running)
	}
	return s
}

// NextWakeup returns the time at which Step must be called at the latest, and whether there is one.
func (c *Core) NextWakeup() (time.Duration, bool) { return c.timers.NextExpiry() }

// Step takes the time and what has happened since the last call, in order, and returns what is to be done,
// valid until the next call. Times never go back. Events that name what is not known are left out. A
// ClientGone with outcome Cancelled is a client that asked for its query's cancel.
func (c *Core) Step(now time.Duration, events []cresspass.Event) []Output {
	c.now = max(now, c.now)
	c.outputs, c.events, c.overdueQueries = c.outputs[:0], c.events[:0], c.overdueQueries[:0]
	for i := range events {
		c.applyEvent(&events[i])
	}
	c.timers.Advance(c.now, c.fireTimer)
	c.decide()
	// What the module could not start comes back to it at once: nothing ran.
	for len(c.events) > 0 {
		c.decide()
	}
	for _, id := range c.overdueQueries {
		c.failOverdue(id)
	}
	return c.outputs
}

// failOverdue ends a query whose client's time is over. Danger: one of which the module lost sight would
// hang its client. It comes after the module's own timers, which a long pause brings due in the same step;
// that it is needed at all is a defect.
func (c *Core) failOverdue(id cresspass.QueryID) {
	q := c.queries[id]
	if q == nil || q.ended {
		return
	}
	c.stats.Overdue++
	c.stats.Failed++
	c.outputs = append(c.outputs, Output{Type: FailQuery, Query: q.id, Reason: ReasonDeadlinePassed})
	c.events = append(c.events, cresspass.Event{Type: cresspass.QueryAbandoned, Query: q.id})
	c.endQuery(q, false)
	c.decide()
}

func (c *Core) decide() {
	events := c.events
	c.actions = c.decider.Handle(c.now, events, c.actions[:0])
	c.events = c.events[:0]
	for i := range c.actions {
		c.applyAction(&c.actions[i])
	}
}

func (c *Core) fireTimer(target timerTarget) {
	switch q := c.queries[target.query]; {
	case target.ofModule:
		c.events = append(c.events, cresspass.Event{Type: cresspass.TimerFired, Label: target.label})
	case q == nil:
	case target.attempt >= 0:
		c.stopAttempt(q, target.attempt, cresspass.OutcomeTimedOut)
	case !q.ended:
		c.overdueQueries = append(c.overdueQueries, q.id)
	}
}

func (c *Core) applyEvent(event *cresspass.Event) {
	switch event.Type {
	case cresspass.QueryArrived:
		if c.queries[event.Query] != nil {
			return
		}
		q := &query{
			id:                  event.Query,
			deadline:            c.now + event.RemainingDeadline,
			idempotent:          c.idempotentClasses[event.Class],
			deduplicationWindow: c.deduplicationWindows[event.Class],
			priority:            -1,
		}
		c.queries[event.Query] = q
		c.stats.Arrived++
		c.timers.Schedule(q.deadline+c.answerGrace, timerTarget{query: q.id, attempt: -1})
	case cresspass.QueryAbandoned:
		q := c.queries[event.Query]
		if q == nil || q.ended {
			return
		}
		c.stats.Abandoned++
		c.endQuery(q, event.Outcome == cresspass.OutcomeCancelled)
	case cresspass.AttemptDone:
		q := c.queries[event.Query]
		index := q.attemptIndex(event.Attempt)
		if index < 0 || q.running[index].engine != event.Engine {
			return
		}
		if event.Elapsed == 0 && event.Outcome != cresspass.OutcomeOK {
			event.Elapsed = c.now - q.running[index].startedAt
		}
		if at := q.running[index].startedAt; !event.Outcome.NeverRan() &&
			(!q.mayHaveRun || at < q.firstRunAt) {
			q.mayHaveRun, q.firstRunAt = true, at
		}
		q.running = append(q.running[:index], q.running[index+1:]...)
		if event.QueryFinished && !q.ended {
			if event.Outcome == cresspass.OutcomeOK {
				c.stats.Served++
			} else {
				c.stats.Failed++
			}
			q.ended = true
		}
		event.QueryFinished = q.ended
		c.removeIfFinished(q)
	case cresspass.ProgressReported, cresspass.ResponseStarted:
		if c.queries[event.Query].attemptIndex(event.Attempt) < 0 {
			return
		}
	}
	c.events = append(c.events, *event)
}

func (q *query) attemptIndex(number int) int {
	if q != nil {
		for i := range q.running {
			if q.running[i].number == number {
				return i
			}
		}
	}
	return -1
}

// endQuery ends a query whose client is gone or was answered, and takes back what runs for it where a repeat
// is harmless: nobody waits for its rows. What changes data runs to its end, as in PostgreSQL itself, unless
// the client asked for its cancel.
func (c *Core) endQuery(q *query, cancelled bool) {
	q.ended = true
	for _, a := range q.running {
		if q.idempotent || cancelled {
			c.stopAttempt(q, a.number, cresspass.OutcomeCancelled)
		}
	}
	c.removeIfFinished(q)
}

func (c *Core) removeIfFinished(q *query) {
	if q.ended && len(q.running) == 0 {
		delete(c.queries, q.id)
	}
}

// stopAttempt has the shell disown an attempt, once.
func (c *Core) stopAttempt(q *query, number int, outcome cresspass.Outcome) {
	if i := q.attemptIndex(number); i >= 0 && !q.running[i].stopRequested {
		q.running[i].stopRequested = true
		c.stats.Stopped++
		c.outputs = append(
			c.outputs,
			Output{Type: StopAttempt, Query: q.id, Attempt: number, Engine: q.running[i].engine,
				Outcome: outcome},
		)
	}
}

func (c *Core) applyAction(action *cresspass.Action) {
	q := c.queries[action.Query]
	switch action.Type {
	case cresspass.Send:
		c.startAttempt(action, q)
	case cresspass.SetTimer:
		c.timers.Schedule(c.now+action.Wait, timerTarget{ofModule: true, label: action.Label})
	case cresspass.Reject, cresspass.Fail:
		if q == nil || q.ended {
			return
		}
		if action.Type == cresspass.Reject {
			c.stats.Rejected++
			c.outputs = append(
				c.outputs,
				Output{Type: RejectQuery, Query: q.id, RetryAfter: action.Wait, MayHaveRun: q.mayHaveRun ||
					len(q.running) > 0, Reason: action.Reason},
			)
		} else {
			c.stats.Failed++
			c.outputs = append(c.outputs, Output{Type: FailQuery, Query: q.id, Reason: action.Reason})
		}
		q.ended = true
		c.removeIfFinished(q)
	case cresspass.SetResources:
		if q != nil {
			q.priority, q.memoryGrantMB = action.Priority, action.MemoryGrantMB
		}
	case cresspass.Cancel:
		if q != nil {
			c.stopAttempt(q, action.Attempt, cresspass.OutcomeCancelled)
		}
	case cresspass.CheckHealth:
		c.outputs = append(c.outputs, Output{Type: CheckHealth, Engine: action.Engine})
	case cresspass.FetchEngineList:
		c.outputs = append(c.outputs, Output{Type: FetchEngineList})
	case cresspass.SubscribeEngineList:
		c.outputs = append(c.outputs, Output{Type: SubscribeEngineList, Enabled: action.Enabled})
	case cresspass.CloseIdleConnections:
		c.outputs = append(c.outputs, Output{Type: CloseIdleConnections, Engine: action.Engine})
	case cresspass.SendToPeer:
		c.outputs = append(c.outputs, Output{Type: SendToPeer, Peer: action.Peer, Data: action.Data})
	case cresspass.Log:
		c.outputs = append(c.outputs, Output{Type: WriteLog, Text: action.Text})
	}
}

func (c *Core) startAttempt(a *cresspass.Action, q *query) {
	if q == nil || q.ended {
		// Danger: an end and a send can cross. A query that ended is never sent (rule 1).
		c.stats.NotStarted++
		if q != nil {
			c.events = append(c.events, cresspass.Event{Type: cresspass.AttemptDone, Query: a.Query,
				Attempt: q.nextAttempt, Engine: a.Engine, Outcome: cresspass.OutcomeNotStarted, QueryFinished: true})
			q.nextAttempt++
		}
		return
	}
	// Danger: between this decision and the engine lie a wait for a connection and a dial. A repeat that was
	// inside the window when it was decided on would run twice if it came after it.
	startWithin := q.deadline - c.now
	if a.StartWithin > 0 {
		startWithin = min(startWithin, a.StartWithin)
	}
	if q.deduplicationWindow > 0 {
		firstRunAt, mayHaveRun := q.firstRunAt, q.mayHaveRun
		for _, a := range q.running {
			if !mayHaveRun || a.startedAt < firstRunAt {
				firstRunAt, mayHaveRun = a.startedAt, true
			}
		}
		if mayHaveRun {
			startWithin = min(startWithin, firstRunAt+q.deduplicationWindow-c.windowMargin-c.now)
		}
	}
	number := q.nextAttempt
	q.nextAttempt++
	q.running = append(q.running, attempt{number: number, engine: a.Engine, startedAt: c.now})
	c.stats.Attempts++
	if number > 0 {
		c.stats.Retries++
	}
	if a.Wait > 0 && c.now+a.Wait < q.deadline {
		c.timers.Schedule(c.now+a.Wait, timerTarget{query: q.id, attempt: number})
	}
	c.outputs = append(
		c.outputs,
		Output{Type: StartAttempt, Query: q.id, Attempt: number, Engine: a.Engine, Priority: q.priority,
			MemoryGrantMB: q.memoryGrantMB, RetryAfter: q.deadline - c.now, StartWithin: startWithin},
	)
}
