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

// Kind is a kind of trouble.
type Kind string

// The kinds of trouble. Those of a dispatcher concern one dispatcher, those of a node one compute node.
const (
	Terminate   Kind = "terminate"      // SIGTERM, and a new process after its end
	Kill        Kind = "kill"           // SIGKILL, and a new process
	Reload      Kind = "reload"         // discovery moves, SIGHUP
	ReloadBurst Kind = "reload-burst"   // several in quick succession
	DiscDown    Kind = "discovery-down" // refuses connections and ends those that are open
	DiscMute    Kind = "discovery-mute" // open watches fall silent
	DiscSlow    Kind = "discovery-slow" // takes 2.2 s for each answer
	DiscTorn    Kind = "discovery-torn" // breaks off in the middle of events
	LinkDelay   Kind = "link-delay"     // to all compute nodes
	LinkCut     Kind = "link-cut"       // nothing comes through, nothing is closed
	LinkBytes   Kind = "link-bytes"     // one byte at a time
	LinkReset   Kind = "link-reset"     // connections are reset, with bytes on the way
	// resting connections are forgotten: silence for what comes on them
	LinkForget       Kind = "link-forget"
	LinkIdle         Kind = "link-idle"    // resting connections are reset, again and again
	ClientDelay      Kind = "client-delay" // the clients' links of a dispatcher
	ClientBytes      Kind = "client-bytes"
	ClientsLeave     Kind = "clients-leave"  // all its clients close, with requests open
	ClientsTake      Kind = "clients-cancel" // all open requests are taken back
	ClientsIdle      Kind = "clients-idle"   // many connections that say nothing
	Pause            Kind = "pause"          // the process does not run for a moment, as on a full core
	MalformedClients Kind = "strangers"      // ask much and take it back, and count for nothing
	NodeDrain        Kind = "node-drain"     // drains, leaves, and another comes at its address
	NodeCrash        Kind = "node-crash"     // and comes back cold
	NodeHang         Kind = "node-hang"
	NodesHang        Kind = "nodes-hang" // all of them, for longer than a shutdown takes
	NodeFull         Kind = "node-full"
	NodeErrors       Kind = "node-errors"
	NodeTwice        Kind = "node-twice" // answers come twice, the second copy up to 120 ms later
	ClockStep        Kind = "clock-step" // the dispatcher's wall clock, by seconds or an hour
	CallsFail        Kind = "calls-fail" // accept, connect and looks at sockets fail now and then
	DialsLate        Kind = "dials-late" // connections come up late
)

var (
	ofDispatcher = []Kind{Terminate, Terminate, Terminate, Kill, Reload, ReloadBurst, DiscDown, DiscMute,
		DiscSlow, DiscTorn, LinkDelay,
		LinkCut, LinkBytes, LinkReset, LinkForget, LinkIdle, ClientDelay, ClientBytes, ClientsLeave,
		ClientsTake, ClientsIdle, Pause, Pause, MalformedClients}
	ofNode  = []Kind{NodeDrain, NodeCrash, NodeHang, NodesHang, NodeFull, NodeErrors, NodeTwice}
	ofFault = []Kind{ClockStep, CallsFail, DialsLate} // these need the build for the soak
)

// Fault is one trouble of a plan.
type Fault struct {
	At, For    time.Duration
	Kind       Kind
	Dispatcher int // -1: of a node
	Node       int
	Step       time.Duration // of the wall clock
}

func (t Fault) String() string {
	where := fmt.Sprintf("dispatcher %d", t.Dispatcher)
	if t.Dispatcher < 0 {
		where = fmt.Sprintf("node %d", t.Node)
	}
	s := fmt.Sprintf("%6.2fs for %.2fs %s, %s", t.At.Seconds(), t.For.Seconds(), t.Kind, where)
	if t.Step != 0 {
		s += fmt.Sprintf(" by %v", t.Step)
	}
	return s
}

// Plan is all that a seed decides.
type Plan struct {
	Seed        uint64
	For         time.Duration
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
		p.Seed, p.Dispatchers, p.Nodes, p.Rate, p.Budget, p.Sockets, p.For)
	for _, t := range p.Faults {
		fmt.Fprintf(&b, "  %s\n", t)
	}
	return b.String()
}

