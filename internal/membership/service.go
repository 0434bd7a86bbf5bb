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
	Keys          [][]byte
	ProbeInterval time.Duration // between probes of members; 0: one second
	// Transport carries what is said, in place of sockets at Listen; nil: sockets.
	Transport memberlist.Transport

	// Clock is the dispatcher's; nil: one that began a day ago.
	Clock dispatch.Clock

	// HandleAction carries out what concerns the dispatcher: Message, View, Down. It must not block.
	HandleAction func(o gossip.Action)
}

const (
	tickInterval = 50 * time.Millisecond
	// a newcomer says again that it is there, for a while
	announceInterval = 2 * time.Second
	announcePeriod   = time.Minute
)

// Service is a dispatcher's place among the others. Make one with New.
type Service struct {
	config     Config
	log        *slog.Logger
	members    *memberlist.Memberlist
	keyring    *memberlist.Keyring
	now        dispatch.Clock
	stop       chan struct{}
	closeOnce  sync.Once
	background sync.WaitGroup

	announcing     atomic.Bool
	bootstrapped   chan struct{} // closed once what others have learnt has come, or is not waited for any more
	reportingPeers atomic.Int64

	mu   sync.Mutex
	node *gossip.Node
	// Danger: memberlist changes its nodes; what is needed of one is taken while it tells of it.
	addresses map[string]memberlist.Address
}

// New joins the others, as far as seeds answer; one that none of them answers is alone until others find it.
func New(cfg Config, store *observation.Store, l *slog.Logger) (*Service, error) {
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
	p := &Service{config: cfg, log: l, keyring: ring, now: cfg.Clock, stop: make(chan struct{}),
		bootstrapped: make(chan struct{}), addresses: map[string]memberlist.Address{}}
	if p.now == nil {
		p.now = dispatch.NewMonotonicClock()
	}
	// Danger: ages are taken off our clock; by one that began now all that others saw before would be too
	// old.
	p.node = gossip.New(cfg.Config, store, p.now())
	if cfg.BootstrapTimeout <= 0 { // nothing is asked, and nothing waited for
		close(p.bootstrapped)
	}
	m := memberlist.DefaultLANConfig()
	m.Name, m.BindAddr, m.BindPort, m.AdvertisePort, m.AdvertiseAddr = cfg.Name, host, number, number, host
	m.Keyring, m.Delegate, m.Events, m.Conflict = ring, p, p, p
	m.Transport = cfg.Transport
	m.UDPBufferSize = gossip.MaxPacketSize + 200
	m.TCPTimeout = 2 * time.Second
	m.DeadNodeReclaimTime = time.Millisecond // one that returns has its name, and another port may be
	if cfg.ProbeInterval > 0 {
		m.ProbeInterval, m.ProbeTimeout = cfg.ProbeInterval, cfg.ProbeInterval/2
		m.GossipInterval = cfg.ProbeInterval / 2
	}
	m.Logger = log.New(io.Discard, "", 0)
	if p.members, err = memberlist.Create(m); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	if len(cfg.Seeds) > 0 {
		if n, err := p.members.Join(cfg.Seeds); n == 0 {
			l.Warn("no seed answers; alone until others find this dispatcher", "error", err)
		}
	}
	p.background.Add(1)
	go p.run()
	return p, nil
}

// Addr is where others reach it.
func (p *Service) Addr() string { return p.members.LocalNode().Address() }

// Bootstrapped is closed once others have told what they have learnt, or that is not waited for any more.
func (p *Service) Bootstrapped() <-chan struct{} { return p.bootstrapped }

// ReportingPeers is how many have told.
func (p *Service) ReportingPeers() int { return int(p.reportingPeers.Load()) }

// Close leaves, so that the others need not find out, and ends.
func (p *Service) Close() { p.shutdown(true) }

// Abort ends without a word, as a crash does.
func (p *Service) Abort() { p.shutdown(false) }

func (p *Service) shutdown(leave bool) {
	p.closeOnce.Do(func() {
		close(p.stop)
		p.background.Wait()
		if leave {
			p.members.Leave(500 * time.Millisecond)
		}
		p.members.Shutdown()
	})
}

// SetKeys changes the keys in service: all are accepted, the first is used. Others follow one by one: first
// each is given the new key behind the old, then before it, then the old is taken away.
func (p *Service) SetKeys(keys [][]byte) error {
	if len(keys) == 0 {
		return errors.New("peers: no key")
	}
	for _, k := range keys {
		if err := p.keyring.AddKey(k); err != nil {
			return err
		}
	}
	if err := p.keyring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, old := range p.keyring.GetKeys() {
		keep := false
		for _, k := range keys {
			keep = keep || string(k) == string(old)
		}
		if !keep {
			if err := p.keyring.RemoveKey(old); err != nil {
				return err
			}
		}
	}
	return nil
}

// Stats returns the counts so far.
func (p *Service) Stats() gossip.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Stats()
}

