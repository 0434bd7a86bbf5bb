package computenode

import (
	"time"

	"cresspass"
	"cresspass/internal/protocol/nodehttp"
)

// EventType says what became of the last Step.
type EventType int

// The events of a Machine.
const (
	Begin            EventType = iota // the first event
	ResponseReceived                  // Response is complete
	ResponseLost                      // the request may have arrived; no response that can be read came
	ConnRefused                       // the connection was refused by an address that should accept new ones
	Unreachable                       // no connection came up, or it broke before anything was written
	NoDescriptor                      // there was no descriptor for a connection
	NotNeeded                         // nothing was written: no client waits for the query any more
	Withheld                          // nothing was written: the node accepts nothing new, or it is too late
	Stop                              // end with Outcome; what became of the last call was reported before
)

// Event is what became of the last Step, or Stop.
type Event struct {
	Type     EventType
	Response *nodehttp.Response
	Reset    bool // with ResponseLost: the other side reset the connection
	Outcome  cresspass.Outcome
}

// StepType says what is to be done.
type StepType int

// The steps of a Machine.
const (
	Start  StepType = iota // POST the query; Timeout
	Poll                   // GET Page; after Delay; FreshConn: not on the last connection; Timeout
	Delete                 // DELETE the query; after Delay; FreshConn; Timeout; not after Deadline
	End                    // Outcome, Pages
)

// Step is the next thing to be done. Times are on the clock that the events' times are on.
type Step struct {
	Type      StepType
	Page      int
	FreshConn bool
	Due       time.Duration // when it should be made at the latest, where connections are short
	Delay     time.Duration // before it is made
	Timeout   time.Duration // for the response
	Deadline  time.Duration
	Outcome   cresspass.Outcome
	Pages     [][]byte
	Progress  Progress // with any step: what the last response reported
}

// Progress is what a compute node reports of a running query. Type 0: nothing.
type Progress struct {
	Type  cresspass.NoteType
	Value float64
}
