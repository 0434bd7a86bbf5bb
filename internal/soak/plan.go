// Package soak plays a fleet of real dispatcher processes among stand-ins, through faulty links, and
// judges the rules from what was seen on the links. A seed gives the whole plan of troubles; two or three
// overlap on purpose. The judge reads the protocol by itself and shares no code with the dispatcher.
package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// FaultKind is a kind of trouble.
type FaultKind string

// The kinds of trouble. Those of a dispatcher concern one dispatcher, those of a node one compute node.
const (
	Terminate          FaultKind = "terminate"      // SIGTERM, and a new process after its end
	Kill               FaultKind = "kill"           // SIGKILL, and a new process
	Reload             FaultKind = "reload"         // discovery moves, SIGHUP
	ReloadBurst        FaultKind = "reload-burst"   // several in quick succession
	DiscoveryDown      FaultKind = "discovery-down" // refuses connections and ends those that are open
	DiscoverySilent    FaultKind = "discovery-mute" // open watches fall silent
	DiscoverySlow      FaultKind = "discovery-slow" // takes 2.2 s for each answer
	DiscoveryTruncated FaultKind = "discovery-torn" // breaks off in the middle of events
	LinkDelay          FaultKind = "link-delay"     // to all compute nodes
	LinkCut            FaultKind = "link-cut"       // nothing comes through, nothing is closed
	LinkBytes          FaultKind = "link-bytes"     // one byte at a time
	LinkReset          FaultKind = "link-reset"     // connections are reset, with bytes on the way
	// resting connections are forgotten: silence for what comes on them
	LinkSilenceIdle   FaultKind = "link-forget"
	LinkResetIdle     FaultKind = "link-idle"    // resting connections are reset, again and again
	ClientDelay       FaultKind = "client-delay" // the clients' links of a dispatcher
	ClientBytes       FaultKind = "client-bytes"
	ClientsDisconnect FaultKind = "clients-leave"  // all its clients close, with requests open
	ClientsCancel     FaultKind = "clients-cancel" // all open requests are taken back
	ClientsIdle       FaultKind = "clients-idle"   // many connections that say nothing
	Pause             FaultKind = "pause"          // the process does not run for a moment, as on a full core
	MalformedClients  FaultKind = "strangers"      // ask much and take it back, and count for nothing
	NodeDrain         FaultKind = "node-drain"     // drains, leaves, and another comes at its address
	NodeCrash         FaultKind = "node-crash"     // and comes back cold
	NodeHang          FaultKind = "node-hang"
	NodesHang         FaultKind = "nodes-hang" // all of them, for longer than a shutdown takes
	NodeFull          FaultKind = "node-full"
	NodeErrors        FaultKind = "node-errors"
	NodeAnswersTwice  FaultKind = "node-twice" // answers come twice, the second copy up to 120 ms later
	ClockStep         FaultKind = "clock-step" // the dispatcher's wall clock, by seconds or an hour
	CallsFail         FaultKind = "calls-fail" // accept, connect and looks at sockets fail now and then
	DialsLate         FaultKind = "dials-late" // connections come up late
)

var (
	dispatcherFaults = []FaultKind{Terminate, Terminate, Terminate, Kill, Reload, ReloadBurst, DiscoveryDown, DiscoverySilent,
		DiscoverySlow, DiscoveryTruncated, LinkDelay,
		LinkCut, LinkBytes, LinkReset, LinkSilenceIdle, LinkResetIdle, ClientDelay, ClientBytes, ClientsDisconnect,
		ClientsCancel, ClientsIdle, Pause, Pause, MalformedClients}
	nodeFaults    = []FaultKind{NodeDrain, NodeCrash, NodeHang, NodesHang, NodeFull, NodeErrors, NodeAnswersTwice}
	processFaults = []FaultKind{ClockStep, CallsFail, DialsLate} // these need the build for the soak
)

// Fault is one trouble of a plan.
type Fault struct {
	At, Duration time.Duration
	Kind         FaultKind
	Dispatcher   int // -1: of a node
	Node         int
	Step         time.Duration // of the wall clock
}

func (t Fault) String() string {
	where := fmt.Sprintf("dispatcher %d", t.Dispatcher)
	if t.Dispatcher < 0 {
		where = fmt.Sprintf("node %d", t.Node)
	}
	s := fmt.Sprintf("%6.2fs for %.2fs %s, %s", t.At.Seconds(), t.Duration.Seconds(), t.Kind, where)
	if t.Step != 0 {
		s += fmt.Sprintf(" by %v", t.Step)
	}
	return s
}

// Plan is all that a seed decides.
type Plan struct {
	Seed        uint64
	Duration    time.Duration
	Dispatchers int
	Nodes       int
	Rate        float64 // requests a second for each dispatcher
	Budget      bool    // further attempts are rationed
	Sockets     int     // descriptors of each dispatcher
	Faults      []Fault
}

