package dispatch

import (
	"time"

	"cresspass"
)

// OutputType is the type of an Output. It determines which of the fields are used.
type OutputType int

// The types of outputs, each with the fields that it uses.
const (
	// StartAttempt starts an attempt: Query, Attempt, Engine, Priority, MemoryGrantMB and StartWithin. The
	// shell must post exactly one AttemptDone event for it.
	StartAttempt OutputType = iota
	// StopAttempt stops an attempt: Query, Attempt, Engine and Outcome. The attempt's response no longer
	// counts, and its AttemptDone event must have the given outcome.
	StopAttempt
	// RejectQuery ends a query that may be sent again: Query, RetryAfter, MayHaveRun and Reason.
	RejectQuery
	// FailQuery ends a query whose outcome is not known: Query and Reason.
	FailQuery
	// CheckHealth checks the health of Engine. The shell must post exactly one HealthCheckDone event for it.
	CheckHealth
	// FetchEngineList polls for the complete engine list once.
	FetchEngineList
	// SubscribeEngineList turns the push of engine lists on or off: Enabled.
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

// unknownOutput is the name of an OutputType that is not defined.
const unknownOutput = "unknown output"

func (t OutputType) String() string {
	if t < 0 || int(t) >= len(outputTypeNames) {
		return unknownOutput
	}
	return outputTypeNames[t]
}

// Output is an operation that the shell has to execute. The shell executes outputs in order.
type Output struct {
	Type          OutputType
	Query         cresspass.QueryID
	Attempt       int
	Engine        cresspass.EngineID
	Outcome       cresspass.Outcome
	RetryAfter    time.Duration // 0: the client gets no retry time
	StartWithin   time.Duration // an attempt that takes longer to reach its engine must not start
	Priority      int           // -1: not set
	MemoryGrantMB float64
	MayHaveRun    bool // an attempt of the query may have run
	Enabled       bool
	Peer          int
	Data          []byte
	Text          string
	Reason        cresspass.Reason
}

// ReasonDeadlinePassed is the reason of the failure of a query that the decision module did not end in time.
const ReasonDeadlinePassed cresspass.Reason = "its client's time is over"
