// Package rulecheck checks the safety rules of dispatchers from the bytes on the sockets. Relays on both
// sides of each dispatcher record the bytes. PostgreSQL's protocol is decoded with pgproto3, a decoder that
// the dispatcher does not use; Flight SQL is decoded on the clients' side only. The checker knows the rules'
// parameters and which engine list each dispatcher received; it must not use what the dispatchers report
// about themselves.
//
// Statements identify themselves by tags: id differs each time that a client sends a query, and class, key
// and work_ms describe the query.
package rulecheck

import (
	"time"
)

// Request is a query as a dispatcher received it from a client, with its outcome.
type Request struct {
	ID, Class, Key string
	Dispatcher     string
	At             time.Time
	Tags           map[string]string

	FinalCount         int       `json:"Finals"` // final answers; rule 1 requires exactly one
	FinalAt            time.Time `json:"Final"`  // of the first final answer
	Code               string    // SQLSTATE of the first final answer; "": served
	Rows               int       // of Flight SQL: the data frames of the answer
	MessagesAfterFinal int       `json:"After"` // also counts a ReadyForQuery without a final answer
	Skipped            bool      // sent after a failed message and before Sync, so that it must not run
	ConnectionEnded    time.Time `json:"Gone"`       // when the connection ended without an answer
	ServerClosed       bool      `json:"ServerGone"` // the dispatcher ended the connection
}

func newRequest(tags map[string]string, dispatcher string, at time.Time) *Request {
	return &Request{ID: tags["id"], Class: tags["class"], Key: tags["key"], Dispatcher: dispatcher, At: at,
		Tags: tags}
}

// Attempt is a query as an engine received it from a dispatcher, with its outcome.
type Attempt struct {
	ID, Class, Key     string
	Engine, Dispatcher string
	PID                uint32 // of the engine's connection, from BackendKeyData
	At                 time.Time
	Work               float64 // thread seconds, from the tag work_ms
	End                time.Time
	Code               string    // SQLSTATE of its final answer
	Done, Lost         bool      // Done: it was served; Lost: its connection ended before an answer
	Skipped            bool      // sent after a failed message and before Sync: it never ran
	Session            string    // from the tag session, which the statements of one session share
	Cancel             time.Time // when the engine received a cancel request for it; zero: it did not
}

// SQLSTATE codes that the checker reads.
const (
	stateRejected           = "53000" // the dispatcher rejects a query
	stateTooManyConnections = "53300"
	stateCannotConnectNow   = "57P03"
	stateQueryCanceled      = "57014"
)

// neverRan reports whether the outcome of the attempt proves that the query did not run.
func (a *Attempt) neverRan() bool {
	return a.Skipped || a.Code == stateTooManyConnections || a.Code == stateCannotConnectNow
}

// Notification is an engine list that was sent to a dispatcher at Sent and acknowledged by it at At. Between
// the two times the dispatcher may or may not know the list: from Sent on it may use an engine that is new on
// the list, and from At on it must not use an engine that is no longer on the list.
type Notification struct {
	Sent       time.Time // zero: the same as At
	At         time.Time
	Dispatcher string
	Engines    map[string]Endpoint // active engines by address; all others are draining or removed
}

// sentAt returns the earliest time at which the dispatcher may have received the list.
func (n *Notification) sentAt() time.Time {
	if n.Sent.IsZero() {
		return n.At
	}
	return n.Sent
}

// Endpoint is the entry of an engine in an engine list.
type Endpoint struct {
	Zone, Kind string
	Cell       int
	Cores      float64
	Started    time.Time // zero: long ago, so that no slow start is checked
}

// Outage is the time from when a dispatcher was stopped or killed until it was back; Back is zero while it is
// down.
type Outage struct {
	Dispatcher string
	At, Back   time.Time
}

// Log is the decoded traffic of all relays, with what discovery and the stand-in engines recorded.
type Log struct {
	Requests          []*Request     `json:"Asks"`
	Attempts          []*Attempt     `json:"Sends"`
	Notifications     []Notification `json:"Told"`
	Outages           []Outage       `json:"Killed"`
	OverloadedEngines []string       `json:"Fallen"` // engines that fell over from overload
	StrayAnswers      int            `json:"Stray"`  // answers that belong to no request
	// Unjudged lists the reasons why the log cannot be judged; empty: it can.
	Unjudged []string
}
