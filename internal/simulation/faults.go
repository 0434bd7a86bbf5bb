package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cresspass"
	"cresspass/internal/simulation/enginemodel"
)

// Fault is one thing that goes wrong, by the rehearsal's names.
type Fault struct {
	Kind       string
	At, For    time.Duration
	Engines    []int
	Dispatcher int
	Size       float64 // factor, share or seconds, by kind
	Class      string
}

// engineFaults are what is wrong with an engine.
type engineFaults struct {
	errorShare, lostShare float64 // shares
}

// RuleViolations counts what broke a rule.
type RuleViolations struct {
	LateAnswers         int // answers after the client's time (rule 1)
	SendsToDrained      int // sends to an engine later than the grace after the drain was told (rule 3)
	InformedCollapses   int // engines pushed over while cold by those who were told of their start (rule 4)
	RetriesOverBudget   int // further attempts beyond it (rule 7)
	UninformedCollapses int // engines pushed over mostly by those who were not: no rule's
}

// Total is how many there are.
func (r RuleViolations) Total() int {
	return r.LateAnswers + r.SendsToDrained + r.InformedCollapses + r.RetriesOverBudget
}

// lateTolerance is the time of the way to a client, and of the timers' grain.
const lateTolerance = 100 * time.Millisecond

// reportInterval is how often an engine draws up a report.
const reportInterval = 200 * time.Millisecond

// loadReport is what an engine said of itself at a time.
type loadReport struct {
	at     time.Duration
	values []float64
}

func zoneOf(engines []Engine, i int) string { return engines[i%len(engines)].Zone }

// checkSend judges a send by the rules that are seen here.
func (f *Fleet) checkSend(d *dispatcher, e *engine, attempt int) {
	now, r := f.queue.Now(), &f.cfg.Module.Rules
	if e.state != cresspass.EngineActive && e.listedAt > 0 && now > e.listedAt+r.DrainGrace {
		f.result.Violations.SendsToDrained++
	}
	if attempt == 0 || !r.HasRetryBudget {
		return
	}
	from := now - r.RetryBudgetWindow
	old := func(at time.Duration) bool { return at < from }
	d.acceptTimes, d.retryTimes = slices.DeleteFunc(d.acceptTimes, old), slices.DeleteFunc(d.retryTimes, old)
	if d.retryTimes = append(d.retryTimes,
		now); float64(len(d.retryTimes)) > r.RetryBudgetFree+r.RetryBudgetRatio*float64(len(d.acceptTimes)) {
		f.result.Violations.RetriesOverBudget++
	}
}

// rateFactor is by how much more clients of a class come now.
func (f *Fleet) rateFactor(class string) float64 {
	v := f.load.burst
	if s := f.shift; s != nil {
		if s.Class == class {
			v *= s.Size
		} else {
			v *= 0.5
		}
	}
	return v
}

// pickDispatcher draws the dispatcher that a client asks.
func (f *Fleet) pickDispatcher(r *rand.Rand) int {
	n := f.cfg.Dispatchers
	x, y := r.Float64(), r.Float64()
	if f.hotDispatcher >= 0 && r.Float64() < f.load.hot {
		return f.hotDispatcher
	}
	busy := max(n/10, 1)
	if f.cfg.Imbalance > 0 && busy < n {
		if x < f.cfg.Imbalance {
			return int(y * float64(busy))
		}
		return busy + int(y*float64(n-busy))
	}
	return int(y * float64(n))
}

// listEntry is how an engine stood in the list.
type listEntry struct {
	state   cresspass.EngineState
	started time.Duration
}

// engineList is the engine list as it is now.
func (f *Fleet) engineList() (all []listEntry) {
	for _, e := range f.engines {
		all = append(all, listEntry{e.state, e.startedAt})
	}
	return all
}

// engineListEvent is an engine list as a dispatcher hears it, by its own clock.
func (d *dispatcher) engineListEvent(all []listEntry) cresspass.Event {
	ev := cresspass.Event{Type: cresspass.EngineListReceived, ListType: cresspass.ListComplete}
	for i, e := range d.fleet.engines {
		info := cresspass.EngineInfo{ID: e.id, State: all[i].state, Kind: e.Kind, Zone: e.Zone, Cell: e.Cell}
		if all[i].started > 0 {
			info.StartedAt = all[i].started - d.epoch
		}
		ev.Engines = append(ev.Engines, info)
	}
	return ev
}

