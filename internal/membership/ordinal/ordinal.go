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
	// Born counts the member's lives: a greater one is a later life of the same name.
	Born uint64
	// Claim is the ordinal that it has, and says so; -1: none yet.
	Claim int
}

// Limits of an agreement.
type Limits struct {
	// Still is how long the list must have been as it is before what is told to the module follows it: each
	// change costs the module its shares.
	Still time.Duration
	// Grace is how long a member that was lost still counts. Danger: in a split each side would take the
	// other's part of the engines at once, and both together send twice as much.
	Grace time.Duration
	// Left is how long a member that said that it leaves still counts. Danger: what it sent a cold engine
	// just before is in that engine's window yet, and the others would send its part once more.
	Left time.Duration
	// Least is the number of dispatchers never fallen below, of the settings.
	Least int
}

// View is what a dispatcher tells its module.
type View struct {
	Ordinal int // -1: none yet, as two claim it or the list is not still
	Count   int
}

// Agreement follows the members. Make one with New. It is for one goroutine at a time.
type Agreement struct {
	self    Member
	limits  Limits
	members map[string]Member
	lost    map[string]time.Duration // until when members that were lost still count
	since   time.Duration            // the list is as it is
	view    View
	fresh   bool // the view is of the members as they are
}

// New returns the agreement of a dispatcher that sees itself only.
func New(self Member, l Limits, now time.Duration) *Agreement {
	a := &Agreement{self: self, limits: l, members: map[string]Member{self.Name: self},
		lost: map[string]time.Duration{}, since: now, view: View{Ordinal: self.Claim, Count: max(l.Least, 1)}}
	return a
}

// Alive takes a member that is there, or what it says anew.
func (a *Agreement) Alive(now time.Duration, m Member) {
	old, known := a.members[m.Name]
	switch {
	case m.Name == a.self.Name:
		return // a twin, or our own word come back; ours stands, see Twin
	case known && m.Born < old.Born:
		return // of an earlier life, told late
	}
	delete(a.lost, m.Name)
	if !known || old.Born != m.Born {
		a.since = now
	}
	// Danger: were the list not still because of a claim, then of many that begin at once each would wait
	// for the one before it to have claimed.
	if !known || old != m {
		a.members[m.Name] = m
		a.fresh = false
	}
}

// Twin reports whether a member's word under our own name is another process's: one that was born later has
// the name, and we are to stop talking; one that was born before is a life that ended.
func (a *Agreement) Twin(m Member) (yield bool) { return m.Name == a.self.Name && m.Born > a.self.Born }

// Gone takes the loss of a member. left: it said so itself.
func (a *Agreement) Gone(now time.Duration, name string, left bool) {
	if _, known := a.members[name]; !known || name == a.self.Name {
		return
	}
	until := now + a.limits.Grace
	if left {
		until = now + a.limits.Left
	}
	if was, already := a.lost[name]; !already || until < was {
		a.lost[name] = until
	}
}

// Step returns the view as of now, and whether it changed since the last call.
func (a *Agreement) Step(now time.Duration) (v View, changed bool) {
	for name, until := range a.lost {
		if now >= until {
			delete(a.lost, name)
			delete(a.members, name)
			a.since, a.fresh = max(a.since, until), false
		}
	}
	if now-a.since < a.limits.Still || a.fresh {
		return a.view, false
	}
	a.fresh = true
	claims := a.claims()
	v = View{Ordinal: claims[a.self.Name], Count: max(len(a.members), a.limits.Least,
		highest(claims)+1)}
	changed = v != a.view
	if a.view = v; a.self.Claim != v.Ordinal {
		a.self.Claim = v.Ordinal
		a.members[a.self.Name] = a.self
	}
	return v, changed
}

// highest is the greatest ordinal given. Danger: a count that is not above each ordinal would have two
// modules take one part of the fleet.
func highest(claims map[string]int) int {
	most := 0
	for _, n := range claims {
		most = max(most, n)
	}
	return most
}

// Self is what this dispatcher says of itself.
func (a *Agreement) Self() Member { return a.self }

// claims gives each member an ordinal. A claim stands where nobody else has it: a member that returns finds
// its own, and the others keep theirs. Of two with one claim the name that comes first keeps it. Those
// without take the least that are free, in the order of their names; so all that see the same members and
// claims give the same. Ordinals beyond the number of members are given up, so that the count can fall again.
func (a *Agreement) claims() map[string]int {
	names := make([]string, 0, len(a.members))
	for name := range a.members {
		names = append(names, name)
	}
	sort.Strings(names)
	count := max(len(names), a.limits.Least)
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

// Members is the number of members that count, lost ones within their grace among them.
func (a *Agreement) Members() int { return len(a.members) }
