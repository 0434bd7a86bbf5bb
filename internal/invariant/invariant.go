// Package invariant re-checks the safety rules in the moment of an act. A decision is made earlier than it
// is carried out: between the two lie a wait for a descriptor, a dial, a record on disk.
//
// Ledger records what has really happened to requests, without I/O and without a clock; every path checks
// with it before it sends, retries, answers or closes. Counter counts and logs what the Ledger did not allow.
// Guard is both behind one lock. The package makes no decisions of its own: it only withholds acts.
package invariant

import "fmt"

// Name names an invariant. The names are values in the log and keys of the health answer: they do not follow
// a rename in the code.
type Name string

// The invariants, by the act that they guard.
const (
	// Sending.

	// SentAfterEnd: nothing is sent for a request that has ended.
	SentAfterEnd Name = "sent_after_end"
	// SentAfterDeadline: nothing is sent once the client's deadline has passed.
	SentAfterDeadline Name = "sent_too_late"
	// SentToDraining: nothing new is sent to an engine that does not accept requests.
	SentToDraining Name = "sent_to_drained"
	// SentOutOfOrder: of the requests with one ordering key, one is in flight at a time.
	SentOutOfOrder Name = "sent_out_of_order"
	// SentWhileNotServing: nothing is sent before the dispatcher's start or after its end.
	SentWhileNotServing Name = "sent_outside_life"
	// SentToIneligible: a request is sent only to the kinds and zones that its class allows.
	SentToIneligible Name = "sent_wrong_place"

	// Retrying.

	// RetriedNonIdempotent: a request that is not idempotent is retried only if no attempt ran.
	RetriedNonIdempotent Name = "repeated_unsafe"
	// RetriedConcurrently: one attempt of a request is in flight at a time, unless requests may be hedged.
	RetriedConcurrently Name = "repeated_beside"
	// RetriedAfterWindow: a request with an idempotency key is retried only inside its deduplication window.
	RetriedAfterWindow Name = "repeated_late"
	// RetriedOverBudget: retries stay within their budget.
	RetriedOverBudget Name = "repeated_over_budget"

	// Answering and closing.

	// AnsweredTwice: a request has one final answer.
	AnsweredTwice Name = "answered_twice"
	// ClosedInFlight: no client's connection is closed with a request in flight on it.
	ClosedInFlight Name = "closed_with_open"

	// Accepting.

	// AcceptedWhileNotServing: no request is accepted before the dispatcher's start or after its end.
	AcceptedWhileNotServing Name = "taken_outside_life"
)

// Kind tells whether an act is allowed, and if not, whether it ever was.
type Kind int

// The kinds.
const (
	Allowed  Kind = iota
	Stale         // allowed when it was decided on, but no longer: the crossing that the check is there for
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

// Result is what a check found. The zero value allows the act.
type Result struct {
	Kind   Kind
	Name   Name   // the invariant that does not allow the act
	Detail string // what it is that breaks it
}

// OK reports whether the act is allowed.
func (r Result) OK() bool { return r.Kind == Allowed }

func (r Result) String() string { return fmt.Sprintf("%s: %s", r.Name, r.Detail) }

func stale(name Name, format string, args ...any) Result {
	return Result{Kind: Stale, Name: name, Detail: fmt.Sprintf(format, args...)}
}

func violated(name Name, format string, args ...any) Result {
	return Result{Kind: Violated, Name: name, Detail: fmt.Sprintf(format, args...)}
}