// withNode has f take part, and carries out what comes of it. It must not be called from within memberlist's
// events.
func (p *Service) withNode(f func(now time.Duration, t *gossip.Node)) {
	p.mu.Lock()
	f(p.now(), p.node)
	out := p.node.Ready()
	nodes := make([]memberlist.Address, len(out))
	for i := range out {
		if out[i].Type == gossip.SendPacket {
			nodes[i] = p.addresses[out[i].To]
		}
	}
	p.mu.Unlock()
	for i := range out {
		switch o := &out[i]; o.Type {
		case gossip.SendPacket:
			if nodes[i].Addr != "" {
				p.members.SendToAddress(nodes[i], o.Data) // lost is as good as not sent
			}
		case gossip.BroadcastMetadata:
			p.broadcastMetadata()
		case gossip.CompleteBootstrap:
			p.reportingPeers.Store(int64(o.ReportingPeers))
			close(p.bootstrapped)
		case gossip.YieldName:
			p.log.Error("another dispatcher, started later, has this name; this one is silent from now on",
				"name", p.config.Name)
			go p.shutdown(false)
		default:
			if p.config.HandleAction != nil {
				p.config.HandleAction(*o)
			}
		}
	}
}

// SendMessage says a message of the module's to the dispatcher of an ordinal; -1: to all. It may be lost,
// and is not sent beyond the rate.
func (p *Service) SendMessage(to int, data []byte) {
	p.withNode(func(now time.Duration, t *gossip.Node) { t.SendMessage(now, to, data) })
}

// SetEngines tells which engines there are, with their cores.
func (p *Service) SetEngines(engines map[cresspass.EngineID]float64) {
	p.withNode(func(_ time.Duration, t *gossip.Node) { t.SetEngines(engines) })
}

// RecordAttempt tells how an attempt at an engine ended; see talk.Talker.
func (p *Service) RecordAttempt(id cresspass.EngineID, answered bool, threads float64) {
	p.withNode(func(now time.Duration, t *gossip.Node) { t.RecordAttempt(now, id, answered, threads) })
}

// Learnt tells what the module has learnt, by name.
func (p *Service) Learnt(figures map[string]float64) {
	p.withNode(func(now time.Duration, t *gossip.Node) { t.RecordModelState(now, figures) })
}

// WithStore has f look at what is known, or add to it.
func (p *Service) WithStore(f func(now time.Duration, s *observation.Store)) {
	p.withNode(func(now time.Duration, t *gossip.Node) { f(now, t.Store()) })
}

// NotifyMsg takes a packet.
func (p *Service) NotifyMsg(b []byte) {
	p.withNode(func(now time.Duration, t *gossip.Node) { t.HandlePacket(now, b) })
}

// run lets time pass.
func (p *Service) run() {
	defer p.background.Done()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	announced, begun := time.Now(), time.Now()
	for {
		select {
		case <-p.stop:
			return
		case <-tick.C:
		}
		p.withNode(func(now time.Duration, t *gossip.Node) { t.Tick(now) })
		if time.Since(announced) >= announceInterval && time.Since(begun) < announcePeriod {
			// Danger: one that returns before its former life is known to be dead has a name in use; its word
			// is not taken, and memberlist does not say it again.
			announced = time.Now()
			p.announce()
		}
	}
}

// announce says again that this dispatcher is there. Seeds out of reach hold it up, and nothing else.
func (p *Service) announce() {
	if !p.announcing.CompareAndSwap(false, true) {
		return
	}
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		defer p.announcing.Store(false)
		p.members.Join(p.config.Seeds)
		p.broadcastMetadata()
	}()
}

// broadcastMetadata has the others told of what this one says of itself.
func (p *Service) broadcastMetadata() { p.members.UpdateNode(time.Second) }

// encodeMetadata is a member's life and claim, as the others get it with its name.
func encodeMetadata(m ordinal.Member) []byte {
	b := binary.BigEndian.AppendUint64(nil, m.Incarnation)
	return binary.BigEndian.AppendUint16(b, uint16(int16(m.Claim)))
}

func decodeMember(n *memberlist.Node) (m ordinal.Member, ok bool) {
	if len(n.Meta) != 10 {
		return m, false
	}
	return ordinal.Member{Name: n.Name, Incarnation: binary.BigEndian.Uint64(n.Meta),
		Claim: int(int16(binary.BigEndian.Uint16(n.Meta[8:])))}, true
}

// NodeMeta, GetBroadcasts, LocalState and MergeRemoteState are memberlist's.
func (p *Service) NodeMeta(int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return encodeMetadata(p.node.Self())
}

// GetBroadcasts returns none: what is told goes to members.
func (p *Service) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns none: digests find what differs at less cost.
func (p *Service) LocalState(bool) []byte { return nil }

// MergeRemoteState has nothing to take.
func (p *Service) MergeRemoteState([]byte, bool) {}

// NotifyJoin takes a member that is there.
func (p *Service) NotifyJoin(n *memberlist.Node) { p.memberAlive(n) }

// NotifyUpdate takes what a member says anew.
func (p *Service) NotifyUpdate(n *memberlist.Node) { p.memberAlive(n) }

// memberAlive takes a member's word. What comes of it is carried out at the next step: memberlist holds its
// locks here.
func (p *Service) memberAlive(n *memberlist.Node) {
	m, ok := decodeMember(n)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[n.Name] = memberlist.Address{Addr: n.Address(), Name: n.Name}
	p.node.MemberAlive(p.now(), m)
}

// NotifyLeave takes a member's loss, or its leave.
func (p *Service) NotifyLeave(n *memberlist.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.addresses, n.Name)
	p.node.MemberLost(p.now(), n.Name, n.State == memberlist.StateLeft)
}

// NotifyConflict tells of two with one name.
func (p *Service) NotifyConflict(existing, other *memberlist.Node) {
	p.log.Warn("two dispatchers have one name", "name", existing.Name, "one", existing.Address(),
		"other", other.Address())
	if m, ok := decodeMember(other); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.node.NameConflict(p.now(), m)
	}
}
