// Package rapidreset decides when a connection is to be closed because its client starts calls only to cancel
// them: each costs the server a call's work and the client nothing ("HTTP/2 Rapid Reset", CVE-2023-44487). It
// does no I/O and reads no clock.
package rapidreset

import "time"

// Limits of what a connection may cancel, as a token bucket.
type Limits struct {
	Burst  float64 // calls cancelled at once
	Rate   float64 // and in each second, besides
	Refund float64 // for each call that was let run to its end, so many more
	// EarlyCancel is the age below which the cancellation of a call counts. One that ran for longer has cost
	// its client the wait.
	EarlyCancel time.Duration
}

// DefaultLimits let a client cancel whatever a person or a driver with a deadline would.
func DefaultLimits() Limits {
	return Limits{Burst: 500, Rate: 50, Refund: 1, EarlyCancel: 100 * time.Millisecond}
}

// Limiter is the token bucket of one connection. Make one with New. It is for one goroutine at a time.
type Limiter struct {
	limits     Limits
	tokens     float64
	refilledAt time.Duration
}

// New returns a limiter with a full bucket.
func New(l Limits, now time.Duration) *Limiter {
	return &Limiter{limits: l, tokens: l.Burst, refilledAt: now}
}

// CallEnded takes in the end of a call that ran for a duration, and reports whether the connection has
// exceeded its limits and is to be closed.
func (l *Limiter) CallEnded(now, duration time.Duration, cancelled bool) (exceeded bool) {
	l.tokens = min(l.limits.Burst, l.tokens+max(now-l.refilledAt, 0).Seconds()*l.limits.Rate)
	l.refilledAt = max(now, l.refilledAt)
	switch {
	case !cancelled:
		l.tokens = min(l.limits.Burst, l.tokens+l.limits.Refund)
	case duration < l.limits.EarlyCancel:
		l.tokens--
	}
	return l.tokens < 0
}
