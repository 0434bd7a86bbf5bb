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

func (f *Fleet) slowAllEngines(t Fault) {
	var all []int
	for i := range f.engines {
		all = append(all, i)
	}
	f.slowDown(all, t.Size, t.For)
}

// disturbEngines slows engines down for half of the time, in four spells, as a noisy neighbour does.
func (f *Fleet) disturbEngines(t Fault) {
	const spells = 4
	for n := range spells {
		f.queue.In(time.Duration(n)*t.For/spells, func() { f.slowDown(t.Engines, t.Size, t.For/(2*spells)) })
	}
}

// ageEngines makes engines slower step by step, and then crashes them.
func (f *Fleet) ageEngines(t Fault) {
	const steps, crashSteps = 10, 4 // of increasing slowdown, and of downtime
	const allSteps = steps + crashSteps
	for n := range steps {
		f.queue.In(time.Duration(n)*t.For/allSteps, func() {
			f.slowDown(t.Engines, 1+(t.Size-1)*float64(n+1)/steps, t.For/allSteps)
		})
	}
	f.queue.In(t.For*steps/allSteps, func() {
		f.forEachEngine(t.Engines, func(e *engine) { f.crashEngine(e, t.For*crashSteps/allSteps) })
	})
}

// hangEngines stops all work of engines for a time; their connections stay open.
func (f *Fleet) hangEngines(t Fault) {
	f.forEachEngine(t.Engines, func(e *engine) { f.setHalted(e, true) })
	f.queue.In(t.For, func() { f.forEachEngine(t.Engines, func(e *engine) { f.setHalted(e, false) }) })
}

func (f *Fleet) setHalted(e *engine, halted bool) {
	e.model.SetHalted(f.queue.Now(), halted)
	f.reschedule(e)
}

// failAttempts makes a share of the attempts at engines fail.
func (f *Fleet) failAttempts(t Fault) {
	f.applyFault(t, func(e *engine, on float64) { e.faults.errorShare = on * t.Size })
}

// loseAnswers makes a share of the engines' answers never arrive.
func (f *Fleet) loseAnswers(t Fault) {
	f.applyFault(t, func(e *engine, on float64) { e.faults.lostShare = on * t.Size })
}

// applyFault turns a fault of engines on for t.For: it calls set with 1, and then with 0.
func (f *Fleet) applyFault(t Fault, set func(e *engine, on float64)) {
	f.forEachEngine(t.Engines, func(e *engine) { set(e, 1) })
	f.queue.In(t.For, func() { f.forEachEngine(t.Engines, func(e *engine) { set(e, 0) }) })
}

func (f *Fleet) flushCaches(t Fault) {
	f.forEachEngine(t.Engines, func(e *engine) { e.model.FlushCache() })
}

func (f *Fleet) crashEngines(t Fault) {
	f.forEachEngine(t.Engines, func(e *engine) { f.crashEngine(e, t.For) })
}

func (f *Fleet) drainEngines(engines []int, after time.Duration) {
	f.forEachEngine(engines, func(e *engine) { f.drainEngine(e, after) })
}

// deployEngines drains and restarts engines one after another.
func (f *Fleet) deployEngines(t Fault) {
	each := t.For / time.Duration(max(len(t.Engines), 1))
	for n, i := range t.Engines {
		f.queue.In(time.Duration(n)*each, func() { f.drainEngine(f.engines[i], each) })
	}
}
