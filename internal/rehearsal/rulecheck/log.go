// Package rulecheck checks the rules of the dispatcher from the bytes on the sockets. Relays stand on both
// sides of the dispatchers and decode what passes with pgproto3, a decoder that the dispatcher does not
// use. The checker knows the rules' parameters and which engine list each dispatcher received; it must not
// use what the dispatchers say about themselves.
//
// Statements name themselves: the tag id is unique for each attempt of a client at a query, and class, key
// and work_ms say what the query is.
package rulecheck

import (
	"time"
)

// Request is a query as a client sent it.
type Request struct {
	ID, Class, Key string
	Dispatcher     string
	At             time.Time
	Tags           map[string]string

	FinalCount         int       `json:"Finals"` // final answers: must become one
	FinalAt            time.Time `json:"Final"`
	Code               string    // SQLSTATE of the final answer; "": served
	Rows               int
	MessagesAfterFinal int       `json:"After"` // or a ReadyForQuery without a final answer
	Skipped            bool      // behind an error, up to Sync
	ConnectionEnded    time.Time `json:"Gone"`       // the connection ended before an answer
	ServerClosed       bool      `json:"ServerGone"` // and it was the dispatcher that ended it
}

func newRequest(tags map[string]string, dispatcher string, at time.Time) *Request {
	return &Request{ID: tags["id"], Class: tags["class"], Key: tags["key"], Dispatcher: dispatcher, At: at,
		Tags: tags}
}

// Attempt is one execution of a query as an engine received it.
type Attempt struct {
	ID, Class, Key     string
	Engine, Dispatcher string
	PID                uint32
	At                 time.Time
	Work               float64 // thread seconds, by its tag
	End                time.Time
	Code               string // SQLSTATE of its end
	Done, Lost         bool   // it was answered; its connection ended first
	Skipped            bool   // behind an error: it never ran
	Session            string // by its tag: statements of one session share it
	Cancel             time.Time
}

// SQLSTATE codes that the checker reads.
const (
	stateRejected           = "53000" // the dispatcher rejects a query
	stateTooManyConnections = "53300"
	stateCannotConnectNow   = "57P03"
	stateQueryCanceled      = "57014"
)

// neverRan reports whether its end proves that the query did not run.
func (a *Attempt) neverRan() bool {
	return a.Skipped || a.Code == stateTooManyConnections || a.Code == stateCannotConnectNow
}

// Notification is a list that a dispatcher received, with the engines on it. Between Sent and At, when it was
// acknowledged, the dispatcher may or may not have known of it: it may use an engine that is new on it from
// Sent, and must not use one that is no longer on it from At.
type Notification struct {
	Sent       time.Time // zero: as At
	At         time.Time
	Dispatcher string
	Engines    map[string]Endpoint // those that are active; all others are draining or removed
}

// sentAt is when the dispatcher may have received the list.
func (n *Notification) sentAt() time.Time {
	if n.Sent.IsZero() {
		return n.At
	}
	return n.Sent
}

// Endpoint is where and what an engine is.
type Endpoint struct {
	Zone, Kind string
	Cell       int
	Cores      float64
	Started    time.Time // zero: long ago
}

// Outage is when a dispatcher was stopped or killed, and when it was back.
type Outage struct {
	Dispatcher string
	At, Back   time.Time
}

// Log is all that the relays saw, and what the services behind the dispatchers know.
type Log struct {
	Requests          []*Request     `json:"Asks"`
	Attempts          []*Attempt     `json:"Sends"`
	Notifications     []Notification `json:"Told"`
	Outages           []Outage       `json:"Killed"`
	OverloadedEngines []string       `json:"Fallen"` // engines that fell over from overload
	StrayAnswers      int            `json:"Stray"`  // answers that belong to no request
	// Unjudged says why the log cannot be judged.
	Unjudged []string
}
