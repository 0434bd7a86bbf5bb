// Package frontend defines the interface between the dispatcher and a front, which serves clients in one
// protocol. A front submits queries, and withdraws those that their client cancels or leaves; the dispatcher
// ends each query through its response. The package holds no logic and must not import a front.
package frontend

import (
	"sync/atomic"

	"cresspass/internal/backend/copyin"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/frontend/classify"
)

// Query is one query of a client, from its submission to its final response. The front sets all fields except
// ID before it submits the query.
type Query struct {
	Frontend    string // name of the front that submits the query
	Client      classify.Client
	EngineQuery *enginequery.Query
	Response    *response.Response

	// Throttle blocks until the client has capacity for more rows, or until the response ends.
	Throttle func()
	// Settle is called when the engine has ended a query that may have changed its session's state. It
	// returns what happens to the engine connection.
	Settle func(pgbackend.QueryEnd) pgbackend.Disposition
	// OnConnectionLost ends the session of a sticky query whose engine connection was lost. This is the only
	// response to the query. sent says that the query had been sent to the engine.
	OnConnectionLost func(sent bool)
	// StartCopyIn is given the pipe for the data of a COPY that the engine asks for. It returns false if no
	// data will come.
	StartCopyIn func(*copyin.Pipe) bool
	// OnCopyCapacity is called when a full copy pipe has capacity again.
	OnCopyCapacity func()
	// Lease ties the session to an engine connection. It is never nil.
	Lease *pgbackend.Lease
	// OnResponseEnded is called once the response has ended and the decision module has been notified. The
	// client's next query may then be submitted.
	OnResponseEnded func()

	// ID is set by Submit; it is 0 until then.
	ID atomic.Uint64
}

// Dispatcher runs the queries that fronts submit. Its methods do not block.
type Dispatcher interface {
	// Submit starts a query. The query's response may end before Submit returns.
	Submit(q *Query)
	// Withdraw reports that the front has ended a query's response. cancelled says that the query was
	// cancelled; otherwise its client has disconnected.
	Withdraw(q *Query, cancelled bool)
}