func (p *Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b,
		"seed %d: %d dispatchers, %d compute nodes, %.0f requests a second each, budget %v, %d files, %v\n",
		p.Seed, p.Dispatchers, p.Nodes, p.Rate, p.Budget, p.Sockets, p.Duration)
	for _, t := range p.Faults {
		fmt.Fprintf(&b, "  %s\n", t)
	}
	return b.String()
}

// Options bound a plan.
type Options struct {
	Seed        uint64
	Duration    time.Duration
	Dispatchers int
	Faults      bool // the program was built for the soak
}

// Of plans.
const (
	minNodes, maxNodes = 5, 8
	minRate, maxRate   = 8, 24
	quietAtStart       = 1500 * time.Millisecond // before the first trouble
	quietAtEnd         = 5 * time.Second         // after the last one begins
	meanFaultInterval  = 700 * time.Millisecond  // in the mean, over the fleet
	secondFaultChance  = 0.75                    // chance of a second trouble inside the first one's time
	thirdFaultChance   = 0.3
	maxPause           = 400 * time.Millisecond
)

// socketLimits are the descriptors that a dispatcher may have: with few, calls wait for one another.
var socketLimits = []int{48, 56, 80, 256}

// NewPlan draws the plan of a seed.
func NewPlan(o Options) *Plan {
	r := rand.New(rand.NewPCG(o.Seed, 0x50a4))
	p := &Plan{Seed: o.Seed, Duration: o.Duration, Dispatchers: o.Dispatchers,
		Nodes: minNodes + r.IntN(maxNodes-minNodes+1), Rate: float64(minRate +
			r.IntN(maxRate-minRate+1)),
		Budget: r.IntN(2) == 0, Sockets: socketLimits[r.IntN(len(socketLimits))]}
	for at := quietAtStart; at < o.Duration-quietAtEnd; {
		first := drawFault(r, p, o.Faults, at)
		p.Faults = append(p.Faults, first)
		if r.Float64() < secondFaultChance {
			p.Faults = append(p.Faults, drawOverlapping(r, p, o.Faults, first))
		}
		if r.Float64() < thirdFaultChance {
			p.Faults = append(p.Faults, drawOverlapping(r, p, o.Faults, first))
		}
		at += time.Duration(r.ExpFloat64() * float64(meanFaultInterval))
	}
	sort.SliceStable(p.Faults, func(i, j int) bool { return p.Faults[i].At < p.Faults[j].At })
	return p
}

func drawFault(r *rand.Rand, p *Plan, faults bool, at time.Duration) Fault {
	t := Fault{At: at, Duration: 200*time.Millisecond +
		time.Duration(r.ExpFloat64()*float64(1500*time.Millisecond)),
		Dispatcher: r.IntN(p.Dispatchers), Node: r.IntN(p.Nodes)}
	switch n := r.IntN(10); {
	case faults && n == 0:
		t.Kind = processFaults[r.IntN(len(processFaults))]
	case n < 7:
		t.Kind = dispatcherFaults[r.IntN(len(dispatcherFaults))]
	default:
		t.Kind, t.Dispatcher = nodeFaults[r.IntN(len(nodeFaults))], -1
	}
	if t.Kind == ClockStep {
		steps := []time.Duration{time.Hour, -time.Hour, 7 * time.Second, -7 * time.Second}
		t.Step = steps[r.IntN(len(steps))]
	}
	t.Duration = min(t.Duration, 6*time.Second)
	switch t.Kind {
	case NodesHang:
		t.Duration = 4*time.Second + t.Duration/4
	case MalformedClients, NodeErrors:
		t.Duration += 2 * time.Second
	case Pause:
		t.Duration = min(t.Duration, maxPause)
	}
	return t
}

// drawOverlapping draws a trouble that begins while another goes on, mostly where that one is.
func drawOverlapping(r *rand.Rand, p *Plan, faults bool, first Fault) Fault {
	// The first moments of a trouble are those in which it crosses the most.
	within := min(first.Duration, time.Duration(r.ExpFloat64()*float64(250*time.Millisecond)))
	t := drawFault(r, p, faults, first.At+within)
	switch first.Kind {
	case NodesHang:
		t.Kind, t.Dispatcher = Terminate, r.IntN(p.Dispatchers)
	case Pause: // what clients take back meanwhile lies unread when the process goes on
		t.Kind, t.Dispatcher = []FaultKind{ClientsDisconnect, ClientsCancel}[r.IntN(2)], first.Dispatcher
		t.At = first.At + time.Duration(r.Float64()*float64(first.Duration))
		return t
	}
	if r.IntN(4) > 0 {
		t.Node = first.Node
		if t.Dispatcher >= 0 && first.Dispatcher >= 0 {
			t.Dispatcher = first.Dispatcher
		}
	}
	return t
}
