// Package eventlog keeps the last events of a dispatcher in memory, by request id, and writes them to the log
// as they happen where its level asks for that. After a fault the events of one request can be read in order,
// also where the log's level was too high to show them.
package eventlog

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// Kind says what happened.
type Kind string

// The events, in the order in which a request meets them.
const (
	RequestReceived    Kind = "taken"     // a client's request was read
	RequestMalformed   Kind = "rejected"  // a request was itself at fault
	AttemptStarted     Kind = "decided"   // an attempt is to be made
	AttemptWithheld    Kind = "withheld"  // it was not written
	AttemptSent        Kind = "written"   // it was handed to the system
	ResponseUnreadable Kind = "broken"    // a call of it got no answer that can be read
	AttemptStopped     Kind = "stopped"   // it is to end
	AttemptEnded       Kind = "ended"     // it ended
	RequestAnswered    Kind = "answered"  // the client was given its result
	RequestRejected    Kind = "refused"   // the client was told that trying again is harmless
	RequestFailed      Kind = "failed"    // the client was told that it failed
	ClientGone         Kind = "gone"      // the client waits no longer
	ConnectionClosed   Kind = "closed"    // a client's connection was closed by us
	ConnectionLost     Kind = "lost"      // a client's connection was closed by it, or broke
	StateChanged       Kind = "changed"   // the dispatcher's state changed
	Discovery          Kind = "discovery" // discovery told something, or did not
)

// Event is one thing that happened. Fields that do not apply are empty.
type Event struct {
	Elapsed   time.Duration // since the log was made
	Kind      Kind
	RequestID string // the id that the client gave it
	Attempt   int    // -1: none
	Node      string
	Reason    string
}

func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.3fs %s", e.Elapsed.Seconds(), e.Kind)
	if e.Attempt >= 0 {
		fmt.Fprintf(&b, " attempt %d", e.Attempt)
	}
	if e.Node != "" {
		fmt.Fprintf(&b, " at %s", e.Node)
	}
	if e.Reason != "" {
		fmt.Fprintf(&b, ": %s", e.Reason)
	}
	return b.String()
}

// Log is a ring of the last events. It is for any number of goroutines.
type Log struct {
	logger    *slog.Logger
	createdAt time.Time

	mu      sync.Mutex
	ring    []Event
	next    int
	wrapped bool
}

// New returns a log of the last so many events.
func New(size int, logger *slog.Logger) *Log {
	return &Log{logger: logger, createdAt: time.Now(), ring: make([]Event, size)}
}

// Add enters an event of the present moment.
func (l *Log) Add(event Event) {
	event.Elapsed = time.Since(l.createdAt)
	l.mu.Lock()
	l.ring[l.next] = event
	if l.next++; l.next == len(l.ring) {
		l.next, l.wrapped = 0, true
	}
	l.mu.Unlock()
	if l.logger.Enabled(context.Background(), slog.LevelDebug) {
		l.logger.Debug(
			string(event.Kind),
			"request",
			event.RequestID,
			"attempt",
			event.Attempt,
			"node",
			event.Node,
			"why",
			event.Reason,
		)
	}
}

// Events returns what is left of a request's events, the oldest first.
func (l *Log) Events(request string) (out []Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wrapped {
		out = appendMatching(out, l.ring[l.next:], request)
	}
	return appendMatching(out, l.ring[:l.next], request)
}

func appendMatching(out, events []Event, request string) []Event {
	for _, e := range events {
		if e.RequestID == request {
			out = append(out, e)
		}
	}
	return out
}

// Trace writes a request's events in one line.
func (l *Log) Trace(request string) string {
	var parts []string
	for _, e := range l.Events(request) {
		parts = append(parts, e.String())
	}
	return strings.Join(parts, " | ")
}
