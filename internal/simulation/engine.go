package simulation

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"cresspass"
	"cresspass/internal/simulation/enginemodel"
)

// reportInterval is the minimum time between two load reports of an engine.
const reportInterval = 200 * time.Millisecond

// maxReports is the number of load reports kept for an engine. When there are more, the oldest half is
// dropped.
const maxReports = 100

// Delays of crashes and restarts of engines.
const (
	collapseRestartDelay = 5 * time.Second        // after a collapse
	drainRestartDelay    = 500 * time.Millisecond // after a drain
	maxRemovalDelay      = time.Second            // until the engine list shows a crash, at most
)

// engine is one simulated engine.
type engine struct {
	Engine
	number    int
	id        cresspass.EngineID
	state     cresspass.EngineState // in the engine list
	up        bool
	startedAt time.Duration // 0: before the day
	listedAt  time.Duration // when dispatchers received its current state; 0: not yet
	faults    engineFaults
	reports   []loadReport
	arrivals  []arrival // during the warm-up
	model     *enginemodel.Model
	jobs      map[*enginemodel.Running]*job
	nextEvent time.Duration // time of the model's scheduled event
}

// engineFaults are the current faults of an engine.
type engineFaults struct {
	errorShare, lostShare float64 // shares of attempts that fail, and of answers that are lost
}

// loadReport is an engine's load report of a given time, with the values of Config.Module.LoadReportFields.
type loadReport struct {
	at     time.Duration
	values []float64
}

// enginesPerSubnet is the number of engine addresses that share the first three bytes.
const enginesPerSubnet = 200

func engineID(i int) cresspass.EngineID {
	return cresspass.EngineID(fmt.Sprintf("10.0.%d.%d:5432", i/enginesPerSubnet, i%enginesPerSubnet))
}

// scheduleEngine schedules the model's next event, unless one at the same time or earlier is scheduled.
func (f *Fleet) scheduleEngine(e *engine) {
	next, ok := e.model.NextEvent()
	if !ok || next >= e.nextEvent && e.nextEvent > f.queue.Now() {
		return
	}
	e.nextEvent = next
	f.queue.AtFor(uint64(len(f.dispatchers)+e.number)+1, next, func() {
		if e.nextEvent != next {
			return // an earlier event was scheduled since
		}
		e.nextEvent = math.MaxInt64
		for _, r := range e.model.Advance(f.queue.Now()) {
			if j := e.jobs[r]; j != nil {
				delete(e.jobs, r)
				j.dispatcher.attemptEnded(j)
			}
		}
		f.scheduleEngine(e)
	})
}

// reschedule replaces the model's scheduled event, after a change that may have delayed it.
func (f *Fleet) reschedule(e *engine) {
	e.nextEvent = math.MaxInt64
	f.scheduleEngine(e)
}

// latestReport returns the load report that is sent with an answer: the newest that is at least as old as the
// report delay.
func (f *Fleet) latestReport(e *engine) ([]float64, bool) {
	if len(f.cfg.Module.LoadReportFields) == 0 {
		return nil, false
	}
	now := f.queue.Now()
	if n := len(e.reports); n == 0 || now-e.reports[n-1].at >= reportInterval {
		e.reports = append(e.reports, loadReport{now, f.reportValues(e)})
		if len(e.reports) > maxReports {
			e.reports = e.reports[maxReports/2:]
		}
	}
	for i := len(e.reports) - 1; i >= 0; i-- {
		if now-e.reports[i].at >= f.cfg.ReportDelay+f.disturbance.reportDelay {
			return e.reports[i].values, true
		}
	}
	return nil, false
}

// reportValues returns the values of a load report, in the order of LoadReportFields. Fields that the model
// does not have are zero.
func (f *Fleet) reportValues(e *engine) []float64 {
	fields := f.cfg.Module.LoadReportFields
	values := make([]float64, len(fields))
	for i, name := range fields {
		switch name {
		case "concurrent":
			values[i] = float64(len(e.model.Jobs()))
		case "x0":
			values[i] = e.model.GrantedShare()
		}
	}
	return values
}

// engineCrashed stops an engine; the connections of its jobs break.
func (f *Fleet) engineCrashed(e *engine) {
	e.up = false
	var jobs []*job
	for _, j := range e.jobs {
		jobs = append(jobs, j)
	}
	// Sorted, because map iteration order does not depend on the seed.
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.crashOrder(), b.crashOrder()) })
	clear(e.jobs)
	for _, j := range jobs {
		d := j.dispatcher
		if !d.up || !j.isCurrent() {
			continue
		}
		delete(d.jobs, j.key())
		if d.member != nil {
			d.member.Node.RecordAttempt(d.member.now(f.queue), e.id, false, -1)
		}
		ev := j.doneEvent()
		ev.Outcome = cresspass.OutcomeConnectionReset
		d.post(f.cfg.TransitTime, ev)
	}
	e.model = enginemodel.New(e.Machine, f.queue.Now(), true)
	e.nextEvent = math.MaxInt64
}

// crashOrder is a sort key: dispatchers notice that their jobs broke in the order of dispatcher, query and
// attempt.
func (j *job) crashOrder() int {
	const perDispatcher, perQuery = 1_000_000, 10
	return j.dispatcher.number*perDispatcher + int(j.query)*perQuery + j.attempt
}

// engineCollapsed handles the collapse of an engine that was overloaded during its warm-up.
func (f *Fleet) engineCollapsed(e *engine) {
	f.checkCollapse(e)
	e.arrivals = nil
	f.engineCrashed(e)
	f.queue.In(collapseRestartDelay, func() { f.engineRestarted(e) })
}

// engineRestarted starts an engine that is down. The engine warms up.
func (f *Fleet) engineRestarted(e *engine) {
	if e.up {
		return
	}
	e.up, e.startedAt, e.faults = true, f.queue.Now(), engineFaults{}
	e.model = enginemodel.New(e.Machine, f.queue.Now(), true)
	f.setState(e, cresspass.EngineActive)
}

// crashEngine stops an engine without notice, and starts it again after downtime.
func (f *Fleet) crashEngine(e *engine, downtime time.Duration) {
	if !e.up {
		return
	}
	f.engineCrashed(e)
	f.queue.In(min(maxRemovalDelay, downtime/2), func() {
		if !e.up {
			f.setState(e, cresspass.EngineRemoved)
		}
	})
	f.queue.In(downtime, func() { f.engineRestarted(e) })
}

// drainEngine announces an engine's drain, and stops and restarts the engine after the given time.
func (f *Fleet) drainEngine(e *engine, after time.Duration) {
	if !e.up {
		return
	}
	f.setState(e, cresspass.EngineDraining)
	f.queue.In(after, func() {
		if e.up {
			f.engineCrashed(e)
			f.queue.In(drainRestartDelay, func() { f.engineRestarted(e) })
		}
	})
}
