// Package verdict is the final answer that the dispatcher itself gives to a query: what it says of the query
// and what it promises, in no protocol's terms. Each front end puts it into the terms of its protocol;
// clients receive the codes and the texts as they stand here. It does no I/O and decides nothing.
package verdict

import (
	"fmt"
	"time"
)

// Kind is what a verdict promises.
type Kind int

// The kinds of verdict.
const (
	Rejected       Kind = iota // the query did not run, or is idempotent: a retry does no harm
	Failed                     // nothing is promised: the query may have run, or run still
	Cancelled                  // the client cancelled the query
	InvalidRequest             // the query did not run, for what it says: a retry would end the same
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

// The codes of verdicts, as in "PostgreSQL Error Codes".
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

// Verdict ends a query without an engine's word.
type Verdict struct {
	Kind            Kind
	Code            string // SQLSTATE
	Message, Detail string
	RetryAfter      time.Duration // 0: the client is not told
	MayHaveRun      bool          // an attempt may have run
}

// Reject is the decision module's rejection. mayHaveRun tells that an attempt may have run, and that a retry
// does no harm. lastError is the last error seen; "": none.
func Reject(retryAfter time.Duration, mayHaveRun bool, lastError string) *Verdict {
	v := &Verdict{Kind: Rejected, Code: codeInsufficientResources,
		Message: "query refused: no engine would answer it in time", Detail: detailNotRun,
		RetryAfter: retryAfter, MayHaveRun: mayHaveRun}
	if mayHaveRun {
		v.Detail = detailNoHarm
	}
	return v.withLastError(lastError)
}

// Fail is the decision module's failure.
func Fail(lastError string) *Verdict {
	v := &Verdict{Kind: Failed, Code: codeTransactionStateUnknown,
		Message: "query failed: its outcome is not known", Detail: detailUnknown, MayHaveRun: true}
	return v.withLastError(lastError)
}

// RejectOverLimit rejects a query that is over a limit of the dispatcher.
func RejectOverLimit(reason string) *Verdict {
	return &Verdict{Kind: Rejected, Code: codeInsufficientResources, Message: "query refused: " + reason,
		Detail: detailNotRun}
}

// RejectAfterRestart rejects a query of which an earlier attempt, under a former dispatcher, may have run.
func RejectAfterRestart(retryAfter time.Duration) *Verdict {
	v := Reject(retryAfter, false, "")
	v.Detail = "An earlier try may have run before the dispatcher restarted; this one did not."
	return v
}

// ShuttingDown ends a query of a dispatcher that shuts down. started tells that an attempt was made.
func ShuttingDown(started bool) *Verdict {
	v := &Verdict{Kind: Rejected, Code: codeAdminShutdown, Message: "the dispatcher is shutting down",
		Detail: "The query did not run."}
	if started {
		v.Kind, v.MayHaveRun = Failed, true
		v.Detail = "The query may have run, or be running still."
	}
	return v
}

// Invalid rejects a query for what it says.
func Invalid(code, message string) *Verdict {
	return &Verdict{Kind: InvalidRequest, Code: code, Message: message}
}

// CancelledByClient ends a query that its client cancelled.
func CancelledByClient() *Verdict {
	return &Verdict{Kind: Cancelled, Code: codeQueryCanceled,
		Message: "canceling statement due to user request", MayHaveRun: true}
}

// ConnectionLost ends a query whose session lost its engine connection. Package affinity words it.
func ConnectionLost(code, message, detail string) *Verdict {
	return &Verdict{Kind: Failed, Code: code, Message: message, Detail: detail, MayHaveRun: true}
}

func (v *Verdict) withLastError(lastError string) *Verdict {
	if lastError != "" {
		v.Detail += " Last seen: " + lastError
	}
	return v
}
