// Package overload decides how a dispatcher protects itself: when to reject new connections and queries so
// that those already admitted can be served, and when the event loop lags. The package does no I/O and reads
// no clock. It does not deal with the load of engines, which is the decision module's concern.
package overload

import (
	"fmt"
	"time"

	"cresspass/internal/overload/quota"
)

// Limits are the limits of a dispatcher's load. Zero disables a limit.
type Limits struct {
	OpenQueries   int   // queries without an answer, of all fronts
	BufferedBytes int64 // bytes of answers that clients have not read yet, of all fronts
	Connections   int   // of all fronts
	// FrontQuotas are the shares of these three limits, from 0 to 1, that are reserved for a front, by its
	// name.
	FrontQuotas         map[string]float64
	ConnectionsPerUser  int
	FileDescriptors     int           // of the process
	ReservedDescriptors int           // kept free for engines, discovery and the log
	LoopLag             time.Duration // a batch of the event loop that takes longer counts as late
}

// Limiter counts the load of a dispatcher and enforces its limits. It must not be used concurrently.
type Limiter struct {
	limits          Limits
	queries         *quota.Capacity
	bufferedBytes   *quota.Capacity
	connections     *quota.Capacity
	userConnections map[string]int // by user

	lateSamples [lagWindow]bool // ring buffer: which of the last samples of the loop's lag were late
	nextSample  int             // index into lateSamples
	lateCount   int             // number of late samples in lateSamples
	lagging     bool
}

// The loop lags once at least lagEnterCount of the last lagWindow samples are late, until at most
// lagLeaveCount are. The gap between the two keeps the state from oscillating.
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

// SetLimits changes the limits. Connections and queries that were admitted stay admitted.
func (l *Limiter) SetLimits(limits Limits) {
	l.limits = limits
	l.queries.SetLimit(int64(limits.OpenQueries), limits.FrontQuotas)
	l.bufferedBytes.SetLimit(limits.BufferedBytes, limits.FrontQuotas)
	l.connections.SetLimit(int64(limits.Connections), limits.FrontQuotas)
}

// SetBufferedBytes sets how many bytes of answers the clients of a front have not read yet.
func (l *Limiter) SetBufferedBytes(front string, n int64) { l.bufferedBytes.SetUsed(front, n) }

// AcquireConnection reports whether one more connection of a front is admitted. An admitted connection must
// be released by ReleaseConnection.
func (l *Limiter) AcquireConnection(front string) bool { return l.connections.Acquire(front, 1) }

// ReleaseConnection releases a connection that AcquireConnection admitted.
func (l *Limiter) ReleaseConnection(front string) { l.connections.Release(front, 1) }

// AcquireQuery reports whether one more query of a front is admitted, and if not, why. An admitted query must
// be released by ReleaseQuery. Clients receive the reason.
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

// ReleaseQuery releases a query that AcquireQuery admitted.
func (l *Limiter) ReleaseQuery(front string) { l.queries.Release(front, 1) }

// OpenQueries returns the number of queries that were admitted and not released yet.
func (l *Limiter) OpenQueries() int { return int(l.queries.TotalUsed()) }

// AcquireUserConnection reports whether one more connection of a user is admitted, and if not, why. openFiles
// is the number of descriptors that the process has open. An admitted connection must be released by
// ReleaseUserConnection. Clients receive the reason.
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

// ReleaseUserConnection releases a connection that AcquireUserConnection admitted.
func (l *Limiter) ReleaseUserConnection(user string) {
	if l.userConnections[user]--; l.userConnections[user] <= 0 {
		delete(l.userConnections, user)
	}
}

// ObserveLag records a sample of the loop's lag: the duration of the longest batch since the last sample. It
// reports whether the loop lags, and whether this sample changed that.
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
