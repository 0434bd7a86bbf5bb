package soak

// FaultKind is a kind of fault. Its text is what plans print.
type FaultKind string

// Faults of the dispatcher's process.
const (
	Terminate   FaultKind = "terminate"    // SIGTERM, and a new process after its exit
	Kill        FaultKind = "kill"         // SIGKILL, and a new process
	Reload      FaultKind = "reload"       // discovery moves to its other address, then SIGHUP
	ReloadBurst FaultKind = "reload-burst" // several in quick succession
	Pause       FaultKind = "pause"        // the process does not run for a moment, as on a full core

	ReloadsIntoTerminate FaultKind = "reloads-terminate"  // SIGHUPs before, at and after SIGTERM
	TerminateTwice       FaultKind = "terminate-twice"    // SIGTERM again, as the shutdown is under way
	KillAtStart          FaultKind = "kill-at-start"      // SIGKILL, and again as the next one starts
	TerminateAtStart     FaultKind = "terminate-at-start" // SIGKILL, and SIGTERM as the next one starts
)

// Faults of the discovery service as one dispatcher sees it.
const (
	DiscoveryDown      FaultKind = "discovery-down" // refuses connections and ends the open ones
	DiscoverySilent    FaultKind = "discovery-mute" // open watches deliver nothing
	DiscoverySlow      FaultKind = "discovery-slow" // takes slowAnswerDelay for each answer
	DiscoveryTruncated FaultKind = "discovery-torn" // breaks off in the middle of events
)

// Faults of the links between one dispatcher and all compute nodes.
const (
	LinkDelay       FaultKind = "link-delay"  // every piece of data arrives late
	LinkCut         FaultKind = "link-cut"    // nothing comes through, nothing is closed
	LinkBytes       FaultKind = "link-bytes"  // one byte at a time
	LinkReset       FaultKind = "link-reset"  // connections are reset, with bytes on the way
	LinkSilenceIdle FaultKind = "link-forget" // what is sent on connections that were idle is swallowed
	LinkResetIdle   FaultKind = "link-idle"   // idle connections are reset, again and again
)

// Faults of one dispatcher's clients and their link.
const (
	ClientDelay       FaultKind = "client-delay"   // every piece of data arrives late
	ClientBytes       FaultKind = "client-bytes"   // one byte at a time
	ClientsDisconnect FaultKind = "clients-leave"  // all close their connections, with requests open
	ClientsCancel     FaultKind = "clients-cancel" // all open requests are cancelled
	ClientsIdle       FaultKind = "clients-idle"   // many connections that send nothing
	ClientsCrowd      FaultKind = "clients-crowd"  // idle connections fill the descriptors, again and again
	MalformedClients  FaultKind = "strangers"      // cancel all they send, and raise no retry budget
)

// Faults of compute nodes.
const (
	NodeDrain        FaultKind = "node-drain"  // drains and exits, and another starts at its address
	NodeCrash        FaultKind = "node-crash"  // and restarts in slow start
	NodeHang         FaultKind = "node-hang"   // answers nothing for a while
	NodesHang        FaultKind = "nodes-hang"  // all of them, for longer than a shutdown takes
	NodeFull         FaultKind = "node-full"   // sheds every query
	NodeErrors       FaultKind = "node-errors" // fails every query
	NodeAnswersTwice FaultKind = "node-twice"  // the second copy of an answer comes up to 120 ms later
)

// Faults inside the dispatcher's process; they need a program built with the tag faults.
const (
	ClockStep FaultKind = "clock-step" // the wall clock of every dispatcher, by seconds or an hour
	CallsFail FaultKind = "calls-fail" // accept, connect and looks at sockets fail now and then
	DialsLate FaultKind = "dials-late" // connections are established late
)

// The kinds that a plan draws from. Their order and repetitions are part of what a seed determines.
var (
	dispatcherFaults = []FaultKind{
		Terminate, Terminate, Terminate, Kill, Reload, ReloadBurst,
		DiscoveryDown, DiscoverySilent, DiscoverySlow, DiscoveryTruncated,
		LinkDelay, LinkCut, LinkBytes, LinkReset, LinkSilenceIdle, LinkResetIdle,
		ClientDelay, ClientBytes, ClientsDisconnect, ClientsCancel, ClientsIdle,
		Pause, Pause, MalformedClients,
	}
	nodeFaults = []FaultKind{
		NodeDrain, NodeCrash, NodeHang, NodesHang, NodeFull, NodeErrors, NodeAnswersTwice,
	}
	processFaults = []FaultKind{ClockStep, CallsFail, DialsLate}
	signalSeries  = []FaultKind{ReloadsIntoTerminate, TerminateTwice, KillAtStart, TerminateAtStart}
)
