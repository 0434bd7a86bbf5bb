// Package membership lets dispatchers talk over a network: membership by SWIM on hashicorp/memberlist, and
// packets that may be lost. It is a shell; what is said, believed and told to the module is decided in
// package talk.
package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"cresspass"
	"cresspass/internal/dispatch"
	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/observation"
	"cresspass/internal/membership/ordinal"
)

// Config holds the settings.
type Config struct {
	gossip.Config
	Listen string // UDP and TCP
	Seeds  []string
	// Keys authenticate and encrypt all that is said: 16, 24 or 32 bytes each. All are accepted, the first is
	// used.
	Keys  [][]byte
	Probe time.Duration // between probes of members; 0: one second
	// Transport carries what is said, in place of sockets at Listen; nil: sockets.
	Transport memberlist.Transport

	// Clock is the dispatcher's; nil: one that began a day ago.
	Clock dispatch.Clock

	// Do carries out what concerns the dispatcher: Message, View, Down. It must not block.
	Do func(o gossip.Output)
}

const (
	stepEvery = 50 * time.Millisecond
	// a newcomer says again that it is there, for a while
	announceEvery = 2 * time.Second
	announceFor   = time.Minute
)

// Peers is a dispatcher's place among the others. Make one with New.
type Peers struct {
	cfg  Config
	log  *slog.Logger
	list *memberlist.Memberlist
	ring *memberlist.Keyring
	now  dispatch.Clock
	stop chan struct{}
	end  sync.Once
	work sync.WaitGroup

	announcing atomic.Bool
	begun      chan struct{} // closed once what others have learnt has come, or is not waited for any more
	voices     atomic.Int64

	mu     sync.Mutex
	talker *gossip.Talker
	// Danger: memberlist changes its nodes; what is needed of one is taken while it tells of it.
	nodes map[string]memberlist.Address
}

// New joins the others, as far as seeds answer; one that none of them answers is alone until others find it.
func New(cfg Config, store *observation.Store, l *slog.Logger) (*Peers, error) {
	host, port, err := net.SplitHostPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("peers: port of %s: %w", cfg.Listen, err)
	}
	if len(cfg.Keys) == 0 {
		return nil, errors.New("peers: a key is wanted: what anybody may say is not heard")
	}
	ring, err := memberlist.NewKeyring(cfg.Keys, cfg.Keys[0])
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	p := &Peers{cfg: cfg, log: l, ring: ring, now: cfg.Clock, stop: make(chan struct{}),
		begun: make(chan struct{}), nodes: map[string]memberlist.Address{}}
	if p.now == nil {
		p.now = dispatch.Monotonic()
	}
	// Danger: ages are taken off our clock; by one that began now all that others saw before would be too
	// old.
	p.talker = gossip.New(cfg.Config, store, p.now())
	if cfg.Wait <= 0 { // nothing is asked, and nothing waited for
		close(p.begun)
	}
	m := memberlist.DefaultLANConfig()
	m.Name, m.BindAddr, m.BindPort, m.AdvertisePort, m.AdvertiseAddr = cfg.Name, host, number, number, host
	m.Keyring, m.Delegate, m.Events, m.Conflict = ring, p, p, p
	m.Transport = cfg.Transport
	m.UDPBufferSize = gossip.MostPacket + 200
	m.TCPTimeout = 2 * time.Second
	m.DeadNodeReclaimTime = time.Millisecond // one that returns has its name, and another port may be
	if cfg.Probe > 0 {
		m.ProbeInterval, m.ProbeTimeout = cfg.Probe, cfg.Probe/2
		m.GossipInterval = cfg.Probe / 2
	}
	m.Logger = log.New(io.Discard, "", 0)
	if p.list, err = memberlist.Create(m); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	if len(cfg.Seeds) > 0 {
		if n, err := p.list.Join(cfg.Seeds); n == 0 {
			l.Warn("no seed answers; alone until others find this dispatcher", "error", err)
		}
	}
	p.work.Add(1)
	go p.run()
	return p, nil
}

// Addr is where others reach it.
func (p *Peers) Addr() string { return p.list.LocalNode().Address() }

// Begun is closed once others have told what they have learnt, or that is not waited for any more.
func (p *Peers) Begun() <-chan struct{} { return p.begun }

// Voices is how many have told.
func (p *Peers) Voices() int { return int(p.voices.Load()) }

// Close leaves, so that the others need not find out, and ends.
func (p *Peers) Close() { p.close(true) }

// Die ends without a word, as a crash does.
func (p *Peers) Die() { p.close(false) }

func (p *Peers) close(leave bool) {
	p.end.Do(func() {
		close(p.stop)
		p.work.Wait()
		if leave {
			p.list.Leave(500 * time.Millisecond)
		}
		p.list.Shutdown()
	})
}

// Keys changes the keys in service: all are accepted, the first is used. Others follow one by one: first each
// is given the new key behind the old, then before it, then the old is taken away.
func (p *Peers) Keys(keys [][]byte) error {
	if len(keys) == 0 {
		return errors.New("peers: no key")
	}
	for _, k := range keys {
		if err := p.ring.AddKey(k); err != nil {
			return err
		}
	}
	if err := p.ring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, old := range p.ring.GetKeys() {
		keep := false
		for _, k := range keys {
			keep = keep || string(k) == string(old)
		}
		if !keep {
			if err := p.ring.RemoveKey(old); err != nil {
				return err
			}
		}
	}
	return nil
}

// Stats returns the counts so far.
func (p *Peers) Stats() gossip.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.talker.Stats()
}

