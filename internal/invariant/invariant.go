// Package invariant checks the safety rules again at the moment an action is carried out. The decision was
// made earlier, and a wait for a file descriptor, a dial or a write to disk may lie between the two.
//
// A Ledger records what has really happened to requests, without I/O and without a clock; every code path
// asks the Ledger before it sends, retries, answers or closes. A Counter counts and logs actions that the
// Ledger did not allow. A Guard combines both for concurrent use. The package makes no decisions of its own:
// it only prevents actions.
package invariant

import "fmt"

// Name identifies an invariant. The names are values in the log and keys in the health response, so they stay
// the same when an identifier in the code is renamed.
type Name string

// The invariants, grouped by the action that they concern.
const (
	// Sending.

	// SentAfterEnd: nothing is sent for a request that has ended.
	SentAfterEnd Name = "sent_after_end"
	// SentAfterDeadline: nothing is sent once the client's deadline has passed.
	SentAfterDeadline Name = "sent_too_late"
	// SentToDraining: nothing new is sent to an engine that does not accept requests.
	SentToDraining Name = "sent_to_drained"
	// SentOutOfOrder: only one request with the same ordering key is in flight at a time.
	SentOutOfOrder Name = "sent_out_of_order"
	// SentWhileNotServing: nothing is sent before the dispatcher's start or after its end.
	SentWhileNotServing Name = "sent_outside_life"
	// SentToIneligible: a request is sent only to the kinds and zones that its class allows.
	SentToIneligible Name = "sent_wrong_place"

	// Retrying.

	// RetriedNonIdempotent: a request that is not idempotent is retried only if no attempt can have run.
	RetriedNonIdempotent Name = "repeated_unsafe"
	// RetriedConcurrently: only one attempt of a request is in flight at a time, unless hedging is allowed.
	RetriedConcurrently Name = "repeated_beside"
	// RetriedAfterWindow: a request with an idempotency key is retried only within its deduplication window.
	RetriedAfterWindow Name = "repeated_late"
	// RetriedOverBudget: retries stay within the retry budget.
	RetriedOverBudget Name = "repeated_over_budget"

	// Answering and closing.

	// AnsweredTwice: a request gets only one final answer.
	AnsweredTwice Name = "answered_twice"
	// ClosedInFlight: no client connection is closed while a request is in flight on it.
	ClosedInFlight Name = "closed_with_open"

	// Accepting.

	// AcceptedWhileNotServing: no request is accepted before the dispatcher's start or after its end.
	AcceptedWhileNotServing Name = "taken_outside_life"
)

// Kind is whether an action is allowed, and if not, whether it was allowed when it was decided on.
type Kind int

// The kinds of Result.
const (
	Allowed  Kind = iota
	Stale         // allowed when it was decided on, but not any more: the race that the checks are there for
	Violated      // never allowed: a defect of the dispatcher
)

func (k Kind) String() string {
	switch k {
	case Allowed:
		return "allowed"
	case Stale:
		return "stale"
	case Violated:
		return "violated"
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// Result is the result of a check. The zero value allows the action.
type Result struct {
	Kind   Kind
	Name   Name   // the invariant that forbids the action; empty if it is allowed
	Detail string // what would violate the invariant
}

// OK reports whether the action is allowed.
func (r Result) OK() bool { return r.Kind == Allowed }

func (r Result) String() string { return fmt.Sprintf("%s: %s", r.Name, r.Detail) }

func stale(name Name, format string, args ...any) Result {
	return Result{Kind: Stale, Name: name, Detail: fmt.Sprintf(format, args...)}
}

func violated(name Name, format string, args ...any) Result {
	return Result{Kind: Violated, Name: name, Detail: fmt.Sprintf(format, args...)}
}
