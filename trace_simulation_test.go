package cresspass

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const traceStep = 5 * time.Millisecond

type traceTimer struct {
	at    time.Duration
	label uint64
}

type traceQuery struct {
	attempts     int
	ended        bool
	opensSession bool
}

type traceAttempt struct {
	gateway        int
	query          QueryID
	number         int
	engine         int
	sentAt, endsAt time.Duration
	notedAt        time.Duration
	work           time.Duration
	outcome        Outcome
}

// traceEngine is a simulated engine. It slows down as more queries run on it.
type traceEngine struct {
	info                   EngineInfo
	running                float64
	failing, hanging, full bool
	slowness               float64
}

type traceSession struct {
	gateway, engine int
}

type traceRun struct {
	t        *testing.T
	s        traceScenario
	random   *rand.Rand
	now      time.Duration
	gateways []*Gateway
	inbox    [][]Event
	timers   [][]traceTimer
	engines  []*traceEngine
	running  []*traceAttempt
	queries  map[QueryID]*traceQuery // only for lookups: its order is not used
	sessions []traceSession
	next     QueryID
	rate     float64
	out      *bytes.Buffer
}

func (r *traceRun) listedEngines() (all []EngineInfo) {
	for _, e := range r.engines {
		if e.info.State != EngineRemoved {
			all = append(all, e.info)
		}
	}
	return all
}

func (r *traceRun) deliverToAll(ev Event) {
	for i := range r.inbox {
		r.inbox[i] = append(r.inbox[i], ev)
	}
}

// script applies the faults of a run, the same ones at the same tenths of a second in each run.
func (r *traceRun) script(step int) {
	tenth := step / 20
	if step%20 != 0 {
		return
	}
	e := func(i int) *traceEngine { return r.engines[i%len(r.engines)] }
	change := func(i int, state EngineState, started time.Duration) {
		e(i).info.State, e(i).info.StartedAt = state, started
		r.deliverToAll(
			Event{Type: EngineListReceived, ListType: ListIncremental, Engines: []EngineInfo{e(i).info}},
		)
	}
	switch tenth {
	case 30:
		e(1).failing = true
	case 50:
		e(2).hanging = true
	case 60:
		e(1).failing = false
	case 70:
		r.deliverToAll(Event{Type: EngineListReceived, ListType: ListFailed})
	case 75:
		e(2).hanging = false
	case 80:
		change(3, EngineDraining, 0)
	case 88:
		change(3, EngineRemoved, 0)
	case 95:
		change(3, EngineActive, r.now)
	case 110:
		e(0).full = true
	case 115:
		e(0).full = false
	case 120:
		e(4).slowness = 5
	case 125:
		r.deliverToAll(Event{Type: EngineReportedDown, Engine: e(4).info.ID})
		r.deliverToAll(Event{Type: EngineReportedDown, Engine: "nobody"})
	case 130:
		r.deliverToAll(Event{Type: EngineListReceived, ListType: ListComplete, Engines: r.listedEngines()})
	case 140:
		r.membership(r.s.cfg.GatewayCount+1, 250*time.Millisecond)
	case 150:
		e(4).slowness = 1
		r.rate = 6 * r.s.queriesPerSecond
	case 175:
		r.rate = r.s.queriesPerSecond
	case 180:
		r.membership(r.s.cfg.GatewayCount, -400*time.Millisecond)
	case 190:
		for _, it := range r.engines {
			it.slowness = 3
		}
	case 200:
		for _, it := range r.engines {
			it.slowness = 1
		}
	case 205:
		r.inbox[0] = append(r.inbox[0], Event{Type: ShutdownScheduled, RemainingDeadline: 900 * ms})
	}
}

func (r *traceRun) membership(count int, ahead time.Duration) {
	for i := range r.inbox {
		r.inbox[i] = append(
			r.inbox[i],
			Event{Type: MembershipChanged, Peer: i, Value: float64(count), Elapsed: r.now + ahead},
		)
	}
}

func (r *traceRun) step() {
	for i := range r.gateways {
		r.fireTimers(i)
	}
	r.endAttempts()
	for i := range r.gateways {
		if r.random.Float64() < r.rate*traceStep.Seconds() {
			r.newQuery(i)
		}
		r.strayEvents(i)
	}
	for i, g := range r.gateways {
		if len(r.inbox[i]) == 0 {
			continue
		}
		events := r.inbox[i]
		r.inbox[i] = nil
		for j, a := range g.Handle(r.now, events, nil) {
			r.write(i, j, &a)
			r.execute(i, &a)
		}
	}
}

