// Package overload decides how a dispatcher protects itself: when new connections and queries are rejected
// so that those already admitted can be served, and when the lag of its own event loop is a fault. It does
// no I/O and reads no clock, and knows nothing of engines: those are the decision module's.
package overload

import (
	"fmt"
	"time"

	"cresspass/internal/overload/quota"
)

// Limits bound what a dispatcher takes on. Zero switches a limit off.
type Limits struct {
	OpenQueries   int   // queries without an answer, of all fronts
	BufferedBytes int64 // bytes of answers that wait for clients, of all fronts
	Connections   int   // of all fronts
	// FrontQuotas are the parts of these three that are reserved for a front, from 0 to 1 by its name.
	FrontQuotas         map[string]float64
	ConnectionsPerUser  int
	FileDescriptors     int           // of the process
	ReservedDescriptors int           // that stay free for engines, discovery and the log
	LoopLag             time.Duration // a batch of the event loop that takes longer is late
}

// Limiter counts what limits are about. It is for one goroutine at a time.
type Limiter struct {
	limits          Limits
	queries         *quota.Capacity
	bufferedBytes   *quota.Capacity
	connections     *quota.Capacity
	userConnections map[string]int

	lateSamples [lagWindow]bool // a ring of the last samples of the loop's lag
	nextSample  int
	lateCount   int
	lagging     bool
}

// Of the last lagWindow samples, lagEnterCount late ones make the loop lag, and it no longer does when
// lagLeaveCount are late. The distance keeps the state from flickering.
const (
	lagWindow     = 16
	lagEnterCount = 4
	lagLeaveCount = 1
)

// New returns a limiter that has admitted nothing.
func New(l Limits) *Limiter {
	return &Limiter{
		limits:          l,
		queries:         quota.New(int64(l.OpenQueries), l.FrontQuotas),
		bufferedBytes:   quota.New(l.BufferedBytes, l.FrontQuotas),
		connections:     quota.New(int64(l.Connections), l.FrontQuotas),
		userConnections: map[string]int{},
	}
}

// SetLimits changes the limits. What was admitted stays.
func (l *Limiter) SetLimits(limits Limits) {
	l.limits = limits
	l.queries.SetLimit(int64(limits.OpenQueries), limits.FrontQuotas)
	l.bufferedBytes.SetLimit(limits.BufferedBytes, limits.FrontQuotas)
	l.connections.SetLimit(int64(limits.Connections), limits.FrontQuotas)
}

// SetBufferedBytes notes how many bytes of answers wait for the clients of a front.
func (l *Limiter) SetBufferedBytes(front string, n int64) { l.bufferedBytes.SetUsed(front, n) }

// AcquireConnection admits one more connection of a front, where there is capacity. One that was admitted
// must be given back by ReleaseConnection.
func (l *Limiter) AcquireConnection(front string) bool { return l.connections.Acquire(front, 1) }

// ReleaseConnection gives a connection back.
func (l *Limiter) ReleaseConnection(front string) { l.connections.Release(front, 1) }

// AcquireQuery reports whether one more query of a front is admitted, and why not. One that was admitted
// must be given back by ReleaseQuery. Clients receive the reason.
func (l *Limiter) AcquireQuery(front string) (reason string, ok bool) {
	switch {
	case l.bufferedBytes.Available(front) <= 0:
		return fmt.Sprintf(
			"%d bytes of answers wait for clients, at most %d may, with a share for each front",
			l.bufferedBytes.TotalUsed(), l.limits.BufferedBytes), false
	case !l.queries.Acquire(front, 1):
		return fmt.Sprintf(
			"%d queries wait for answers already, at most %d are taken, with a share for each front",
			l.queries.TotalUsed(), l.limits.OpenQueries), false
	}
	return "", true
}

// ReleaseQuery gives a query back.
func (l *Limiter) ReleaseQuery(front string) { l.queries.Release(front, 1) }

// OpenQueries returns the number of queries admitted and not given back.
func (l *Limiter) OpenQueries() int { return int(l.queries.TotalUsed()) }

// AcquireUserConnection reports whether a user may have one more connection, and why not, with openFiles
// descriptors in use by the process. One that was admitted must be given back by ReleaseUserConnection.
// Clients receive the reason.
func (l *Limiter) AcquireUserConnection(user string, openFiles int) (reason string, ok bool) {
	limits, connections := &l.limits, l.userConnections[user]
	switch {
	case limits.ConnectionsPerUser > 0 && connections >= limits.ConnectionsPerUser:
		return fmt.Sprintf("user %q has %d connections, at most %d are served", user, connections,
			limits.ConnectionsPerUser), false
	case limits.FileDescriptors > 0 && openFiles >= limits.FileDescriptors-limits.ReservedDescriptors:
		return fmt.Sprintf("%d of %d files are open", openFiles, limits.FileDescriptors), false
	}
	l.userConnections[user]++
	return "", true
}

// ReleaseUserConnection gives a user's connection back.
func (l *Limiter) ReleaseUserConnection(user string) {
	if l.userConnections[user]--; l.userConnections[user] <= 0 {
		delete(l.userConnections, user)
	}
}

// ObserveLag takes in a sample of the loop's lag: how long the longest batch took since the last sample. It
// reports whether the loop lags, and whether that has just changed.
func (l *Limiter) ObserveLag(longest time.Duration) (lagging, changed bool) {
	late := l.limits.LoopLag > 0 && longest > l.limits.LoopLag
	if l.lateSamples[l.nextSample] {
		l.lateCount--
	}
	if l.lateSamples[l.nextSample] = late; late {
		l.lateCount++
	}
	l.nextSample = (l.nextSample + 1) % lagWindow
	before := l.lagging
	if l.lateCount >= lagEnterCount {
		l.lagging = true
	} else if l.lateCount <= lagLeaveCount {
		l.lagging = false
	}
	return l.lagging, l.lagging != before
}
