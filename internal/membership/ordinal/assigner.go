// Package ordinal assigns ordinals to the dispatchers that send to the same engines, and counts them, from a
// member list that networks deliver early, late or wrong. All assigners that know the same members and claims
// assign the same ordinals. The package does no I/O and reads no clock.
package ordinal

import (
	"slices"
	"sort"
	"time"
)

// Unassigned stands for an ordinal that a member does not have yet.
const Unassigned = -1

// Member is a dispatcher as the membership announces it.
type Member struct {
	Name string // unique in the fleet
	// Incarnation counts the processes with this name: a later process has a greater one.
	Incarnation uint64
	// Claim is the ordinal that the member announces as its own; Unassigned: none yet.
	Claim int
}

// Limits of an Assigner.
type Limits struct {
	// SettleTime is how long the members must have been unchanged before the view follows them: each change
	// of the view makes the decision module drop its peers' reports and adapt its shares.
	SettleTime time.Duration
	// LossGrace is how long a member that was lost still counts. Without LossGrace both sides of a network
	// split would at once take over the other's share of the engines and together send twice as much.
	LossGrace time.Duration
	// LeaveGrace is how long a member that announced its leave still counts. Without LeaveGrace the others
	// would take over its share at once, while the queries that it last sent to an engine in slow start still
	// count there.
	LeaveGrace time.Duration
	// MinCount is a lower bound of the count, from the settings.
	MinCount int
}

// View is a dispatcher's ordinal and the number of dispatchers, for its decision module.
type View struct {
	Ordinal int // Unassigned: no ordinal is claimed, and the members have not settled yet
	Count   int
}

// Assigner follows the members of a fleet and assigns their ordinals. Make one with New. It is not safe for
// concurrent use.
type Assigner struct {
	self      Member
	limits    Limits
	members   map[string]Member
	expiry    map[string]time.Duration // time until which a lost member still counts
	changedAt time.Duration            // when the members last changed
	view      View
	upToDate  bool // the view was computed from the current members
}

// New returns the assigner of a dispatcher that knows no other member yet.
func New(self Member, limits Limits, now time.Duration) *Assigner {
	return &Assigner{
		self:      self,
		limits:    limits,
		members:   map[string]Member{self.Name: self},
		expiry:    map[string]time.Duration{},
		changedAt: now,
		view:      View{Ordinal: self.Claim, Count: max(limits.MinCount, 1)},
	}
}

// Self returns this dispatcher's metadata, with the ordinal that it has.
func (a *Assigner) Self() Member { return a.self }

// MemberCount returns the number of members that count, including lost members whose grace is not over.
func (a *Assigner) MemberCount() int { return len(a.members) }

// MemberAlive records that a member is present, or that its metadata has changed.
func (a *Assigner) MemberAlive(now time.Duration, m Member) {
	old, known := a.members[m.Name]
	switch {
	case m.Name == a.self.Name:
		return // a duplicate name, or an echo of our metadata, which stays as it is: see SupersededBy
	case known && m.Incarnation < old.Incarnation:
		return // metadata of an earlier incarnation, delivered late
	}
	delete(a.expiry, m.Name)
	// A claim does not restart the settle time: of many dispatchers that start at once each would otherwise
	// wait until the one before it has claimed its ordinal.
	if !known || old.Incarnation != m.Incarnation {
		a.changedAt = now
	}
	if !known || old != m {
		a.members[m.Name] = m
		a.upToDate = false
	}
}

// SupersededBy reports whether metadata under our own name is that of a later process, which then owns the
// name. An earlier process with the name has ended.
func (a *Assigner) SupersededBy(m Member) bool {
	return m.Name == a.self.Name && m.Incarnation > a.self.Incarnation
}

// MemberLost records the loss of a member. left reports whether the member announced its leave.
func (a *Assigner) MemberLost(now time.Duration, name string, left bool) {
	if _, known := a.members[name]; !known || name == a.self.Name {
		return
	}
	expiry := now + a.limits.LossGrace
	if left {
		expiry = now + a.limits.LeaveGrace
	}
	if earlier, lost := a.expiry[name]; !lost || expiry < earlier {
		a.expiry[name] = expiry
	}
}

// Update returns the view as of now, and whether it has changed since the last call.
func (a *Assigner) Update(now time.Duration) (view View, changed bool) {
	a.dropExpired(now)
	if now-a.changedAt < a.limits.SettleTime || a.upToDate {
		return a.view, false
	}
	a.upToDate = true
	ordinals := a.assign()
	view = View{
		Ordinal: ordinals[a.self.Name],
		Count:   max(len(a.members), a.limits.MinCount, highestOrdinal(ordinals)+1),
	}
	changed = view != a.view
	a.view = view
	if a.self.Claim != view.Ordinal {
		a.self.Claim = view.Ordinal
		a.members[a.self.Name] = a.self
	}
	return view, changed
}

// dropExpired removes lost members whose grace is over.
func (a *Assigner) dropExpired(now time.Duration) {
	for name, expiry := range a.expiry {
		if now >= expiry {
			delete(a.expiry, name)
			delete(a.members, name)
			a.changedAt, a.upToDate = max(a.changedAt, expiry), false
		}
	}
}

// highestOrdinal returns the greatest ordinal that is assigned. The count must be greater: otherwise two
// decision modules would take the same share of the fleet.
func highestOrdinal(ordinals map[string]int) int {
	highest := 0
	for _, ordinal := range ordinals {
		highest = max(highest, ordinal)
	}
	return highest
}

// assign gives each member an ordinal. A claim that only one member has is granted: a member that returns
// gets its ordinal back, and the others keep theirs. Of two members with the same claim the first by name
// gets the ordinal.
// Members without an ordinal get the lowest free ones, in the order of their names, so all assigners that see
// the same members and claims assign the same. Claims not below the number of members are dropped, so that
// the count can fall again.
func (a *Assigner) assign() map[string]int {
	names := make([]string, 0, len(a.members))
	for name := range a.members {
		names = append(names, name)
	}
	sort.Strings(names)
	count := max(len(names), a.limits.MinCount)
	taken, ordinals := make([]bool, count), map[string]int{}
	var unassigned []string
	for _, name := range names {
		if claim := a.members[name].Claim; claim >= 0 && claim < count && !taken[claim] {
			taken[claim] = true
			ordinals[name] = claim
		} else {
			unassigned = append(unassigned, name)
		}
	}
	for _, name := range unassigned {
		free := slices.Index(taken, false)
		taken[free] = true
		ordinals[name] = free
	}
	return ordinals
}
