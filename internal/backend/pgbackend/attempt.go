package pgbackend

import (
	"sync/atomic"
	"time"

	"cresspass"
	"cresspass/internal/backend/copyin"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/dispatch/verdict"
)

// Attempt is one try to run a query on an engine, or a health check of the engine.
type Attempt struct {
	Query    *enginequery.Query
	Number   int                // identifies the attempt to Response
	Response *response.Response // nil: a health check
	Priority int                // -1: not set
	MemoryMB float64            // 0: not set

	// MayStart is called immediately before the request is written. If it returns false, nothing is written
	// and the attempt ends with the returned outcome. nil: the attempt may start.
	MayStart func() (cresspass.Outcome, bool)
	// OnEnded is called exactly once, from any goroutine.
	OnEnded func(Result)
	// OnProgress is called with the kind and value of each progress notice of the engine.
	OnProgress func(cresspass.NoteType, float64)
	// OnDescribed is called with the engine's response to the Describe of a statement; a nil description
	// means that a cached one must be dropped.
	OnDescribed func(key string, description []byte)
	// FailureVerdict returns the verdict for a client whose response is incomplete.
	FailureVerdict func() *verdict.Verdict
	// Throttle blocks until the client has capacity for more rows, or until the response ends.
	Throttle func()

	// StartCopyIn is called with the pipe for the data of a COPY that the engine asks for. It returns false
	// if no data will come.
	StartCopyIn func(*copyin.Pipe) bool
	// OnCopyCapacity is called when a full copy pipe has capacity again.
	OnCopyCapacity func()

	// Lease ties the session to an engine connection; nil: there is no session.
	Lease *Lease
	// Stateful reports whether the query needs its session's state on the connection, or may leave state
	// there.
	Stateful bool
	// Settle is called when the engine has ended a query that may have left session state, and returns what
	// happens to the connection.
	Settle func(QueryEnd) Disposition
	// OnConnectionLost ends the session of a query whose leased connection was lost. sent reports whether
	// the query had been sent.
	OnConnectionLost func(sent bool)

	restoresStatus bool // a statement of the pool's own; see restore.go

	done      atomic.Bool
	conn      atomic.Pointer[conn]
	startedAt time.Time
}

// Result is how an attempt ended.
type Result struct {
	Outcome          cresspass.Outcome
	ServiceTime      time.Duration // for the estimator; 0: no measure of the engine's speed
	ResponseFinished bool          // this attempt ended the client's response
	LoadReport       []float64     // the engine's latest report since the previous query, or nil
	SQLState         string        // of an engine's error
	Message          string
}

// QueryEnd describes the state after an engine has ended a query that may have left session state on its
// connection.
type QueryEnd struct {
	Engine            cresspass.EngineID
	PID               uint32             // the engine's process ID of the connection
	Secret            []byte             // for cancel requests
	TransactionStatus byte               // of ReadyForQuery
	CommandTags       []string           // of the completed statements
	SettingReported   bool               // a ParameterStatus arrived while the query ran
	Settings          *sessionparams.Set // active on the connection before the query
}

// Disposition specifies what happens to an engine connection after a query. The zero value closes it.
type Disposition struct {
	Known    bool               // the state left on the connection is known
	Keep     bool               // the session keeps the connection
	Settings *sessionparams.Set // active on the connection after the query
}

// mayStart reports whether the attempt may be sent now. If not, it returns the outcome with which it ends.
func (a *Attempt) mayStart() (cresspass.Outcome, bool) {
	if a.MayStart == nil {
		return 0, true
	}
	return a.MayStart()
}

// end reports the result. Calls after the first have no effect.
func (a *Attempt) end(r Result) {
	if a.done.CompareAndSwap(false, true) {
		a.OnEnded(r)
	}
}

// notStarted returns the result of an attempt that ended before anything was sent.
func notStarted(outcome cresspass.Outcome) Result {
	return Result{Outcome: outcome, Message: "not begun: what was decided no longer held"}
}
