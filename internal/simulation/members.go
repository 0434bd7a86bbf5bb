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

// Detection is how membership learns of its members: what SWIM does is taken by its times, not modelled
// packet by packet. A link that is cut one way is no loss, as others probe for each other.
type Detection struct {
	MetadataDelay              time.Duration // a member's word reaches another within this
	MinLossDelay, MaxLossDelay time.Duration // a loss is found out after the first and within the second
}

// DefaultDetection is that of the program's probes, once a second.
func DefaultDetection() Detection {
	return Detection{MetadataDelay: time.Second, MinLossDelay: 2 * time.Second, MaxLossDelay: 6 * time.Second}
}

const (
	tickInterval = 50 * time.Millisecond
	// members' own clocks begin at a day, as in the program
	clockStart = 24 * time.Hour
)

// Member is a dispatcher among the others.
type Member struct {
	Number       int
	Name         string
	Node         *gossip.Node
	Up           bool
	incarnation  uint64
	epoch        time.Duration // the model's time at which its clock would have been zero
	lag          time.Duration // it hears and does all so much later
	HandleAction func(o gossip.Action)
}

// now is a member's own clock.
func (m *Member) now(q *Queue) time.Duration { return q.Now() - m.epoch }

// Members are a fleet's, with their network. Make them with NewMembers.
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

// NewMembers returns a fleet of so many, none of which is up. What differs between members is put into
// config; engines tells a new one which engines there are.
func NewMembers(q *Queue, seed uint64, n int, w NetworkConditions, d Detection, config gossip.Config,
	engines func(t *gossip.Node)) *Members {
	f := &Members{Queue: q, Net: NewNetwork(q, seed, n, w), config: config, detection: d, engines: engines,
		random: rand.New(rand.NewPCG(seed, 78)), byName: map[string]*Member{}}
	for i := range n {
		m := &Member{Number: i, Name: fmt.Sprintf("d%03d", i)}
		f.All, f.byName[m.Name] = append(f.All, m), m
	}
	return f
}

// GossipConfig is what the program's dispatchers have, with a least count.
func GossipConfig(least int, threads float64) gossip.Config {
	return gossip.Config{
		OrdinalClaim:     -1,
		BytesPerSecond:   50000,
		Validation:       validation.DefaultLimits(threads),
		BootstrapTimeout: time.Second,
		Ordinals: ordinal.Limits{
			SettleTime: 2 * time.Second,
			LossGrace:  30 * time.Second,
			LeaveGrace: 2 * time.Second,
			MinCount:   least,
		},
	}
}

// Start has a member begin a life, with a claim to an ordinal (-1: none). Its clock begins now, whatever
// the others'.
func (f *Members) Start(i, claim int, wait time.Duration) *Member {
	m := f.All[i]
	f.incarnations++
	m.incarnation, m.Up, m.epoch = f.incarnations, true, f.Queue.Now()-clockStart
	c := f.config
	c.Name, c.Incarnation, c.OrdinalClaim, c.BootstrapTimeout, c.RandomSeed = m.Name, m.incarnation, claim,
		wait, f.random.Uint64()
	m.Node = gossip.New(c, observation.New(m.Name, observation.DefaultLimits()), m.now(f.Queue))
	if f.engines != nil {
		f.engines(m.Node)
	}
	for _, o := range f.All { // who joins is told of all by a seed
		if o != m && o.Up && f.Net.IsOpen(o.Number, i) && f.Net.IsOpen(i, o.Number) {
			m.Node.MemberAlive(m.now(f.Queue), o.Node.Self())
		}
	}
	f.broadcast(m)
	f.tick(m, m.incarnation)
	return m
}

// Stop ends a member's life; left: it says so.
func (f *Members) Stop(i int, left bool) {
	m := f.All[i]
	m.Up = false
	life := m.incarnation
	for _, o := range f.All {
		after := f.detection.MinLossDelay + f.randomDelay(f.detection.MaxLossDelay-f.detection.MinLossDelay)
		if left {
			after = f.randomDelay(f.detection.MetadataDelay)
		}
		f.Queue.In(after, func() {
			if o.Up && m.incarnation == life && o != m {
				o.Node.MemberLost(o.now(f.Queue), m.Name, left)
			}
		})
	}
}

func (f *Members) randomDelay(of time.Duration) time.Duration {
	return time.Duration(f.random.Float64() * float64(of))
}

// broadcast has what a member says of itself reach the others. Words are numbered in SWIM, and an older one
// that comes late is not taken: so what arrives is the word as it then stands.
func (f *Members) broadcast(m *Member) {
	life := m.incarnation
	for _, o := range f.All {
		f.Queue.In(f.randomDelay(f.detection.MetadataDelay), func() {
			if o.Up && o != m && m.Up && m.incarnation == life && f.reachable(m.Number, o.Number) {
				o.Node.MemberAlive(o.now(f.Queue), m.Node.Self())
			}
		})
	}
}

// reachable reports whether two are of one side of the network: a link one way is enough, as others pass the
// word on.
func (f *Members) reachable(a, b int) bool { return f.Net.IsOpen(a, b) || f.Net.IsOpen(b, a) }

// Split cuts the network by the side of each member, and has the loss found out; nil heals it.
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
				f.Queue.In(f.detection.MinLossDelay+f.randomDelay(f.detection.MaxLossDelay-f.detection.MinLossDelay), func() {
					if o.Up && !f.reachable(m.Number, o.Number) {
						o.Node.MemberLost(o.now(f.Queue), m.Name, false)
					}
				})
			}
		}
	}
}

// SetLag has a member hear and do all so much later.
func (f *Members) SetLag(i int, by time.Duration) { f.All[i].lag = by }

// tick lets a member's time pass, and again.
func (f *Members) tick(m *Member, life uint64) {
	if !m.Up || m.incarnation != life {
		return
	}
	m.Node.Tick(m.now(f.Queue))
	f.finishTick(m, life)
}

// finishTick carries out what came of a tick, and sets the next.
func (f *Members) finishTick(m *Member, life uint64) {
	if !m.Up || m.incarnation != life {
		return
	}
	f.ApplyActions(m)
	f.Queue.AtParallel(uint64(m.Number)+1, f.Queue.Now()+tickInterval+m.lag, func() {
		if m.Up && m.incarnation == life {
			m.Node.Tick(m.now(f.Queue))
		}
	}, func() { f.finishTick(m, life) })
}

// ApplyActions carries out what a member's part wants done.
func (f *Members) ApplyActions(m *Member) {
	for _, o := range m.Node.Ready() {
		switch o.Type {
		case gossip.SendPacket:
			f.deliver(m, f.byName[o.To], o.Data)
		case gossip.BroadcastMetadata:
			f.broadcast(m)
		default:
			if m.HandleAction != nil {
				m.HandleAction(o)
			}
		}
	}
}

func (f *Members) deliver(from, to *Member, data []byte) {
	take := func() {
		if to.Up {
			to.Node.HandlePacket(to.now(f.Queue), data)
		}
	}
	carry := func() {
		if to.Up {
			f.ApplyActions(to)
		}
	}
	f.Net.Send(from.Number, to.Number, len(data), func() {
		if to.lag == 0 {
			take()
		}
	}, func() {
		if to.lag == 0 {
			carry()
			return
		}
		f.Queue.In(to.lag, func() { take(); carry() })
	})
}
