package computenode

import (
	"time"

	"cresspass"
	"cresspass/internal/protocol/nodehttp"
)

// EventType is the type of an Event.
type EventType int

// The events of a Machine.
const (
	Begin            EventType = iota // the first event
	ResponseReceived                  // Response is complete
	ResponseLost                      // the request may have arrived; no readable response came
	ConnRefused                       // a compute node that is not known to drain refused the connection
	NodeReplaced                      // another compute node has the address; only if not Exclusive
	Unreachable                       // no connection came up, or it broke before the call was written
	NoDescriptor                      // no file descriptor was left for a connection
	NotNeeded                         // nothing was written: no client waits for the query any more
	Withheld                          // nothing was written: the node accepts nothing new, or it is too late
	Stop                              // end with Outcome; the outcome of a call that was written comes first
)

// Event is the outcome of the last Step, or the beginning or the stop of an attempt.
type Event struct {
	Type     EventType
	Response *nodehttp.Response // of ResponseReceived
	Reset    bool               // of ResponseLost: the compute node reset the connection
	Outcome  cresspass.Outcome  // of Stop: the outcome of the attempt
}

// StepType is the type of a Step.
type StepType int

// The steps of a Machine.
const (
	Start  StepType = iota // POST the query; uses Due and Timeout
	Poll                   // GET a page; uses Page, FreshConn, Due, Delay and Timeout
	Delete                 // DELETE the query; uses FreshConn, Due, Delay, Timeout and Deadline
	End                    // the attempt has ended; uses Outcome and, where that is OutcomeOK, Pages
)

// Step is the next call to make, or the end of the attempt. Due and Deadline are on the clock of the now that
// Machine.Next receives.
type Step struct {
	Type      StepType
	Page      int           // the page to fetch, from 0
	FreshConn bool          // needs a new connection
	Due       time.Duration // the latest time to make the call; orders the calls that wait for a connection
	Delay     time.Duration // how long to wait before the call
	Timeout   time.Duration // how long to wait for the response
	Deadline  time.Duration // the latest time at which the call may still be made
	Outcome   cresspass.Outcome
	Pages     [][]byte
	Progress  Progress // with any step: what the last response reported
}

// Progress is what a compute node reports about a running query. A Type of 0 means that it reported nothing.
type Progress struct {
	Type  cresspass.NoteType
	Value float64
}
