package simulation

import (
	"fmt"
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
	"cresspass/internal/simulation/enginemodel"
)

// job is an attempt of a query at an engine.
type job struct {
	dispatcher  *dispatcher
	incarnation uint64 // of the dispatcher
	query       cresspass.QueryID
	attempt     int
	sentAt      time.Duration
	running     *enginemodel.Running // nil: not at the engine yet
	engine      *engine
}

// jobKey identifies a job within its dispatcher.
type jobKey struct {
	query   cresspass.QueryID
	attempt int
}

func (j *job) key() jobKey { return jobKey{j.query, j.attempt} }

// isCurrent reports whether the job's dispatcher still waits for it.
func (j *job) isCurrent() bool {
	d := j.dispatcher
	return d.incarnation == j.incarnation && d.jobs[j.key()] == j
}

// doneEvent returns the AttemptDone event of the job, without its outcome.
func (j *job) doneEvent() cresspass.Event {
	return cresspass.Event{Type: cresspass.AttemptDone, Query: j.query, Attempt: j.attempt,
		Engine: j.engine.id}
}

// startAttempt sends a query to an engine.
func (d *dispatcher) startAttempt(o dispatch.Output) {
	f := d.fleet
	req, e := d.requests[o.Query], f.byID[o.Engine]
	if req == nil || e == nil {
		d.post(0, cresspass.Event{Type: cresspass.AttemptDone, Query: o.Query, Attempt: o.Attempt,
			Engine: o.Engine, Outcome: cresspass.OutcomeConnectFailed})
		return
	}
	f.checkSend(d, e, o.Attempt)
	j := &job{dispatcher: d, incarnation: d.incarnation, query: o.Query, attempt: o.Attempt,
		sentAt: f.queue.Now(), engine: e}
	d.jobs[j.key()] = j
	informed := e.listedAt > 0
	f.queue.In(f.cfg.TransitTime, func() {
		if j.isCurrent() { // otherwise it was withdrawn in transit
			f.arriveAtEngine(j, req, o, informed)
		}
	})
}

// arriveAtEngine starts a query at its engine. informed means that the dispatcher knew the engine's current
// state when it sent the query.
func (f *Fleet) arriveAtEngine(j *job, req *request, o dispatch.Output, informed bool) {
	d, e := j.dispatcher, j.engine
	refuse := func(outcome cresspass.Outcome) {
		delete(d.jobs, j.key())
		ev := j.doneEvent()
		ev.Outcome = outcome
		d.post(f.cfg.TransitTime, ev)
	}
	if !e.up {
		refuse(cresspass.OutcomeConnectFailed)
		return
	}
	if e.faults.errorShare > 0 && f.random.Float64() < e.faults.errorShare {
		refuse(cresspass.OutcomeFailed)
		return
	}
	f.recordArrival(e, req.work, informed)
	tables := ""
	if req.tableGroup > 0 {
		tables = fmt.Sprint(req.tableGroup)
	}
	t := &f.cfg.Traffic[req.traffic]
	j.running = e.model.Start(f.queue.Now(), enginemodel.Job{Work: req.work, Threads: t.Threads,
		NeedMB: t.NeedMB, GrantMB: o.MemoryGrantMB, DataSet: tables, IsLoad: t.IsLoad,
		Priority: max(o.Priority, 0)})
	if e.model.Collapsed() {
		f.engineCollapsed(e)
		return
	}
	if j.running == nil {
		refuse(cresspass.OutcomeRejected)
	} else {
		e.jobs[j.running] = j
	}
	f.scheduleEngine(e)
}

// stopAttempt cancels an attempt for the core.
func (d *dispatcher) stopAttempt(o dispatch.Output) {
	j := d.jobs[jobKey{o.Query, o.Attempt}]
	if j == nil {
		return
	}
	d.withdraw(j)
	d.post(0, cresspass.Event{Type: cresspass.AttemptDone, Query: o.Query, Attempt: o.Attempt,
		Engine: o.Engine, Outcome: o.Outcome})
}

// withdraw removes a job from its engine and its dispatcher.
func (d *dispatcher) withdraw(j *job) {
	f := d.fleet
	if j.running != nil {
		delete(j.engine.jobs, j.running)
		j.engine.model.End(f.queue.Now(), j.running)
		f.scheduleEngine(j.engine)
	}
	delete(d.jobs, j.key())
}

// attemptEnded sends the answer of a finished job to its dispatcher, which passes it on to the client.
func (d *dispatcher) attemptEnded(j *job) {
	f := d.fleet
	if j.engine.faults.lostShare > 0 && f.random.Float64() < j.engine.faults.lostShare {
		return // the answer is lost
	}
	report, hasReport := f.latestReport(j.engine)
	f.queue.In(f.cfg.TransitTime, func() {
		if !d.up || !j.isCurrent() {
			return
		}
		delete(d.jobs, j.key())
		if req := d.requests[j.query]; req != nil {
			delete(d.requests, j.query)
			f.finishRequest(req, d, Served, 0)
		}
		if d.member != nil {
			d.member.Node.RecordAttempt(d.member.now(f.queue), j.engine.id, true, -1)
		}
		ev := j.doneEvent()
		ev.Outcome, ev.Elapsed, ev.QueryFinished = cresspass.OutcomeOK, f.queue.Now()-j.sentAt, true
		ev.LoadReport, ev.HasLoadReport = report, hasReport
		d.step(ev)
	})
}

// checkHealth checks an engine's health and hands the result to the core after a round trip.
func (d *dispatcher) checkHealth(id cresspass.EngineID) {
	f := d.fleet
	e := f.byID[id]
	if e == nil {
		return
	}
	roundTrip := 2 * f.cfg.TransitTime
	ev := cresspass.Event{Type: cresspass.HealthCheckDone, Engine: id, Elapsed: roundTrip}
	if !e.up {
		ev.Outcome = cresspass.OutcomeConnectFailed
	} else {
		ev.LoadReport, ev.HasLoadReport = f.latestReport(e)
	}
	d.post(roundTrip, ev)
}
