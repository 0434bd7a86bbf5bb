// Package lifecycle decides what a daemon does between its start and its exit: when it reports that it is
// ready, what a signal means, when a graceful shutdown is over, and who keeps the listening sockets in a
// handover. It does no I/O and reads no clock: events go in, actions come out.
package lifecycle

import "time"

// State is where a daemon is between its start and its exit.
type State int

// The states of a daemon, in the order in which it goes through them. Only a handover that fails leads back.
const (
	Starting    State = iota // it listens, and knows no endpoint list yet
	Ready                    // it serves
	HandingOver              // it serves, and a successor is about to take its sockets
	Draining                 // it accepts no connection; what runs may end
	Stopped                  // it is to exit
)

// String returns the state's name, which health checks are answered with.
func (s State) String() string {
	return [...]string{"starting", "ready", "handing over", "draining", "over"}[s]
}

// EventType is what happened.
type EventType int

// The events.
const (
	EndpointsKnown     EventType = iota // an endpoint list is in force, received or cached
	Terminate                           // asked to stop: SIGTERM or SIGINT
	Reload                              // asked to read the settings again: SIGHUP
	Drained                             // no client and no query is left
	Tick                                // time has passed
	SuccessorConnected                  // a process asks for the sockets
	SuccessorServing                    // a successor says that it serves
	SuccessorLost                       // a successor is gone without having said so
)

// Event is one thing that happened.
type Event struct {
	Type        EventType
	SuccessorID uint64 // of the successor's events
}

// ActionType is what is to be done.
type ActionType int

// The actions.
const (
	NotifyReady     ActionType = iota // notify the service manager, and answer health checks with ready
	NotifyStopping                    // notify the service manager
	ReloadConfig                      // read the settings, and apply all or none of them
	SendListeners                     // send the listening sockets to a successor; both accept from then on
	RejectSuccessor                   // send a successor away
	StartDrain                        // accept no connection; send idle clients away; let what runs end
	ForceClose                        // end all that is left, each query with its one answer
	Exit
)

// Action is one thing to do.
type Action struct {
	Type        ActionType
	SuccessorID uint64 // of SendListeners and RejectSuccessor
}

// Config holds the machine's times.
type Config struct {
	DrainTimeout    time.Duration // after which a drain is cut short
	HandoverTimeout time.Duration // after which a successor that has not said that it serves is given up
}

// Machine is a daemon's state machine. It is for one goroutine at a time.
type Machine struct {
	cfg            Config
	state          State
	endpointsKnown bool
	deadline       time.Duration // of the handover or the drain
	successorID    uint64        // of the handover
	forceClosed    bool
	actions        []Action // of the present step; reused, to spare allocations
}

// New returns the machine of a daemon that starts.
func New(cfg Config) *Machine { return &Machine{cfg: cfg} }

// SetDrainTimeout changes how long the next drain may take. One that is under way keeps its end.
func (m *Machine) SetDrainTimeout(timeout time.Duration) { m.cfg.DrainTimeout = timeout }

// DrainTimeout returns how long a drain may take.
func (m *Machine) DrainTimeout() time.Duration { return m.cfg.DrainTimeout }

// State returns where the daemon is.
func (m *Machine) State() State { return m.state }

// NextDeadline returns when Step must be called with a Tick at the latest, and whether there is such a time.
func (m *Machine) NextDeadline() (time.Duration, bool) {
	return m.deadline, m.state == HandingOver || m.state == Draining && !m.forceClosed
}

// Step takes one event and returns what is to be done, in order. The result is valid until the next call.
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

// terminate begins a drain, or cuts one short that is under way.
func (m *Machine) terminate(now time.Duration) {
	switch m.state {
	case Starting, Ready:
		m.startDrain(now)
	case HandingOver:
		// If the successor went on, it could drain at the same time, and nobody would be left to serve. It is
		// rejected, and starts on its own or not at all.
		m.emit(RejectSuccessor, m.successorID)
		m.startDrain(now)
	case Draining:
		m.forceClose()
	}
}

// beginHandover serves one successor at a time. Others are rejected, and all are where there is nothing to
// hand over any more.
func (m *Machine) beginHandover(now time.Duration, successorID uint64) {
	if m.state != Ready && m.state != Starting {
		m.emit(RejectSuccessor, successorID)
		return
	}
	m.state, m.successorID, m.deadline = HandingOver, successorID, now+m.cfg.HandoverTimeout
	m.emit(SendListeners, successorID)
}

// abandonHandover goes on as before a handover that came to nothing.
func (m *Machine) abandonHandover() {
	m.successorID, m.state = 0, Ready
	if !m.endpointsKnown {
		m.state = Starting
	}
}

// timeOut ends what has passed its deadline.
func (m *Machine) timeOut() {
	switch m.state {
	case HandingOver:
		// A successor that hangs has the sockets too: connections that the kernel gives to it are never
		// served unless it is rejected and ends.
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

// forceClose ends what is left, once. Drained follows, as then nothing is.
func (m *Machine) forceClose() {
	if !m.forceClosed {
		m.forceClosed = true
		m.emit(ForceClose, 0)
	}
}

func (m *Machine) emit(t ActionType, successorID uint64) {
	m.actions = append(m.actions, Action{t, successorID})
}
