// Package eventlog keeps the last events of a dispatcher in memory, by request, and writes them to the log
// as they happen if its level is debug. After a fault the events of one request can be read in order, even if
// the log's level was too high to show them.
package eventlog

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// Kind says what happened. It is the message of the event's log line.
type Kind string

// The kinds of event, in the order in which a request meets them.
const (
	RequestReceived    Kind = "request received"
	RequestMalformed   Kind = "request malformed" // it could be read, but is itself at fault
	AttemptStarted     Kind = "attempt started"   // the decision module wants it
	AttemptWithheld    Kind = "attempt withheld"  // it was not sent: its decision holds no longer
	AttemptSent        Kind = "attempt sent"      // its bytes were handed to the system
	ResponseUnreadable Kind = "response unreadable"
	AttemptStopped     Kind = "attempt stopped" // it is to end; "attempt ended" follows
	AttemptEnded       Kind = "attempt ended"
	RequestAnswered    Kind = "request answered"  // with its result
	RequestRejected    Kind = "request rejected"  // the client was told that a retry does no harm
	RequestFailed      Kind = "request failed"    // the client was told that the outcome is not known
	ClientGone         Kind = "client gone"       // it cancelled the request, or its connection is lost
	ConnectionClosed   Kind = "connection closed" // a client's connection, by the dispatcher
	ConnectionLost     Kind = "connection lost"   // a client's connection, by the client or the network
	StateChanged       Kind = "state changed"     // the dispatcher's own state
)

// NoAttempt is the Attempt of an event that concerns no attempt.
const NoAttempt = -1

// Event is one thing that happened. Fields that do not apply are empty.
type Event struct {
	Elapsed   time.Duration // since the log was made
	Kind      Kind
	RequestID string // as the client gave it
	Attempt   int    // NoAttempt: none
	Node      string
	Reason    string
}

func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.3fs %s", e.Elapsed.Seconds(), e.Kind)
	if e.Attempt != NoAttempt {
		fmt.Fprintf(&b, " attempt=%d", e.Attempt)
	}
	if e.Node != "" {
		fmt.Fprintf(&b, " node=%s", e.Node)
	}
	if e.Reason != "" {
		fmt.Fprintf(&b, " reason=%q", e.Reason)
	}
	return b.String()
}

// Log is a ring of the last events. It is for any number of goroutines.
type Log struct {
	logger    *slog.Logger
	createdAt time.Time

	mu      sync.Mutex
	ring    []Event
	next    int  // the place of the next event
	wrapped bool // the ring is full: the oldest event is at next
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
		l.logger.Debug(string(event.Kind), "request", event.RequestID, "attempt", event.Attempt,
			"node", event.Node, "reason", event.Reason)
	}
}

// Events returns what is left of a request's events, the oldest first.
func (l *Log) Events(requestID string) (events []Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wrapped {
		events = appendMatching(events, l.ring[l.next:], requestID)
	}
	return appendMatching(events, l.ring[:l.next], requestID)
}

func appendMatching(matching, events []Event, requestID string) []Event {
	for _, event := range events {
		if event.RequestID == requestID {
			matching = append(matching, event)
		}
	}
	return matching
}

// Trace returns a request's events as one line.
func (l *Log) Trace(requestID string) string {
	var parts []string
	for _, event := range l.Events(requestID) {
		parts = append(parts, event.String())
	}
	return strings.Join(parts, " | ")
}
