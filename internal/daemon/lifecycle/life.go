// Package lifecycle decides what a daemon does between its start and its end: when it says that it is ready, what
// a signal means, when a drain is over, and who keeps the listening sockets in a hand-over. It does no I/O
// and reads no clock: events in, actions out.
package lifecycle

import "time"

// State is where a daemon is in its life.
type State int

// The states of a daemon.
const (
	Starting State = iota // it listens, and knows no engine list yet
	Ready                 // it serves
	Handing               // it serves, and a successor is about to take its sockets
	Draining              // it takes no connection; what runs may end
	Over                  // it is to exit
)

func (s State) String() string {
	return [...]string{"starting", "ready", "handing over", "draining", "over"}[s]
}

// EventType is what happened.
type EventType int

// The events of a life.
const (
	Listed    EventType = iota // an engine list is in force, told or kept
	Terminate                  // asked to stop: SIGTERM or SIGINT
	Reload                     // asked to read the settings again: SIGHUP
	Empty                      // no client and no query is left
	Tick                       // time has passed
	Successor                  // a process asks for the sockets; Who names it
	Took                       // the successor says that it serves; Who names it
	Lost                       // the successor is gone without having said so; Who names it
)

// Event is one thing that happened.
type Event struct {
	Type EventType
	Who  uint64
}

// ActionType is what is to be done.
type ActionType int

// The actions of a life.
const (
	TellReady    ActionType = iota // tell the service manager, and answer health checks with ready
	TellStopping                   // tell the service manager
	ReadSettings                   // read the settings, and apply them whole or not at all
	GiveSockets                    // hand the listening sockets to Who; both listen from then on
	Decline                        // turn Who away
	Drain                          // take no connection; tell idle clients to go; let what runs end
	Cut                            // end all that is left, each query with its one answer
	Exit
)

// Action is one thing to do.
type Action struct {
	Type ActionType
	Who  uint64
}

// Config holds a life's times.
type Config struct {
	DrainFor time.Duration // a drain takes no longer
	HandFor  time.Duration // a successor that has not said within this time that it serves is given up
}

// Life is a daemon's state machine. It is for one goroutine at a time.
type Life struct {
	cfg       Config
	state     State
	listed    bool
	until     time.Duration
	successor uint64
	cut       bool
	out       []Action
}

// New returns a life that starts.
func New(cfg Config) *Life { return &Life{cfg: cfg} }

// State is where the daemon is.
func (l *Life) State() State { return l.state }

// Next is when Step must be called with a Tick at the latest, and whether there is such a time.
func (l *Life) Next() (time.Duration, bool) {
	return l.until, l.state == Handing || l.state == Draining && !l.cut
}

// Step takes an event at a time and returns what is to be done, in order, valid until the next call.
func (l *Life) Step(now time.Duration, ev Event) []Action {
	l.out = l.out[:0]
	switch ev.Type {
	case Listed:
		if l.listed = true; l.state == Starting {
			l.state = Ready
			l.do(TellReady, 0)
		}
	case Reload:
		if l.state < Draining {
			l.do(ReadSettings, 0)
		}
	case Terminate:
		switch l.state {
		case Starting, Ready, Handing:
			if l.state == Handing {
				// Danger: two that drain would leave nobody; the successor is told, and starts on its own or
				// not at all.
				l.do(Decline, l.successor)
			}
			l.drain(now)
		case Draining: // asked twice: at once
			l.end()
		}
	case Successor:
		if l.state != Ready && l.state != Starting {
			// one at a time: another is being served, or there is nothing to give any more
			l.do(Decline, ev.Who)
			break
		}
		l.state, l.successor, l.until = Handing, ev.Who, now+l.cfg.HandFor
		l.do(GiveSockets, ev.Who)
	case Took:
		if l.state == Handing && ev.Who == l.successor {
			l.drain(now)
		}
	case Lost:
		if l.state == Handing && ev.Who == l.successor {
			l.keep()
		}
	case Empty:
		if l.state == Draining {
			l.state = Over
			l.do(Exit, 0)
		}
	case Tick:
		switch {
		case now < l.until:
		case l.state == Handing:
			// Danger: a successor that hangs holds the sockets too and takes part of the connections; it is
			// turned away.
			l.do(Decline, l.successor)
			l.keep()
		case l.state == Draining && !l.cut:
			l.end()
		}
	}
	return l.out
}

// keep goes on as before a hand-over that came to nothing.
func (l *Life) keep() {
	l.successor, l.state = 0, Ready
	if !l.listed {
		l.state = Starting
	}
}

func (l *Life) drain(now time.Duration) {
	l.state, l.until = Draining, now+l.cfg.DrainFor
	l.do(TellStopping, 0)
	l.do(Drain, 0)
}

// end cuts what is left; Empty follows, as nothing is.
func (l *Life) end() {
	if !l.cut {
		l.cut = true
		l.do(Cut, 0)
	}
}

func (l *Life) do(t ActionType, who uint64) { l.out = append(l.out, Action{t, who}) }