// fireTimers delivers the due timers of gateway i.
func (r *traceRun) fireTimers(i int) {
	var later []traceTimer
	for _, timer := range r.timers[i] {
		if timer.at > r.now {
			later = append(later, timer)
			continue
		}
		r.inbox[i] = append(r.inbox[i], Event{Type: TimerFired, Label: timer.label})
	}
	r.timers[i] = later
}

func (r *traceRun) endAttempts() {
	var later []*traceAttempt
	for _, a := range r.running {
		switch {
		case a.endsAt <= r.now:
			r.endAttempt(a)
			continue
		case r.s.cfg.ProgressInterval > 0 && r.now >= a.notedAt+r.s.cfg.ProgressInterval &&
			!r.engines[a.engine].hanging:
			a.notedAt = r.now
			note := Event{
				Type:    ProgressReported,
				Query:   a.query,
				Attempt: a.number,
				Engine:  r.engines[a.engine].info.ID,
				Note:    NoteFractionDone,
				Value:   (r.now - a.sentAt).Seconds() / (a.endsAt - a.sentAt).Seconds(),
			}
			if r.random.IntN(12) == 0 {
				note.Note, note.Value = NoteSpilled, 50
			}
			r.inbox[a.gateway] = append(r.inbox[a.gateway], note)
		}
		later = append(later, a)
	}
	r.running = later
}

func (r *traceRun) endAttempt(a *traceAttempt) {
	q, e := r.queries[a.query], r.engines[a.engine]
	e.running--
	ev := Event{
		Type:    AttemptDone,
		Query:   a.query,
		Attempt: a.number,
		Engine:  e.info.ID,
		Outcome: a.outcome,
		Elapsed: r.now - a.sentAt,
	}
	if a.outcome == OutcomeOK && !q.ended {
		q.ended, ev.QueryFinished = true, true
		if r.s.cfg.ReportsCost {
			ev.ActualCost, ev.ActualMemoryMB = a.work, float64(r.random.IntN(300))
		}
		if q.opensSession {
			r.sessions = append(r.sessions, traceSession{a.gateway, a.engine})
			r.inbox[a.gateway] = append(
				r.inbox[a.gateway],
				Event{Type: SessionCountChanged, Engine: e.info.ID, Value: 1},
			)
		}
	}
	ev.LoadReport, ev.HasLoadReport = r.loadReport(e)
	r.inbox[a.gateway] = append(r.inbox[a.gateway], ev)
}

func (r *traceRun) loadReport(e *traceEngine) ([]float64, bool) {
	if len(r.s.cfg.LoadReportFields) == 0 {
		return nil, false
	}
	reported := e.running * float64(1+r.random.IntN(3))
	return []float64{
		reported,
		float64(r.random.IntN(4)),
		min(1, reported/8),
		0.1 * reported * (0.5 + r.random.Float64()),
	}, true
}

func (r *traceRun) newQuery(i int) {
	k := r.s.cfg.Classes[0]
	if n := r.random.IntN(10); n >= 5 {
		k = r.s.cfg.Classes[r.random.IntN(len(r.s.cfg.Classes))]
	}
	id := r.next
	r.next++
	q := &traceQuery{}
	r.queries[id] = q
	ev := Event{
		Type:              QueryArrived,
		Query:             id,
		Class:             k.Name,
		RemainingDeadline: k.Deadline,
		TableGroup:        float64(r.random.IntN(3)),
		MemoryEstimateMB:  float64(r.random.IntN(3) * 150),
		Tenant:            []string{"", "t1", "t2"}[r.random.IntN(3)],
	}
	if r.random.IntN(10) < 7 {
		ev.HasCostEstimate, ev.CostEstimate = true, time.Duration(20+r.random.IntN(700))*ms
		if r.random.IntN(12) == 0 {
			ev.CostEstimate *= 8
		}
	}
	if k.OrderedByKey {
		ev.Key = fmt.Sprint("k", r.random.IntN(3))
	}
	switch r.random.IntN(20) {
	case 0:
		ev.IsRetry, ev.RemainingDeadline = true, k.Deadline/2
	case 1:
		ev.AddsNoRetryBudget = true
	case 2:
		ev.RemainingDeadline = time.Duration(r.random.IntN(500)) * ms
	case 3, 4:
		ev.OpensSession, q.opensSession = true, true
	case 5, 6:
		if n := len(r.sessions); n > 0 {
			if s := r.sessions[r.random.IntN(n)]; s.gateway == i {
				ev.StickyEngine = r.engines[s.engine].info.ID
			}
		}
	case 7:
		if r.random.IntN(3) == 0 {
			ev.Class, q.ended = "unknown", true
		}
	}
	r.inbox[i] = append(r.inbox[i], ev)
	if r.random.IntN(15) == 0 && id > 20 {
		left := id - QueryID(r.random.IntN(20))
		if old := r.queries[left]; !old.ended {
			old.ended = true
			r.deliverToAll(Event{Type: QueryAbandoned, Query: left})
		}
	}
}