// publishList has all dispatchers told of the list as it stands now, as late as lists are. Danger: were it
// the list as it stands when they hear of it, each change would bring word of later ones before their time.
func (f *Fleet) publishList(changed *engine) {
	after := f.cfg.ListDelay + f.listDelay + 10*time.Millisecond
	all := f.engineList()
	f.queue.In(after, func() {
		if was := all[changed.number]; was.state == changed.state && was.started == changed.startedAt {
			changed.listedAt = f.queue.Now()
		}
		for _, d := range f.dispatchers {
			if d.up && !d.bootstrapRequested {
				d.step(d.engineListEvent(all))
			}
		}
	})
}

// arrival is work that came to a cold engine.
type arrival struct {
	at       time.Duration
	work     float64
	informed bool // whoever sent it had been told of the engine's start
}

// recordArrival keeps what comes to a cold engine, as long as it counts.
func (f *Fleet) recordArrival(e *engine, work float64, told bool) {
	now := f.queue.Now()
	if e.startedAt == 0 || now-e.startedAt > e.Machine.SlowStartDuration {
		e.arrivals = nil
		return
	}
	e.arrivals = slices.DeleteFunc(e.arrivals,
		func(a arrival) bool { return now-a.at > e.Machine.SlowStartWindow })
	e.arrivals = append(e.arrivals, arrival{now, work, told})
}

func (f *Fleet) setState(e *engine, s cresspass.EngineState) {
	e.state = s
	e.listedAt = 0
	f.publishList(e)
}

// engineCrashed ends an engine: what it ran is lost.
func (f *Fleet) engineCrashed(e *engine) {
	e.up = false
	var jobs []*job
	for _, j := range e.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return int(
			a.dispatcher.number-b.dispatcher.number,
		)*1e6 + int(
			int64(a.query)-int64(b.query),
		)*10 + a.attempt - b.attempt
	})
	clear(e.jobs)
	for _, j := range jobs {
		if j.dispatcher.incarnation == j.incarnation && j.dispatcher.up &&
			j.dispatcher.jobs[jobKey{j.query, j.attempt}] == j {
			delete(j.dispatcher.jobs, jobKey{j.query, j.attempt})
			if j.dispatcher.member != nil {
				j.dispatcher.member.Node.RecordAttempt(j.dispatcher.member.now(f.queue), e.id, false, -1)
			}
			j.dispatcher.post(f.cfg.TransitTime, cresspass.Event{Type: cresspass.AttemptDone, Query: j.query,
				Attempt: j.attempt,
				Engine:  e.id, Outcome: cresspass.OutcomeConnectionReset})
		}
	}
	e.model = enginemodel.New(e.Machine, f.queue.Now(), true)
	e.nextEvent = math.MaxInt64
}

// engineCollapsed is an engine that was pushed over: the rule is broken where two thirds of what came were sent by those
// who had been told that it is cold.
func (f *Fleet) engineCollapsed(e *engine) {
	told, all := 0.0, 0.0
	for _, a := range e.arrivals {
		if all += a.work; a.informed {
			told += a.work
		}
	}
	if 3*told >= 2*all {
		f.result.Violations.InformedCollapses++
	} else {
		f.result.Violations.UninformedCollapses++
	}
	e.arrivals = nil
	f.engineCrashed(e)
	f.queue.In(5*time.Second, func() { f.engineRestarted(e) })
}

// engineRestarted brings an engine back, cold.
func (f *Fleet) engineRestarted(e *engine) {
	if e.up {
		return
	}
	e.up, e.startedAt, e.faults = true, f.queue.Now(), engineFaults{}
	e.model = enginemodel.New(e.Machine, f.queue.Now(), true)
	f.setState(e, cresspass.EngineActive)
}

// checkHealth asks an engine for a sign of life.
func (d *dispatcher) checkHealth(id cresspass.EngineID) {
	f := d.fleet
	e := f.byID[id]
	if e == nil {
		return
	}
	ev := cresspass.Event{Type: cresspass.HealthCheckDone, Engine: id, Elapsed: 2 * f.cfg.TransitTime}
	if !e.up {
		ev.Outcome = cresspass.OutcomeConnectFailed
	} else {
		ev.LoadReport, ev.HasLoadReport = f.latestReport(e)
	}
	d.post(2*f.cfg.TransitTime, ev)
}

