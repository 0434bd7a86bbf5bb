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
	Refused   Kind = iota // it did not run, or running it again does no harm: trying again is harmless
	Failed                // nothing is promised: it may have run, or run still
	Cancelled             // its client took it back
	Faulty                // it did not run, for what it says; trying again would end the same
)

// Verdict ends a query without an engine's word.
type Verdict struct {
	Kind            Kind
	Code            string // SQLSTATE
	Message, Detail string
	Wait            time.Duration // when to come back; 0: nothing is said
	Ran             bool          // an attempt may have run
}

const (
	notRun   = "The query did not run. It may be tried again."
	harmless = "Trying again is harmless."
	unknown  = "It may have run, or be running still."
)

// Refuse is the module's refusal. ran: an attempt may have run, and a repeat does no harm. last is the last
// error seen; "": none.
func Refuse(wait time.Duration, ran bool, last string) *Verdict {
	v := &Verdict{Kind: Refused, Code: "53000", Message: "query refused: no engine would answer it in time",
		Detail: notRun, Wait: wait, Ran: ran}
	if ran {
		v.Detail = harmless
	}
	return v.seen(last)
}

// Fail is the module's failure.
func Fail(last string) *Verdict {
	return (&Verdict{Kind: Failed, Code: "08007", Message: "query failed: its outcome is not known",
		Detail: unknown, Ran: true}).seen(last)
}

// Limit turns a query away for want of room here.
func Limit(why string) *Verdict {
	return &Verdict{Kind: Refused, Code: "53000", Message: "query refused: " + why, Detail: notRun}
}

// Earlier turns a query away whose earlier try, under a former dispatcher, may have run.
func Earlier(wait time.Duration) *Verdict {
	v := Refuse(wait, false, "")
	v.Detail = "An earlier try may have run before the dispatcher restarted; this one did not."
	return v
}

// Stopping ends a query of a dispatcher that stops. started: an attempt was made.
func Stopping(started bool) *Verdict {
	v := &Verdict{Kind: Refused, Code: "57P01", Message: "the dispatcher is shutting down",
		Detail: "The query did not run."}
	if started {
		v.Kind, v.Ran, v.Detail = Failed, true, "The query may have run, or be running still."
	}
	return v
}

// Fault turns a query away for what it says.
func Fault(code, message string) *Verdict {
	return &Verdict{Kind: Faulty, Code: code, Message: message}
}

// Cancel ends a query that its client took back by name.
func Cancel() *Verdict {
	return &Verdict{Kind: Cancelled, Code: "57014", Message: "canceling statement due to user request",
		Ran: true}
}

// Lost ends a query whose session lost its engine connection, as package pin words it.
func Lost(code, message, detail string) *Verdict {
	return &Verdict{Kind: Failed, Code: code, Message: message, Detail: detail, Ran: true}
}

func (v *Verdict) seen(last string) *Verdict {
	if last != "" {
		v.Detail += " Last seen: " + last
	}
	return v
}
