package rehearsal

import (
	"context"
	"sync/atomic"
	"time"

	"cresspass/internal/standin"
)

// injector plays one fault from its beginning to its end.
type injector func(ctx context.Context, r *run, f Fault)

// faultKind is one kind of fault.
type faultKind struct {
	needsEngines bool
	size         float64 // the default; 0: the kind has no size
	inject       injector
}

// faultReturn is the kind of fault for which ways of gossip are compared.
const faultReturn = "return"

// faultKinds are the kinds of faults, by name.
var faultKinds = map[string]faultKind{
	// Engines are slower by the factor size: those named, or all together.
	"slow":   {true, 3, onEngines(setSlow)},
	"shared": {false, 2.5, slowAll},
	// Another program makes engines slower by the factor size, on and off.
	"neighbour": {true, 3, noisyNeighbour},
	// Engines grow slower up to the factor size, then crash and come back with cold caches.
	"ageing": {true, 6, degradeAndCrash},
	// Engines accept queries and answer none.
	"hang": {true, 0, onEngines(func(f *standin.Faults, on bool, _ float64) { f.Hang = on })},
	// Engines fail a share of their queries at once.
	"errors": {true, 0.5, onEngines(func(f *standin.Faults, _ bool, size float64) { f.ErrorShare = size })},
	// A share of the answers is never sent.
	"lost": {true, 0.2, onEngines(func(f *standin.Faults, _ bool, size float64) { f.LoseShare = size })},
	// The connection is closed in the middle of a share of the answers.
	"cut": {true, 0.2, onEngines(func(f *standin.Faults, _ bool, size float64) { f.Cut = size })},
	// Engines answer with bytes that are no protocol.
	"garbage": {true, 0, onEngines(func(f *standin.Faults, on bool, _ float64) { f.Garbage = on })},
	// Cancel requests are carried out size seconds late.
	"slow-cancel": {true, 0.3, onEngines(func(f *standin.Faults, _ bool, size float64) {
		f.SlowCancel = seconds(size)
	})},
	// Load reports are size seconds old.
	"reports-late": {true, 5, onEngines(func(f *standin.Faults, _ bool, size float64) {
		f.LateReports = seconds(size)
	})},
	// Engines lose what is in their caches.
	"flush": {true, 0, flushCaches},
	// Engines crash, and come back with cold caches after a time.
	"crash": {true, 0, crashEngines},
	// Engines crash once an answer has reached size rows, and come back with cold caches after a time.
	"mid-answer": {true, 2, crashDuringAnswer},
	// Engines drain and come back as new processes after a time: all at once, or one after another.
	"drain":  {true, 0, drainEngines},
	"deploy": {true, 0, drainInTurn},
	// Engines drain, crash 2 s later, and come back after a time.
	"preemption": {true, 0, preemptEngines},
	// Engines and dispatchers of zone a crash, and come back after a time.
	"zone-loss": {false, 0, loseZone},
	// Discovery is unavailable, or sends changes size seconds late.
	"roster-away": {false, 0, discoveryUnavailable},
	"roster-late": {false, 3, discoveryLate},
	// A dispatcher is killed, and comes back with its cached list after a time.
	"kill": {false, 0, killDispatcher},
	// Every second dispatcher is killed, and comes back without what it has learnt.
	faultReturn: {false, 0, killEverySecondDispatcher},
	// Dispatchers are shut down and started again, one after another.
	"roll": {false, 0, restartDispatchersInTurn},
	// Arrivals are multiplied by size.
	"burst": {false, 2, onLoad(func(l *workload) *atomic.Uint64 { return &l.burstFactor }, 1)},
	// A twentieth of the queries costs size times as much.
	"heavy-tail": {false, 12, onLoad(func(l *workload) *atomic.Uint64 { return &l.heavyTailFactor }, 1)},
	// A share of the keyed queries has one key.
	"hot-key": {false, 0.7, onLoad(func(l *workload) *atomic.Uint64 { return &l.hotKeyShare }, 0)},
	// A share of the clients gives up early: by a cancel, or by closing the connection.
	"give-up": {false, 0.3, onLoad(func(l *workload) *atomic.Uint64 { return &l.abandonShare }, 0)},
	// One dispatcher gets a share of all arrivals.
	"hot": {false, 0.8, hotDispatcher},
	// Arrivals of the class are multiplied by size, those of the others halved.
	"shift": {false, 4, shiftTraffic},
}

// Timing within faults.
const (
	removalDelay     = time.Second // until discovery lists a crashed engine as removed
	drainRestart     = 500 * time.Millisecond
	preemptionNotice = 2 * time.Second // from the notice to the crash
	crashPoll        = 5 * time.Millisecond
	neighbourPhases  = 8  // of a fault's time: slow and normal in turn
	ageingPhases     = 14 // of a fault's time: ageingSteps that grow slower, then ageingDownPhases down
	ageingSteps      = 10
	ageingDownPhases = 4
	lostZone         = "a"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// inject plays one fault from its beginning to its end.
func (r *run) inject(ctx context.Context, f Fault) {
	r.options.Log.Info("fault injected", "kind", f.Kind, "engines", f.Engines, "dispatcher", f.Dispatcher,
		"size", f.Size, "for", f.For)
	if kind, ok := faultKinds[f.Kind]; ok {
		kind.inject(ctx, r, f)
	}
}