// latestReport is what an engine tells of itself with an answer, as old as reports are.
func (f *Fleet) latestReport(e *engine) ([]float64, bool) {
	fields := f.cfg.Module.LoadReportFields
	if len(fields) == 0 {
		return nil, false
	}
	now := f.queue.Now()
	if n := len(e.reports); n == 0 || now-e.reports[n-1].at >= reportInterval {
		values := make([]float64, len(fields))
		for i, name := range fields {
			switch name {
			case "concurrent":
				values[i] = float64(len(e.model.Jobs()))
			case "x0":
				values[i] = e.model.Granted()
			}
		}
		e.reports = append(e.reports, loadReport{now, values})
		if len(e.reports) > 100 {
			e.reports = e.reports[50:]
		}
	}
	for i := len(e.reports) - 1; i >= 0; i-- {
		if now-e.reports[i].at >= f.cfg.ReportDelay+f.reportDelay {
			return e.reports[i].values, true
		}
	}
	return nil, false
}

// scheduleFault sets a trouble's beginning.
func (f *Fleet) scheduleFault(t Fault) error {
	for _, i := range t.Engines {
		if i < 0 || i >= len(f.engines) {
			return fmt.Errorf("model: trouble %s: there is no engine %d", t.Kind, i)
		}
	}
	if t.Dispatcher < 0 || t.Dispatcher >= len(f.dispatchers) {
		return fmt.Errorf("model: trouble %s: there is no dispatcher %d", t.Kind, t.Dispatcher)
	}
	if faultActions[t.Kind] == nil {
		return fmt.Errorf("model: there is no trouble %q here", t.Kind)
	}
	f.queue.At(t.At, func() { faultActions[t.Kind](f, t) })
	return nil
}

