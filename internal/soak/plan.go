package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Plan is what a run does. The Options determine all of it.
type Plan struct {
	Seed        uint64
	Duration    time.Duration
	Dispatchers int
	Nodes       int
	Rate        float64 // requests a second to each dispatcher, on average
	Budget      bool    // retries are limited by a budget
	Sockets     int     // limit on the descriptors of each dispatcher
	Crowd       bool    // idle clients use up the descriptors of all dispatchers
	Faults      []Fault // ordered by their start

	NodeBehavior NodeBehavior
}

// String returns a line with the plan's settings, followed by one line for each fault.
func (p *Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b,
		"seed %d: %d dispatchers, %d compute nodes, %.0f requests a second each, budget %v, %d files, "+
			"crowd %v, %v\n",
		p.Seed, p.Dispatchers, p.Nodes, p.Rate, p.Budget, p.Sockets, p.Crowd, p.Duration)
	if p.NodeBehavior != (NodeBehavior{}) {
		fmt.Fprintf(&b, "  stressed: %s\n", p.NodeBehavior)
	}
	for _, fault := range p.Faults {
		fmt.Fprintf(&b, "  %s\n", fault)
	}
	return b.String()
}

// nodeTarget is the value of Fault.Dispatcher for the fault of a compute node.
const nodeTarget = -1

// Fault is one fault of a plan.
type Fault struct {
	At         time.Duration // its start, from the start of the plan
	Duration   time.Duration
	Kind       FaultKind
	Dispatcher int           // index of the dispatcher, or nodeTarget for the fault of a compute node
	Node       int           // index of the compute node, if Dispatcher is nodeTarget
	Step       time.Duration // by which ClockStep moves the wall clock
}

// String returns the fault's start, duration, kind and target as plans print them.
func (f Fault) String() string {
	where := fmt.Sprintf("dispatcher %d", f.Dispatcher)
	if f.Dispatcher == nodeTarget {
		where = fmt.Sprintf("node %d", f.Node)
	}
	s := fmt.Sprintf("%6.2fs for %.2fs %s, %s", f.At.Seconds(), f.Duration.Seconds(), f.Kind, where)
	if f.Step != 0 {
		s += fmt.Sprintf(" by %v", f.Step)
	}
	return s
}

// Options are the inputs of NewPlan.
type Options struct {
	Seed        uint64
	Duration    time.Duration
	Dispatchers int
	Faults      bool // the program was built with the tag faults
	Stress      bool // rare conditions coincide in the plan
}

// Bounds, means and probabilities of the random draws of a plan.
const (
	minNodes, maxNodes = 5, 8
	minRate, maxRate   = 8, 24 // requests a second to each dispatcher

	quietAtStart      = 1500 * time.Millisecond // before the first fault
	quietAtEnd        = 5 * time.Second         // before the end: only overlapping faults begin in it
	meanFaultInterval = 700 * time.Millisecond  // between faults, over the whole fleet
	secondFaultChance = 0.75                    // that a second fault begins during the first
	thirdFaultChance  = 0.3

	minFaultDuration  = 200 * time.Millisecond
	meanExtraDuration = 1500 * time.Millisecond // on top of minFaultDuration
	maxFaultDuration  = 6 * time.Second
	maxPause          = 400 * time.Millisecond
	minNodesHang      = 4 * time.Second // longer than a shutdown takes
	extraLongFault    = 2 * time.Second // added for faults whose effect takes time to show

	// meanOverlapDelay is the mean time from a fault's start to the start of one that is drawn to overlap it.
	// It is short because two faults interfere most when the first has just begun.
	meanOverlapDelay = 250 * time.Millisecond
)

// planStream and signalStream are random streams of their own, separate from other draws with the same seed.
const (
	planStream   = 0x50a4
	signalStream = 0x516e
)

// Parameters of the draws from signalStream.
const (
	crowdChance              = 0.3                     // that a plan has a crowd
	maxCrowdSockets          = 80                      // upper bound of Plan.Sockets in a plan with a crowd
	meanSignalSeriesInterval = 3500 * time.Millisecond // over the whole fleet
)

// socketLimits are the descriptor limits to draw from. With a low limit, calls to compute nodes wait for free
// descriptors.
var socketLimits = []int{48, 56, 80, 256}

// clockSteps are the steps of the wall clock to draw from.
var clockSteps = []time.Duration{time.Hour, -time.Hour, 7 * time.Second, -7 * time.Second}