// Options bound a plan.
type Options struct {
	Seed        uint64
	For         time.Duration
	Dispatchers int
	Faults      bool // the program was built for the soak
}

// Of plans.
const (
	nodesLeast, nodesMost = 5, 8
	rateLeast, rateMost   = 8, 24
	quietFirst            = 1500 * time.Millisecond // before the first trouble
	quietLast             = 5 * time.Second         // after the last one begins
	troubleEvery          = 700 * time.Millisecond  // in the mean, over the fleet
	secondOf              = 0.75                    // chance of a second trouble inside the first one's time
	thirdOf               = 0.3
	pauseMost             = 400 * time.Millisecond
)

// sockets are the descriptors that a dispatcher may have: with few, calls wait for one another.
var sockets = []int{48, 56, 80, 256}

// NewPlan draws the plan of a seed.
func NewPlan(o Options) *Plan {
	r := rand.New(rand.NewPCG(o.Seed, 0x50a4))
	p := &Plan{Seed: o.Seed, For: o.For, Dispatchers: o.Dispatchers,
		Nodes: nodesLeast + r.IntN(nodesMost-nodesLeast+1), Rate: float64(rateLeast +
			r.IntN(rateMost-rateLeast+1)),
		Budget: r.IntN(2) == 0, Sockets: sockets[r.IntN(len(sockets))]}
	for at := quietFirst; at < o.For-quietLast; {
		first := draw(r, p, o.Faults, at)
		p.Faults = append(p.Faults, first)
		if r.Float64() < secondOf {
			p.Faults = append(p.Faults, inside(r, p, o.Faults, first))
		}
		if r.Float64() < thirdOf {
			p.Faults = append(p.Faults, inside(r, p, o.Faults, first))
		}
		at += time.Duration(r.ExpFloat64() * float64(troubleEvery))
	}
	sort.SliceStable(p.Faults, func(i, j int) bool { return p.Faults[i].At < p.Faults[j].At })
	return p
}

func draw(r *rand.Rand, p *Plan, faults bool, at time.Duration) Fault {
	t := Fault{At: at, For: 200*time.Millisecond +
		time.Duration(r.ExpFloat64()*float64(1500*time.Millisecond)),
		Dispatcher: r.IntN(p.Dispatchers), Node: r.IntN(p.Nodes)}
	switch n := r.IntN(10); {
	case faults && n == 0:
		t.Kind = ofFault[r.IntN(len(ofFault))]
	case n < 7:
		t.Kind = ofDispatcher[r.IntN(len(ofDispatcher))]
	default:
		t.Kind, t.Dispatcher = ofNode[r.IntN(len(ofNode))], -1
	}
	if t.Kind == ClockStep {
		steps := []time.Duration{time.Hour, -time.Hour, 7 * time.Second, -7 * time.Second}
		t.Step = steps[r.IntN(len(steps))]
	}
	t.For = min(t.For, 6*time.Second)
	switch t.Kind {
	case NodesHang:
		t.For = 4*time.Second + t.For/4
	case MalformedClients, NodeErrors:
		t.For += 2 * time.Second
	case Pause:
		t.For = min(t.For, pauseMost)
	}
	return t
}

// inside draws a trouble that begins while another goes on, mostly where that one is.
func inside(r *rand.Rand, p *Plan, faults bool, first Fault) Fault {
	// The first moments of a trouble are those in which it crosses the most.
	within := min(first.For, time.Duration(r.ExpFloat64()*float64(250*time.Millisecond)))
	t := draw(r, p, faults, first.At+within)
	switch first.Kind {
	case NodesHang:
		t.Kind, t.Dispatcher = Terminate, r.IntN(p.Dispatchers)
	case Pause: // what clients take back meanwhile lies unread when the process goes on
		t.Kind, t.Dispatcher = []Kind{ClientsLeave, ClientsTake}[r.IntN(2)], first.Dispatcher
		t.At = first.At + time.Duration(r.Float64()*float64(first.For))
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
