package rulecheck

import (
	"strconv"
	"time"
)

// checkAnswers checks rule 1: exactly one final answer by the client's deadline, and nothing sent to an
// engine for the query after it.
func (c *checker) checkAnswers(v *Verdict) {
	if c.log.StrayAnswers > 0 {
		v.addViolation("%d answers belong to no request", c.log.StrayAnswers)
	}
	for _, r := range c.log.Requests {
		v.Checked++
		if r.Skipped {
			if attempts := c.attempts[r.ID]; len(attempts) > 0 {
				v.addViolation("%s %s was to be skipped behind an error, and went to %s", r.Class, r.ID,
					attempts[0].Engine)
			}
			continue
		}
		end, ok := c.checkFinalAnswer(v, r)
		if !ok {
			continue
		}
		for _, a := range c.attempts[r.ID] {
			if a.At.After(end.Add(c.parameters.ClockSkew)) {
				v.addViolation("%s %s: sent to %s %v after its end", r.Class, r.ID, a.Engine, a.At.Sub(end))
			}
		}
	}
	for id, attempts := range c.attempts {
		if c.requests[id] == nil {
			v.addViolation("%s: sent to %s, but asked by no client", id, attempts[0].Engine)
		}
	}
}

// checkFinalAnswer checks that a request got one final answer in time, and returns when the request ended. ok
// is false if the request did not end, or if a dispatcher that was running closed the connection without an
// answer.
func (c *checker) checkFinalAnswer(v *Verdict, r *Request) (end time.Time, ok bool) {
	latest := c.deadline(r)
	switch {
	case r.FinalCount > 1 || r.MessagesAfterFinal > 0:
		v.addViolation("%s %s: %d final answers, %d messages out of place", r.Class, r.ID, r.FinalCount,
			r.MessagesAfterFinal)
	case r.FinalCount == 0 && r.ConnectionEnded.IsZero():
		v.addViolation("%s %s at %s got no answer", r.Class, r.ID, c.formatTime(r.At))
		return time.Time{}, false
	case r.FinalCount == 0 && r.ServerClosed && !c.dispatcherWasDown(r):
		v.addViolation("%s %s: dispatcher %s closed its connection at %s without an answer", r.Class, r.ID,
			r.Dispatcher, c.formatTime(r.ConnectionEnded))
		return time.Time{}, false
	case r.FinalCount == 0: // the client closed the connection, or the dispatcher was down
		return r.ConnectionEnded, true
	case r.FinalAt.After(latest.Add(c.parameters.AnswerGrace + c.parameters.ClockSkew)):
		v.addViolation("%s %s: answered %v after its client's time", r.Class, r.ID, r.FinalAt.Sub(latest))
	}
	return r.FinalAt, true
}

// deadline returns when the client gives up: after the class's deadline or the statement's tag wait_ms,
// whichever is shorter.
func (c *checker) deadline(r *Request) time.Time {
	d := c.parameters.Classes[r.Class].Deadline
	if ms := numericTag(r.Tags["wait_ms"]); ms > 0 {
		d = min(d, time.Duration(ms*float64(time.Millisecond)))
	}
	return r.At.Add(d)
}

// numericTag returns the value of a numeric tag; 0: the tag is missing or is no number.
func numericTag(s string) float64 {
	v, _ := strconv.ParseFloat(s, 64)
	return v
}

// dispatcherWasDown reports whether a request's connection ended during an outage of its dispatcher.
func (c *checker) dispatcherWasDown(r *Request) bool {
	skew := c.parameters.ClockSkew
	for _, o := range c.log.Outages {
		if o.Dispatcher == r.Dispatcher && !r.ConnectionEnded.IsZero() &&
			r.ConnectionEnded.After(o.At.Add(-skew)) &&
			(o.Back.IsZero() || r.ConnectionEnded.Before(o.Back.Add(skew))) {
			return true
		}
	}
	return false
}
