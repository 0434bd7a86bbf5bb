package soak

// FaultKind is a kind of fault. Plans print its value.
type FaultKind string

// Faults of the dispatcher's process.
const (
	Terminate   FaultKind = "terminate"    // SIGTERM, and a new process after its exit
	Kill        FaultKind = "kill"         // SIGKILL, and a new process
	Reload      FaultKind = "reload"       // discovery moves to its other address, and SIGHUP follows
	ReloadBurst FaultKind = "reload-burst" // several reloads in quick succession
	Pause       FaultKind = "pause"        // the process does not run for at most maxPause, as on a busy core

	ReloadsIntoTerminate FaultKind = "reloads-terminate"  // SIGHUPs before, at and after SIGTERM
	TerminateTwice       FaultKind = "terminate-twice"    // SIGTERM again during the shutdown
	KillAtStart          FaultKind = "kill-at-start"      // SIGKILL, again while the next process starts
	TerminateAtStart     FaultKind = "terminate-at-start" // SIGKILL, SIGTERM while the next process starts
)

// Faults of the discovery service as one dispatcher sees it.
const (
	DiscoveryDown      FaultKind = "discovery-down" // new and open watches are reset
	DiscoverySilent    FaultKind = "discovery-mute" // open watches deliver nothing
	DiscoverySlow      FaultKind = "discovery-slow" // each watch starts after slowAnswerDelay
	DiscoveryTruncated FaultKind = "discovery-torn" // watches are reset in the middle of an event
)

// Faults of the links between one dispatcher and all compute nodes.
const (
	LinkDelay       FaultKind = "link-delay"  // every piece of data arrives late
	LinkCut         FaultKind = "link-cut"    // no data and no close by a node arrives; at the end, a reset
	LinkBytes       FaultKind = "link-bytes"  // data is written one byte at a time
	LinkReset       FaultKind = "link-reset"  // connections are reset after half of a write
	LinkSilenceIdle FaultKind = "link-forget" // connections that are idle at the start discard all data
	LinkResetIdle   FaultKind = "link-idle"   // idle connections are reset repeatedly
)

// Faults of one dispatcher's clients and their link.
const (
	ClientDelay          FaultKind = "client-delay"   // every piece of data arrives late
	ClientBytes          FaultKind = "client-bytes"   // data is written one byte at a time
	ClientsDisconnect    FaultKind = "clients-leave"  // all connections are closed, with requests open
	ClientsCancel        FaultKind = "clients-cancel" // all open requests are cancelled
	ClientsIdle          FaultKind = "clients-idle"   // many connections that send nothing
	ClientsCrowd         FaultKind = "clients-crowd"  // idle connections keep the descriptors filled
	ClientsSendAndCancel FaultKind = "strangers"      // cancel all they send, which raises no retry budget
)

// Faults of compute nodes.
const (
	NodeDrain        FaultKind = "node-drain"  // the process drains and exits; another starts at its address
	NodeCrash        FaultKind = "node-crash"  // the process ends, and the next one starts in slow start
	NodeHang         FaultKind = "node-hang"   // answers new calls only when the fault has ended
	NodesHang        FaultKind = "nodes-hang"  // all nodes hang, for longer than a shutdown takes
	NodeFull         FaultKind = "node-full"   // sheds every query
	NodeErrors       FaultKind = "node-errors" // fails every query
	NodeAnswersTwice FaultKind = "node-twice"  // sends a copy of each result page up to 120 ms after it
)

// Faults inside the dispatcher's process. They need a program that was built with the tag faults.
const (
	ClockStep FaultKind = "clock-step" // the wall clock of every dispatcher steps by seconds or an hour
	CallsFail FaultKind = "calls-fail" // some calls of listen, accept, connect and socket inspection fail
	DialsLate FaultKind = "dials-late" // some connections are established late
)

// The kinds that a plan draws from. A repeated kind is drawn more often. Changing the order or the
// repetitions changes the plan of every seed.
var (
	dispatcherFaults = []FaultKind{
		Terminate, Terminate, Terminate, Kill, Reload, ReloadBurst,
		DiscoveryDown, DiscoverySilent, DiscoverySlow, DiscoveryTruncated,
		LinkDelay, LinkCut, LinkBytes, LinkReset, LinkSilenceIdle, LinkResetIdle,
		ClientDelay, ClientBytes, ClientsDisconnect, ClientsCancel, ClientsIdle,
		Pause, Pause, ClientsSendAndCancel,
	}
	nodeFaults = []FaultKind{
		NodeDrain, NodeCrash, NodeHang, NodesHang, NodeFull, NodeErrors, NodeAnswersTwice,
	}
	processFaults = []FaultKind{ClockStep, CallsFail, DialsLate}
	signalSeries  = []FaultKind{ReloadsIntoTerminate, TerminateTwice, KillAtStart, TerminateAtStart}
)
