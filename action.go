package cresspass

import "time"

// ActionType determines which fields of an Action are valid.
type ActionType int

// The action types. Each comment lists the valid fields.
const (
	Send                 ActionType = iota // Query to Engine, StartWithin; Wait: timeout, 0: the deadline
	SetTimer                               // Wait, Label
	FetchEngineList                        // poll the complete list once
	CloseIdleConnections                   // Engine
	SendToPeer                             // Peer (-1: all), Data
	Reject                                 // Query, Reason; Wait: the Retry-After time, 0: none
	Fail                                   // Query, Reason
	CheckHealth                            // Engine; the answer may carry a load report
	Cancel                                 // Query, Attempt
	SetResources                           // Query, Priority, MemoryGrantMB
	Log                                    // Text
	SubscribeEngineList                    // Enabled
)

// Reason is why a gateway ended a query without a result. It is only logged; clients do not receive it.
type Reason string

// The reasons.
const (
	ReasonDeadline       Reason = "no time is left"
	ReasonNoEngineFits   Reason = "no engine fits the time left"
	ReasonNoRetryAllowed Reason = "no further attempt is allowed"
	ReasonNotStarted     Reason = "it could not be started"
)

// Action is one operation that a gateway requests. Type determines which fields are valid.
type Action struct {
	Type          ActionType
	Query         QueryID
	Attempt       int
	Engine        EngineID
	Wait          time.Duration
	Label         uint64
	Peer          int
	Data          []byte
	Priority      int
	MemoryGrantMB float64
	Text          string
	Enabled       bool
	Reason        Reason        // with Reject and Fail
	StartWithin   time.Duration // with Send: the attempt must start within this; 0: before the deadline
}
