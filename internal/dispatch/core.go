// Package dispatch connects the decision module with the frontends and the engines. Core passes the events of
// clients, engines and discovery to the decision module, and turns the module's actions into outputs that a
// shell executes. Core has no I/O, no clock and no goroutine. Loop runs a Core in a goroutine.
//
// The decision module decides when and where an attempt starts, whether it is retried, and when a query is
// rejected. Core does the bookkeeping that the protocols require: each attempt has one outcome, each query
// ends once, and no attempt starts for a query that has ended. Nothing here may decide by load or by an
// engine's state.
package dispatch

import (
	"time"

	"cresspass"
	"cresspass/internal/timingwheel"
)

// TimerResolution is the resolution of a Core's timers.
const TimerResolution = time.Millisecond

// Decider is the decision module: it handles events and returns actions. The program uses cresspass.Gateway,
// whose methods document the contract. The rehearsal uses other deciders in its place, to compare their
// results and to test that the rule checker finds the rules that these deciders break.
type Decider interface {
	Handle(now time.Duration, events []cresspass.Event, actions []cresspass.Action) []cresspass.Action
	Snapshot() []byte
	Restore(data []byte, age time.Duration) error
}

// Core is the dispatcher's state and logic without I/O. Its methods must not be called concurrently.
type Core struct {
	decider              Decider
	idempotentClasses    map[string]bool
	deduplicationWindows map[string]time.Duration // of classes with an idempotency key
	answerGrace          time.Duration
	windowMargin         time.Duration // by which every deduplication window is shortened
	timers               *timingwheel.Wheel[timerTarget]
	queries              map[cresspass.QueryID]*query
	now                  time.Duration
	stats                Stats

	// Buffers that each step reuses.
	events         []cresspass.Event
	actions        []cresspass.Action
	outputs        []Output
	overdueQueries []cresspass.QueryID // whose answer grace ended in this step
}

// timerOwner is a Decider that tells which query a timer belongs to, as cresspass.Gateway does.
type timerOwner interface {
	TimerQuery(label uint64) (id cresspass.QueryID, ok bool)
}

// noAttempt is the attempt of a timerTarget that belongs to the query as a whole.
const noAttempt = -1

// timerTarget identifies what a timer is for. If isModuleTimer is set, it is a timer of the decision module
// with the given label. Otherwise it is the timeout of an attempt or, if attempt is noAttempt, the end of a
// query's answer grace.
type timerTarget struct {
	isModuleTimer bool
	label         uint64
	query         cresspass.QueryID
	attempt       int
	due           time.Duration
}

// maxTimerDelay is how long a timer is kept before it is checked again. A query can be cancelled long before
// its deadline; without a check, the timers of cancelled queries would be kept until then.
const maxTimerDelay = time.Second

// NewCore returns a Core with a new cresspass.Gateway, its time starting at now. It returns the gateway's
// error if the configuration is invalid.
func NewCore(cfg cresspass.Config, now time.Duration) (*Core, error) {
	gateway, err := cresspass.New(cfg)
	if err != nil {
		return nil, err
	}
	return NewCoreWithDecider(gateway, cfg, now), nil
}

// windowMarginTicks is the number of ticks by which every deduplication window is shortened. A tick is the
// batch interval, but no less than TimerResolution.
const windowMarginTicks = 2

// NewCoreWithDecider returns a Core with a decider, its time starting at now.
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

// Snapshot returns the decision module's learned state.
func (c *Core) Snapshot() []byte { return c.decider.Snapshot() }

// Restore makes the decision module adopt a snapshot that was taken age ago.
func (c *Core) Restore(data []byte, age time.Duration) error { return c.decider.Restore(data, age) }

// NextWakeup returns the latest time for the next call of Step, and false if no timer is pending.
func (c *Core) NextWakeup() (time.Duration, bool) { return c.timers.NextExpiry() }

// Step handles the events since the last call, in order, and the timers that are due at now. It returns the
// outputs to execute, which are valid until the next call. If now is earlier than in the last call, the time
// of the last call is used. Events that name an unknown query or attempt are dropped. A QueryAbandoned event
// with OutcomeCancelled means that the client asked for a cancel.
func (c *Core) Step(now time.Duration, events []cresspass.Event) []Output {
	c.now = max(now, c.now)
	c.outputs, c.events, c.overdueQueries = c.outputs[:0], c.events[:0], c.overdueQueries[:0]
	for i := range events {
		c.applyEvent(&events[i])
	}
	c.timers.Advance(c.now, c.fireTimer)
	c.decide()
	// Attempts that were decided on but not started are reported to the decision module at once: they did
	// not run.
	for len(c.events) > 0 {
		c.decide()
	}
	for _, id := range c.overdueQueries {
		c.failOverdue(id)
	}
	return c.outputs
}

// decide lets the decider handle the pending events and applies its actions.
func (c *Core) decide() {
	events := c.events
	c.actions = c.decider.Handle(c.now, events, c.actions[:0])
	c.events = c.events[:0]
	for i := range c.actions {
		c.applyAction(&c.actions[i])
	}
}

// schedule sets a timer.
func (c *Core) schedule(due time.Duration, target timerTarget) {
	target.due = due
	c.timers.Schedule(min(due, c.now+maxTimerDelay), target)
}

// needsTimer reports whether a timer still has an effect.
func (c *Core) needsTimer(target timerTarget) bool {
	if target.isModuleTimer {
		return c.needsModuleTimer(target.label)
	}
	if target.attempt != noAttempt {
		return c.queries[target.query].attemptIndex(target.attempt) >= 0
	}
	return c.isOpen(target.query)
}

// needsModuleTimer reports whether a timer of the decision module may still have an effect.
func (c *Core) needsModuleTimer(label uint64) bool {
	owner, ok := c.decider.(timerOwner)
	if !ok {
		return true
	}
	id, ok := owner.TimerQuery(label)
	return !ok || c.isOpen(id)
}

// isOpen reports whether a query has not ended.
func (c *Core) isOpen(id cresspass.QueryID) bool {
	q := c.queries[id]
	return q != nil && !q.ended
}

// fireTimer handles a timer that has expired, or that is to be checked.
func (c *Core) fireTimer(target timerTarget) {
	if target.due > c.now {
		if c.needsTimer(target) {
			c.schedule(target.due, target)
		}
		return
	}
	switch q := c.queries[target.query]; {
	case target.isModuleTimer:
		c.events = append(c.events, cresspass.Event{Type: cresspass.TimerFired, Label: target.label})
	case q == nil: // the query has ended
	case target.attempt != noAttempt:
		c.stopAttempt(q, target.attempt, cresspass.OutcomeTimedOut)
	case !q.ended:
		c.overdueQueries = append(c.overdueQueries, q.id)
	}
}

// failOverdue fails a query whose deadline and answer grace have passed. Without this, the client of a query
// that the decision module lost would wait forever. failOverdue runs after the decision module's own timers,
// which are due in the same step if the process was paused for long. Each query that ends here shows a
// defect.
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
