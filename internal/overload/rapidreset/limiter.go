// Package rapidreset decides when to close a connection because its client starts calls only to cancel them:
// each costs the server the work of a call and the client nothing ("HTTP/2 Rapid Reset", CVE-2023-44487). The
// package does no I/O and reads no clock.
package rapidreset

import "time"

// Limits are the limits of early cancellations on a connection: the parameters of a token bucket that each
// early cancellation takes a token from.
type Limits struct {
	Burst  float64 // size of the bucket: most early cancellations at once
	Rate   float64 // tokens added per second
	Refund float64 // tokens added for each call that was not cancelled
	// EarlyCancel is the duration of a call below which its cancellation takes a token. A client that cancels
	// later has spent time waiting.
	EarlyCancel time.Duration
}

// DefaultLimits returns limits that allow the cancellations of interactive users and of drivers with a
// deadline.
func DefaultLimits() Limits {
	return Limits{Burst: 500, Rate: 50, Refund: 1, EarlyCancel: 100 * time.Millisecond}
}

// Limiter is the token bucket of one connection. It must be created by New and must not be used concurrently.
type Limiter struct {
	limits     Limits
	tokens     float64
	refilledAt time.Duration
}

// New returns a limiter with a full bucket. now is a time of the clock that CallEnded uses.
func New(l Limits, now time.Duration) *Limiter {
	return &Limiter{limits: l, tokens: l.Burst, refilledAt: now}
}

// CallEnded records the end of a call that ran for a duration, and whether its client cancelled it. It
// reports whether the connection has exceeded its limits and should be closed.
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
