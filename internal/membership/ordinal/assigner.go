// Package ordinal decides which ordinal a dispatcher has among those that send to the same engines, and how
// many they are, from a list of members that networks make early, late or wrong. All that see the same
// members say the same. It does no I/O and reads no clock.
package ordinal

import (
	"slices"
	"sort"
	"time"
)

// Member is a dispatcher as the membership tells of it.
type Member struct {
	Name string // its own among all of the fleet
	// Incarnation counts the member's lives: a greater one is a later life of the same name.
	Incarnation uint64
	// Claim is the ordinal that it has, and says so; -1: none yet.
	Claim int
}

// Limits of an agreement.
type Limits struct {
	// SettleTime is how long the list must have been as it is before what is told to the module follows it:
	// each change costs the module its shares.
	SettleTime time.Duration
	// LossGrace is how long a member that was lost still counts. Danger: in a split each side would take the
	// other's part of the engines at once, and both together send twice as much.
	LossGrace time.Duration
	// LeaveGrace is how long a member that said that it leaves still counts. Danger: what it sent a cold
	// engine just before is in that engine's window yet, and the others would send its part once more.
	LeaveGrace time.Duration
	// MinCount is the number of dispatchers never fallen below, of the settings.
	MinCount int
}

// View is what a dispatcher tells its module.
type View struct {
	Ordinal int // -1: none yet, as two claim it or the list is not still
	Count   int
}

// Assigner follows the members. Make one with New. It is for one goroutine at a time.
type Assigner struct {
	self      Member
	limits    Limits
	members   map[string]Member
	expiry    map[string]time.Duration // until when members that were lost still count
	changedAt time.Duration            // the list is as it is
	view      View
	upToDate  bool // the view is of the members as they are
}

// New returns the agreement of a dispatcher that sees itself only.
func New(self Member, l Limits, now time.Duration) *Assigner {
	a := &Assigner{self: self, limits: l, members: map[string]Member{self.Name: self},
		expiry: map[string]time.Duration{}, changedAt: now, view: View{Ordinal: self.Claim, Count: max(l.MinCount, 1)}}
	return a
}

// MemberAlive takes a member that is there, or what it says anew.
func (a *Assigner) MemberAlive(now time.Duration, m Member) {
	old, known := a.members[m.Name]
	switch {
	case m.Name == a.self.Name:
		return // a twin, or our own word come back; ours stands, see Twin
	case known && m.Incarnation < old.Incarnation:
		return // of an earlier life, told late
	}
	delete(a.expiry, m.Name)
	if !known || old.Incarnation != m.Incarnation {
		a.changedAt = now
	}
	// Danger: were the list not still because of a claim, then of many that begin at once each would wait
	// for the one before it to have claimed.
	if !known || old != m {
		a.members[m.Name] = m
		a.upToDate = false
	}
}

// SupersededBy reports whether a member's word under our own name is another process's: one that was born
// later has the name, and we are to stop talking; one that was born before is a life that ended.
func (a *Assigner) SupersededBy(m Member) (yield bool) {
	return m.Name == a.self.Name && m.Incarnation > a.self.Incarnation
}

// MemberLost takes the loss of a member. left: it said so itself.
func (a *Assigner) MemberLost(now time.Duration, name string, left bool) {
	if _, known := a.members[name]; !known || name == a.self.Name {
		return
	}
	until := now + a.limits.LossGrace
	if left {
		until = now + a.limits.LeaveGrace
	}
	if was, already := a.expiry[name]; !already || until < was {
		a.expiry[name] = until
	}
}

// Update returns the view as of now, and whether it changed since the last call.
func (a *Assigner) Update(now time.Duration) (v View, changed bool) {
	for name, until := range a.expiry {
		if now >= until {
			delete(a.expiry, name)
			delete(a.members, name)
			a.changedAt, a.upToDate = max(a.changedAt, until), false
		}
	}
	if now-a.changedAt < a.limits.SettleTime || a.upToDate {
		return a.view, false
	}
	a.upToDate = true
	claims := a.assign()
	v = View{Ordinal: claims[a.self.Name], Count: max(len(a.members), a.limits.MinCount,
		highestOrdinal(claims)+1)}
	changed = v != a.view
	if a.view = v; a.self.Claim != v.Ordinal {
		a.self.Claim = v.Ordinal
		a.members[a.self.Name] = a.self
	}
	return v, changed
}

// highestOrdinal is the greatest ordinal given. Danger: a count that is not above each ordinal would have two
// modules take one part of the fleet.
func highestOrdinal(claims map[string]int) int {
	most := 0
	for _, n := range claims {
		most = max(most, n)
	}
	return most
}

// Self is what this dispatcher says of itself.
func (a *Assigner) Self() Member { return a.self }

// assign gives each member an ordinal. A claim stands where nobody else has it: a member that returns finds
// its own, and the others keep theirs. Of two with one claim the name that comes first keeps it. Those
// without take the least that are free, in the order of their names; so all that see the same members and
// claims give the same. Ordinals beyond the number of members are given up, so that the count can fall again.
func (a *Assigner) assign() map[string]int {
	names := make([]string, 0, len(a.members))
	for name := range a.members {
		names = append(names, name)
	}
	sort.Strings(names)
	count := max(len(names), a.limits.MinCount)
	taken, out := make([]bool, count), map[string]int{}
	var without []string
	for _, name := range names {
		if c := a.members[name].Claim; c >= 0 && c < count && !taken[c] {
			taken[c] = true
			out[name] = c
		} else {
			without = append(without, name)
		}
	}
	for _, name := range without {
		c := slices.Index(taken, false)
		taken[c] = true
		out[name] = c
	}
	return out
}

// MemberCount is the number of members that count, lost ones within their grace among them.
func (a *Assigner) MemberCount() int { return len(a.members) }
