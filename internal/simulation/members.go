package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/observation"
	"cresspass/internal/membership/ordinal"
	"cresspass/internal/membership/validation"
)

// Detection holds the delays with which membership detects changes of its members. SWIM is modeled by these
// delays and not packet by packet. A link that is cut in one direction loses no member, because SWIM members
// also probe on behalf of one another.
type Detection struct {
	MetadataDelay time.Duration // until a member's metadata reaches another, at most
	MinLossDelay  time.Duration // until a loss is detected, at least
	MaxLossDelay  time.Duration // and at most
}

// DefaultDetection returns the delays of a dispatcher in production, which probes once a second.
func DefaultDetection() Detection {
	return Detection{MetadataDelay: time.Second, MinLossDelay: 2 * time.Second, MaxLossDelay: 6 * time.Second}
}

const (
	tickInterval = 50 * time.Millisecond
	clockStart   = 24 * time.Hour // reading of a member's own clock at its start, as in production
)

// Member is a dispatcher as a member of the fleet.
type Member struct {
	Number       int
	Name         string
	Node         *gossip.Node // of the current or last incarnation
	Up           bool
	HandleAction func(o gossip.Action) // gets the actions that Members does not execute itself; may be nil
	incarnation  uint64
	epoch        time.Duration // simulated time at which the member's clock is zero
	lag          time.Duration // added to the time at which the member handles anything
}

// now returns the reading of the member's own clock.
func (m *Member) now(q *Queue) time.Duration { return q.Now() - m.epoch }

// isCurrent reports whether the member is up with the given incarnation.
func (m *Member) isCurrent(incarnation uint64) bool { return m.Up && m.incarnation == incarnation }

// Members holds the members of a fleet and their network. It is created by NewMembers and must not be used by
// several goroutines at once.
type Members struct {
	Queue        *Queue
	Net          *Network
	All          []*Member
	config       gossip.Config
	detection    Detection
	random       *rand.Rand
	incarnations uint64
	byName       map[string]*Member
	engines      func(t *gossip.Node)
}

// NewMembers returns n members, none of which is up. Each node gets a copy of config with the settings of its
// member filled in. engines, if not nil, is called to give a new node the list of engines.
func NewMembers(q *Queue, seed uint64, n int, conditions NetworkConditions, d Detection, config gossip.Config,
	engines func(t *gossip.Node)) *Members {
	f := &Members{Queue: q, Net: NewNetwork(q, seed, n, conditions), config: config, detection: d,
		engines: engines, random: rand.New(rand.NewPCG(seed, membersStream)), byName: map[string]*Member{}}
	for i := range n {
		m := &Member{Number: i, Name: fmt.Sprintf("d%03d", i)}
		f.All, f.byName[m.Name] = append(f.All, m), m
	}
	return f
}

// GossipConfig returns the production configuration of gossip, with a minimum count of dispatchers and the
// largest number of threads of a query.
func GossipConfig(minCount int, threads float64) gossip.Config {
	return gossip.Config{
		OrdinalClaim:     -1,
		BytesPerSecond:   50000,
		Validation:       validation.DefaultLimits(threads),
		BootstrapTimeout: bootstrapTimeout,
		Ordinals: ordinal.Limits{
			SettleTime: 2 * time.Second,
			LossGrace:  30 * time.Second,
			LeaveGrace: 2 * time.Second,
			MinCount:   minCount,
		},
	}
}

// Start begins an incarnation of a member, with a claim to an ordinal (-1: none) and the time for which it
// waits for the model state of others. Its clock starts at clockStart, independently of the other clocks.
func (f *Members) Start(i, claim int, bootstrapTimeout time.Duration) *Member {
	m := f.All[i]
	f.incarnations++
	m.incarnation, m.Up, m.epoch = f.incarnations, true, f.Queue.Now()-clockStart
	c := f.config
	c.Name, c.Incarnation, c.OrdinalClaim = m.Name, m.incarnation, claim
	c.BootstrapTimeout, c.RandomSeed = bootstrapTimeout, f.random.Uint64()
	m.Node = gossip.New(c, observation.New(m.Name, observation.DefaultLimits()), m.now(f.Queue))
	if f.engines != nil {
		f.engines(m.Node)
	}
	for _, o := range f.All { // as a SWIM seed member would inform it of all others
		if o != m && o.Up && f.Net.IsOpen(o.Number, i) && f.Net.IsOpen(i, o.Number) {
			m.Node.MemberAlive(m.now(f.Queue), o.Node.Self())
		}
	}
	f.broadcast(m)
	f.tick(m, m.incarnation)
	return m
}

