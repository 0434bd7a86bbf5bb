package cresspass

import (
	"time"
)

// QueryID names one try of a client's query. The gateway returns it unaltered.
type QueryID uint64

// EngineID is the address of an engine. It tells nothing of its place, kind or age.
type EngineID string

// EventType tells which fields of an Event count.
type EventType int

// The events a gateway takes.
const (
	EngineListReceived  EventType = iota // Listing, Engines
	QueryArrived                         // Query and what is told of it
	TimerFired                           // Label
	PeerMessageReceived                  // Peer, Data
	HealthCheckDone                      // Engine, Outcome, Took, Report
	AttemptDone                          // Query, Attempt, Engine, Outcome, Took, Finished, cost, Report
	ProgressReported                     // Query, Attempt, Engine, Note, Value
	ResponseStarted                      // Query, Attempt, Engine, Took
	QueryAbandoned                       // Query
	SessionCountChanged                  // Engine, Value: 1, one more session is kept there; -1, one less
	MembershipChanged                    // Peer: our ordinal; Value: gateways, this one included; Took: a clock that all of them share
	EngineReportedDown                   // Engine: others tell that it does not answer
	ShutdownScheduled                    // RemainingDeadline: until then all queries, newcomers too, must have their final answers
)

// EngineListType says how an EngineListReceived event is to be read.
type EngineListType int

// The kinds of engine list.
const (
	ListIncremental EngineListType = iota // changed engines only
	ListComplete                          // the complete list
	ListCached                            // the complete list, perhaps out of date
	ListFailed                            // a call failed or the subscription broke
)

// EngineState is what discovery knows of an engine.
type EngineState int

// The states of an engine.
const (
	EngineActive EngineState = iota
	EngineDraining
	EngineRemoved
)

// EngineInfo is one entry of an engine list.
type EngineInfo struct {
	ID        EngineID
	State     EngineState
	Kind      string
	Zone      string
	Cell      int
	Size      float64
	StartedAt time.Duration // on the gateway's clock; 0: long ago
}

// Outcome tells how an attempt or a probe ended.
type Outcome int

// The outcome codes.
const (
	OutcomeOK              Outcome = 0
	OutcomeFailed          Outcome = 5
	OutcomeRejected        Outcome = 11
	OutcomeConnectionReset Outcome = 104
	OutcomeTimedOut        Outcome = 110
	OutcomeConnectFailed   Outcome = 111
	OutcomeNotStarted      Outcome = 114
	OutcomeCancelled       Outcome = 125
)

// NeverRan reports whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool {
	return o == OutcomeRejected || o == OutcomeConnectFailed || o == OutcomeNotStarted
}

// NoteType is the topic of a progress note.
type NoteType int

// The topics of progress notes.
const (
	NoteFractionDone NoteType = 1 // Value: share of the work done
	NoteSpilled      NoteType = 2 // Value: megabytes missing
	NoteBlocked      NoteType = 3 // Value: 1 for memory, 2 for a load
)

// Event is one thing that happened to a gateway; Type tells which fields count.
type Event struct {
	Type    EventType
	Query   QueryID
	Attempt int
	Engine  EngineID
	Outcome Outcome
	Elapsed time.Duration

	ListType EngineListType
	Engines  []EngineInfo

	Class             string
	TableGroup        float64       // the group of tables the query reads
	RemainingDeadline time.Duration // until the client gives up this try
	Key               string
	StickyEngine      EngineID // the one engine that may run it, where its session is kept there; "": any
	OpensSession      bool     // its session is to be kept where it runs
	Tenant            string
	HasCostEstimate   bool // Cost is a valid estimate
	CostEstimate      time.Duration
	MemoryEstimateMB  float64 // estimate; 0: none
	IsRetry           bool
	IsWrite           bool
	AddsNoRetryBudget bool          // no request of its own: it raises no budget of further attempts
	QueryFinished     bool          // the query has its final answer
	ActualCost        time.Duration // with OK, where costs are told
	ActualMemoryMB    float64       // with OK, where costs are told
	LoadReport        []float64     // load report, in the order of LoadReportFields
	HasLoadReport     bool

	Note  NoteType
	Value float64
	Label uint64
	Peer  int
	Data  []byte
}
