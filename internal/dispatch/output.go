package dispatch

import (
	"time"

	"cresspass"
)

// OutputType tells which fields of an Output count.
type OutputType int

// The outputs of a Core, each with the fields that count.
const (
	// StartAttempt begins an attempt: Query, Attempt, Engine, Priority, MemoryGrantMB and StartWithin. The
	// shell owes one AttemptDone event for it.
	StartAttempt OutputType = iota
	// StopAttempt disowns an attempt, whose AttemptDone event is to carry the given outcome: Query, Attempt,
	// Engine and Outcome.
	StopAttempt
	// RejectQuery ends a query that may be sent again: Query, RetryAfter, MayHaveRun and Reason.
	RejectQuery
	// FailQuery ends a query whose outcome is not known: Query and Reason.
	FailQuery
	// CheckHealth checks the health of Engine. The shell owes one HealthCheckDone event for it.
	CheckHealth
	// FetchEngineList polls for the complete engine list once.
	FetchEngineList
	// SubscribeEngineList has the engine list pushed while Enabled is set.
	SubscribeEngineList
	// CloseIdleConnections closes the idle connections to Engine.
	CloseIdleConnections
	// SendToPeer sends Data to Peer, or to all peers if Peer is -1.
	SendToPeer
	// WriteLog writes Text to the log.
	WriteLog
)

var outputTypeNames = [...]string{
	StartAttempt:         "start attempt",
	StopAttempt:          "stop attempt",
	RejectQuery:          "reject query",
	FailQuery:            "fail query",
	CheckHealth:          "check health",
	FetchEngineList:      "fetch engine list",
	SubscribeEngineList:  "subscribe engine list",
	CloseIdleConnections: "close idle connections",
	SendToPeer:           "send to peer",
	WriteLog:             "write log",
}

// unknownOutput is the name of what is no output.
const unknownOutput = "unknown output"

func (t OutputType) String() string {
	if t < 0 || int(t) >= len(outputTypeNames) {
		return unknownOutput
	}
	return outputTypeNames[t]
}

// Output is one thing that the shell has to do. Outputs are carried out in order.
type Output struct {
	Type          OutputType
	Query         cresspass.QueryID
	Attempt       int
	Engine        cresspass.EngineID
	Outcome       cresspass.Outcome
	RetryAfter    time.Duration // 0: the client is not told when to send the query again
	StartWithin   time.Duration // the attempt reaches its engine within this time, or must not start
	Priority      int           // -1: not set
	MemoryGrantMB float64
	MayHaveRun    bool // an attempt of the query may have run
	Enabled       bool
	Peer          int
	Data          []byte
	Text          string
	Reason        cresspass.Reason
}

// ReasonDeadlinePassed is the reason given for a query that the decision module did not end in time.
const ReasonDeadlinePassed cresspass.Reason = "its client's time is over"
