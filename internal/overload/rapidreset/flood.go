// Package rapidreset decides when a connection's client is to be sent away because it opens calls only to take
// them back: each costs the server a call's work and the client nothing ("HTTP/2 Rapid Reset",
// CVE-2023-44487). It does no I/O and reads no clock.
package rapidreset

import "time"

// Limits of what a connection may take back.
type Limits struct {
	Burst  float64 // calls taken back at once
	Rate   float64 // and in each second, besides
	Return float64 // for each call that was let run to its end, so many more
	Young  time.Duration
}

// Default lets a client take back whatever a person or a driver with a deadline would.
func Default() Limits {
	return Limits{Burst: 500, Rate: 50, Return: 1, Young: 100 * time.Millisecond}
}

// Meter is one connection's account. The zero value is of none; make one with New. It is for one goroutine at
// a time.
type Meter struct {
	l    Limits
	left float64
	at   time.Duration
}

// New returns a meter that has seen nothing.
func New(l Limits, now time.Duration) *Meter { return &Meter{l: l, left: l.Burst, at: now} }

// Ended takes a call's end. It returns true where the connection is to be closed. Only calls taken back young
// count: one that ran for long has cost its client the wait.
func (m *Meter) Ended(now time.Duration, took time.Duration, takenBack bool) (away bool) {
	m.left = min(m.l.Burst, m.left+max(now-m.at, 0).Seconds()*m.l.Rate)
	m.at = max(now, m.at)
	switch {
	case !takenBack:
		m.left = min(m.l.Burst, m.left+m.l.Return)
	case took < m.l.Young:
		m.left--
	}
	return m.left < 0
}
