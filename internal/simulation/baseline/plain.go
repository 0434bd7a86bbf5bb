package baseline

import (
	"slices"
	"time"

	"cresspass"
)

// answerMargin is how long before a query's deadline a plainDecider answers it.
const answerMargin = 20 * time.Millisecond

// plainDecider admits every query and sends it immediately. It follows the engine list, retries idempotent
// queries on other engines, and answers before the deadline. It ignores query mixes, slow start, ordering,
// placement constraints and retry budgets.
type plainDecider struct {
	cfg              cresspass.Config
	leastConnections bool // otherwise round robin
	now              time.Duration
	classes          map[string]cresspass.Class
	engines          []cresspass.EngineID       // the active ones, sorted
	running          map[cresspass.EngineID]int // attempts in flight
	cursor           int                        // of the round robin over engines
	queries          map[cresspass.QueryID]*plainQuery
	actions          []cresspass.Action
}

// plainQuery is a query that is open or has an attempt in flight.
type plainQuery struct {
	id         cresspass.QueryID
	class      cresspass.Class
	deadline   time.Duration
	attempts   int
	mayHaveRun bool // an attempt may have run at an engine
	inFlight   bool // an attempt has no outcome yet
	done       bool
}

func newPlain(cfg cresspass.Config, least bool) *plainDecider {
	p := &plainDecider{cfg: cfg, leastConnections: least, classes: map[string]cresspass.Class{},
		running: map[cresspass.EngineID]int{},
		queries: map[cresspass.QueryID]*plainQuery{}}
	for _, c := range cfg.Classes {
		p.classes[c.Name] = c
	}
	return p
}

func (p *plainDecider) Snapshot() []byte                             { return nil }
func (p *plainDecider) Restore(data []byte, age time.Duration) error { return nil }

func (p *plainDecider) Handle(now time.Duration, events []cresspass.Event,
	actions []cresspass.Action) []cresspass.Action {
	p.now, p.actions = now, actions
	for i := range events {
		p.handleEvent(&events[i])
	}
	return p.actions
}

func (p *plainDecider) emit(a cresspass.Action) { p.actions = append(p.actions, a) }

func (p *plainDecider) handleEvent(ev *cresspass.Event) {
	switch ev.Type {
	case cresspass.EngineListReceived:
		if ev.ListType != cresspass.ListFailed {
			p.updateEngines(ev.Engines)
		}
	case cresspass.QueryArrived:
		q := &plainQuery{id: ev.Query, class: p.classes[ev.Class], deadline: p.now + ev.RemainingDeadline}
		p.queries[q.id] = q
		p.emit(cresspass.Action{Type: cresspass.SetTimer, Label: uint64(q.id),
			Wait: max(ev.RemainingDeadline-answerMargin, 1)})
		p.send(q)
	case cresspass.TimerFired:
		if q := p.queries[cresspass.QueryID(ev.Label)]; q != nil && !q.done {
			p.finish(q)
		}
	case cresspass.QueryAbandoned:
		if q := p.queries[ev.Query]; q != nil {
			q.done = true
			p.forget(q)
		}
	case cresspass.AttemptDone:
		p.handleAttemptDone(ev)
	}
}

func (p *plainDecider) updateEngines(engines []cresspass.EngineInfo) {
	p.engines = p.engines[:0]
	for _, e := range engines {
		if e.State == cresspass.EngineActive {
			p.engines = append(p.engines, e.ID)
		}
	}
	slices.Sort(p.engines)
}

func (p *plainDecider) handleAttemptDone(ev *cresspass.Event) {
	p.running[ev.Engine]--
	q := p.queries[ev.Query]
	if q == nil {
		return
	}
	q.inFlight = false
	q.mayHaveRun = q.mayHaveRun || !ev.Outcome.NeverRan()
	mayRepeat := q.class.Effect == cresspass.Idempotent || !q.mayHaveRun
	switch {
	case q.done || ev.QueryFinished:
		q.done = true
		p.forget(q)
	case mayRepeat && q.attempts < max(p.cfg.MaxAttempts, 1) && p.now < q.deadline:
		p.send(q)
	default:
		p.finish(q)
	}
}

// forget deletes a query that is done, unless an attempt of it is still in flight.
func (p *plainDecider) forget(q *plainQuery) {
	if !q.inFlight {
		delete(p.queries, q.id)
	}
}

// finish answers a query without an engine's answer, and cancels its attempt in flight. It rejects queries
// that are safe to repeat and fails the others.
func (p *plainDecider) finish(q *plainQuery) {
	q.done = true
	if q.class.Effect == cresspass.Idempotent || !q.mayHaveRun && !q.inFlight {
		p.emit(cresspass.Action{Type: cresspass.Reject, Query: q.id})
	} else {
		p.emit(cresspass.Action{Type: cresspass.Fail, Query: q.id})
	}
	if q.inFlight && p.cfg.MayCancel {
		p.emit(cresspass.Action{Type: cresspass.Cancel, Query: q.id, Attempt: q.attempts - 1})
	}
	p.forget(q)
}

func (p *plainDecider) send(q *plainQuery) {
	if len(p.engines) == 0 {
		p.finish(q)
		return
	}
	p.cursor++
	e := p.engines[p.cursor%len(p.engines)]
	if p.leastConnections {
		for i := range p.engines { // from the cursor on, so that ties are distributed
			if c := p.engines[(p.cursor+i)%len(p.engines)]; p.running[c] < p.running[e] {
				e = c
			}
		}
	}
	q.attempts++
	q.inFlight = true
	p.running[e]++
	p.emit(cresspass.Action{Type: cresspass.Send, Query: q.id, Engine: e})
}
