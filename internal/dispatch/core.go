// Package dispatch joins the decision module to a front end and its engines. Core turns what clients,
// engines and discovery report into events of the decision module, and the module's actions into outputs that
// a shell carries out. It has no I/O, no clock and no goroutine. Loop is the goroutine that owns a Core.
//
// The decision module decides when and where an attempt starts, whether it is retried, and when a query is
// rejected. Core keeps the bookkeeping that the protocols ask for: each attempt has one outcome, each query
// has one end, and no attempt starts for a query that has ended. Nothing here may decide by load or by an
// engine's state.
package dispatch

import (
	"time"

	"cresspass"
	"cresspass/internal/timingwheel"
)

// TimerResolution is the resolution of a Core's timers.
const TimerResolution = time.Millisecond

// Decider takes events and returns actions. The program's is cresspass.Gateway; the rehearsal kit puts others
// in its place, for comparison and to see that its judge notices the rules that they break.
type Decider interface {
	Handle(now time.Duration, events []cresspass.Event, actions []cresspass.Action) []cresspass.Action
	Snapshot() []byte
	Restore(data []byte, age time.Duration) error
}

// Core is a dispatcher without its sockets. It is for one goroutine at a time.
type Core struct {
	decider              Decider
	idempotentClasses    map[string]bool
	deduplicationWindows map[string]time.Duration // of classes with an idempotency key
	answerGrace          time.Duration
	windowMargin         time.Duration // a deduplication window counts as this much shorter
	timers               *timingwheel.Wheel[timerTarget]
	queries              map[cresspass.QueryID]*query
	now                  time.Duration
	stats                Stats

	// Buffers of one step, used again by the next.
	events         []cresspass.Event
	actions        []cresspass.Action
	outputs        []Output
	overdueQueries []cresspass.QueryID // whose answer grace ended in this step
}

// noAttempt stands in a timerTarget for the query as a whole.
const noAttempt = -1

// timerTarget is what a timer is for: a timer of the decision module, by its label; else the time-out of an
// attempt, or the deadline of a query if attempt is noAttempt.
type timerTarget struct {
	ofModule bool
	label    uint64
	query    cresspass.QueryID
	attempt  int
}

// NewCore returns a Core around a new decision module, with its clock at now.
func NewCore(cfg cresspass.Config, now time.Duration) (*Core, error) {
	gateway, err := cresspass.New(cfg)
	if err != nil {
		return nil, err
	}
	return NewCoreWithDecider(gateway, cfg, now), nil
}

// windowMarginTicks is by how many ticks a deduplication window counts as shorter than it is.
const windowMarginTicks = 2

// NewCoreWithDecider returns a Core around a decider, with its clock at now.
func NewCoreWithDecider(decider Decider, cfg cresspass.Config, now time.Duration) *Core {
	c := &Core{
		decider:              decider,
		idempotentClasses:    map[string]bool{},
		deduplicationWindows: map[string]time.Duration{},
		answerGrace:          cfg.Rules.AnswerGrace,
		windowMargin:         windowMarginTicks * max(cfg.BatchInterval, TimerResolution),
		timers:               timingwheel.New[timerTarget](now, TimerResolution),
		queries:              map[cresspass.QueryID]*query{},
		now:                  now,
	}
	for _, class := range cfg.Classes {
		c.idempotentClasses[class.Name] = class.Effect == cresspass.Idempotent
		if class.Effect == cresspass.IdempotentWithKey {
			c.deduplicationWindows[class.Name] = class.DeduplicationWindow
		}
	}
	return c
}

// Snapshot returns what the decision module has learned.
func (c *Core) Snapshot() []byte { return c.decider.Snapshot() }

// Restore has the decision module take over a snapshot of the given age.
func (c *Core) Restore(data []byte, age time.Duration) error { return c.decider.Restore(data, age) }

// NextWakeup returns the time at which Step must be called at the latest, and whether there is one.
func (c *Core) NextWakeup() (time.Duration, bool) { return c.timers.NextExpiry() }

// Step takes the time and the events since the last call, in order, and returns what is to be done, valid
// until the next call. Times never go back. Events that name an unknown query or attempt are dropped. A
// QueryAbandoned event with OutcomeCancelled stands for a client that asked for a cancel.
func (c *Core) Step(now time.Duration, events []cresspass.Event) []Output {
	c.now = max(now, c.now)
	c.outputs, c.events, c.overdueQueries = c.outputs[:0], c.events[:0], c.overdueQueries[:0]
	for i := range events {
		c.applyEvent(&events[i])
	}
	c.timers.Advance(c.now, c.fireTimer)
	c.decide()
	// An attempt that was decided on but could not start is reported to the decision module at once: it did
	// not run.
	for len(c.events) > 0 {
		c.decide()
	}
	for _, id := range c.overdueQueries {
		c.failOverdue(id)
	}
	return c.outputs
}

// decide has the decider handle the pending events, and applies its actions.
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
	case q == nil: // it has ended
	case target.attempt != noAttempt:
		c.stopAttempt(q, target.attempt, cresspass.OutcomeTimedOut)
	case !q.ended:
		c.overdueQueries = append(c.overdueQueries, q.id)
	}
}

// failOverdue ends a query whose deadline and answer grace have passed. Without it, the client of a query
// that the decision module lost would wait forever. It runs after the decision module's own timers, which
// come due in the same step after a long pause of the process; that a query is ended here at all is a defect.
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
