// Package membership runs a gossip node over a network: hashicorp/memberlist provides membership by the SWIM
// protocol and transports packets, which may be lost. This package owns the sockets, the keys and the
// goroutines. Package gossip decides what is sent, trusted and passed on to the decision module.
package membership

import (
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
)

// Config holds the settings of a Service.
type Config struct {
	gossip.Config
	Listen string   // address, for UDP and TCP
	Seeds  []string // addresses of members to join
	// Keys authenticate and encrypt all traffic: 16, 24 or 32 bytes each. All are accepted for received
	// traffic, the first is used to send.
	Keys          [][]byte
	ProbeInterval time.Duration // between probes of members; 0: memberlist's default, one second
	// Transport replaces the sockets at Listen; nil: sockets.
	Transport memberlist.Transport
	// Clock is the dispatcher's clock; nil: a clock that reads 24 hours at the start.
	Clock dispatch.Clock
	// HandleAction carries out the actions that concern the decision module: DeliverMessage, UpdateView and
	// ReportEngineDown. It must not block.
	HandleAction func(a gossip.Action)
}

const (
	tickInterval = 50 * time.Millisecond
	// A starting dispatcher announces itself again at announceInterval for announcePeriod.
	announceInterval = 2 * time.Second
	announcePeriod   = time.Minute
	leaveTimeout     = 500 * time.Millisecond
	updateTimeout    = time.Second
	joinTimeout      = 2 * time.Second
	// packetOverhead is the space in a UDP packet, in bytes, for memberlist's headers and encryption.
	packetOverhead = 200
)

// ErrNoKeys is returned by New and SetKeys if there is no key: without a key any process could forge traffic.
var ErrNoKeys = errors.New("membership: no keys")

// Service is a dispatcher's membership in its fleet. Make one with New; end it with Close or Abort. It is
// safe for concurrent use.
type Service struct {
	config  Config
	log     *slog.Logger
	keyring *memberlist.Keyring
	clock   dispatch.Clock

	stop       chan struct{}
	closeOnce  sync.Once
	background sync.WaitGroup
	announcing atomic.Bool // an announcement is under way

	bootstrapped   chan struct{} // closed once the wait for the peers' model state is over
	reportingPeers atomic.Int64

	mu   sync.Mutex
	node *gossip.Node
	// members is nil until memberlist has created it, although memberlist calls the notification methods
	// before that. It is set once.
	members *memberlist.Memberlist
	// addresses has the members' addresses by name. They are copied in memberlist's notifications, as
	// memberlist changes its nodes at any other time.
	addresses map[string]memberlist.Address
}

// New starts a service and joins the fleet through the seeds. A dispatcher that reaches no seed is alone
// until other dispatchers join it. New returns an error if the address or a key is invalid, if there is no
// key, or if it cannot listen on the address.
func New(config Config, store *observation.Store, logger *slog.Logger) (*Service, error) {
	host, port, err := parseListenAddress(config.Listen)
	if err != nil {
		return nil, err
	}
	if len(config.Keys) == 0 {
		return nil, ErrNoKeys
	}
	keyring, err := memberlist.NewKeyring(config.Keys, config.Keys[0])
	if err != nil {
		return nil, fmt.Errorf("membership: create keyring: %w", err)
	}
	s := &Service{
		config:       config,
		log:          logger,
		keyring:      keyring,
		clock:        config.Clock,
		stop:         make(chan struct{}),
		bootstrapped: make(chan struct{}),
		addresses:    map[string]memberlist.Address{},
	}
	if s.clock == nil {
		// A clock that begins at 0 now is not enough: ages are subtracted from it, and all that peers
		// observed before it began would be rejected as too old.
		s.clock = dispatch.NewMonotonicClock()
	}
	s.node = gossip.New(config.Config, store, s.clock())
	if config.BootstrapTimeout <= 0 { // no bootstrap is requested, so the node never completes it
		close(s.bootstrapped)
	}
	members, err := memberlist.Create(s.memberlistConfig(host, port))
	if err != nil {
		return nil, fmt.Errorf("membership: listen on %s: %w", config.Listen, err)
	}
	s.mu.Lock()
	s.members = members
	s.mu.Unlock()
	if len(config.Seeds) > 0 {
		if joined, err := members.Join(config.Seeds); joined == 0 {
			logger.Warn("no seed reachable; alone until peers join", "seeds", config.Seeds, "error", err)
		}
	}
	s.background.Add(1)
	go s.run()
	return s, nil
}

// parseListenAddress splits an address with a numeric port.
func parseListenAddress(address string) (host string, port int, err error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, fmt.Errorf("membership: parse listen address: %w", err)
	}
	if port, err = strconv.Atoi(portText); err != nil {
		return "", 0, fmt.Errorf("membership: parse port of %s: %w", address, err)
	}
	return host, port, nil
}

// memberlistConfig returns memberlist's settings.
func (s *Service) memberlistConfig(host string, port int) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = s.config.Name
	c.BindAddr, c.AdvertiseAddr = host, host
	c.BindPort, c.AdvertisePort = port, port
	c.Keyring = s.keyring
	c.Delegate, c.Events, c.Conflict = s, s, s
	c.Transport = s.config.Transport
	c.UDPBufferSize = gossip.MaxPacketSize + packetOverhead
	c.TCPTimeout = joinTimeout
	// A restarted dispatcher may take its name again at once, also with another port.
	c.DeadNodeReclaimTime = time.Millisecond
	if probe := s.config.ProbeInterval; probe > 0 {
		c.ProbeInterval, c.ProbeTimeout = probe, probe/2
		c.GossipInterval = probe / 2
	}
	c.Logger = log.New(io.Discard, "", 0)
	return c
}

