package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Fault is a fault that begins at At and lasts for For. Its kind has the name that rehearsals use.
type Fault struct {
	Kind       string
	At, For    time.Duration
	Engines    []int
	Dispatcher int
	Size       float64 // a factor, a share or seconds, depending on the kind
	Class      string
}

// disturbance holds the current effects of faults on clients and delays.
type disturbance struct {
	burstFactor   float64 // on the rate of all traffic
	tailFactor    float64 // on the work of heavyTailShare of the queries
	hotShare      float64 // of clients that connect to hotDispatcher
	hotDispatcher int     // -1: none
	shift         *Fault  // the fault that shifts traffic to its class; nil: none
	reportDelay   time.Duration
	listDelay     time.Duration
}

var noDisturbance = disturbance{burstFactor: 1, tailFactor: 1, hotDispatcher: -1}

// shiftedAwayFactor is the factor on the rates of the other classes while traffic is shifted to one class.
const shiftedAwayFactor = 0.5

// rateFactor returns the current factor on the rate of a class.
func (d *disturbance) rateFactor(class string) float64 {
	factor := d.burstFactor
	if d.shift != nil {
		if d.shift.Class == class {
			factor *= d.shift.Size
		} else {
			factor *= shiftedAwayFactor
		}
	}
	return factor
}

// faultActions are the functions that begin a fault and schedule its end, by kind.
var faultActions = map[string]func(f *Fleet, fault Fault){
	"ageing": (*Fleet).ageEngines,
	"burst": func(f *Fleet, fault Fault) {
		f.setTemporarily(fault.For, &f.disturbance.burstFactor, fault.Size, 1)
	},
	"crash":  (*Fleet).crashEngines,
	"deploy": (*Fleet).deployEngines,
	"drain":  func(f *Fleet, fault Fault) { f.drainEngines(fault.Engines, fault.For) },
	"errors": (*Fleet).failAttempts,
	"flush":  (*Fleet).flushCaches,
	"hang":   (*Fleet).hangEngines,
	"heavy-tail": func(f *Fleet, fault Fault) {
		f.setTemporarily(fault.For, &f.disturbance.tailFactor, fault.Size, 1)
	},
	"hot":          (*Fleet).concentrateClients,
	"kill":         (*Fleet).killDispatcher,
	"lost":         (*Fleet).loseAnswers,
	"neighbour":    (*Fleet).slowIntermittently,
	"preemption":   func(f *Fleet, fault Fault) { f.drainEngines(fault.Engines, preemptionNotice) },
	"reports-late": func(f *Fleet, fault Fault) { f.delayTemporarily(fault, &f.disturbance.reportDelay) },
	"return":       (*Fleet).restartHalf,
	"roll":         (*Fleet).rollingRestart,
	"roster-late":  func(f *Fleet, fault Fault) { f.delayTemporarily(fault, &f.disturbance.listDelay) },
	"shared":       (*Fleet).slowAllEngines,
	"shift":        (*Fleet).shiftTraffic,
	"slow":         func(f *Fleet, fault Fault) { f.slowDown(fault.Engines, fault.Size, fault.For) },
	"zone-loss":    (*Fleet).loseZone,
}

// FaultKinds returns the kinds of faults that the simulation models, sorted.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultActions)) }

// scheduleFault checks a fault and schedules its beginning.
func (f *Fleet) scheduleFault(fault Fault) error {
	for _, i := range fault.Engines {
		if i < 0 || i >= len(f.engines) {
			return fmt.Errorf("model: trouble %s: there is no engine %d", fault.Kind, i)
		}
	}
	if fault.Dispatcher < 0 || fault.Dispatcher >= len(f.dispatchers) {
		return fmt.Errorf("model: trouble %s: there is no dispatcher %d", fault.Kind, fault.Dispatcher)
	}
	begin := faultActions[fault.Kind]
	if begin == nil {
		return fmt.Errorf("model: trouble %q is not simulated", fault.Kind)
	}
	f.queue.At(fault.At, func() { begin(f, fault) })
	return nil
}

// setTemporarily sets *target to value, and back to normal after length.
func (f *Fleet) setTemporarily(length time.Duration, target *float64, value, normal float64) {
	*target = value
	f.queue.In(length, func() { *target = normal })
}

// delayTemporarily sets a delay of fault.Size seconds, and removes it after fault.For.
func (f *Fleet) delayTemporarily(fault Fault, delay *time.Duration) {
	*delay = time.Duration(fault.Size * float64(time.Second))
	f.queue.In(fault.For, func() { *delay = 0 })
}

// concentrateClients makes a share of all clients connect to one dispatcher.
func (f *Fleet) concentrateClients(fault Fault) {
	f.disturbance.hotDispatcher = fault.Dispatcher
	f.setTemporarily(fault.For, &f.disturbance.hotShare, fault.Size, 0)
}

// shiftTraffic raises the rate of one class, the first one by default, and lowers the rates of the others.
func (f *Fleet) shiftTraffic(fault Fault) {
	if fault.Class == "" {
		fault.Class = f.cfg.Traffic[0].Class
	}
	f.disturbance.shift = &fault
	f.queue.In(fault.For, func() { f.disturbance.shift = nil })
}

// killDispatcher stops a dispatcher, which returns with its snapshot after fault.For.
func (f *Fleet) killDispatcher(fault Fault) {
	f.restartDispatchers(Restart{After: fault.For, Dispatchers: []int{fault.Dispatcher}})
}

// restartHalf stops every other dispatcher at once. They return without their snapshots after fault.For.
func (f *Fleet) restartHalf(fault Fault) {
	half := oddNumbers(len(f.dispatchers))
	f.restartDispatchers(Restart{After: fault.For, WithoutState: true, Dispatchers: half})
}

// oddNumbers returns the odd numbers below n.
func oddNumbers(n int) (numbers []int) {
	for i := 1; i < n; i += 2 {
		numbers = append(numbers, i)
	}
	return numbers
}

// rollingRestart restarts the dispatchers one after another.
func (f *Fleet) rollingRestart(fault Fault) {
	each := fault.For / time.Duration(len(f.dispatchers))
	for i := range f.dispatchers {
		f.queue.In(time.Duration(i)*each, func() {
			f.restartDispatchers(Restart{After: min(time.Second, each/2), Dispatchers: []int{i}})
		})
	}
}

// lostZone is the zone that a fault of kind zone-loss takes down.
const lostZone = "a"

// loseZone crashes the engines and stops the dispatchers of a zone, except the first dispatcher.
func (f *Fleet) loseZone(fault Fault) {
	for _, e := range f.engines {
		if e.Zone == lostZone {
			f.crashEngine(e, fault.For)
		}
	}
	for i, d := range f.dispatchers {
		if i > 0 && d.zone == lostZone {
			f.restartDispatchers(Restart{After: fault.For, Dispatchers: []int{i}})
		}
	}
}
