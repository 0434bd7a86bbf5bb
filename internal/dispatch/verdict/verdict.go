// Package verdict holds the final answers that the dispatcher itself gives to queries, independently of any
// protocol: an SQLSTATE code, texts, and what they promise about the query. Each frontend encodes a verdict
// in its protocol; clients receive the codes and texts unchanged. The package does no I/O and decides
// nothing.
package verdict

import (
	"fmt"
	"time"
)

// Kind is what a verdict promises about its query.
type Kind int

// The kinds of verdict.
const (
	Rejected       Kind = iota // the query did not run, or is idempotent: a retry is harmless
	Failed                     // nothing is promised: the query may have run, or may still be running
	Cancelled                  // the client cancelled the query
	InvalidRequest             // the query is invalid and did not run: a retry would get the same verdict
)

func (k Kind) String() string {
	switch k {
	case Rejected:
		return "rejected"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	case InvalidRequest:
		return "invalid request"
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// SQLSTATE codes of verdicts, from "PostgreSQL Error Codes".
const (
	codeInsufficientResources   = "53000"
	codeTransactionStateUnknown = "08007"
	codeAdminShutdown           = "57P01"
	codeQueryCanceled           = "57014"
)

const (
	detailNotRun  = "The query did not run. It may be tried again."
	detailNoHarm  = "Trying again is harmless."
	detailUnknown = "It may have run, or be running still."
)

// Verdict is the dispatcher's final answer to a query that no engine's response ends.
type Verdict struct {
	Kind            Kind
	Code            string // SQLSTATE
	Message, Detail string
	RetryAfter      time.Duration // 0: the client gets no retry time
	MayHaveRun      bool          // an attempt may have run
}

// Reject returns the verdict on a query that the decision module rejects. If mayHaveRun is set, an attempt
// may have run, but a retry is harmless. lastError is the last error of an attempt, "" if there was none.
func Reject(retryAfter time.Duration, mayHaveRun bool, lastError string) *Verdict {
	v := &Verdict{Kind: Rejected, Code: codeInsufficientResources,
		Message: "query refused: no engine would answer it in time", Detail: detailNotRun,
		RetryAfter: retryAfter, MayHaveRun: mayHaveRun}
	if mayHaveRun {
		v.Detail = detailNoHarm
	}
	return v.withLastError(lastError)
}

// Fail returns the verdict on a query that the decision module fails because its outcome is not known.
// lastError is the last error of an attempt, "" if there was none.
func Fail(lastError string) *Verdict {
	v := &Verdict{Kind: Failed, Code: codeTransactionStateUnknown,
		Message: "query failed: its outcome is not known", Detail: detailUnknown, MayHaveRun: true}
	return v.withLastError(lastError)
}

// RejectOverLimit returns the verdict on a query that would exceed a limit of the dispatcher. The reason
// becomes part of the message.
func RejectOverLimit(reason string) *Verdict {
	return &Verdict{Kind: Rejected, Code: codeInsufficientResources, Message: "query refused: " + reason,
		Detail: detailNotRun}
}

// RejectAfterRestart returns the verdict on a query that did not run, but of which an earlier try may have
// run before the dispatcher restarted.
func RejectAfterRestart(retryAfter time.Duration) *Verdict {
	v := Reject(retryAfter, false, "")
	v.Detail = "An earlier try may have run before the dispatcher restarted; this one did not."
	return v
}

// ShuttingDown returns the verdict on a query that the dispatcher's shutdown ends. started means that an
// attempt was started: the query may have run, and the verdict is Failed instead of Rejected.
func ShuttingDown(started bool) *Verdict {
	v := &Verdict{Kind: Rejected, Code: codeAdminShutdown, Message: "the dispatcher is shutting down",
		Detail: "The query did not run."}
	if started {
		v.Kind, v.MayHaveRun = Failed, true
		v.Detail = "The query may have run, or be running still."
	}
	return v
}

// Invalid returns the verdict on a query that is invalid, with an SQLSTATE code and a message.
func Invalid(code, message string) *Verdict {
	return &Verdict{Kind: InvalidRequest, Code: code, Message: message}
}

// CancelledByClient returns the verdict on a query that its client cancelled.
func CancelledByClient() *Verdict {
	return &Verdict{Kind: Cancelled, Code: codeQueryCanceled,
		Message: "canceling statement due to user request", MayHaveRun: true}
}

// CommitUndecided returns the verdict on a query with a COMMIT that has reached its engine, if cause ends
// the wait for the engine's answer: the transaction may still be committed.
func CommitUndecided(cause *Verdict) *Verdict {
	return &Verdict{Kind: Failed, Code: codeTransactionStateUnknown,
		Message: "the engine has not answered COMMIT: " + cause.Message,
		Detail:  "It is not known whether the transaction is in force.", MayHaveRun: true}
}

// ConnectionLost returns the verdict on a query whose session lost its engine connection. Package affinity
// supplies the code and the texts.
func ConnectionLost(code, message, detail string) *Verdict {
	return &Verdict{Kind: Failed, Code: code, Message: message, Detail: detail, MayHaveRun: true}
}

// withLastError appends an attempt's error to the detail, unless it is empty, and returns the verdict.
func (v *Verdict) withLastError(lastError string) *Verdict {
	if lastError != "" {
		v.Detail += " Last seen: " + lastError
	}
	return v
}
