package connpool

import (
	"time"

	"cresspass"
)

// Request is a call that needs a connection.
type Request struct {
	ID     uint64 // chosen by the caller, never used twice
	Engine cresspass.EngineID
	Fresh  bool          // needs a new connection
	Urgent bool          // a short call that must not wait: it may also use Limits.UrgentReserve
	Due    time.Duration // latest useful time for the call, on the clock of the now that Pool methods receive
}

// Limits are the numbers of connections that may be open now.
type Limits struct {
	Capacity      int // for all requests
	UrgentReserve int // in addition to Capacity, for urgent requests
}

// GrantType is the type of a Grant.
type GrantType int

// The types of Grant.
const (
	Reuse GrantType = iota // the request gets the idle connection Conn
	Dial                   // the request may dial a new connection
	Close                  // the idle connection Conn must be closed
)

// Grant is an action that the caller must carry out.
type Grant struct {
	Type      GrantType
	RequestID uint64
	Conn      uint64
}
