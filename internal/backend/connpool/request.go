package connpool

import (
	"time"

	"cresspass"
)

// Request is a call that needs a connection.
type Request struct {
	ID     uint64 // the caller's, never used twice
	Engine cresspass.EngineID
	Fresh  bool          // on a new connection only
	Urgent bool          // short and pressing: it may use Limits.UrgentReserve as well
	Due    time.Duration // the latest time at which it helps, on the clock of all calls
}

// Limits are how many connections there may be now.
type Limits struct {
	Capacity      int // connections of all kinds
	UrgentReserve int // on top, for urgent requests
}

// GrantType says what a Grant is.
type GrantType int

// The grants.
const (
	Reuse GrantType = iota // the request gets the idle connection Conn
	Dial                   // the request may make a connection
	Close                  // the idle connection Conn is to be closed
)

// Grant is one thing that the caller is to do.
type Grant struct {
	Type      GrantType
	RequestID uint64
	Conn      uint64
}
