// Package gossip is the state machine of a dispatcher's gossip with its peers. It decides what a node sends,
// which packets and peers it trusts, and what it passes on to its decision module about the fleet. Its input
// is membership events, packets and the module's messages, its output actions. The caller passes the time.
//
// It owns the packet format and combines the packages that make one decision each: ordinal, clocksync,
// replayguard, validation and observation. It does no I/O, starts no goroutine and reads no clock. Package
// membership carries out its actions over a network, and the simulation over one that loses packets.
package gossip

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"cresspass"
	"cresspass/internal/membership/clocksync"
	"cresspass/internal/membership/observation"
	"cresspass/internal/membership/ordinal"
	"cresspass/internal/membership/replayguard"
	"cresspass/internal/membership/validation"
)

// Config holds the settings of a Node.
type Config struct {
	// Name identifies the dispatcher in the fleet; it stays the same over restarts.
	Name string
	// Incarnation is greater than that of every earlier process with this name.
	Incarnation uint64
	// OrdinalClaim is the ordinal that the dispatcher claims at the start; ordinal.Unassigned: none.
	OrdinalClaim int
	// RandomSeed seeds the choice of peers.
	RandomSeed uint64
	// BytesPerSecond bounds the rate at which packets are sent.
	BytesPerSecond int
	Ordinals       ordinal.Limits
	Validation     validation.Limits
	// BootstrapTimeout bounds how long a starting node waits for the model state of its peers; 0: the node
	// does not request the model state.
	BootstrapTimeout time.Duration
}

const (
	// digestInterval is the time between two digests, each to one random peer.
	digestInterval = time.Second
	// engineCheckInterval is the time between two checks for engines that peers report to be down.
	engineCheckInterval = time.Second
	// maxDigestReply is the most observations of a reply to a digest.
	maxDigestReply = 200
	// maxReplaySenders is the number of senders whose packet numbers are remembered.
	maxReplaySenders = 4096
	// minBurstPackets is the least number of full packets that may be sent at once, however low the rate is.
	minBurstPackets = 4
)

// Node is the gossip of one dispatcher. Make one with New. It is not safe for concurrent use.
type Node struct {
	config      Config
	store       *observation.Store
	validator   *validation.Validator
	clock       *clocksync.Clock
	ordinals    *ordinal.Assigner
	replayGuard *replayguard.Guard
	sendLimiter *rate.Limiter
	random      *rand.Rand

	members     map[string]ordinal.Member // the peers, without this node
	memberNames []string                  // names of members, sorted so that random choices are reproducible
	seq         uint64                    // sequence number of the last packet
	actions     []Action                  // emitted since the last call of Ready

	view            ordinal.View
	viewReported    bool // an UpdateView was emitted
	lastDigest      time.Duration
	lastEngineCheck time.Duration
	enginesDown     map[string]bool // as of lastEngineCheck

	conflicts        conflictTracker
	bootstrap        bootstrap
	bootstrapLimiter *rate.Limiter
	stats            Stats
}

// New returns the node of a dispatcher that knows no peer yet.
func New(config Config, store *observation.Store, now time.Duration) *Node {
	self := ordinal.Member{Name: config.Name, Incarnation: config.Incarnation, Claim: config.OrdinalClaim}
	burst := max(config.BytesPerSecond, minBurstPackets*MaxPacketSize)
	return &Node{
		config:           config,
		store:            store,
		validator:        validation.New(config.Validation),
		clock:            clocksync.New(),
		ordinals:         ordinal.New(self, config.Ordinals, now),
		replayGuard:      replayguard.NewGuard(maxReplaySenders),
		sendLimiter:      rate.NewLimiter(rate.Limit(config.BytesPerSecond), burst),
		random:           rand.New(rand.NewPCG(config.RandomSeed, config.Incarnation)),
		members:          map[string]ordinal.Member{},
		lastDigest:       now,
		lastEngineCheck:  now,
		enginesDown:      map[string]bool{},
		conflicts:        newConflictTracker(),
		bootstrap:        newBootstrap(config.BootstrapTimeout, now),
		bootstrapLimiter: rate.NewLimiter(bootstrapRepliesPerSecond, bootstrapReplyBurst),
	}
}

// Self returns the metadata that this dispatcher broadcasts about itself.
func (n *Node) Self() ordinal.Member { return n.ordinals.Self() }

// Store returns the observations, to be read and added to.
func (n *Node) Store() *observation.Store { return n.store }

// FleetClock returns the fleet's clock at a time of the node's own.
func (n *Node) FleetClock(now time.Duration) time.Duration { return n.clock.At(now) }

