package rehearsal

import (
	"context"
	"sync"
	"time"

	"cresspass/internal/discovery/eds"
	"cresspass/internal/standin"
)

// forEachEngine calls do concurrently for each engine, and waits until all calls have returned.
func forEachEngine(engines []int, do func(i int)) {
	var wg sync.WaitGroup
	for _, i := range engines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			do(i)
		}()
	}
	wg.Wait()
}

// setEngineFault changes the current faults of an engine. An engine can have faults of several kinds at once.
// An engine that is down gets the change with the next call after its restart.
func (r *run) setEngineFault(i int, change func(*standin.Faults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.engineFaults[i])
	if up, _ := r.testbed.Engines[i].Up(); up {
		r.testbed.Engines[i].SetFaults(r.engineFaults[i])
	}
}

// faultSetter sets a fault in f, or clears it: then on is false and size is 0.
type faultSetter func(f *standin.Faults, on bool, size float64)

// setSlow is the faultSetter of slower engines.
func setSlow(f *standin.Faults, _ bool, size float64) { f.Slow = size }

// onEngines returns an injector that sets a fault on the engines that the fault names, and clears it after
// the fault's time.
func onEngines(set faultSetter) injector {
	return func(ctx context.Context, r *run, f Fault) {
		forEachEngine(f.Engines, func(i int) {
			r.setEngineFault(i, func(faults *standin.Faults) { set(faults, true, f.Size) })
			sleep(ctx, f.For)
			r.setEngineFault(i, func(faults *standin.Faults) { set(faults, false, 0) })
		})
	}
}

// slowAll makes all engines slower.
func slowAll(ctx context.Context, r *run, f Fault) {
	for i := range r.testbed.Engines {
		f.Engines = append(f.Engines, i)
	}
	onEngines(setSlow)(ctx, r, f)
}

// noisyNeighbour makes engines slow and normal in turn.
func noisyNeighbour(ctx context.Context, r *run, f Fault) {
	forEachEngine(f.Engines, func(i int) {
		for end := time.Now().Add(f.For); time.Now().Before(end) && ctx.Err() == nil; {
			r.setEngineFault(i, func(faults *standin.Faults) { faults.Slow = f.Size })
			sleep(ctx, f.For/neighbourPhases)
			r.setEngineFault(i, func(faults *standin.Faults) { faults.Slow = 0 })
			sleep(ctx, f.For/neighbourPhases)
		}
	})
}

// degradeAndCrash makes engines slower step by step, and then crashes and restarts them.
func degradeAndCrash(ctx context.Context, r *run, f Fault) {
	forEachEngine(f.Engines, func(i int) {
		for n := 1.0; n <= ageingSteps && sleep(ctx, f.For/ageingPhases); n++ {
			r.setEngineFault(i, func(faults *standin.Faults) { faults.Slow = 1 + (f.Size-1)*n/ageingSteps })
		}
		r.testbed.Engines[i].Crash()
		r.setEngineFault(i, func(faults *standin.Faults) { faults.Slow = 0 })
		r.restartEngine(ctx, i, f.For*ageingDownPhases/ageingPhases)
	})
}

// flushCaches empties the caches of engines.
func flushCaches(_ context.Context, r *run, f Fault) {
	forEachEngine(f.Engines, func(i int) { r.testbed.Engines[i].Flush() })
}

// crashEngines crashes engines, and restarts them after the fault's time.
func crashEngines(ctx context.Context, r *run, f Fault) {
	forEachEngine(f.Engines, func(i int) {
		r.testbed.Engines[i].Crash()
		r.restartEngine(ctx, i, f.For)
	})
}

// crashDuringAnswer makes engines crash once an answer has reached the fault's size in rows, and restarts
// them the fault's time after the crash.
func crashDuringAnswer(ctx context.Context, r *run, f Fault) {
	forEachEngine(f.Engines, func(i int) {
		r.setEngineFault(i, func(faults *standin.Faults) { faults.DieAfterRows = int(f.Size) })
		for up := true; up && sleep(ctx, crashPollInterval); {
			up, _ = r.testbed.Engines[i].Up()
		}
		if ctx.Err() == nil {
			r.restartEngine(ctx, i, f.For)
		}
	})
}

// drainEngines drains and replaces engines, all at once.
func drainEngines(ctx context.Context, r *run, f Fault) {
	forEachEngine(f.Engines, func(i int) { r.drainEngine(ctx, i, f.For) })
}

// drainInTurn drains and replaces engines one after another, each for an equal part of the fault's time.
func drainInTurn(ctx context.Context, r *run, f Fault) {
	for _, i := range f.Engines {
		r.drainEngine(ctx, i, f.For/time.Duration(len(f.Engines)))
	}
}

// preemptEngines lists engines as draining, crashes them after preemptionNotice, and restarts them after the
// fault's time.
func preemptEngines(ctx context.Context, r *run, f Fault) {
	forEachEngine(f.Engines, func(i int) {
		r.listDraining(i)
		if sleep(ctx, preemptionNotice) {
			r.testbed.Engines[i].Crash()
			r.restartEngine(ctx, i, f.For)
		}
	})
}

// listDraining lists an engine as draining.
func (r *run) listDraining(i int) {
	r.testbed.UpdateEngine(i, func(v *eds.Engine) { v.State = eds.StateDraining })
}

// drainEngine lists an engine as draining, and replaces its process after a time.
func (r *run) drainEngine(ctx context.Context, i int, after time.Duration) {
	r.listDraining(i)
	if sleep(ctx, after) {
		r.testbed.Engines[i].Crash()
		r.restartEngine(ctx, i, drainRestartDelay)
	}
}

// restartEngine starts a crashed engine again after a time. Discovery lists the engine as removed with a
// delay, since discovery only observes from outside whether an engine runs. restartEngine does not start an
// engine that another fault has restarted meanwhile.
func (r *run) restartEngine(ctx context.Context, i int, after time.Duration) {
	e := r.testbed.Engines[i]
	if up, _ := e.Up(); up {
		return // another fault has restarted it
	}
	untilListed := min(removalDelay, after/2)
	if sleep(ctx, untilListed) {
		r.testbed.UpdateEngine(i, func(v *eds.Engine) { v.State = eds.StateRemoved })
	}
	sleep(ctx, after-untilListed)
	if ctx.Err() != nil {
		return
	}
	if up, _ := e.Up(); up {
		return
	}
	if err := e.Restart(); err != nil {
		r.fail(err)
		return
	}
	r.setEngineFault(i, func(faults *standin.Faults) { faults.DieAfterRows = 0 })
	r.testbed.UpdateEngine(i, func(v *eds.Engine) { v.State, v.Started = eds.StateActive, e.Started() })
}
