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
	tailFactor    float64 // on the work of the longest queries
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
var faultActions = map[string]func(f *Fleet, t Fault){
	"ageing":       (*Fleet).ageEngines,
	"burst":        func(f *Fleet, t Fault) { f.setFor(t.For, &f.disturbance.burstFactor, t.Size, 1) },
	"crash":        (*Fleet).crashEngines,
	"deploy":       (*Fleet).deployEngines,
	"drain":        func(f *Fleet, t Fault) { f.drainEngines(t.Engines, t.For) },
	"errors":       (*Fleet).failAttempts,
	"flush":        (*Fleet).flushCaches,
	"hang":         (*Fleet).hangEngines,
	"heavy-tail":   func(f *Fleet, t Fault) { f.setFor(t.For, &f.disturbance.tailFactor, t.Size, 1) },
	"hot":          (*Fleet).heatDispatcher,
	"kill":         (*Fleet).killDispatcher,
	"lost":         (*Fleet).loseAnswers,
	"neighbour":    (*Fleet).disturbEngines,
	"preemption":   func(f *Fleet, t Fault) { f.drainEngines(t.Engines, preemptionNotice) },
	"reports-late": func(f *Fleet, t Fault) { f.delayFor(t, &f.disturbance.reportDelay) },
	"return":       (*Fleet).restartHalf,
	"roll":         (*Fleet).rollDispatchers,
	"roster-late":  func(f *Fleet, t Fault) { f.delayFor(t, &f.disturbance.listDelay) },
	"shared":       (*Fleet).slowAllEngines,
	"shift":        (*Fleet).shiftTraffic,
	"slow":         func(f *Fleet, t Fault) { f.slowDown(t.Engines, t.Size, t.For) },
	"zone-loss":    (*Fleet).loseZone,
}

// FaultKinds returns the kinds of faults that the simulation models, sorted.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultActions)) }

// scheduleFault checks a fault and schedules its beginning.
func (f *Fleet) scheduleFault(t Fault) error {
	for _, i := range t.Engines {
		if i < 0 || i >= len(f.engines) {
			return fmt.Errorf("model: trouble %s: there is no engine %d", t.Kind, i)
		}
	}
	if t.Dispatcher < 0 || t.Dispatcher >= len(f.dispatchers) {
		return fmt.Errorf("model: trouble %s: there is no dispatcher %d", t.Kind, t.Dispatcher)
	}
	begin := faultActions[t.Kind]
	if begin == nil {
		return fmt.Errorf("model: trouble %q is not simulated", t.Kind)
	}
	f.queue.At(t.At, func() { begin(f, t) })
	return nil
}

// setFor sets *figure to value, and back to normal after length.
func (f *Fleet) setFor(length time.Duration, figure *float64, value, normal float64) {
	*figure = value
	f.queue.In(length, func() { *figure = normal })
}

// delayFor sets a delay of t.Size seconds, and removes it after t.For.
func (f *Fleet) delayFor(t Fault, delay *time.Duration) {
	*delay = time.Duration(t.Size * float64(time.Second))
	f.queue.In(t.For, func() { *delay = 0 })
}

// heatDispatcher makes a share of all clients connect to one dispatcher.
func (f *Fleet) heatDispatcher(t Fault) {
	f.disturbance.hotDispatcher = t.Dispatcher
	f.setFor(t.For, &f.disturbance.hotShare, t.Size, 0)
}

// shiftTraffic raises the rate of one class, the first one by default, and lowers the rates of the others.
func (f *Fleet) shiftTraffic(t Fault) {
	if t.Class == "" {
		t.Class = f.cfg.Traffic[0].Class
	}
	f.disturbance.shift = &t
	f.queue.In(t.For, func() { f.disturbance.shift = nil })
}

// killDispatcher stops a dispatcher, which returns with its snapshot after t.For.
func (f *Fleet) killDispatcher(t Fault) {
	f.restartDispatchers(Restart{After: t.For, Dispatchers: []int{t.Dispatcher}})
}

// restartHalf stops every other dispatcher at once. They return without their snapshots after t.For.
func (f *Fleet) restartHalf(t Fault) {
	half := everySecond(len(f.dispatchers))
	f.restartDispatchers(Restart{After: t.For, WithoutState: true, Dispatchers: half})
}

// everySecond returns the odd numbers below n.
func everySecond(n int) (numbers []int) {
	for i := 1; i < n; i += 2 {
		numbers = append(numbers, i)
	}
	return numbers
}

// rollDispatchers performs a rolling restart of all dispatchers.
func (f *Fleet) rollDispatchers(t Fault) {
	each := t.For / time.Duration(len(f.dispatchers))
	for i := range f.dispatchers {
		f.queue.In(time.Duration(i)*each, func() {
			f.restartDispatchers(Restart{After: min(time.Second, each/2), Dispatchers: []int{i}})
		})
	}
}

// lostZone is the zone that a fault of kind zone-loss takes down.
const lostZone = "a"

// loseZone crashes the engines and stops the dispatchers of a zone, except the first dispatcher.
func (f *Fleet) loseZone(t Fault) {
	for _, e := range f.engines {
		if e.Zone == lostZone {
			f.crashEngine(e, t.For)
		}
	}
	for i, d := range f.dispatchers {
		if i > 0 && d.zone == lostZone {
			f.restartDispatchers(Restart{After: t.For, Dispatchers: []int{i}})
		}
	}
}
