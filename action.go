package cresspass

import (
	"time"
)

// ActionType tells which fields of an Action count.
type ActionType int

// The actions a gateway can ask for.
const (
	Send                 ActionType = iota // Query to Engine, Within; Wait is the attempt's time-out, 0: the deadline
	SetTimer                               // Wait, Label
	FetchEngineList                        // ask for the complete list once
	CloseIdleConnections                   // Engine
	SendToPeer                             // Peer (-1: all), Data
	Reject                                 // Query, Reason; Wait is the come-back time, 0: none
	Fail                                   // Query, Reason
	CheckHealth                            // Engine
	Cancel                                 // Query, Attempt
	SetResources                           // Query, Priority, MemoryMB
	Log                                    // Text
	SubscribeEngineList                    // On
)

// Reason says why a gateway ended a query without a result. It is for the log alone.
type Reason string

// The reasons.
const (
	ReasonDeadline       Reason = "no time is left"
	ReasonNoEngineFits   Reason = "no engine fits the time left"
	ReasonNoRetryAllowed Reason = "no further attempt is allowed"
	ReasonNotStarted     Reason = "it could not be started"
)

// Action is one thing a gateway wants done; Type tells which fields count.
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
	Reason        Reason        // with Refuse and Fail
	StartWithin   time.Duration // with Send: the decision holds for so long; 0: until the deadline
}
