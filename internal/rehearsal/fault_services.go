package rehearsal

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"cresspass/internal/storage"
)

// restartDispatcherAfter starts a killed dispatcher again after a time, or at once if the day ends before
// that. The dispatcher is started even then, because the rules are checked on its connections as on all
// others.
func (r *run) restartDispatcherAfter(ctx context.Context, d *dispatcher, after time.Duration) {
	sleep(ctx, after)
	r.fail(d.startAgain(context.Background()))
}

// killDispatcher kills one dispatcher, and starts it again after the fault's time.
func killDispatcher(ctx context.Context, r *run, f Fault) {
	d := r.dispatchers[f.Dispatcher]
	d.kill()
	r.restartDispatcherAfter(ctx, d, f.For)
}

// killEverySecondDispatcher kills the dispatchers with odd indexes, removes the model state that they have
// stored, and starts them again after the fault's time.
func killEverySecondDispatcher(ctx context.Context, r *run, f Fault) {
	var wg sync.WaitGroup
	for i, d := range r.dispatchers {
		if i%2 == 0 {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.kill()
			if !r.options.NoState {
				r.fail(storage.RemoveModelState(r.stateDir(i)))
			}
			r.restartDispatcherAfter(ctx, d, f.For)
		}()
	}
	wg.Wait()
}

// restartDispatchersInTurn stops and starts all dispatchers one after another, spread over the fault's time.
func restartDispatchersInTurn(ctx context.Context, r *run, f Fault) {
	for _, d := range r.dispatchers {
		d.shutDownForRestart()
		r.fail(d.startAgain(context.Background()))
		sleep(ctx, f.For/time.Duration(len(r.dispatchers)))
	}
}

// loseZone crashes the engines and dispatchers of lostZone, and restarts them after the fault's time. The
// first dispatcher stays up even if it is in lostZone, so that at least one dispatcher can serve clients.
func loseZone(ctx context.Context, r *run, f Fault) {
	for i := range r.testbed.Engines {
		if r.day.zone(i) == lostZone {
			f.Engines = append(f.Engines, i)
		}
	}
	var wg sync.WaitGroup
	for i, d := range r.dispatchers {
		if r.day.zone(i) != lostZone || i == 0 {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.kill()
			r.restartDispatcherAfter(ctx, d, f.For)
		}()
	}
	crashEngines(ctx, r, f)
	wg.Wait()
}

// discoveryUnavailable makes discovery unavailable for the fault's time.
func discoveryUnavailable(ctx context.Context, r *run, f Fault) {
	r.testbed.Discovery.SetUnavailable(true)
	sleep(ctx, f.For)
	r.testbed.Discovery.SetUnavailable(false)
}

// discoveryLate delays what discovery sends by the fault's size in seconds.
func discoveryLate(ctx context.Context, r *run, f Fault) {
	r.testbed.Discovery.SetDelay(seconds(f.Size))
	sleep(ctx, f.For)
	r.testbed.Discovery.SetDelay(0)
}

// onWorkload returns an injector that sets a parameter of the workload to the fault's size for the fault's
// time, and then to normal.
func onWorkload(figure func(*workload) *atomic.Uint64, normal float64) injector {
	return func(ctx context.Context, r *run, f Fault) {
		v := figure(r.load)
		v.Store(math.Float64bits(f.Size))
		sleep(ctx, f.For)
		v.Store(math.Float64bits(normal))
	}
}

// hotDispatcher sends a share of all arrivals, the fault's size, to one dispatcher.
func hotDispatcher(ctx context.Context, r *run, f Fault) {
	r.load.hotShare.Store(math.Float64bits(f.Size))
	r.load.hotDispatcher.Store(int64(f.Dispatcher))
	sleep(ctx, f.For)
	r.load.hotDispatcher.Store(noDispatcher)
}

// shiftTraffic raises the rate of one class and lowers that of the others. A fault without a class uses the
// class of the day's first traffic.
func shiftTraffic(ctx context.Context, r *run, f Fault) {
	if f.Class == "" {
		f.Class = r.day.Traffic[0].Class
	}
	r.load.shift.Store(&f)
	sleep(ctx, f.For)
	r.load.shift.Store(nil)
}
