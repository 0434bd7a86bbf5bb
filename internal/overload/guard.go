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
	Open        int                // queries without an answer, of all fronts
	HeldBytes   int64              // bytes of answers that wait for clients, of all fronts
	Connections int                // of all fronts
	Shares      map[string]float64 // parts of these that are set apart for a front, by its name
	PerUser     int                // connections of one user
	Files       int                // file descriptors
	FilesLeft   int                // that stay free for engines, the list and the log
	Lag         time.Duration      // a batch of the loop that takes longer is trouble
}

// Guard counts what limits are about. It is for one goroutine at a time.
type Guard struct {
	limits Limits
	open   *quota.Room // queries
	held   *quota.Room // bytes
	conns  *quota.Room
	users  map[string]int
	lags   [lagWindow]bool
	at     int
	bad    int
	in     bool
}

// lagWindow samples are looked at; trouble begins when lagBegin of them are late and ends when lagEnd are.
const (
	lagWindow = 16
	lagBegin  = 4
	lagEnd    = 1
)

// New returns a guard that has seen nothing.
func New(l Limits) *Guard {
	return &Guard{limits: l, users: map[string]int{}, open: quota.New(int64(l.Open), l.Shares),
		held: quota.New(l.HeldBytes, l.Shares), conns: quota.New(int64(l.Connections), l.Shares)}
}

// Set changes the limits. What was taken stays.
func (g *Guard) Set(l Limits) {
	g.limits = l
	g.open.Set(int64(l.Open), l.Shares)
	g.held.Set(l.HeldBytes, l.Shares)
	g.conns.Set(int64(l.Connections), l.Shares)
}

// Held tells how many bytes of answers wait for clients of a front.
func (g *Guard) Held(front string, bytes int64) { g.held.Hold(front, bytes) }

// Room takes one more connection of a front, where there is room; Leave gives it back.
func (g *Guard) Room(front string) bool { return g.conns.Take(front, 1) }

// Leave gives a connection back.
func (g *Guard) Leave(front string) { g.conns.Give(front, 1) }

// Query reports whether one more query of a front may be taken, and why not. A query that was taken must be
// given back by Ended.
func (g *Guard) Query(front string) (reason string, ok bool) {
	switch l := &g.limits; {
	case g.held.Free(front) <= 0:
		return fmt.Sprintf(
			"%d bytes of answers wait for clients, at most %d may, with a share for each front",
			g.held.Total(), l.HeldBytes), false
	case !g.open.Take(front, 1):
		return fmt.Sprintf(
			"%d queries wait for answers already, at most %d are taken, with a share for each front",
			g.open.Total(), l.Open), false
	}
	return "", true
}

// Ended gives a query back.
func (g *Guard) Ended(front string) { g.open.Give(front, 1) }

// Open is the number of queries taken and not given back.
func (g *Guard) Open() int { return int(g.open.Total()) }

// Connect reports whether a user may have one more connection, and why not, with files open in the process.
// One that was let in must be given back by Disconnect.
func (g *Guard) Connect(user string, files int) (reason string, ok bool) {
	switch l := &g.limits; {
	case l.PerUser > 0 && g.users[user] >= l.PerUser:
		return fmt.Sprintf("user %q has %d connections, at most %d are served", user, g.users[user],
			l.PerUser), false
	case l.Files > 0 && files >= l.Files-l.FilesLeft:
		return fmt.Sprintf("%d of %d files are open", files, l.Files), false
	}
	g.users[user]++
	return "", true
}

// Disconnect gives a connection back.
func (g *Guard) Disconnect(user string) {
	if g.users[user]--; g.users[user] <= 0 {
		delete(g.users, user)
	}
}

// Lag takes in how long a stretch's longest batch took. It reports whether the loop is in trouble, and
// whether that has just changed. One slow batch is none, and trouble does not flicker at its edge.
func (g *Guard) Lag(longest time.Duration) (trouble, changed bool) {
	late := g.limits.Lag > 0 && longest > g.limits.Lag
	if g.lags[g.at] {
		g.bad--
	}
	if g.lags[g.at] = late; late {
		g.bad++
	}
	g.at = (g.at + 1) % lagWindow
	was := g.in
	if g.bad >= lagBegin {
		g.in = true
	} else if g.bad <= lagEnd {
		g.in = false
	}
	return g.in, g.in != was
}
