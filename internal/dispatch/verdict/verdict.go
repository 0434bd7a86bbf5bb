// Package verdict is the dispatcher's own final answer to a query: what it says of the query and what it
// promises, in no protocol's terms. Fronts put it into theirs. It does no I/O.
package verdict

import (
	"time"
)

// Kind is what a verdict promises.
type Kind int

// The kinds of verdict.
const (
	Rejected       Kind = iota // it did not run, or running it again does no harm: trying again is harmless
	Failed                     // nothing is promised: it may have run, or run still
	Cancelled                  // its client took it back
	InvalidRequest             // it did not run, for what it says; trying again would end the same
)

// Verdict ends a query without an engine's word.
type Verdict struct {
	Kind            Kind
	Code            string // SQLSTATE
	Message, Detail string
	RetryAfter      time.Duration // when to come back; 0: nothing is said
	MayHaveRun      bool          // an attempt may have run
}

const (
	detailNotRun   = "The query did not run. It may be tried again."
	detailHarmless = "Trying again is harmless."
	detailUnknown  = "It may have run, or be running still."
)

// Reject is the module's refusal. ran: an attempt may have run, and a repeat does no harm. last is the last
// error seen; "": none.
func Reject(retryAfter time.Duration, mayHaveRun bool, lastError string) *Verdict {
	v := &Verdict{Kind: Rejected, Code: "53000", Message: "query refused: no engine would answer it in time",
		Detail: detailNotRun, RetryAfter: retryAfter, MayHaveRun: mayHaveRun}
	if mayHaveRun {
		v.Detail = detailHarmless
	}
	return v.withLastError(lastError)
}

// Fail is the module's failure.
func Fail(lastError string) *Verdict {
	return (&Verdict{Kind: Failed, Code: "08007", Message: "query failed: its outcome is not known",
		Detail: detailUnknown, MayHaveRun: true}).withLastError(lastError)
}

// RejectOverLimit turns a query away for want of room here.
func RejectOverLimit(reason string) *Verdict {
	return &Verdict{Kind: Rejected, Code: "53000", Message: "query refused: " + reason, Detail: detailNotRun}
}

// RejectAfterRestart turns a query away whose earlier try, under a former dispatcher, may have run.
func RejectAfterRestart(retryAfter time.Duration) *Verdict {
	v := Reject(retryAfter, false, "")
	v.Detail = "An earlier try may have run before the dispatcher restarted; this one did not."
	return v
}

// ShuttingDown ends a query of a dispatcher that stops. started: an attempt was made.
func ShuttingDown(started bool) *Verdict {
	v := &Verdict{Kind: Rejected, Code: "57P01", Message: "the dispatcher is shutting down",
		Detail: "The query did not run."}
	if started {
		v.Kind, v.MayHaveRun, v.Detail = Failed, true, "The query may have run, or be running still."
	}
	return v
}

// Invalid turns a query away for what it says.
func Invalid(code, message string) *Verdict {
	return &Verdict{Kind: InvalidRequest, Code: code, Message: message}
}

// CancelledByClient ends a query that its client took back by name.
func CancelledByClient() *Verdict {
	return &Verdict{Kind: Cancelled, Code: "57014", Message: "canceling statement due to user request",
		MayHaveRun: true}
}

// ConnectionLost ends a query whose session lost its engine connection, as package pin words it.
func ConnectionLost(code, message, detail string) *Verdict {
	return &Verdict{Kind: Failed, Code: code, Message: message, Detail: detail, MayHaveRun: true}
}

func (v *Verdict) withLastError(lastError string) *Verdict {
	if lastError != "" {
		v.Detail += " Last seen: " + lastError
	}
	return v
}