// Addr returns the address at which other members reach this dispatcher.
func (s *Service) Addr() string { return s.members.LocalNode().Address() }

// Bootstrapped returns a channel that is closed once the wait for the peers' model state is over.
func (s *Service) Bootstrapped() <-chan struct{} { return s.bootstrapped }

// ReportingPeers returns how many peers had sent their complete model state when the wait for it was over.
func (s *Service) ReportingPeers() int { return int(s.reportingPeers.Load()) }

// Stats returns the node's counts so far.
func (s *Service) Stats() gossip.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Stats()
}

// Close announces the leave, so that the others need not detect a failure, and stops. Further calls of
// Close or Abort have no effect.
func (s *Service) Close() { s.shutdown(true) }

// Abort stops without an announcement, as a crash does.
func (s *Service) Abort() { s.shutdown(false) }

func (s *Service) shutdown(leave bool) {
	s.closeOnce.Do(func() {
		close(s.stop)
		s.background.Wait()
		if leave {
			_ = s.members.Leave(leaveTimeout) // if the others do not receive it in time, they detect the loss
		}
		_ = s.members.Shutdown() // Shutdown never fails: memberlist logs the errors of its transport
	})
}

// run ticks the node until the service stops.
func (s *Service) run() {
	defer s.background.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastAnnounced, started := time.Now(), time.Now()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		s.withNode(func(now time.Duration, n *gossip.Node) { n.Tick(now) })
		if time.Since(lastAnnounced) >= announceInterval && time.Since(started) < announcePeriod {
			lastAnnounced = time.Now()
			s.announce()
		}
	}
}

// announce joins the seeds and broadcasts the metadata once more. Until the others know that the previous
// process with this name has ended, they ignore the metadata of this process, and memberlist does not repeat
// it. announce works in a goroutine of its own, so that seeds that do not answer do not delay the ticks.
func (s *Service) announce() {
	if !s.announcing.CompareAndSwap(false, true) {
		return
	}
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		defer s.announcing.Store(false)
		_, _ = s.members.Join(s.config.Seeds) // the next announcement tries again
		s.broadcastMetadata()
	}()
}

// broadcastMetadata has memberlist fetch this dispatcher's metadata and broadcast it.
func (s *Service) broadcastMetadata() {
	_ = s.members.UpdateNode(updateTimeout) // error: the broadcast is late; memberlist continues it
}

// withNode calls f with the node and carries out the actions that follow. While the member list is being
// created, the actions are left to a later call. withNode must not be called from memberlist's notifications
// of members, which hold memberlist's locks.
func (s *Service) withNode(f func(now time.Duration, n *gossip.Node)) {
	s.mu.Lock()
	f(s.clock(), s.node)
	if s.members == nil {
		s.mu.Unlock()
		return
	}
	actions := s.node.Ready()
	receivers := make([]memberlist.Address, len(actions))
	for i := range actions {
		if actions[i].Type == gossip.SendPacket {
			receivers[i] = s.addresses[actions[i].To]
		}
	}
	s.mu.Unlock()
	for i := range actions {
		s.carryOut(&actions[i], receivers[i])
	}
}

// carryOut carries out one action.
func (s *Service) carryOut(a *gossip.Action, receiver memberlist.Address) {
	switch a.Type {
	case gossip.SendPacket:
		if receiver.Addr != "" {
			_ = s.members.SendToAddress(receiver, a.Data) // an error is handled as a loss on the network
		}
	case gossip.BroadcastMetadata:
		s.broadcastMetadata()
	case gossip.CompleteBootstrap:
		s.reportingPeers.Store(int64(a.ReportingPeers))
		close(s.bootstrapped)
	case gossip.YieldName:
		s.log.Error("name taken over by a later process; gossip stopped", "name", s.config.Name)
		go s.shutdown(false)
	default:
		if s.config.HandleAction != nil {
			s.config.HandleAction(*a)
		}
	}
}

// SendMessage sends a message of the decision module to the dispatcher with an ordinal; gossip.AllPeers: to
// all. The message may be lost, and is not sent if it exceeds the rate.
func (s *Service) SendMessage(to int, data []byte) {
	s.withNode(func(now time.Duration, n *gossip.Node) { n.SendMessage(now, to, data) })
}

// SetEngines sets which engines exist, with their cores.
func (s *Service) SetEngines(engines map[cresspass.EngineID]float64) {
	s.withNode(func(_ time.Duration, n *gossip.Node) { n.SetEngines(engines) })
}

// RecordAttempt records whether an engine answered an attempt, see gossip.Node.RecordAttempt.
func (s *Service) RecordAttempt(id cresspass.EngineID, answered bool, threads float64) {
	s.withNode(func(now time.Duration, n *gossip.Node) { n.RecordAttempt(now, id, answered, threads) })
}

// WithStore calls f with the store of observations, which f may read and add to. f must not call the service.
func (s *Service) WithStore(f func(now time.Duration, store *observation.Store)) {
	s.withNode(func(now time.Duration, n *gossip.Node) { f(now, n.Store()) })
}