// strayEvents randomly adds forged messages, ends of sessions, and events about unknown queries and engines.
func (r *traceRun) strayEvents(i int) {
	switch r.random.IntN(400) {
	case 0:
		data := make([]byte, r.random.IntN(40))
		for j := range data {
			data[j] = byte(r.random.IntN(256))
		}
		r.inbox[i] = append(
			r.inbox[i],
			Event{Type: PeerMessageReceived, Peer: r.random.IntN(8) - 1, Data: data},
		)
	case 1:
		r.inbox[i] = append(
			r.inbox[i],
			Event{Type: AttemptDone, Query: 1 << 40},
			Event{Type: HealthCheckDone, Engine: "nobody"},
		)
	case 2:
		if n := len(r.sessions); n > 4 {
			s := r.sessions[0]
			r.sessions = r.sessions[1:]
			r.inbox[s.gateway] = append(r.inbox[s.gateway],
				Event{Type: SessionCountChanged, Engine: r.engines[s.engine].info.ID, Value: -1})
		}
	}
}

func (r *traceRun) engine(id EngineID) int {
	for i, e := range r.engines {
		if e.info.ID == id {
			return i
		}
	}
	r.t.Fatalf("unknown engine %q", id)
	return 0
}

// execute executes one action of gateway i.
func (r *traceRun) execute(i int, a *Action) {
	switch a.Type {
	case SetTimer:
		r.timers[i] = append(r.timers[i], traceTimer{r.now + a.Wait, a.Label})
	case Send:
		r.send(i, a)
	case SendToPeer:
		for to := range r.gateways {
			if to != i && (a.Peer == -1 || a.Peer == to) && r.random.IntN(30) > 0 {
				r.inbox[to] = append(
					r.inbox[to],
					Event{Type: PeerMessageReceived, Peer: i, Data: bytes.Clone(a.Data)},
				)
			}
		}
	case Reject, Fail:
		r.queries[a.Query].ended = true
	case CheckHealth:
		e := r.engines[r.engine(a.Engine)]
		ev := Event{Type: HealthCheckDone, Engine: a.Engine, Outcome: OutcomeOK, Elapsed: 2 * ms}
		if e.failing || e.hanging {
			ev.Outcome = OutcomeTimedOut
		}
		ev.LoadReport, ev.HasLoadReport = r.loadReport(e)
		r.inbox[i] = append(r.inbox[i], ev)
	case Cancel:
		for _, running := range r.running {
			if running.gateway == i && running.query == a.Query && running.number == a.Attempt {
				running.endsAt, running.outcome = r.now+10*ms, OutcomeCancelled
			}
		}
	case SubscribeEngineList:
		r.inbox[i] = append(
			r.inbox[i],
			Event{Type: EngineListReceived, ListType: ListComplete, Engines: r.listedEngines()},
		)
	}
}

func (r *traceRun) send(i int, a *Action) {
	q, n := r.queries[a.Query], r.engine(a.Engine)
	e := r.engines[n]
	work := time.Duration((0.03 + 0.5*r.random.Float64()*r.random.Float64()) * float64(time.Second))
	if r.random.IntN(40) == 0 {
		work *= 10 // a bad plan
	}
	took := time.Duration(float64(work) * e.slowness * (1 + e.running/8))
	started := &traceAttempt{gateway: i, query: a.Query, number: q.attempts, engine: n, sentAt: r.now,
		notedAt: r.now, endsAt: r.now + took, work: work, outcome: OutcomeOK}
	q.attempts++
	switch chance := r.random.Float64(); {
	case e.info.State == EngineRemoved:
		started.endsAt, started.outcome = r.now+traceStep, OutcomeConnectFailed
	case e.full:
		started.endsAt, started.outcome = r.now+traceStep, OutcomeRejected
	case e.failing:
		started.endsAt, started.outcome = r.now+2*traceStep, OutcomeFailed
	case e.hanging || chance < r.s.lostShare:
		started.endsAt, started.outcome = r.now+5*time.Second, OutcomeTimedOut
	case chance > 0.99:
		started.endsAt, started.outcome = r.now+took/2, OutcomeConnectionReset
	case chance > 0.985:
		started.endsAt, started.outcome = r.now+traceStep, OutcomeNotStarted
	}
	e.running++
	r.running = append(r.running, started)
}
