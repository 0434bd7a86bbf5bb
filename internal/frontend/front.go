// Package frontend is the seam between a front, which speaks some protocol with clients, and the dispatcher. A
// front hands over queries and says when a client takes one back; the dispatcher ends each by its answer.
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
	Front  string // name of the front that it came by
	Who    classify.Client
	Ask    *enginequery.Ask
	Answer *response.Answer
	// Throttle waits until the client has room for more rows. It returns when the answer ends.
	Throttle func()
	// Settled takes what the engine said at the end of a query that may have left something, and says what
	// becomes of the connection.
	Settled func(pgbackend.End) pgbackend.Stay
	// Broken ends the session of a pinned query whose engine connection was lost; it is the query's one
	// answer.
	Broken func(sent bool)
	// Copy hands over the pipe for the data of a COPY that the engine asks for; false: there is none to come.
	// Room tells that a full pipe has room again.
	Copy func(*copyin.Pipe) bool
	Room func()
	// Lease is the engine connection that the session is kept on; never nil.
	Lease *pgbackend.Lease
	// After is to be called once the answer has ended and the module was told: the client's next query may
	// follow.
	After func()
	// ID is the dispatcher's, set by Take; 0 until then.
	ID atomic.Uint64
}

// Taker takes queries. Its methods do not block.
type Taker interface {
	// Take takes a query. Its answer may end before Take returns.
	Take(q *Query)
	// Gone tells that a query's answer was ended by its client: cancelled by name, or the client is gone.
	Gone(q *Query, cancelled bool)
}
