// Package eventlog keeps the last events of a dispatcher's requests in memory, and writes each event to the
// log if the log's level is debug. After a failure the events of one request can be read in order, even if
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

// Kind is the type of an event and the message of its log line.
type Kind string

// The kinds of event, in the order in which they happen to a request.
const (
	RequestReceived    Kind = "request received"
	RequestMalformed   Kind = "request malformed" // the request was decoded, but its content is invalid
	AttemptStarted     Kind = "attempt started"   // the decision module started the attempt
	AttemptWithheld    Kind = "attempt withheld"  // the attempt was not sent: its decision is out of date
	AttemptSent        Kind = "attempt sent"      // the attempt's bytes were passed to the operating system
	ResponseUnreadable Kind = "response unreadable"
	AttemptStopped     Kind = "attempt stopped" // the attempt was asked to end; "attempt ended" follows
	AttemptEnded       Kind = "attempt ended"
	RequestAnswered    Kind = "request answered"  // with its result
	RequestRejected    Kind = "request rejected"  // the answer to the client: a retry is harmless
	RequestFailed      Kind = "request failed"    // the answer to the client: the outcome is unknown
	ClientGone         Kind = "client gone"       // the client cancelled the request or lost its connection
	ConnectionClosed   Kind = "connection closed" // the dispatcher closed a client connection
	ConnectionLost     Kind = "connection lost"   // the client or the network ended a client connection
	StateChanged       Kind = "state changed"     // the dispatcher's own state changed
)

// NoAttempt is the value of Event.Attempt for an event that belongs to no attempt.
const NoAttempt = -1

// Event is an event of a dispatcher. Fields that do not apply are empty.
type Event struct {
	Elapsed   time.Duration // time since the Log was created
	Kind      Kind
	RequestID string // as the client sent it
	Attempt   int    // number of the attempt, or NoAttempt
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

// Log is a ring buffer of the last events. It is safe for concurrent use.
type Log struct {
	logger    *slog.Logger
	createdAt time.Time

	mu      sync.Mutex
	ring    []Event
	next    int  // index of the next event
	wrapped bool // the ring is full: the oldest event is at next
}

// New returns a Log that keeps the last size events and writes all events to logger at debug level.
func New(size int, logger *slog.Logger) *Log {
	return &Log{logger: logger, createdAt: time.Now(), ring: make([]Event, size)}
}

// Add records an event that happens now; it sets Elapsed.
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

// Events returns the events of a request that are still in the ring, oldest first.
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

// Trace returns the events of a request that are still in the ring as one line, oldest first.
func (l *Log) Trace(requestID string) string {
	var parts []string
	for _, event := range l.Events(requestID) {
		parts = append(parts, event.String())
	}
	return strings.Join(parts, " | ")
}
