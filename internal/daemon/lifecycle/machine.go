// Package lifecycle decides what a daemon does between its start and its end: when it says that it is ready,
// what a signal means, when a drain is over, and who keeps the listening sockets in a hand-over. It does no
// I/O and reads no clock: events in, actions out.
package lifecycle

import "time"

// State is where a daemon is in its life.
type State int

// The states of a daemon.
const (
	Starting    State = iota // it listens, and knows no engine list yet
	Ready                    // it serves
	HandingOver              // it serves, and a successor is about to take its sockets
	Draining                 // it takes no connection; what runs may end
	Stopped                  // it is to exit
)

func (s State) String() string {
	return [...]string{"starting", "ready", "handing over", "draining", "over"}[s]
}

// EventType is what happened.
type EventType int

// The events of a life.
const (
	EndpointsKnown     EventType = iota // an engine list is in force, told or kept
	Terminate                           // asked to stop: SIGTERM or SIGINT
	Reload                              // asked to read the settings again: SIGHUP
	Drained                             // no client and no query is left
	Tick                                // time has passed
	SuccessorConnected                  // a process asks for the sockets; Who names it
	SuccessorServing                    // the successor says that it serves; Who names it
	SuccessorLost                       // the successor is gone without having said so; Who names it
)

// Event is one thing that happened.
type Event struct {
	Type        EventType
	SuccessorID uint64
}

// ActionType is what is to be done.
type ActionType int

// The actions of a life.
const (
	NotifyReady     ActionType = iota // tell the service manager, and answer health checks with ready
	NotifyStopping                    // tell the service manager
	ReloadConfig                      // read the settings, and apply them whole or not at all
	SendListeners                     // hand the listening sockets to Who; both listen from then on
	RejectSuccessor                   // turn Who away
	StartDrain                        // take no connection; tell idle clients to go; let what runs end
	ForceClose                        // end all that is left, each query with its one answer
	Exit
)

// Action is one thing to do.
type Action struct {
	Type        ActionType
	SuccessorID uint64
}

// Config holds a life's times.
type Config struct {
	DrainTimeout    time.Duration // a drain takes no longer
	HandoverTimeout time.Duration // a successor that has not said within this time that it serves is given up
}

// Machine is a daemon's state machine. It is for one goroutine at a time.
type Machine struct {
	cfg            Config
	state          State
	endpointsKnown bool
	deadline       time.Duration
	successorID    uint64
	forceClosed    bool
	actions        []Action
}

// New returns a life that starts.
func New(cfg Config) *Machine { return &Machine{cfg: cfg} }

// State is where the daemon is.
func (l *Machine) State() State { return l.state }

// NextDeadline is when Step must be called with a Tick at the latest, and whether there is such a time.
func (l *Machine) NextDeadline() (time.Duration, bool) {
	return l.deadline, l.state == HandingOver || l.state == Draining && !l.forceClosed
}

// Step takes an event at a time and returns what is to be done, in order, valid until the next call.
func (l *Machine) Step(now time.Duration, ev Event) []Action {
	l.actions = l.actions[:0]
	switch ev.Type {
	case EndpointsKnown:
		if l.endpointsKnown = true; l.state == Starting {
			l.state = Ready
			l.emit(NotifyReady, 0)
		}
	case Reload:
		if l.state < Draining {
			l.emit(ReloadConfig, 0)
		}
	case Terminate:
		switch l.state {
		case Starting, Ready, HandingOver:
			if l.state == HandingOver {
				// Danger: two that drain would leave nobody; the successor is told, and starts on its own or
				// not at all.
				l.emit(RejectSuccessor, l.successorID)
			}
			l.startDrain(now)
		case Draining: // asked twice: at once
			l.forceClose()
		}
	case SuccessorConnected:
		if l.state != Ready && l.state != Starting {
			// one at a time: another is being served, or there is nothing to give any more
			l.emit(RejectSuccessor, ev.SuccessorID)
			break
		}
		l.state, l.successorID, l.deadline = HandingOver, ev.SuccessorID, now+l.cfg.HandoverTimeout
		l.emit(SendListeners, ev.SuccessorID)
	case SuccessorServing:
		if l.state == HandingOver && ev.SuccessorID == l.successorID {
			l.startDrain(now)
		}
	case SuccessorLost:
		if l.state == HandingOver && ev.SuccessorID == l.successorID {
			l.abandonHandover()
		}
	case Drained:
		if l.state == Draining {
			l.state = Stopped
			l.emit(Exit, 0)
		}
	case Tick:
		switch {
		case now < l.deadline:
		case l.state == HandingOver:
			// Danger: a successor that hangs holds the sockets too and takes part of the connections; it is
			// turned away.
			l.emit(RejectSuccessor, l.successorID)
			l.abandonHandover()
		case l.state == Draining && !l.forceClosed:
			l.forceClose()
		}
	}
	return l.actions
}

// abandonHandover goes on as before a hand-over that came to nothing.
func (l *Machine) abandonHandover() {
	l.successorID, l.state = 0, Ready
	if !l.endpointsKnown {
		l.state = Starting
	}
}

func (l *Machine) startDrain(now time.Duration) {
	l.state, l.deadline = Draining, now+l.cfg.DrainTimeout
	l.emit(NotifyStopping, 0)
	l.emit(StartDrain, 0)
}

// forceClose cuts what is left; Empty follows, as nothing is.
func (l *Machine) forceClose() {
	if !l.forceClosed {
		l.forceClosed = true
		l.emit(ForceClose, 0)
	}
}

func (l *Machine) emit(t ActionType, successorID uint64) {
	l.actions = append(l.actions, Action{t, successorID})
}