// NewPlan draws a plan. The same options always give the same plan.
func NewPlan(o Options) *Plan {
	r := rand.New(rand.NewPCG(o.Seed, planStream))
	p := &Plan{Seed: o.Seed, Duration: o.Duration, Dispatchers: o.Dispatchers}
	p.Nodes = minNodes + r.IntN(maxNodes-minNodes+1)
	p.Rate = float64(minRate + r.IntN(maxRate-minRate+1))
	p.Budget = r.IntN(2) == 0
	p.Sockets = socketLimits[r.IntN(len(socketLimits))]
	for at := quietAtStart; at < o.Duration-quietAtEnd; {
		first := drawFault(r, p, o.Faults, at)
		p.Faults = append(p.Faults, first)
		if r.Float64() < secondFaultChance {
			p.Faults = append(p.Faults, drawOverlapping(r, p, o.Faults, first))
		}
		if r.Float64() < thirdFaultChance {
			p.Faults = append(p.Faults, drawOverlapping(r, p, o.Faults, first))
		}
		at += exponential(r, meanFaultInterval)
	}
	addSignalSeries(rand.New(rand.NewPCG(o.Seed, signalStream)), p)
	if o.Stress {
		addStress(rand.New(rand.NewPCG(o.Seed, stressStream)), p)
	}
	sort.SliceStable(p.Faults, func(i, j int) bool { return p.Faults[i].At < p.Faults[j].At })
	return p
}

// addSignalSeries adds faults that send a series of signals and, to some plans, a crowd of idle clients.
func addSignalSeries(r *rand.Rand, p *Plan) {
	end := p.Duration - quietAtEnd
	for at := quietAtStart + exponential(r, meanSignalSeriesInterval); at < end; {
		p.Faults = append(p.Faults, Fault{
			At:         at,
			Duration:   minFaultDuration + exponential(r, meanExtraDuration),
			Kind:       signalSeries[r.IntN(len(signalSeries))],
			Dispatcher: r.IntN(p.Dispatchers),
		})
		at += exponential(r, meanSignalSeriesInterval)
	}
	if r.Float64() < crowdChance {
		addCrowd(p)
	}
}

// addCrowd adds idle clients that use up the descriptors of all dispatchers, unless the plan has a crowd
// already.
func addCrowd(p *Plan) {
	if p.Crowd {
		return
	}
	p.Crowd, p.Sockets = true, min(p.Sockets, maxCrowdSockets)
	for i := range p.Dispatchers {
		p.Faults = append(p.Faults, Fault{
			At:         quietAtStart,
			Duration:   p.Duration - quietAtEnd - quietAtStart,
			Kind:       ClientsCrowd,
			Dispatcher: i,
		})
	}
}

// exponential draws a time from the exponential distribution with the given mean.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// drawFault draws a fault that begins at a given time. With process faults enabled, of ten faults on average
// one is in the process, six are of a dispatcher and three of a compute node. Otherwise, seven are of a
// dispatcher and three of a compute node.
func drawFault(r *rand.Rand, p *Plan, withProcessFaults bool, at time.Duration) Fault {
	f := Fault{At: at}
	f.Duration = minFaultDuration + exponential(r, meanExtraDuration)
	f.Dispatcher, f.Node = r.IntN(p.Dispatchers), r.IntN(p.Nodes)
	switch n := r.IntN(10); {
	case withProcessFaults && n == 0:
		f.Kind = processFaults[r.IntN(len(processFaults))]
	case n < 7:
		f.Kind = dispatcherFaults[r.IntN(len(dispatcherFaults))]
	default:
		f.Kind, f.Dispatcher = nodeFaults[r.IntN(len(nodeFaults))], nodeTarget
	}
	if f.Kind == ClockStep {
		f.Step = clockSteps[r.IntN(len(clockSteps))]
	}
	f.Duration = min(f.Duration, maxFaultDuration)
	switch f.Kind {
	case NodesHang:
		f.Duration = minNodesHang + f.Duration/4
	case ClientsSendAndCancel, NodeErrors:
		f.Duration += extraLongFault
	case Pause:
		f.Duration = min(f.Duration, maxPause)
	}
	return f
}

// drawOverlapping draws a fault that begins while the first one lasts, mostly with the same target. During
// NodesHang the fault is always Terminate. During Pause it is ClientsDisconnect or ClientsCancel, at the same
// dispatcher.
func drawOverlapping(r *rand.Rand, p *Plan, withProcessFaults bool, first Fault) Fault {
	delay := min(first.Duration, exponential(r, meanOverlapDelay))
	f := drawFault(r, p, withProcessFaults, first.At+delay)
	switch first.Kind {
	case NodesHang:
		f.Kind, f.Dispatcher = Terminate, r.IntN(p.Dispatchers)
	case Pause:
		// What clients cancel or close during the pause is still unread when the process runs again.
		f.Kind = []FaultKind{ClientsDisconnect, ClientsCancel}[r.IntN(2)]
		f.Dispatcher = first.Dispatcher
		f.At = first.At + time.Duration(r.Float64()*float64(first.Duration))
		return f
	}
	if r.IntN(4) > 0 {
		f.Node = first.Node
		if f.Dispatcher != nodeTarget && first.Dispatcher != nodeTarget {
			f.Dispatcher = first.Dispatcher
		}
	}
	return f
}
