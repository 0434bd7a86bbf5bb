// Package rapidreset decides when a connection's client is to be sent away because it opens calls only to
// take them back: each costs the server a call's work and the client nothing ("HTTP/2 Rapid Reset",
// CVE-2023-44487). It does no I/O and reads no clock.
package rapidreset

import "time"

// Limits of what a connection may take back.
type Limits struct {
	Burst       float64 // calls taken back at once
	Rate        float64 // and in each second, besides
	Refund      float64 // for each call that was let run to its end, so many more
	EarlyCancel time.Duration
}

// DefaultLimits lets a client take back whatever a person or a driver with a deadline would.
func DefaultLimits() Limits {
	return Limits{Burst: 500, Rate: 50, Refund: 1, EarlyCancel: 100 * time.Millisecond}
}

// Limiter is one connection's account. The zero value is of none; make one with New. It is for one goroutine
// at a time.
type Limiter struct {
	limits     Limits
	tokens     float64
	refilledAt time.Duration
}

// New returns a meter that has seen nothing.
func New(l Limits, now time.Duration) *Limiter {
	return &Limiter{limits: l, tokens: l.Burst, refilledAt: now}
}

// CallEnded takes a call's end. It returns true where the connection is to be closed. Only calls taken back
// young count: one that ran for long has cost its client the wait.
func (m *Limiter) CallEnded(now time.Duration, duration time.Duration, cancelled bool) (exceeded bool) {
	m.tokens = min(m.limits.Burst, m.tokens+max(now-m.refilledAt, 0).Seconds()*m.limits.Rate)
	m.refilledAt = max(now, m.refilledAt)
	switch {
	case !cancelled:
		m.tokens = min(m.limits.Burst, m.tokens+m.limits.Refund)
	case duration < m.limits.EarlyCancel:
		m.tokens--
	}
	return m.tokens < 0
}
