package platform

import (
	"strconv"

	"cresspass"
	"cresspass/internal/eventlog"
)

// noAttempt is the attempt number of an event that concerns no attempt.
const noAttempt = -1

// requestEvent returns an event of a request, which its ticket identifies. ticket is empty for an event of
// the process or of a connection.
func requestEvent(kind eventlog.Kind, ticket, reason string) eventlog.Event {
	return eventlog.Event{Kind: kind, RequestID: ticket, Attempt: noAttempt, Reason: reason}
}

// event returns an event of this attempt.
func (a *attempt) event(kind eventlog.Kind, reason string) eventlog.Event {
	return eventlog.Event{Kind: kind, RequestID: a.request.Ticket, Attempt: a.number, Node: string(a.engine),
		Reason: reason}
}

// outcomeName returns the name of an attempt's outcome in the log.
func outcomeName(outcome cresspass.Outcome) string {
	switch outcome {
	case cresspass.OutcomeOK:
		return "ok"
	case cresspass.OutcomeFailed:
		return "failed"
	case cresspass.OutcomeRejected:
		return "rejected"
	case cresspass.OutcomeConnectionReset:
		return "reset"
	case cresspass.OutcomeTimedOut:
		return "timeout"
	case cresspass.OutcomeConnectFailed:
		return "connect_failed"
	case cresspass.OutcomeNotStarted:
		return "not_started"
	case cresspass.OutcomeCancelled:
		return "cancelled"
	}
	return strconv.Itoa(int(outcome))
}
