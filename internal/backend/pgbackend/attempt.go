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

// Attempt is one sending of a query to an engine.
type Attempt struct {
	Query    *enginequery.Query
	Number   int
	Response *response.Response // nil: a health check
	Priority int                // -1: not set
	MemoryMB float64            // 0: not set

	// MayStart is called in the moment in which the request is written. Where it returns false nothing is
	// written, and the attempt ends with its outcome. nil: the attempt may start.
	MayStart func() (cresspass.Outcome, bool)
	// OnEnded is called once, in any goroutine, whatever happens.
	OnEnded func(Result)
	// OnProgress is called for each progress notice of the engine.
	OnProgress func(cresspass.NoteType, float64)
	// OnDescribed is called with the engine's response to the Describe of a statement; nil: a cached one must
	// be dropped.
	OnDescribed func(key string, description []byte)
	// FailureVerdict is the verdict for a client whose response broke off.
	FailureVerdict func() *verdict.Verdict
	// Throttle blocks until the client has capacity for more rows, or until the response ends.
	Throttle func()

	// StartCopyIn takes the pipe for the data of a COPY that the engine asks for; false: there is none.
	StartCopyIn func(*copyin.Pipe) bool
	// OnCopyCapacity is called when a full pipe has capacity again.
	OnCopyCapacity func()

	// Lease is the session's hold on an engine connection; nil: none.
	Lease *Lease
	// Stateful: the query needs its session's state on the connection, or may leave some.
	Stateful bool
	// Settle takes the end at the engine of a query that may have left session state.
	Settle func(QueryEnd) Disposition
	// OnConnectionLost ends the session of a stateful query whose connection was lost.
	OnConnectionLost func(sent bool)

	done      atomic.Bool
	conn      atomic.Pointer[conn]
	startedAt time.Time
}

// Result is how an attempt ended.
type Result struct {
	Outcome          cresspass.Outcome
	ServiceTime      time.Duration // for the estimator; 0: the attempt says nothing of the engine's speed
	ResponseFinished bool          // this attempt ended the client's response
	LoadReport       []float64     // that came with the end, or nil
	SQLState         string        // of an engine's error
	Message          string
}

// QueryEnd is the state in which an engine ended a query that may have left session state on its connection.
type QueryEnd struct {
	Engine            cresspass.EngineID
	PID               uint32             // of the connection at the engine
	Secret            []byte             // for cancel requests
	TransactionStatus byte               // of ReadyForQuery
	CommandTags       []string           // of the statements that were completed
	SettingReported   bool               // a ParameterStatus came while the query ran
	Settings          *sessionparams.Set // of the connection before the query
}

// Disposition is what becomes of an engine connection after a query. The zero value closes it.
type Disposition struct {
	Known    bool               // the state left on the connection is known
	Keep     bool               // the session stays on the connection
	Settings *sessionparams.Set // of the connection now
}

// mayStart asks whether the attempt may be written now, and returns how it ends if not.
func (a *Attempt) mayStart() (cresspass.Outcome, bool) {
	if a.MayStart == nil {
		return 0, true
	}
	return a.MayStart()
}

// end reports the result, once.
func (a *Attempt) end(r Result) {
	if a.done.CompareAndSwap(false, true) {
		a.OnEnded(r)
	}
}

// notStarted is the result of an attempt of which nothing was sent.
func notStarted(outcome cresspass.Outcome) Result {
	return Result{Outcome: outcome, Message: "not begun: what was decided no longer held"}
}
