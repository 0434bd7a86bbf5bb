package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Plan is all that a seed determines.
type Plan struct {
	Seed        uint64
	Duration    time.Duration
	Dispatchers int
	Nodes       int
	Rate        float64 // requests a second for each dispatcher
	Budget      bool    // retries are limited by a budget
	Sockets     int     // descriptors of each dispatcher
	Crowd       bool    // idle clients fill the descriptors of all dispatchers
	Faults      []Fault // by their start

	NodeBehavior NodeBehavior
}

// String lists the plan's faults, one a line, behind a line of its settings.
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

// nodeTarget is the Dispatcher of a fault that concerns a compute node.
const nodeTarget = -1

// Fault is one fault of a plan.
type Fault struct {
	At         time.Duration // its start, from the start of the plan
	Duration   time.Duration
	Kind       FaultKind
	Dispatcher int // nodeTarget: the fault is of a compute node
	Node       int
	Step       time.Duration // of the wall clock
}

// String tells when, for how long, what and where.
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

// Options bound a plan.
type Options struct {
	Seed        uint64
	Duration    time.Duration
	Dispatchers int
	Faults      bool // the program was built with the tag faults
	Stress      bool // what rarely coincides does
}

// Bounds and means of what a plan draws.
const (
	minNodes, maxNodes = 5, 8
	minRate, maxRate   = 8, 24

	quietAtStart      = 1500 * time.Millisecond // before the first fault
	quietAtEnd        = 5 * time.Second         // no fault begins so shortly before the end
	meanFaultInterval = 700 * time.Millisecond  // over the fleet
	secondFaultChance = 0.75                    // of a second fault that begins during the first
	thirdFaultChance  = 0.3

	minFaultDuration  = 200 * time.Millisecond
	meanExtraDuration = 1500 * time.Millisecond // on top of minFaultDuration
	maxFaultDuration  = 6 * time.Second
	maxPause          = 400 * time.Millisecond
	minNodesHang      = 4 * time.Second // longer than a shutdown takes
	extraLongFault    = 2 * time.Second // on top, for faults that show only over some time

	// meanOverlapDelay is the mean time from a fault's start to that of one drawn to overlap it: two faults
	// interfere most in the first moments.
	meanOverlapDelay = 250 * time.Millisecond
)

// planStream and signalStream keep the plan's random draws apart from others of the same seed.
const (
	planStream   = 0x50a4
	signalStream = 0x516e
)

// Draws of the second stream.
const (
	crowdChance              = 0.3                     // of a run with a crowd
	maxCrowdSockets          = 80                      // descriptors in such a run
	meanSignalSeriesInterval = 3500 * time.Millisecond // over the fleet
)

// socketLimits are the descriptors that a dispatcher may have: with few, calls wait for one another.
var socketLimits = []int{48, 56, 80, 256}

// clockSteps are the steps of the wall clock.
var clockSteps = []time.Duration{time.Hour, -time.Hour, 7 * time.Second, -7 * time.Second}

// NewPlan draws the plan of a seed.
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

// addSignalSeries adds signals in series and, to some plans, a crowd of idle clients.
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

// addCrowd adds idle clients that fill the descriptors of all dispatchers, unless the plan has them.
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

// exponential draws an exponentially distributed time.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// drawFault draws a fault that begins at a given time.
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
	case MalformedClients, NodeErrors:
		f.Duration += extraLongFault
	case Pause:
		f.Duration = min(f.Duration, maxPause)
	}
	return f
}

// drawOverlapping draws a fault that begins while another is in force, mostly at the same place.
func drawOverlapping(r *rand.Rand, p *Plan, withProcessFaults bool, first Fault) Fault {
	delay := min(first.Duration, exponential(r, meanOverlapDelay))
	f := drawFault(r, p, withProcessFaults, first.At+delay)
	switch first.Kind {
	case NodesHang:
		f.Kind, f.Dispatcher = Terminate, r.IntN(p.Dispatchers)
	case Pause:
		// What clients cancel meanwhile is still unread when the process runs again.
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
