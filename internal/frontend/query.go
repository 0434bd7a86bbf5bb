// Package frontend is the seam between a front, which speaks some protocol with clients, and the dispatcher.
// A front hands over queries and says when a client takes one back; the dispatcher ends each by its answer.
package frontend

import (
	"sync/atomic"

	"cresspass/internal/backend/copyin"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/frontend/classify"
)

// Query is one query of a client, from when it is taken to its final answer.
type Query struct {
	Frontend    string // name of the front that it came by
	Client      classify.Client
	EngineQuery *enginequery.Query
	Response    *response.Response
	// Throttle waits until the client has room for more rows. It returns when the answer ends.
	Throttle func()
	// Settle takes what the engine said at the end of a query that may have left something, and says what
	// becomes of the connection.
	Settle func(pgbackend.QueryEnd) pgbackend.Disposition
	// OnConnectionLost ends the session of a pinned query whose engine connection was lost; it is the
	// query's one answer.
	OnConnectionLost func(sent bool)
	// StartCopyIn hands over the pipe for the data of a COPY that the engine asks for; false: there is none
	// to come. Room tells that a full pipe has room again.
	StartCopyIn    func(*copyin.Pipe) bool
	OnCopyCapacity func()
	// Lease is the engine connection that the session is kept on; never nil.
	Lease *pgbackend.Lease
	// OnResponseEnded is to be called once the answer has ended and the module was told: the client's next
	// query may follow.
	OnResponseEnded func()
	// ID is the dispatcher's, set by Take; 0 until then.
	ID atomic.Uint64
}

// Dispatcher takes queries. Its methods do not block.
type Dispatcher interface {
	// Submit takes a query. Its answer may end before Take returns.
	Submit(q *Query)
	// Withdraw tells that a query's answer was ended by its client: cancelled by name, or the client is gone.
	Withdraw(q *Query, cancelled bool)
}
