package rehearsal

import (
	"context"
	"sync"
	"time"

	"cresspass/internal/discovery/eds"
	"cresspass/internal/standin"
)

// forEachEngine calls do for each engine side by side, and waits.
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

// setEngineFault changes what is wrong with an engine; faults of different kinds add up.
func (r *run) setEngineFault(i int, change func(*standin.Faults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.engineFaults[i])
	if up, _ := r.testbed.Engines[i].Up(); up {
		r.testbed.Engines[i].SetFaults(r.engineFaults[i])
	}
}

// faultSetter puts a fault on, or off with size 0.
type faultSetter func(f *standin.Faults, on bool, size float64)

func setSlow(f *standin.Faults, _ bool, size float64) { f.Slow = size }

// onEngines has a fault on the engines named for its time.
func onEngines(set faultSetter) injector {
	return func(ctx context.Context, r *run, f Fault) {
		forEachEngine(f.Engines, func(i int) {
			r.setEngineFault(i, func(faults *standin.Faults) { set(faults, true, f.Size) })
			sleep(ctx, f.For)
			r.setEngineFault(i, func(faults *standin.Faults) { set(faults, false, 0) })
		})
	}
}

func slowAll(ctx context.Context, r *run, f Fault) {
	for i := range r.testbed.Engines {
		f.Engines = append(f.Engines, i)
	}
	onEngines(setSlow)(ctx, r, f)
}

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

func flushCaches(_ context.Context, r *run, f Fault) {
	forEachEngine(f.Engines, func(i int) { r.testbed.Engines[i].Flush() })
}

func crashEngines(ctx context.Context, r *run, f Fault) {
	forEachEngine(f.Engines, func(i int) {
		r.testbed.Engines[i].Crash()
		r.restartEngine(ctx, i, f.For)
	})
}

func crashDuringAnswer(ctx context.Context, r *run, f Fault) {
	forEachEngine(f.Engines, func(i int) {
		r.setEngineFault(i, func(faults *standin.Faults) { faults.DieAfterRows = int(f.Size) })
		for up := true; up && sleep(ctx, crashPoll); {
			up, _ = r.testbed.Engines[i].Up()
		}
		if ctx.Err() == nil {
			r.restartEngine(ctx, i, f.For)
		}
	})
}

func drainEngines(ctx context.Context, r *run, f Fault) {
	forEachEngine(f.Engines, func(i int) { r.drainEngine(ctx, i, f.For) })
}

func drainInTurn(ctx context.Context, r *run, f Fault) {
	for _, i := range f.Engines {
		r.drainEngine(ctx, i, f.For/time.Duration(len(f.Engines)))
	}
}

func preemptEngines(ctx context.Context, r *run, f Fault) {
	forEachEngine(f.Engines, func(i int) {
		r.listDraining(i)
		if sleep(ctx, preemptionNotice) {
			r.testbed.Engines[i].Crash()
			r.restartEngine(ctx, i, f.For)
		}
	})
}

func (r *run) listDraining(i int) {
	r.testbed.UpdateEngine(i, func(v *eds.Engine) { v.State = eds.StateDraining })
}

// drainEngine lists an engine as draining, and replaces its process after a time.
func (r *run) drainEngine(ctx context.Context, i int, after time.Duration) {
	r.listDraining(i)
	if sleep(ctx, after) {
		r.testbed.Engines[i].Crash()
		r.restartEngine(ctx, i, drainRestart)
	}
}

// restartEngine starts a crashed engine again after a time. Discovery lists the crash with a delay, as it
// only learns from outside whether an engine runs.
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