// Ready returns the actions that were emitted since its last call, in the order to carry them out.
func (n *Node) Ready() []Action {
	actions := n.actions
	n.actions = nil
	return actions
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// SetEngines sets which engines exist, with their cores.
func (n *Node) SetEngines(engines map[cresspass.EngineID]float64) {
	var names []string
	for id := range engines {
		names = append(names, string(id))
	}
	n.store.SetEngines(names)
	n.validator.SetEngines(engines)
}

// RecordAttempt records whether an attempt at an engine was answered. threads is the number of threads that
// the engine reports to run in total; negative: no report. threads counts only if the attempt was answered.
func (n *Node) RecordAttempt(now time.Duration, id cresspass.EngineID, answered bool, threads float64) {
	health := observation.Unhealthy
	if answered {
		health = observation.Healthy
		n.validator.RecordResponse(now, id, threads)
	}
	n.store.Observe(now, observation.Key{Engine: string(id), Property: observation.Health}, health)
}

// RecordModelState records the parameters that this dispatcher's decision module has learnt, by name.
func (n *Node) RecordModelState(now time.Duration, parameters map[string]float64) {
	for name, value := range parameters {
		key := observation.Key{Property: observation.ModelParameter, Parameter: name}
		n.store.Observe(now, key, value)
	}
}

// SendMessage sends a message of the decision module to the peer with an ordinal; AllPeers: to all peers that
// have an ordinal. Packets that exceed the rate are not sent.
func (n *Node) SendMessage(now time.Duration, to int, data []byte) {
	for _, name := range n.memberNames {
		if claim := n.members[name].Claim; claim >= 0 && (to < 0 || claim == to) {
			n.sendPacket(now, name, kindMessage, data)
		}
	}
}

// sendPacket emits one packet, if the rate allows it and the node has not yielded its name.
func (n *Node) sendPacket(now time.Duration, to string, kind packetKind, data []byte) {
	if n.stats.NameYielded {
		return
	}
	n.seq++
	packet := header{
		kind:        kind,
		incarnation: n.config.Incarnation,
		seq:         n.seq,
		clock:       n.clock.At(now),
		name:        n.config.Name,
	}.encode(data)
	if !n.sendLimiter.AllowN(limiterTime(now), len(packet)) {
		n.stats.PacketsRateLimited++
		return
	}
	n.stats.PacketsSent++
	n.stats.BytesSent += uint64(len(packet))
	n.emit(Action{Type: SendPacket, To: to, Data: packet})
}

// limiterTime converts the caller's clock for the rate limiters.
func limiterTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// Tick advances time and does the work that has become due. The caller calls it about twenty times a second.
func (n *Node) Tick(now time.Duration) {
	if n.stats.NameYielded {
		return
	}
	self := n.ordinals.Self()
	n.updateView(now)
	if self != n.ordinals.Self() {
		n.emit(Action{Type: BroadcastMetadata})
	}
	n.stepBootstrap(now)
	n.sendDigest(now)
	if now-n.lastEngineCheck >= engineCheckInterval {
		n.lastEngineCheck = now
		n.reportEnginesDown(now)
	}
}

// updateView updates the ordinal assignment and the fleet's clock, and emits an UpdateView if either changed.
func (n *Node) updateView(now time.Duration) {
	view, _ := n.ordinals.Update(now)
	clockMoved := n.clock.Sync(now)
	if view == n.view && !clockMoved && n.viewReported {
		return
	}
	if view != n.view {
		n.validator.ResetPeers()
	}
	n.view, n.viewReported = view, true
	n.emit(Action{Type: UpdateView, View: view, Clock: n.clock.At(now)})
}

// sendDigest sends a digest to a random peer, once per digestInterval. The peer answers with the observations
// that this node lacks.
func (n *Node) sendDigest(now time.Duration) {
	if len(n.memberNames) == 0 || now-n.lastDigest < digestInterval {
		return
	}
	n.lastDigest = now
	digest := n.store.Digest(now)
	n.stats.DigestsSent++
	n.sendPacket(now, n.memberNames[n.random.IntN(len(n.memberNames))], kindDigest, appendDigest(digest))
}

// reportEnginesDown emits a ReportEngineDown for each engine that peers newly agree to be down.
func (n *Node) reportEnginesDown(now time.Duration) {
	before := n.enginesDown
	n.enginesDown = map[string]bool{}
	for _, engine := range n.store.EnginesToAvoid(now) {
		n.enginesDown[engine] = true
		if !before[engine] {
			n.emit(Action{Type: ReportEngineDown, Engine: engine})
		}
	}
}