// Stop ends an incarnation. graceful means that the member announces that it leaves; otherwise the others
// detect its loss.
func (f *Members) Stop(i int, graceful bool) {
	m := f.All[i]
	m.Up = false
	incarnation := m.incarnation
	for _, o := range f.All {
		after := f.lossDelay()
		if graceful {
			after = f.randomDelay(f.detection.MetadataDelay)
		}
		f.Queue.In(after, func() {
			if o.Up && m.incarnation == incarnation && o != m {
				o.Node.MemberLost(o.now(f.Queue), m.Name, graceful)
			}
		})
	}
}

// randomDelay draws a duration below limit, uniformly.
func (f *Members) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(f.random.Float64() * float64(limit))
}

// lossDelay draws the time until a loss is detected.
func (f *Members) lossDelay() time.Duration {
	return f.detection.MinLossDelay + f.randomDelay(f.detection.MaxLossDelay-f.detection.MinLossDelay)
}

// broadcast sends a member's metadata to the others. SWIM numbers metadata and drops an older version that
// arrives late, so the member's metadata at the time of arrival is what is delivered.
func (f *Members) broadcast(m *Member) {
	incarnation := m.incarnation
	for _, o := range f.All {
		f.Queue.In(f.randomDelay(f.detection.MetadataDelay), func() {
			if o.Up && o != m && m.isCurrent(incarnation) && f.reachable(m.Number, o.Number) {
				o.Node.MemberAlive(o.now(f.Queue), m.Node.Self())
			}
		})
	}
}

// reachable reports whether two members are on the same side of a partition. A link in one direction is
// enough, because other members relay metadata.
func (f *Members) reachable(a, b int) bool { return f.Net.IsOpen(a, b) || f.Net.IsOpen(b, a) }

// Split partitions the network by the side of each member and schedules the detection of the losses. A nil
// side heals the network.
func (f *Members) Split(side func(i int) int) {
	if side == nil {
		f.Net.SetLinks(nil)
		for _, m := range f.All {
			if m.Up {
				f.broadcast(m)
			}
		}
		return
	}
	f.Net.SetLinks(func(from, to int) bool { return side(from) == side(to) })
	for _, m := range f.All {
		for _, o := range f.All {
			if m != o && side(m.Number) != side(o.Number) {
				f.scheduleLoss(m, o)
			}
		}
	}
}

// scheduleLoss schedules that a member detects the loss of another, unless the network heals before.
func (f *Members) scheduleLoss(lost, by *Member) {
	f.Queue.In(f.lossDelay(), func() {
		if by.Up && !f.reachable(lost.Number, by.Number) {
			by.Node.MemberLost(by.now(f.Queue), lost.Name, false)
		}
	})
}

// SetLag delays everything that a member handles by lag.
func (f *Members) SetLag(i int, lag time.Duration) { f.All[i].lag = lag }

// tick runs the first tick of a member's node, and schedules the next one.
func (f *Members) tick(m *Member, incarnation uint64) {
	if !m.isCurrent(incarnation) {
		return
	}
	m.Node.Tick(m.now(f.Queue))
	f.finishTick(m, incarnation)
}

// finishTick applies the actions of a tick, and schedules the next one.
func (f *Members) finishTick(m *Member, incarnation uint64) {
	if !m.isCurrent(incarnation) {
		return
	}
	f.ApplyActions(m)
	f.Queue.AtParallel(uint64(m.Number)+1, f.Queue.Now()+tickInterval+m.lag, func() {
		if m.isCurrent(incarnation) {
			m.Node.Tick(m.now(f.Queue))
		}
	}, func() { f.finishTick(m, incarnation) })
}

// ApplyActions executes the actions that a member's node has ready.
func (f *Members) ApplyActions(m *Member) {
	for _, action := range m.Node.Ready() {
		switch action.Type {
		case gossip.SendPacket:
			f.deliver(m, f.byName[action.To], action.Data)
		case gossip.BroadcastMetadata:
			f.broadcast(m)
		default:
			if m.HandleAction != nil {
				m.HandleAction(action)
			}
		}
	}
}

// deliver sends a packet to a member over the network.
func (f *Members) deliver(from, to *Member, data []byte) {
	handle := func() {
		if to.Up {
			to.Node.HandlePacket(to.now(f.Queue), data)
		}
	}
	apply := func() {
		if to.Up {
			f.ApplyActions(to)
		}
	}
	f.Net.Send(from.Number, to.Number, len(data), func() {
		if to.lag == 0 {
			handle()
		}
	}, func() {
		if to.lag == 0 {
			apply()
			return
		}
		f.Queue.In(to.lag, func() { handle(); apply() })
	})
}
