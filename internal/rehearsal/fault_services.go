package rehearsal

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"cresspass/internal/storage"
)

// restartDispatcherAfter starts a killed dispatcher again, also where the day ends meanwhile: its connections
// are judged like all others.
func (r *run) restartDispatcherAfter(ctx context.Context, d *dispatcher, after time.Duration) {
	sleep(ctx, after)
	r.fail(d.startAgain(context.Background()))
}

func killDispatcher(ctx context.Context, r *run, f Fault) {
	d := r.dispatchers[f.Dispatcher]
	d.kill()
	r.restartDispatcherAfter(ctx, d, f.For)
}

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

func restartDispatchersInTurn(ctx context.Context, r *run, f Fault) {
	for _, d := range r.dispatchers {
		d.shutDownForRestart()
		r.fail(d.startAgain(context.Background()))
		sleep(ctx, f.For/time.Duration(len(r.dispatchers)))
	}
}

// loseZone crashes a zone's engines and dispatchers. The first dispatcher stays, to serve the clients of
// those that are down.
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

func discoveryUnavailable(ctx context.Context, r *run, f Fault) {
	r.testbed.Discovery.SetUnavailable(true)
	sleep(ctx, f.For)
	r.testbed.Discovery.SetUnavailable(false)
}

func discoveryLate(ctx context.Context, r *run, f Fault) {
	r.testbed.Discovery.SetDelay(seconds(f.Size))
	sleep(ctx, f.For)
	r.testbed.Discovery.SetDelay(0)
}

// onLoad has a figure of the workload at the fault's size for its time, and at normal otherwise.
func onLoad(figure func(*workload) *atomic.Uint64, normal float64) injector {
	return func(ctx context.Context, r *run, f Fault) {
		v := figure(r.load)
		v.Store(math.Float64bits(f.Size))
		sleep(ctx, f.For)
		v.Store(math.Float64bits(normal))
	}
}

func hotDispatcher(ctx context.Context, r *run, f Fault) {
	r.load.hotShare.Store(math.Float64bits(f.Size))
	r.load.hotDispatcher.Store(int64(f.Dispatcher))
	sleep(ctx, f.For)
	r.load.hotDispatcher.Store(noDispatcher)
}

func shiftTraffic(ctx context.Context, r *run, f Fault) {
	if f.Class == "" {
		f.Class = r.day.Traffic[0].Class
	}
	r.load.shift.Store(&f)
	sleep(ctx, f.For)
	r.load.shift.Store(nil)
}
