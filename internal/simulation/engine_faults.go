package simulation

import "time"

// preemptionNotice is the time between the notice of a preemption and the engine's end.
const preemptionNotice = 2 * time.Second

// forEachEngine calls do for the engines with the given indices.
func (f *Fleet) forEachEngine(engines []int, do func(e *engine)) {
	for _, i := range engines {
		do(f.engines[i])
	}
}

// slowDown makes engines slower by a factor for the given length of time.
func (f *Fleet) slowDown(engines []int, factor float64, length time.Duration) {
	set := func(e *engine, v float64) {
		e.model.SetSlowdown(f.queue.Now(), v)
		f.reschedule(e)
	}
	f.forEachEngine(engines, func(e *engine) { set(e, max(factor, 1)) })
	f.queue.In(length, func() { f.forEachEngine(engines, func(e *engine) { set(e, 1) }) })
}

func (f *Fleet) slowAllEngines(fault Fault) {
	var all []int
	for i := range f.engines {
		all = append(all, i)
	}
	f.slowDown(all, fault.Size, fault.For)
}

// slowIntermittently slows engines down for half of the time, in four spells, as a noisy neighbour does.
func (f *Fleet) slowIntermittently(fault Fault) {
	const spells = 4
	for n := range spells {
		f.queue.In(time.Duration(n)*fault.For/spells, func() {
			f.slowDown(fault.Engines, fault.Size, fault.For/(2*spells))
		})
	}
}

// ageEngines makes engines slower step by step, and then crashes them.
func (f *Fleet) ageEngines(fault Fault) {
	const steps, crashSteps = 10, 4 // of increasing slowdown, and of downtime
	const allSteps = steps + crashSteps
	for n := range steps {
		f.queue.In(time.Duration(n)*fault.For/allSteps, func() {
			f.slowDown(fault.Engines, 1+(fault.Size-1)*float64(n+1)/steps, fault.For/allSteps)
		})
	}
	f.queue.In(fault.For*steps/allSteps, func() {
		f.forEachEngine(fault.Engines, func(e *engine) { f.crashEngine(e, fault.For*crashSteps/allSteps) })
	})
}

// hangEngines stops all work of engines for a time; their connections stay open.
func (f *Fleet) hangEngines(fault Fault) {
	f.forEachEngine(fault.Engines, func(e *engine) { f.setHalted(e, true) })
	f.queue.In(fault.For, func() {
		f.forEachEngine(fault.Engines, func(e *engine) { f.setHalted(e, false) })
	})
}

func (f *Fleet) setHalted(e *engine, halted bool) {
	e.model.SetHalted(f.queue.Now(), halted)
	f.reschedule(e)
}

// failAttempts makes a share of the attempts at engines fail.
func (f *Fleet) failAttempts(fault Fault) {
	f.applyFault(fault, func(e *engine, on float64) { e.faults.errorShare = on * fault.Size })
}

// loseAnswers makes a share of the engines' answers never arrive.
func (f *Fleet) loseAnswers(fault Fault) {
	f.applyFault(fault, func(e *engine, on float64) { e.faults.lostShare = on * fault.Size })
}

// applyFault turns a fault of engines on for fault.For: it calls set with 1, and then with 0.
func (f *Fleet) applyFault(fault Fault, set func(e *engine, on float64)) {
	f.forEachEngine(fault.Engines, func(e *engine) { set(e, 1) })
	f.queue.In(fault.For, func() { f.forEachEngine(fault.Engines, func(e *engine) { set(e, 0) }) })
}

func (f *Fleet) flushCaches(fault Fault) {
	f.forEachEngine(fault.Engines, func(e *engine) { e.model.FlushCache() })
}

func (f *Fleet) crashEngines(fault Fault) {
	f.forEachEngine(fault.Engines, func(e *engine) { f.crashEngine(e, fault.For) })
}

func (f *Fleet) drainEngines(engines []int, after time.Duration) {
	f.forEachEngine(engines, func(e *engine) { f.drainEngine(e, after) })
}

// deployEngines drains and restarts engines one after another.
func (f *Fleet) deployEngines(fault Fault) {
	each := fault.For / time.Duration(max(len(fault.Engines), 1))
	for n, i := range fault.Engines {
		f.queue.In(time.Duration(n)*each, func() { f.drainEngine(f.engines[i], each) })
	}
}
