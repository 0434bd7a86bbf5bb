// Package overload decides how a dispatcher protects itself: when newcomers are turned away so that what was
// taken can be served, and when the loop's own lag is trouble. It does no I/O and reads no clock. None of it
// is about engines: that is the module's.
package overload

import (
	"fmt"
	"time"

	"cresspass/internal/overload/quota"
)

// Limits bound what a dispatcher takes on itself. Zero switches a limit off.
type Limits struct {
	OpenQueries         int                // queries without an answer, of all fronts
	BufferedBytes       int64              // bytes of answers that wait for clients, of all fronts
	Connections         int                // of all fronts
	FrontQuotas         map[string]float64 // parts of these that are set apart for a front, by its name
	ConnectionsPerUser  int                // connections of one user
	FileDescriptors     int                // file descriptors
	ReservedDescriptors int                // that stay free for engines, the list and the log
	LoopLag             time.Duration      // a batch of the loop that takes longer is trouble
}

// Limiter counts what limits are about. It is for one goroutine at a time.
type Limiter struct {
	limits          Limits
	queries         *quota.Capacity // queries
	bufferedBytes   *quota.Capacity // bytes
	connections     *quota.Capacity
	userConnections map[string]int
	lateSamples     [lagWindow]bool
	nextSample      int
	lateCount       int
	lagging         bool
}

// lagWindow samples are looked at; trouble begins when lagEnterCount of them are late and ends when
// lagLeaveCount are.
const (
	lagWindow     = 16
	lagEnterCount = 4
	lagLeaveCount = 1
)

// New returns a guard that has seen nothing.
func New(l Limits) *Limiter {
	return &Limiter{
		limits:          l,
		userConnections: map[string]int{},
		queries:         quota.New(int64(l.OpenQueries), l.FrontQuotas),
		bufferedBytes: quota.New(
			l.BufferedBytes,
			l.FrontQuotas,
		),
		connections: quota.New(int64(l.Connections), l.FrontQuotas),
	}
}

// SetLimits changes the limits. What was taken stays.
func (g *Limiter) SetLimits(l Limits) {
	g.limits = l
	g.queries.SetLimit(int64(l.OpenQueries), l.FrontQuotas)
	g.bufferedBytes.SetLimit(l.BufferedBytes, l.FrontQuotas)
	g.connections.SetLimit(int64(l.Connections), l.FrontQuotas)
}

// SetBufferedBytes tells how many bytes of answers wait for clients of a front.
func (g *Limiter) SetBufferedBytes(front string, bytes int64) { g.bufferedBytes.SetUsed(front, bytes) }

// AcquireConnection takes one more connection of a front, where there is room; Leave gives it back.
func (g *Limiter) AcquireConnection(front string) bool { return g.connections.Acquire(front, 1) }

// ReleaseConnection gives a connection back.
func (g *Limiter) ReleaseConnection(front string) { g.connections.Release(front, 1) }

// AcquireQuery reports whether one more query of a front may be taken, and why not. A query that was taken
// must be given back by Ended.
func (g *Limiter) AcquireQuery(front string) (reason string, ok bool) {
	switch l := &g.limits; {
	case g.bufferedBytes.Available(front) <= 0:
		return fmt.Sprintf(
			"%d bytes of answers wait for clients, at most %d may, with a share for each front",
			g.bufferedBytes.TotalUsed(), l.BufferedBytes), false
	case !g.queries.Acquire(front, 1):
		return fmt.Sprintf(
			"%d queries wait for answers already, at most %d are taken, with a share for each front",
			g.queries.TotalUsed(), l.OpenQueries), false
	}
	return "", true
}

// ReleaseQuery gives a query back.
func (g *Limiter) ReleaseQuery(front string) { g.queries.Release(front, 1) }

// OpenQueries is the number of queries taken and not given back.
func (g *Limiter) OpenQueries() int { return int(g.queries.TotalUsed()) }

// AcquireUserConnection reports whether a user may have one more connection, and why not, with files open in
// the process. One that was let in must be given back by Disconnect.
func (g *Limiter) AcquireUserConnection(user string, openFiles int) (reason string, ok bool) {
	switch l := &g.limits; {
	case l.ConnectionsPerUser > 0 && g.userConnections[user] >= l.ConnectionsPerUser:
		return fmt.Sprintf("user %q has %d connections, at most %d are served", user, g.userConnections[user],
			l.ConnectionsPerUser), false
	case l.FileDescriptors > 0 && openFiles >= l.FileDescriptors-l.ReservedDescriptors:
		return fmt.Sprintf("%d of %d files are open", openFiles, l.FileDescriptors), false
	}
	g.userConnections[user]++
	return "", true
}

// ReleaseUserConnection gives a connection back.
func (g *Limiter) ReleaseUserConnection(user string) {
	if g.userConnections[user]--; g.userConnections[user] <= 0 {
		delete(g.userConnections, user)
	}
}

// ObserveLag takes in how long a stretch's longest batch took. It reports whether the loop is in trouble, and
// whether that has just changed. One slow batch is none, and trouble does not flicker at its edge.
func (g *Limiter) ObserveLag(longest time.Duration) (lagging, changed bool) {
	late := g.limits.LoopLag > 0 && longest > g.limits.LoopLag
	if g.lateSamples[g.nextSample] {
		g.lateCount--
	}
	if g.lateSamples[g.nextSample] = late; late {
		g.lateCount++
	}
	g.nextSample = (g.nextSample + 1) % lagWindow
	before := g.lagging
	if g.lateCount >= lagEnterCount {
		g.lagging = true
	} else if g.lateCount <= lagLeaveCount {
		g.lagging = false
	}
	return g.lagging, g.lagging != before
}
