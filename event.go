package cresspass

import "time"

// QueryID names one attempt of a client to have a query run. The gateway returns it unaltered.
type QueryID uint64

// EngineID is the address of an engine. It says nothing of its place, kind or age.
type EngineID string

// EventType says which fields of an Event count.
type EventType int

// The events a gateway takes.
const (
	EngineListReceived  EventType = iota // ListType, Engines
	QueryArrived                         // Query and what is known of it
	TimerFired                           // Label
	PeerMessageReceived                  // Peer, Data
	HealthCheckDone                      // Engine, Outcome, Elapsed, LoadReport
	AttemptDone                          // Query, Attempt, Engine, Outcome, Elapsed, QueryFinished, costs
	ProgressReported                     // Query, Attempt, Engine, Note, Value
	ResponseStarted                      // Query, Attempt, Engine, Elapsed
	QueryAbandoned                       // Query: its client left or cancelled it
	SessionCountChanged                  // Engine, Value: 1, one more sticky session there; -1, one less
	MembershipChanged                    // Peer: our ordinal; Value: gateways; Elapsed: their common clock
	EngineReportedDown                   // Engine: other gateways report that it does not answer
	ShutdownScheduled                    // RemainingDeadline: all queries, newcomers too, must end in it
)

// EngineListType says how an EngineListReceived event is to be read.
type EngineListType int

// The types of engine list.
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

// Outcome says how an attempt or a health check ended. The numbers are those of the simulator's protocol.
type Outcome int

// The outcomes.
const (
	OutcomeOK              Outcome = 0
	OutcomeFailed          Outcome = 5
	OutcomeRejected        Outcome = 11 // the engine had no capacity
	OutcomeConnectionReset Outcome = 104
	OutcomeTimedOut        Outcome = 110
	OutcomeConnectFailed   Outcome = 111
	OutcomeNotStarted      Outcome = 114 // the attempt was given up before it began
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
	NoteFractionDone NoteType = 1 // Value: fraction of the work done
	NoteSpilled      NoteType = 2 // Value: megabytes missing
	NoteBlocked      NoteType = 3 // Value: 1 by memory, 2 by a bulk load
)

// Event is one thing that happened to a gateway; Type says which fields count.
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
	RemainingDeadline time.Duration // until the client gives up this attempt
	Key               string
	StickyEngine      EngineID // the one engine that may run it, where its session is; "": any
	OpensSession      bool     // its session is to stay where it runs
	Tenant            string
	HasCostEstimate   bool // CostEstimate is valid
	CostEstimate      time.Duration
	MemoryEstimateMB  float64 // 0: none
	IsRetry           bool
	IsWrite           bool
	AddsNoRetryBudget bool          // no request of a client's own: it allows no further retries
	QueryFinished     bool          // the query has its final answer
	ActualCost        time.Duration // with OutcomeOK, where answers carry costs
	ActualMemoryMB    float64       // with OutcomeOK, where answers carry costs
	LoadReport        []float64     // in the order of LoadReportFields
	HasLoadReport     bool

	Note  NoteType
	Value float64
	Label uint64
	Peer  int
	Data  []byte
}
