package cresspass

import "time"

// QueryID identifies one request of a client to run a query. Actions return it unchanged. A client's retry
// has a new ID.
type QueryID uint64

// EngineID identifies an engine; it may be the engine's address. Its text carries no zone, kind or age.
type EngineID string

// EventType determines which fields of an Event are valid.
type EventType int

// The event types. Each comment lists the valid fields.
const (
	EngineListReceived  EventType = iota // ListType, Engines
	QueryArrived                         // Query, Class and the fields that describe the query
	TimerFired                           // Label
	PeerMessageReceived                  // Peer, Data
	HealthCheckDone                      // Engine, Outcome, Elapsed, LoadReport
	AttemptDone                          // Query, Attempt, Engine, Outcome, Elapsed, QueryFinished, costs
	ProgressReported                     // Query, Attempt, Engine, Note, Value
	ResponseStarted                      // Query, Attempt, Engine, Elapsed
	QueryAbandoned                       // Query: its client disconnected or cancelled it
	SessionCountChanged                  // Engine, Value: 1: a sticky session was opened there; -1: closed
	MembershipChanged                    // Peer: our ordinal; Value: gateways; Elapsed: time on their clock
	EngineReportedDown                   // Engine: other gateways report that it does not respond
	ShutdownScheduled                    // RemainingDeadline: all queries, new ones too, must end within it
)

// EngineListType is the type of the list in an EngineListReceived event.
type EngineListType int

// The engine list types.
const (
	ListIncremental EngineListType = iota // only the engines that changed
	ListComplete                          // the complete list
	ListCached                            // the complete list, possibly out of date
	ListFailed                            // no list: a call failed or the subscription broke
)

// EngineState is the state of an engine according to discovery.
type EngineState int

// The engine states.
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

// Outcome is how an attempt or a health check ended. The values are those of the simulator's protocol.
type Outcome int

// The outcomes.
const (
	OutcomeOK              Outcome = 0
	OutcomeFailed          Outcome = 5
	OutcomeRejected        Outcome = 11 // the engine had no capacity
	OutcomeConnectionReset Outcome = 104
	OutcomeTimedOut        Outcome = 110
	OutcomeConnectFailed   Outcome = 111
	OutcomeNotStarted      Outcome = 114 // the attempt was abandoned before it began
	OutcomeCancelled       Outcome = 125
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool {
	return o == OutcomeRejected || o == OutcomeConnectFailed || o == OutcomeNotStarted
}

// NoteType is the subject of a progress note.
type NoteType int

// The progress note types.
const (
	NoteFractionDone NoteType = 1 // Value: fraction of the work done
	NoteSpilled      NoteType = 2 // Value: memory short, in MB
	NoteBlocked      NoteType = 3 // Value: 1: waits for memory; 2: waits for a bulk load
)

// Event is one input to a gateway. Type determines which fields are valid.
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
	TableGroup        float64       // the group of tables the query uses
	RemainingDeadline time.Duration // until the client gives up this request
	Key               string
	StickyEngine      EngineID // holds the query's session, so only it may run the query; "": any may
	OpensSession      bool     // the query opens a session, which will stay on the engine that runs it
	Tenant            string
	HasCostEstimate   bool // CostEstimate is valid
	CostEstimate      time.Duration
	MemoryEstimateMB  float64 // 0: unknown
	IsRetry           bool
	IsWrite           bool
	AddsNoRetryBudget bool          // not a request of a client's own, so it allows no retries
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
