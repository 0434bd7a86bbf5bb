package rehearsal

import (
	"context"
	"sync/atomic"
	"time"

	"cresspass/internal/standin"
)

// injector injects one fault, and returns when the fault is over.
type injector func(ctx context.Context, r *run, f Fault)

// faultKind is one kind of fault.
type faultKind struct {
	needsEngines bool
	size         float64 // default of Fault.Size; 0: the kind has no size
	inject       injector
}

// faultReturn is the kind of fault on which CompareReturns compares the ways of gossip.
const faultReturn = "return"

// faultKinds holds the kinds of faults by name. Where a comment names a share, that share is the fault's
// size.
var faultKinds = map[string]faultKind{
	// Engines are slower by the factor size: those that the fault names, or all engines.
	"slow":   {true, 3, onEngines(setSlow)},
	"shared": {false, 2.5, slowAll},
	// Another program on the machine makes engines slower by the factor size, on and off.
	"neighbour": {true, 3, noisyNeighbour},
	// Engines become slower step by step up to the factor size, crash, and come back with cold caches.
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
	// The interval of load reports is size seconds longer.
	"reports-late": {true, 5, onEngines(func(f *standin.Faults, _ bool, size float64) {
		f.LateReports = seconds(size)
	})},
	// Engines lose the contents of their caches.
	"flush": {true, 0, flushCaches},
	// Engines crash, and come back with cold caches after the fault's time.
	"crash": {true, 0, crashEngines},
	// Engines crash once an answer has reached size rows, and come back with cold caches after the fault's
	// time.
	"mid-answer": {true, 2, crashDuringAnswer},
	// Engines drain and come back as new processes: all at once, or one after another.
	"drain":  {true, 0, drainEngines},
	"deploy": {true, 0, drainInTurn},
	// Engines drain, crash 2 s later (preemptionNotice), and come back after the fault's time.
	"preemption": {true, 0, preemptEngines},
	// Engines and dispatchers of zone a (lostZone) crash, except the first dispatcher, and come back after
	// the fault's time.
	"zone-loss": {false, 0, loseZone},
	// Discovery is unavailable, or sends changes size seconds late.
	"roster-away": {false, 0, discoveryUnavailable},
	"roster-late": {false, 3, discoveryLate},
	// A dispatcher is killed, and comes back with its cached list after the fault's time.
	"kill": {false, 0, killDispatcher},
	// Every second dispatcher is killed, and comes back after the fault's time without its stored model
	// state.
	faultReturn: {false, 0, killEverySecondDispatcher},
	// Dispatchers are shut down and started again, one after another.
	"roll": {false, 0, restartDispatchersInTurn},
	// The rate of arrivals is multiplied by size.
	"burst": {false, 2, onWorkload(func(l *workload) *atomic.Uint64 { return &l.burstFactor }, 1)},
	// The work of one query in heavyTailOneIn is multiplied by size.
	"heavy-tail": {false, 12, onWorkload(func(l *workload) *atomic.Uint64 { return &l.heavyTailFactor }, 1)},
	// A share of the keyed queries has the same key.
	"hot-key": {false, 0.7, onWorkload(func(l *workload) *atomic.Uint64 { return &l.hotKeyShare }, 0)},
	// A share of the clients gives up early, by a cancel or by closing the connection.
	"give-up": {false, 0.3, onWorkload(func(l *workload) *atomic.Uint64 { return &l.abandonShare }, 0)},
	// One dispatcher gets a share of all arrivals.
	"hot": {false, 0.8, hotDispatcher},
	// The rate of the class's arrivals is multiplied by size, that of the other classes is halved.
	"shift": {false, 4, shiftTraffic},
}

// Timing within faults.
const (
	removalDelay      = time.Second            // until discovery lists a crashed engine as removed
	drainRestartDelay = 500 * time.Millisecond // from the end of a drained engine to its restart
	preemptionNotice  = 2 * time.Second        // from the notice to the crash
	crashPollInterval = 5 * time.Millisecond   // between checks whether an engine has crashed
	neighbourPhases   = 8                      // parts of a fault's time: slow and normal in turn
	ageingPhases      = 14                     // parts of a fault's time: ageingSteps and ageingDownPhases
	ageingSteps       = 10                     // phases in which the engine becomes slower
	ageingDownPhases  = 4                      // phases for which the crashed engine is down
	lostZone          = "a"
)

// seconds returns a duration of s seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// inject logs and injects one fault, and returns when the fault is over.
func (r *run) inject(ctx context.Context, f Fault) {
	r.options.Log.Info("fault injected", "kind", f.Kind, "engines", f.Engines, "dispatcher", f.Dispatcher,
		"size", f.Size, "for", f.For)
	if kind, ok := faultKinds[f.Kind]; ok {
		kind.inject(ctx, r, f)
	}
}
