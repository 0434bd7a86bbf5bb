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

// What says what happened.
type What string

// The events, in the order in which a request meets them.
const (
	Taken     What = "taken"     // a client's request was read
	Rejected  What = "rejected"  // a request was itself at fault
	Decided   What = "decided"   // an attempt is to be made
	Withheld  What = "withheld"  // it was not written
	Written   What = "written"   // it was handed to the system
	Broken    What = "broken"    // a call of it got no answer that can be read
	Stopped   What = "stopped"   // it is to end
	Ended     What = "ended"     // it ended
	Answered  What = "answered"  // the client was given its result
	Refused   What = "refused"   // the client was told that trying again is harmless
	Failed    What = "failed"    // the client was told that it failed
	Gone      What = "gone"      // the client waits no longer
	Closed    What = "closed"    // a client's connection was closed by us
	Lost      What = "lost"      // a client's connection was closed by it, or broke
	Changed   What = "changed"   // the dispatcher's state changed
	Discovery What = "discovery" // discovery told something, or did not
)

// Event is one thing that happened. Fields that do not apply are empty.
type Event struct {
	At      time.Duration // since the log was made
	What    What
	Request string // the id that the client gave it
	Attempt int    // -1: none
	Node    string
	Why     string
}

func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.3fs %s", e.At.Seconds(), e.What)
	if e.Attempt >= 0 {
		fmt.Fprintf(&b, " attempt %d", e.Attempt)
	}
	if e.Node != "" {
		fmt.Fprintf(&b, " at %s", e.Node)
	}
	if e.Why != "" {
		fmt.Fprintf(&b, ": %s", e.Why)
	}
	return b.String()
}

// Log is a ring of the last events. It is for any number of goroutines.
type Log struct {
	slog *slog.Logger
	zero time.Time

	mu     sync.Mutex
	ring   []Event
	next   int
	filled bool
}

// New returns a log of the last so many events.
func New(size int, logger *slog.Logger) *Log {
	return &Log{slog: logger, zero: time.Now(), ring: make([]Event, size)}
}

// Add enters an event of the present moment.
func (l *Log) Add(e Event) {
	e.At = time.Since(l.zero)
	l.mu.Lock()
	l.ring[l.next] = e
	if l.next++; l.next == len(l.ring) {
		l.next, l.filled = 0, true
	}
	l.mu.Unlock()
	if l.slog.Enabled(context.Background(), slog.LevelDebug) {
		l.slog.Debug(string(e.What), "request", e.Request, "attempt", e.Attempt, "node", e.Node, "why", e.Why)
	}
}

// Of returns what is left of a request's events, the oldest first.
func (l *Log) Of(request string) (out []Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.filled {
		out = appendOf(out, l.ring[l.next:], request)
	}
	return appendOf(out, l.ring[:l.next], request)
}

func appendOf(out, events []Event, request string) []Event {
	for _, e := range events {
		if e.Request == request {
			out = append(out, e)
		}
	}
	return out
}

// Story writes a request's events in one line.
func (l *Log) Story(request string) string {
	var parts []string
	for _, e := range l.Of(request) {
		parts = append(parts, e.String())
	}
	return strings.Join(parts, " | ")
}