// FaultKinds are the names that are known here.
func FaultKinds() (out []string) {
	for name := range faultActions {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// faultActions play one each.
var faultActions map[string]func(f *Fleet, t Fault)

func init() {
	faultActions = map[string]func(f *Fleet, t Fault){
		"slow": func(f *Fleet, t Fault) { f.slowDown(t.Engines, t.Size, t.For) },
		"shared": func(f *Fleet, t Fault) {
			var all []int
			for i := range f.engines {
				all = append(all, i)
			}
			f.slowDown(all, t.Size, t.For)
		},
		"neighbour": func(f *Fleet, t Fault) {
			for n := range 4 {
				f.queue.In(time.Duration(n)*t.For/4, func() { f.slowDown(t.Engines, t.Size, t.For/8) })
			}
		},
		"hang": func(f *Fleet, t Fault) {
			f.forEachEngine(t.Engines, func(e *engine) { f.setHalted(e, true) })
			f.queue.In(t.For, func() { f.forEachEngine(t.Engines, func(e *engine) { f.setHalted(e, false) }) })
		},
		"errors": func(f *Fleet, t Fault) {
			f.applyFault(t, func(e *engine,
				on float64) {
				e.faults.errorShare = on * t.Size
			})
		},
		"lost": func(f *Fleet, t Fault) {
			f.applyFault(t, func(e *engine,
				on float64) {
				e.faults.lostShare = on * t.Size
			})
		},
		"flush": func(f *Fleet, t Fault) { f.forEachEngine(t.Engines, func(e *engine) { e.model.Flush() }) },
		"crash": func(f *Fleet, t Fault) { f.forEachEngine(t.Engines, func(e *engine) { f.crashEngine(e, t.For) }) },
		"drain": func(f *Fleet, t Fault) { f.forEachEngine(t.Engines, func(e *engine) { f.drainEngine(e, t.For) }) },
		"preemption": func(f *Fleet, t Fault) {
			f.forEachEngine(t.Engines, func(e *engine) { f.drainEngine(e, 2*time.Second) })
		},
		"deploy": func(f *Fleet, t Fault) {
			each := t.For / time.Duration(max(len(t.Engines), 1))
			for n, i := range t.Engines {
				f.queue.In(time.Duration(n)*each, func() { f.drainEngine(f.engines[i], each) })
			}
		},
		"zone-loss": func(f *Fleet, t Fault) {
			for _, e := range f.engines {
				if e.Zone == "a" {
					f.crashEngine(e, t.For)
				}
			}
			for i, d := range f.dispatchers {
				if i > 0 && d.zone == "a" {
					f.restartDispatchers(Restart{After: t.For, Dispatchers: []int{i}})
				}
			}
		},
		"kill": func(f *Fleet, t Fault) {
			f.restartDispatchers(Restart{After: t.For,
				Dispatchers: []int{t.Dispatcher}})
		},
		"return": func(f *Fleet, t Fault) {
			r := Restart{After: t.For, WithoutState: true}
			for i := 1; i < len(f.dispatchers); i += 2 {
				r.Dispatchers = append(r.Dispatchers, i)
			}
			f.restartDispatchers(r)
		},
		"roll": func(f *Fleet, t Fault) {
			each := t.For / time.Duration(len(f.dispatchers))
			for i := range f.dispatchers {
				f.queue.In(time.Duration(i)*each, func() {
					f.restartDispatchers(Restart{After: min(time.Second, each/2), Dispatchers: []int{i}})
				})
			}
		},
		"burst":        func(f *Fleet, t Fault) { f.setFor(t.For, &f.load.burst, t.Size, 1) },
		"heavy-tail":   func(f *Fleet, t Fault) { f.setFor(t.For, &f.load.tail, t.Size, 1) },
		"reports-late": func(f *Fleet, t Fault) { f.delayFor(t, &f.reportDelay) },
		"roster-late":  func(f *Fleet, t Fault) { f.delayFor(t, &f.listDelay) },
		"hot": func(f *Fleet, t Fault) {
			f.hotDispatcher = t.Dispatcher
			f.setFor(t.For, &f.load.hot, t.Size, 0)
		},
		"shift": func(f *Fleet, t Fault) {
			if t.Class == "" {
				t.Class = f.cfg.Traffic[0].Class
			}
			f.shift = &t
			f.queue.In(t.For, func() { f.shift = nil })
		},
		"ageing": func(f *Fleet, t Fault) {
			for n := range 10 {
				f.queue.In(time.Duration(n)*t.For/14, func() {
					f.slowDown(t.Engines, 1+(t.Size-1)*float64(n+1)/10, t.For/14)
				})
			}
			f.queue.In(t.For*10/14, func() { f.forEachEngine(t.Engines, func(e *engine) { f.crashEngine(e, t.For*4/14) }) })
		},
	}
}

func (f *Fleet) forEachEngine(engines []int, do func(e *engine)) {
	for _, i := range engines {
		do(f.engines[i])
	}
}

// applyFault sets what is wrong with engines, and takes it away.
func (f *Fleet) applyFault(t Fault, set func(e *engine, on float64)) {
	f.forEachEngine(t.Engines, func(e *engine) { set(e, 1) })
	f.queue.In(t.For, func() { f.forEachEngine(t.Engines, func(e *engine) { set(e, 0) }) })
}

func (f *Fleet) setFor(length time.Duration, v *float64, is, was float64) {
	*v = is
	f.queue.In(length, func() { *v = was })
}

func (f *Fleet) delayFor(t Fault, v *time.Duration) {
	*v = time.Duration(t.Size * float64(time.Second))
	f.queue.In(t.For, func() { *v = 0 })
}

func (f *Fleet) slowDown(engines []int, factor float64, length time.Duration) {
	set := func(e *engine, v float64) {
		e.model.Slow(f.queue.Now(), v)
		f.reschedule(e)
	}
	f.forEachEngine(engines, func(e *engine) { set(e, max(factor, 1)) })
	f.queue.In(length, func() { f.forEachEngine(engines, func(e *engine) { set(e, 1) }) })
}

func (f *Fleet) setHalted(e *engine, on bool) {
	e.model.Halt(f.queue.Now(), on)
	f.reschedule(e)
}

// reschedule sets the event of an engine's next end, where that may have become later.
func (f *Fleet) reschedule(e *engine) {
	e.nextEvent = math.MaxInt64
	f.scheduleEngine(e)
}

func (f *Fleet) crashEngine(e *engine, back time.Duration) {
	if !e.up {
		return
	}
	f.engineCrashed(e)
	f.queue.In(min(time.Second, back/2), func() { // the roster knows only whether it runs, a second late
		if !e.up {
			f.setState(e, cresspass.EngineRemoved)
		}
	})
	f.queue.In(back, func() { f.engineRestarted(e) })
}

// drainEngine has an engine told to drain, and come back as a new process.
func (f *Fleet) drainEngine(e *engine, after time.Duration) {
	if !e.up {
		return
	}
	f.setState(e, cresspass.EngineDraining)
	f.queue.In(after, func() {
		if e.up {
			f.engineCrashed(e)
			f.queue.In(500*time.Millisecond, func() { f.engineRestarted(e) })
		}
	})
}
