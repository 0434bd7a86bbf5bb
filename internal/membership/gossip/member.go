package gossip

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"cresspass/internal/membership/ordinal"
)

const (
	// conflictNoticeInterval is the least time between two notices of a name conflict to one member.
	conflictNoticeInterval = 2 * time.Second
	// conflictReportTTL is how long a member's report of a name conflict counts.
	conflictReportTTL = time.Minute
	// conflictQuorum is how many members have to report a conflict before this node accepts it.
	conflictQuorum = 3
)

// conflictTracker records which names two processes claim, and which members reported that for our own name.
type conflictTracker struct {
	notices map[string]time.Duration // last notice sent, by the member whose name is claimed twice
	reports map[string]time.Duration // last report that our own name is claimed twice, by its sender
}

func newConflictTracker() conflictTracker {
	return conflictTracker{notices: map[string]time.Duration{}, reports: map[string]time.Duration{}}
}

// shouldNotify reports whether to notify a member now, and if so records the notice as sent.
func (c *conflictTracker) shouldNotify(now time.Duration, name string) bool {
	if now-c.notices[name] < conflictNoticeInterval {
		return false
	}
	c.notices[name] = now
	return true
}

// report records a report that our own name is claimed twice, and reports whether a quorum of members has
// sent such a report: three, or half of the other members, rounded up, if that is fewer. Without a quorum a
// single Byzantine member could stop the gossip of every other member.
func (c *conflictTracker) report(now time.Duration, from string, members map[string]ordinal.Member) bool {
	c.reports[from] = now
	reporting := 0
	for name, at := range c.reports {
		if _, known := members[name]; known && now-at < conflictReportTTL {
			reporting++
		}
	}
	return reporting >= min(conflictQuorum, (len(members)+1)/2)
}

// MemberAlive records that a member is present, or that its metadata has changed.
func (n *Node) MemberAlive(now time.Duration, m ordinal.Member) {
	if m.Name == n.config.Name {
		if n.ordinals.SupersededBy(m) {
			n.yieldName()
		}
		return
	}
	if old, known := n.members[m.Name]; !known || m.Incarnation >= old.Incarnation {
		if !known {
			n.memberNames = append(n.memberNames, m.Name)
			sort.Strings(n.memberNames)
		}
		if known && m.Incarnation > old.Incarnation {
			n.clock.Forget(m.Name)
		}
		n.members[m.Name] = m
	}
	n.ordinals.MemberAlive(now, m)
}

// MemberLost records the loss of a member. left reports whether the member announced its leave.
func (n *Node) MemberLost(now time.Duration, name string, left bool) {
	if _, known := n.members[name]; known {
		delete(n.members, name)
		i := sort.SearchStrings(n.memberNames, name)
		n.memberNames = slices.Delete(n.memberNames, i, i+1)
		n.clock.Forget(name)
	}
	n.ordinals.MemberLost(now, name, left)
}

// NameConflict records that another process claims a member's name from another address. If that process is
// the later one, the member is notified: the peers that the later process contacts first may be the only ones
// that see both.
func (n *Node) NameConflict(now time.Duration, m ordinal.Member) {
	if m.Name == n.config.Name {
		n.MemberAlive(now, m)
		return
	}
	old, known := n.members[m.Name]
	if known && m.Incarnation > old.Incarnation && n.conflicts.shouldNotify(now, m.Name) {
		n.sendPacket(now, m.Name, kindNameConflict, binary.BigEndian.AppendUint64(nil, m.Incarnation))
	}
}

// conflictReported handles a member's report that a process with this node's name and another incarnation
// exists. Only reports of later incarnations count.
func (n *Node) conflictReported(now time.Duration, from string, incarnation uint64) {
	if incarnation > n.config.Incarnation && n.conflicts.report(now, from, n.members) {
		n.yieldName()
	}
}

// yieldName stops this node's gossip permanently: a later process has its name, and was started on purpose.
// If both processes went on, everything that peers record by name would alternate between the two, and peers
// could not distinguish the messages of one from replayed messages of the other.
func (n *Node) yieldName() {
	if !n.stats.NameYielded {
		n.stats.NameYielded = true
		n.emit(Action{Type: YieldName})
	}
}
