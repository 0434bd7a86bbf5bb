// Package lifecycle decides what a daemon does between its start and its exit: when it reports that it is
// ready, what a signal means, when a graceful shutdown is over, and which process keeps the listening sockets
// in a handover. It does no I/O and reads no clock: its input is events, its output is actions.
package lifecycle

import "time"

// State is the state of a daemon between its start and its exit.
type State int

// The states of a daemon, in the order in which it passes through them. Only a failed handover leads back.
const (
	Starting    State = iota // the daemon listens, but has no endpoint list yet
	Ready                    // the daemon serves
	HandingOver              // a successor takes over the sockets; the daemon goes on as before
	Draining                 // the daemon accepts no connections; running queries may finish
	Stopped                  // the daemon must exit
)

// String returns the name of the state, as health checks report it.
func (s State) String() string {
	return [...]string{"starting", "ready", "handing over", "draining", "over"}[s]
}

// EventType is the type of an Event.
type EventType int

// The types of events.
const (
	EndpointsKnown     EventType = iota // the first endpoint list is known, received or cached
	Terminate                           // a request to stop: SIGTERM or SIGINT
	Reload                              // a request to read the settings again: SIGHUP
	Drained                             // no client and no query is left
	Tick                                // time has passed; a deadline may have been reached
	SuccessorConnected                  // a process asks for the listening sockets
	SuccessorServing                    // a successor reports that it serves
	SuccessorLost                       // a successor's connection has ended; ignored outside of its handover
)

// Event is one thing that happened.
type Event struct {
	Type        EventType
	SuccessorID uint64 // set for SuccessorConnected, SuccessorServing and SuccessorLost
}

// ActionType is the type of an Action.
type ActionType int

// The types of actions.
const (
	NotifyReady     ActionType = iota // notify the service manager that the daemon is ready
	NotifyStopping                    // notify the service manager that the daemon stops
	ReloadConfig                      // read the settings again, and apply all or none of them
	SendListeners                     // send the listening sockets to a successor; both accept from then on
	RejectSuccessor                   // reject a successor
	StartDrain                        // accept no connections; close idle clients; let running queries finish
	ForceClose                        // end all clients and queries; each query gets its one final answer
	Exit
)

// Action is something that the caller of Step must do.
type Action struct {
	Type        ActionType
	SuccessorID uint64 // set for SendListeners and RejectSuccessor
}

// Config holds the machine's timeouts.
type Config struct {
	DrainTimeout    time.Duration // after which a drain is cut short
	HandoverTimeout time.Duration // after which a successor that has not reported that it serves is rejected
}

// Machine is a daemon's state machine. It is not safe for concurrent use.
type Machine struct {
	cfg            Config
	state          State
	endpointsKnown bool
	deadline       time.Duration // of the handover or the drain
	successorID    uint64        // of the handover
	forceClosed    bool
	actions        []Action // that Step returned last; reused, to avoid allocations
}

// New returns a machine in state Starting.
func New(cfg Config) *Machine { return &Machine{cfg: cfg} }

// SetDrainTimeout changes how long the next drain may take. A drain under way keeps its deadline.
func (m *Machine) SetDrainTimeout(timeout time.Duration) { m.cfg.DrainTimeout = timeout }

// DrainTimeout returns how long a drain may take.
func (m *Machine) DrainTimeout() time.Duration { return m.cfg.DrainTimeout }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// NextDeadline returns the time by which Step must be called with a Tick, and whether there is one.
func (m *Machine) NextDeadline() (time.Duration, bool) {
	return m.deadline, m.state == HandingOver || m.state == Draining && !m.forceClosed
}

// Step processes an event that happened at now, the time since the daemon's start. It returns the actions to
// perform, in order; the slice is valid until the next call.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.actions = m.actions[:0]
	switch ev.Type {
	case EndpointsKnown:
		if m.endpointsKnown = true; m.state == Starting {
			m.state = Ready
			m.emit(NotifyReady, 0)
		}
	case Reload:
		if m.state < Draining {
			m.emit(ReloadConfig, 0)
		}
	case Terminate:
		m.terminate(now)
	case SuccessorConnected:
		m.beginHandover(now, ev.SuccessorID)
	case SuccessorServing:
		if m.state == HandingOver && ev.SuccessorID == m.successorID {
			m.startDrain(now)
		}
	case SuccessorLost:
		if m.state == HandingOver && ev.SuccessorID == m.successorID {
			m.abandonHandover()
		}
	case Drained:
		if m.state == Draining {
			m.state = Stopped
			m.emit(Exit, 0)
		}
	case Tick:
		if now >= m.deadline {
			m.timeOut()
		}
	}
	return m.actions
}

// terminate starts a drain, or cuts short the one that is under way.
func (m *Machine) terminate(now time.Duration) {
	switch m.state {
	case Starting, Ready:
		m.startDrain(now)
	case HandingOver:
		// If the handover went on, the successor could drain at the same time, and no process would serve. So
		// the successor is rejected: it starts without a handover or not at all.
		m.emit(RejectSuccessor, m.successorID)
		m.startDrain(now)
	case Draining:
		m.forceClose()
	}
}

// beginHandover starts a handover to a successor. The successor is rejected if another handover is under way,
// or if the daemon drains or has stopped and has nothing left to hand over.
func (m *Machine) beginHandover(now time.Duration, successorID uint64) {
	if m.state != Ready && m.state != Starting {
		m.emit(RejectSuccessor, successorID)
		return
	}
	m.state, m.successorID, m.deadline = HandingOver, successorID, now+m.cfg.HandoverTimeout
	m.emit(SendListeners, successorID)
}

// abandonHandover returns to the state before a handover that failed.
func (m *Machine) abandonHandover() {
	m.successorID, m.state = 0, Ready
	if !m.endpointsKnown {
		m.state = Starting
	}
}

// timeOut ends a handover or a drain that has reached its deadline.
func (m *Machine) timeOut() {
	switch m.state {
	case HandingOver:
		// A successor that hangs has the sockets too: connections that the kernel assigns to it are never
		// served unless it is rejected and exits.
		m.emit(RejectSuccessor, m.successorID)
		m.abandonHandover()
	case Draining:
		m.forceClose()
	}
}

func (m *Machine) startDrain(now time.Duration) {
	m.state, m.deadline = Draining, now+m.cfg.DrainTimeout
	m.emit(NotifyStopping, 0)
	m.emit(StartDrain, 0)
}

// forceClose emits ForceClose, but only once. The caller then sends Drained, as no client and no query is
// left.
func (m *Machine) forceClose() {
	if !m.forceClosed {
		m.forceClosed = true
		m.emit(ForceClose, 0)
	}
}

func (m *Machine) emit(t ActionType, successorID uint64) {
	m.actions = append(m.actions, Action{t, successorID})
}
