// Package invariant re-checks the dispatcher's safety rules in the moment of an act. A decision is made
// earlier than it is carried out: between the two lie a wait for a descriptor, a dial, a record on disk.
// Ledger is the books of what has really happened, without I/O and without a clock, and every path asks it
// before it sends, repeats, answers or closes; Counter counts what it did not let through.
package invariant

import "fmt"

// Name names an invariant, as it stands in the log and in the counts.
type Name string

// The invariants, by the act that they guard.
const (
	// Of sending.
	SentAfterEnd        Name = "sent_after_end"    // nothing is sent for a request that has ended
	SentAfterDeadline   Name = "sent_too_late"     // nothing is sent once the client's time is over
	SentToDraining      Name = "sent_to_drained"   // nothing new goes to a compute node that takes none
	SentOutOfOrder      Name = "sent_out_of_order" // of an ordering key one request is out at a time
	SentWhileNotServing Name = "sent_outside_life" // nothing is sent before the start or after the end
	SentToIneligible    Name = "sent_wrong_place"  // a bound request goes only where it is bound to

	// Of repeating.
	RetriedNonIdempotent Name = "repeated_unsafe"      // an unsafe request goes again only when no attempt ran
	RetriedConcurrently  Name = "repeated_beside"      // one attempt of a request is out at a time
	RetriedAfterWindow   Name = "repeated_late"        // a keyed request goes again inside its window only
	RetriedOverBudget    Name = "repeated_over_budget" // further attempts stay within their budget

	// Of closing.
	AnsweredTwice  Name = "answered_twice"   // a request has one final answer
	ClosedInFlight Name = "closed_with_open" // no connection is closed with a request open on it

	// Of starting.
	AcceptedWhileNotServing Name = "taken_outside_life" // no request is taken before the start or after the end
)

// Kind says what a refusal of the Ledger means.
type Kind int

// The kinds.
const (
	Allowed  Kind = iota
	Stale         // lawful when it was decided, no longer now: a crossing that the check is there for
	Violated      // never lawful: a defect of the dispatcher
)

// Result is what the Ledger says to an act.
type Result struct {
	Kind   Kind
	Name   Name
	Detail string
}

// OK reports whether the act may be done.
func (v Result) OK() bool { return v.Kind == Allowed }

func (v Result) String() string { return fmt.Sprintf("%s: %s", v.Name, v.Detail) }

func stale(name Name, format string, args ...any) Result {
	return Result{Stale, name, fmt.Sprintf(format, args...)}
}

func violated(name Name, format string, args ...any) Result {
	return Result{Violated, name, fmt.Sprintf(format, args...)}
}
