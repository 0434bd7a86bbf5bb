// Package baseline has other deciders for the rehearsal kit: plain policies to compare the module with, and
// the module with one of its guards taken away, to see that the judge notices. None of it is in the
// dispatcher that ships.
package baseline

import (
	"fmt"
	"sort"
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
)

// New returns the decider of a name: "" or "cresspass" is the module, "round-robin" and "least-connections"
// are plain. mutation 1 to 7 takes away the guard of that rule; 0 none.
func New(policy string, mutation int, cfg cresspass.Config) (dispatch.Decider, error) {
	switch policy {
	case "", "cresspass":
		return newMutant(mutation, cfg)
	case "round-robin", "least-connections":
		if mutation != 0 {
			return nil, fmt.Errorf("baseline: a mutation is of the module, not of %s", policy)
		}
		return newPlain(cfg, policy == "least-connections"), nil
	}
	return nil, fmt.Errorf("baseline: there is no policy %q", policy)
}

// plainDecider admits everything and sends it on at once. It heeds the list, tries safe queries again
// elsewhere, and answers in the client's time; it knows nothing of mixes, cold engines, order, placement or
// a budget.
type plainDecider struct {
	cfg              cresspass.Config
	leastConnections bool
	now              time.Duration
	classes          map[string]cresspass.Class
	engines          []cresspass.EngineID // that are on, by name
	running          map[cresspass.EngineID]int
	cursor           int
	queries          map[cresspass.QueryID]*plainQuery
	actions          []cresspass.Action
}

type plainQuery struct {
	id         cresspass.QueryID
	class      cresspass.Class
	deadline   time.Duration
	attempts   int
	mayHaveRun bool
	inFlight   bool // an attempt has no outcome
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
	q := p.queries[ev.Query]
	switch ev.Type {
	case cresspass.EngineListReceived:
		if ev.ListType == cresspass.ListFailed {
			return
		}
		p.engines = p.engines[:0]
		for _, e := range ev.Engines {
			if e.State == cresspass.EngineActive {
				p.engines = append(p.engines, e.ID)
			}
		}
		sort.Slice(p.engines, func(a, b int) bool { return p.engines[a] < p.engines[b] })
	case cresspass.QueryArrived:
		q = &plainQuery{id: ev.Query, class: p.classes[ev.Class], deadline: p.now + ev.RemainingDeadline}
		p.queries[q.id] = q
		p.emit(
			cresspass.Action{Type: cresspass.SetTimer, Wait: max(ev.RemainingDeadline-20*time.Millisecond, 1),
				Label: uint64(q.id)},
		)
		p.send(q)
	case cresspass.TimerFired:
		if q = p.queries[cresspass.QueryID(ev.Label)]; q != nil && !q.done {
			p.finish(q)
		}
	case cresspass.QueryAbandoned:
		if q != nil {
			q.done = true
			p.forget(q)
		}
	case cresspass.AttemptDone:
		p.running[ev.Engine]--
		if q == nil {
			return
		}
		q.inFlight = false
		q.mayHaveRun = q.mayHaveRun || !ev.Outcome.NeverRan()
		switch {
		case q.done || ev.QueryFinished:
			q.done = true
			p.forget(q)
		case q.attempts < max(p.cfg.MaxAttempts, 1) && (q.class.Effect == cresspass.Idempotent ||
			!q.mayHaveRun) &&
			p.now < q.deadline:
			p.send(q)
		default:
			p.finish(q)
		}
	}
}

func (p *plainDecider) forget(q *plainQuery) {
	if !q.inFlight {
		delete(p.queries, q.id)
	}
}

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
		for i := range p.engines { // ties go on from where the last search began
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

// Mutant is the module with a guard taken away.
type Mutant struct {
	*cresspass.Gateway
	rule int
	buf  []cresspass.Event
}

func newMutant(rule int, cfg cresspass.Config) (dispatch.Decider, error) {
	cfg.Classes = append([]cresspass.Class(nil), cfg.Classes...)
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		switch rule {
		case 2:
			c.Effect = cresspass.Idempotent
		case 5:
			c.OrderedByKey = false
		case 6:
			c.AllowedKinds, c.AllowedZones = nil, nil
		}
	}
	switch rule {
	case 4:
		cfg.Rules.SlowStartOverloadFactor, cfg.Rules.SlowStartDuration = 0, 0
	case 7:
		cfg.Rules.HasRetryBudget = false
	}
	g, err := cresspass.New(cfg)
	if err != nil || rule == 0 {
		return g, err
	}
	return &Mutant{Gateway: g, rule: rule}, nil
}

// Handle gives the module events that hide from it what its guard would act on.
func (m *Mutant) Handle(now time.Duration, events []cresspass.Event,
	actions []cresspass.Action) []cresspass.Action {
	m.buf = append(m.buf[:0], events...)
	for i := range m.buf {
		switch ev := &m.buf[i]; {
		case m.rule == 1 && ev.Type == cresspass.QueryArrived:
			ev.RemainingDeadline *= 3
		case m.rule == 3 && ev.Type == cresspass.EngineListReceived:
			ev.Engines = append([]cresspass.EngineInfo(nil), ev.Engines...)
			for j := range ev.Engines {
				if ev.Engines[j].State == cresspass.EngineDraining {
					ev.Engines[j].State = cresspass.EngineActive
				}
			}
		}
	}
	return m.Gateway.Handle(now, m.buf, actions)
}

// LoosenRule takes away, with the module's guard of a rule, the dispatcher's own behind it.
func LoosenRule(rule int, cfg *cresspass.Config) {
	if rule == 1 {
		cfg.Rules.AnswerGrace = time.Minute // its last resort for a query that the module forgot
	}
}