// with has f take part, and carries out what comes of it. It must not be called from within memberlist's
// events.
func (p *Peers) with(f func(now time.Duration, t *gossip.Talker)) {
	p.mu.Lock()
	f(p.now(), p.talker)
	out := p.talker.Ready()
	nodes := make([]memberlist.Address, len(out))
	for i := range out {
		if out[i].Type == gossip.Send {
			nodes[i] = p.nodes[out[i].To]
		}
	}
	p.mu.Unlock()
	for i := range out {
		switch o := &out[i]; o.Type {
		case gossip.Send:
			if nodes[i].Addr != "" {
				p.list.SendToAddress(nodes[i], o.Data) // lost is as good as not sent
			}
		case gossip.Say:
			p.update()
		case gossip.Begun:
			p.voices.Store(int64(o.Voices))
			close(p.begun)
		case gossip.Yield:
			p.log.Error("another dispatcher, started later, has this name; this one is silent from now on",
				"name", p.cfg.Name)
			go p.close(false)
		default:
			if p.cfg.Do != nil {
				p.cfg.Do(*o)
			}
		}
	}
}

// Tell says a message of the module's to the dispatcher of an ordinal; -1: to all. It may be lost, and is
// not sent beyond the rate.
func (p *Peers) Tell(to int, data []byte) {
	p.with(func(now time.Duration, t *gossip.Talker) { t.Tell(now, to, data) })
}

// Roster tells which engines there are, with their cores.
func (p *Peers) Roster(engines map[cresspass.EngineID]float64) {
	p.with(func(_ time.Duration, t *gossip.Talker) { t.Roster(engines) })
}

// Saw tells how an attempt at an engine ended; see talk.Talker.
func (p *Peers) Saw(id cresspass.EngineID, answered bool, threads float64) {
	p.with(func(now time.Duration, t *gossip.Talker) { t.Saw(now, id, answered, threads) })
}

// Learnt tells what the module has learnt, by name.
func (p *Peers) Learnt(figures map[string]float64) {
	p.with(func(now time.Duration, t *gossip.Talker) { t.Learnt(now, figures) })
}

// With has f look at what is known, or add to it.
func (p *Peers) With(f func(now time.Duration, s *observation.Store)) {
	p.with(func(now time.Duration, t *gossip.Talker) { f(now, t.Store()) })
}

// NotifyMsg takes a packet.
func (p *Peers) NotifyMsg(b []byte) {
	p.with(func(now time.Duration, t *gossip.Talker) { t.Packet(now, b) })
}

// run lets time pass.
func (p *Peers) run() {
	defer p.work.Done()
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	announced, begun := time.Now(), time.Now()
	for {
		select {
		case <-p.stop:
			return
		case <-tick.C:
		}
		p.with(func(now time.Duration, t *gossip.Talker) { t.Tick(now) })
		if time.Since(announced) >= announceEvery && time.Since(begun) < announceFor {
			// Danger: one that returns before its former life is known to be dead has a name in use; its word
			// is not taken, and memberlist does not say it again.
			announced = time.Now()
			p.announce()
		}
	}
}

// announce says again that this dispatcher is there. Seeds out of reach hold it up, and nothing else.
func (p *Peers) announce() {
	if !p.announcing.CompareAndSwap(false, true) {
		return
	}
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		defer p.announcing.Store(false)
		p.list.Join(p.cfg.Seeds)
		p.update()
	}()
}

// update has the others told of what this one says of itself.
func (p *Peers) update() { p.list.UpdateNode(time.Second) }

// meta is a member's life and claim, as the others get it with its name.
func meta(m ordinal.Member) []byte {
	b := binary.BigEndian.AppendUint64(nil, m.Born)
	return binary.BigEndian.AppendUint16(b, uint16(int16(m.Claim)))
}

func member(n *memberlist.Node) (m ordinal.Member, ok bool) {
	if len(n.Meta) != 10 {
		return m, false
	}
	return ordinal.Member{Name: n.Name, Born: binary.BigEndian.Uint64(n.Meta),
		Claim: int(int16(binary.BigEndian.Uint16(n.Meta[8:])))}, true
}

// NodeMeta, GetBroadcasts, LocalState and MergeRemoteState are memberlist's.
func (p *Peers) NodeMeta(int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return meta(p.talker.Self())
}

// GetBroadcasts returns none: what is told goes to members.
func (p *Peers) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns none: digests find what differs at less cost.
func (p *Peers) LocalState(bool) []byte { return nil }

// MergeRemoteState has nothing to take.
func (p *Peers) MergeRemoteState([]byte, bool) {}

// NotifyJoin takes a member that is there.
func (p *Peers) NotifyJoin(n *memberlist.Node) { p.alive(n) }

// NotifyUpdate takes what a member says anew.
func (p *Peers) NotifyUpdate(n *memberlist.Node) { p.alive(n) }

// alive takes a member's word. What comes of it is carried out at the next step: memberlist holds its locks
// here.
func (p *Peers) alive(n *memberlist.Node) {
	m, ok := member(n)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes[n.Name] = memberlist.Address{Addr: n.Address(), Name: n.Name}
	p.talker.Alive(p.now(), m)
}

// NotifyLeave takes a member's loss, or its leave.
func (p *Peers) NotifyLeave(n *memberlist.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.nodes, n.Name)
	p.talker.Gone(p.now(), n.Name, n.State == memberlist.StateLeft)
}

// NotifyConflict tells of two with one name.
func (p *Peers) NotifyConflict(existing, other *memberlist.Node) {
	p.log.Warn("two dispatchers have one name", "name", existing.Name, "one", existing.Address(),
		"other", other.Address())
	if m, ok := member(other); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.talker.Conflict(p.now(), m)
	}
}
