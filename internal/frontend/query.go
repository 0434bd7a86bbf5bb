// Package frontend defines the seam between a front, which speaks some protocol with clients, and the
// dispatcher. A front submits queries and withdraws them when their client does; the dispatcher ends each by
// its response. The package holds no logic and must not import a front.
package frontend

import (
	"sync/atomic"

	"cresspass/internal/backend/copyin"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/frontend/classify"
)

// Query is one query of a client, from its submission to its final response. A front fills in all fields but
// ID before it submits the query.
type Query struct {
	Frontend    string // name of the front that the query came by
	Client      classify.Client
	EngineQuery *enginequery.Query
	Response    *response.Response

	// Throttle blocks until the client has capacity for more rows, or until the response ends.
	Throttle func()
	// Settle takes the state in which the engine ended a query that may have changed the session, and
	// returns what becomes of the engine connection.
	Settle func(pgbackend.QueryEnd) pgbackend.Disposition
	// OnConnectionLost ends the session of a sticky query whose engine connection was lost. It is the one
	// response to the query. sent: the query had been sent.
	OnConnectionLost func(sent bool)
	// StartCopyIn hands over the pipe for the data of a COPY that the engine asks for. It returns false where
	// no data will come.
	StartCopyIn func(*copyin.Pipe) bool
	// OnCopyCapacity is called when a full pipe has capacity again.
	OnCopyCapacity func()
	// Lease is the session's hold on an engine connection; never nil.
	Lease *pgbackend.Lease
	// OnResponseEnded is called once the response has ended and the decision module has been notified: the
	// client's next query may follow.
	OnResponseEnded func()

	// ID is set by Submit; it is 0 until then.
	ID atomic.Uint64
}

// Dispatcher runs the queries of fronts. Its methods do not block.
type Dispatcher interface {
	// Submit takes a query. The query's response may end before Submit returns.
	Submit(q *Query)
	// Withdraw reports that a query's response was ended by its client. cancelled: by a cancel request, as
	// opposed to a client that disconnected.
	Withdraw(q *Query, cancelled bool)
}
