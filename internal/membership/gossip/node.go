// Package gossip decides what a dispatcher says to others, whom it believes, and what its module is told of
// the fleet: members, packets and the module's messages in, outputs out, all under a clock that is handed
// in. It does no I/O and has no goroutine; package peers carries its outputs out over a network, package
// model over one that loses.
package gossip

import (
	"encoding/binary"
	"math/rand/v2"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"cresspass"
	"cresspass/internal/membership/clocksync"
	"cresspass/internal/membership/observation"
	"cresspass/internal/membership/ordinal"
	"cresspass/internal/membership/replayguard"
	"cresspass/internal/membership/validation"
)

// Config holds the settings.
type Config struct {
	Name           string // the dispatcher's own among all
	Incarnation    uint64 // its life: greater than that of any before
	OrdinalClaim   int    // ordinal that it had; -1: none
	RandomSeed     uint64 // of what is left to chance
	BytesPerSecond int    // bytes a second that may be said
	Ordinals       ordinal.Limits
	Validation     validation.Limits
	// BootstrapTimeout is how long one that begins waits for what others have learnt; 0: it does not ask.
	BootstrapTimeout time.Duration
}

// ActionType tells which fields of an Output count.
type ActionType int

// The outputs.
const (
	SendPacket        ActionType = iota // To, Data: a packet
	DeliverMessage                      // From, Data: of the module's
	UpdateView                          // View, Clock: what the module is to be told
	BroadcastMetadata                   // the member's word of itself changed; see Self
	CompleteBootstrap                   // Voices: one that began has all that it waits for
	ReportEngineDown                    // Engine: several tell that it does not answer, and nothing else was seen here
	YieldName                           // a younger dispatcher has our name; this one is to be silent
)

// Action is one thing to be done, in order.
type Action struct {
	Type           ActionType
	To             string
	From           int
	Data           []byte
	View           ordinal.View
	Clock          time.Duration // the fleet's
	ReportingPeers int           // that answered
	Engine         string
}

// Stats counts what was said and heard.
type Stats struct {
	PacketsSent, PacketsAccepted                          uint64
	BytesSent                                             uint64 // sent
	PacketsRateLimited                                    uint64 // not sent: beyond the rate
	PacketsReplayed, PacketsFromUnknown, PacketsMalformed uint64 // not taken: replayed or too late; of no member; of no known form
	ObservationsReceived                                  uint64 // records taken
	DigestsSent                                           uint64 // digests sent
	BootstrapsAnswered, BootstrapsDeclined                uint64 // what was learnt told to one that began; not told
	Members, Ordinal                                      int
	Validations                                           [validation.ResultCount]uint64
	ObservationsRejected                                  observation.Rejected
	NameYielded                                           bool
}

const (
	digestInterval            = time.Second
	engineCheckInterval       = time.Second
	conflictNoticeInterval    = 2 * time.Second
	conflictReportTTL         = time.Minute
	maxDigestReply            = 200 // records of an answer to a digest
	bootstrapReplyBurst       = 8   // answers to those that begin, at once...
	bootstrapRepliesPerSecond = 4   // ...and a second
)

// Node is a dispatcher's part. Make one with New. It is for one goroutine at a time.
type Node struct {
	config           Config
	store            *observation.Store
	validator        *validation.Validator
	clock            *clocksync.Clock
	ordinals         *ordinal.Assigner
	replayGuard      *replayguard.Guard
	sendLimiter      *rate.Limiter
	bootstrapLimiter *rate.Limiter
	random           *rand.Rand
	members          map[string]ordinal.Member // the others
	memberNames      []string                  // theirs, in order
	seq              uint64
	actions          []Action
	view             ordinal.View
	viewReported     bool
	lastDigest       time.Duration
	lastEngineCheck  time.Duration
	enginesDown      map[string]bool
	conflictNotices  map[string]time.Duration // members of another life of their name
	conflictReports  map[string]time.Duration // who said that there is one of ours
	bootstrap        bootstrap
	stats            Stats
}

// New returns the part of a dispatcher that knows of no other.
func New(cfg Config, store *observation.Store, now time.Duration) *Node {
	t := &Node{config: cfg, store: store, validator: validation.New(cfg.Validation), clock: clocksync.New(),
		replayGuard: replayguard.NewGuard(4096),
		sendLimiter: rate.NewLimiter(
			rate.Limit(cfg.BytesPerSecond),
			max(cfg.BytesPerSecond, 4*MaxPacketSize),
		),
		bootstrapLimiter: rate.NewLimiter(bootstrapRepliesPerSecond, bootstrapReplyBurst),
		random: rand.New(
			rand.NewPCG(cfg.RandomSeed, cfg.Incarnation),
		), members: map[string]ordinal.Member{},
		lastDigest: now, lastEngineCheck: now, enginesDown: map[string]bool{}, conflictNotices: map[string]time.Duration{},
		conflictReports: map[string]time.Duration{}}
	t.ordinals = ordinal.New(
		ordinal.Member{Name: cfg.Name, Incarnation: cfg.Incarnation, Claim: cfg.OrdinalClaim},
		cfg.Ordinals,
		now,
	)
	t.bootstrap = newBootstrap(cfg.BootstrapTimeout, now)
	return t
}

// Self is what this dispatcher says of itself.
func (t *Node) Self() ordinal.Member { return t.ordinals.Self() }

// Store is what is known, to be looked at and added to.
func (t *Node) Store() *observation.Store { return t.store }

// Stats returns the counts so far.
func (t *Node) Stats() Stats {
	s := t.stats
	s.Members, s.Ordinal = t.ordinals.MemberCount(), t.ordinals.Self().Claim
	s.Validations, s.ObservationsRejected = t.validator.Counts(), t.store.Rejected()
	return s
}

// Ready returns what is to be done, once.
func (t *Node) Ready() []Action {
	out := t.actions
	t.actions = nil
	return out
}

// SetEngines tells which engines there are, with their cores.
func (t *Node) SetEngines(engines map[cresspass.EngineID]float64) {
	var names []string
	for id := range engines {
		names = append(names, string(id))
	}
	t.store.SetEngines(names)
	t.validator.SetEngines(engines)
}

// RecordAttempt tells that an attempt at an engine was answered or not; threads is what the engine says of
// all that it runs, below 0: nothing.
func (t *Node) RecordAttempt(now time.Duration, id cresspass.EngineID, answered bool, threads float64) {
	v := 0.0
	if answered {
		v = 1
		t.validator.RecordResponse(now, id, threads)
	}
	t.store.Observe(now, observation.Key{Engine: string(id), Property: observation.Health}, v)
}

// RecordModelState tells what the module has learnt, by name.
func (t *Node) RecordModelState(now time.Duration, figures map[string]float64) {
	for name, v := range figures {
		t.store.Observe(now, observation.Key{Property: observation.ModelParameter, Parameter: name}, v)
	}
}

// MemberAlive takes a member that is there, or what it says of itself anew.
func (t *Node) MemberAlive(now time.Duration, m ordinal.Member) {
	if m.Name == t.config.Name {
		if t.ordinals.SupersededBy(m) {
			t.yieldName()
		}
		return
	}
	if old, known := t.members[m.Name]; !known || m.Incarnation >= old.Incarnation {
		if !known {
			t.memberNames = append(t.memberNames, m.Name)
			sort.Strings(t.memberNames)
		}
		if known && m.Incarnation > old.Incarnation {
			t.clock.Forget(m.Name)
		}
		t.members[m.Name] = m
	}
	t.ordinals.MemberAlive(now, m)
}

// yieldName has this dispatcher fall silent. Danger: two of one name would take turns in all that is told by
// name, and nobody could tell one's messages from the other's replayed. The younger has the name: it was
// started on purpose.
func (t *Node) yieldName() {
	if !t.stats.NameYielded {
		t.stats.NameYielded = true
		t.emit(Action{Type: YieldName})
	}
}

// NameConflict takes that another life of a member's name speaks from elsewhere. The member is told of it, as
// those who are asked first by the younger may be the only ones to see both.
func (t *Node) NameConflict(now time.Duration, m ordinal.Member) {
	old, known := t.members[m.Name]
	switch {
	case m.Name == t.config.Name:
		t.MemberAlive(now, m)
	case known && m.Incarnation > old.Incarnation && now-t.conflictNotices[m.Name] >= conflictNoticeInterval:
		t.conflictNotices[m.Name] = now
		t.sendPacket(now, m.Name, kindNameConflict, binary.BigEndian.AppendUint64(nil, m.Incarnation))
	}
}

// conflictReported takes what a member says of another life of our name. Danger: one that lies would silence
// all; so three have to say so, or half of the others, where they are fewer.
func (t *Node) conflictReported(now time.Duration, from string, born uint64) {
	if born <= t.config.Incarnation {
		return
	}
	t.conflictReports[from] = now
	voices := 0
	for name, at := range t.conflictReports {
		if _, known := t.members[name]; known && now-at < conflictReportTTL {
			voices++
		}
	}
	if voices >= min(3, (len(t.members)+1)/2) {
		t.yieldName()
	}
}

// MemberLost takes the loss of a member; left: it said so itself.
func (t *Node) MemberLost(now time.Duration, name string, left bool) {
	if _, known := t.members[name]; known {
		delete(t.members, name)
		i := sort.SearchStrings(t.memberNames, name)
		t.memberNames = append(t.memberNames[:i], t.memberNames[i+1:]...)
		t.clock.Forget(name)
	}
	t.ordinals.MemberLost(now, name, left)
}

// SendMessage says a message of the module's to the dispatcher of an ordinal; -1: to all.
func (t *Node) SendMessage(now time.Duration, to int, data []byte) {
	for _, name := range t.memberNames {
		if c := t.members[name].Claim; c >= 0 && (to < 0 || c == to) {
			t.sendPacket(now, name, kindMessage, data)
		}
	}
}

// FleetClock is the fleet's clock.
func (t *Node) FleetClock(now time.Duration) time.Duration { return t.clock.At(now) }

func (t *Node) emit(o Action) { t.actions = append(t.actions, o) }

// limiterTime is a time of ours for the limiters.
func limiterTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// sendPacket says one packet, if the rate allows.
func (t *Node) sendPacket(now time.Duration, to string, k packetKind, data []byte) bool {
	if t.stats.NameYielded {
		return false
	}
	t.seq++
	b := header{
		kind:        k,
		incarnation: t.config.Incarnation,
		seq:         t.seq,
		clock:       t.clock.At(now),
		name:        t.config.Name,
	}.append(
		data,
	)
	if !t.sendLimiter.AllowN(limiterTime(now), len(b)) {
		t.stats.PacketsRateLimited++
		return false
	}
	t.stats.PacketsSent++
	t.stats.BytesSent += uint64(len(b))
	t.emit(Action{Type: SendPacket, To: to, Data: b})
	return true
}

// HandlePacket takes a packet, authentic as far as one of the keys is.
func (t *Node) HandlePacket(now time.Duration, b []byte) {
	h, data, ok := readHeader(b)
	if !ok {
		t.stats.PacketsMalformed++
		return
	}
	from, known := t.members[h.name]
	fresh := t.replayGuard.Accept(h.name, known, h.incarnation, h.seq)
	switch {
	case !known:
		t.stats.PacketsFromUnknown++
		return
	case !fresh:
		t.stats.PacketsReplayed++
		return
	}
	t.stats.PacketsAccepted++
	t.clock.AddSample(now, h.name, h.clock)
	switch h.kind {
	case kindMessage:
		if from.Claim >= 0 && t.validator.Validate(now, t.clock.At(now), from.Claim, t.view.Count,
			data) == validation.Accepted {
			t.emit(Action{Type: DeliverMessage, From: from.Claim, Data: append([]byte(nil), data...)})
		}
	case kindDigest:
		d, ok := readDigest(data)
		if !ok {
			t.stats.PacketsMalformed++
			return
		}
		for _, packet := range EncodeObservations(t.store.AnswerDigest(now, d, maxDigestReply)) {
			t.sendPacket(now, h.name, kindObservations, packet)
		}
	case kindObservations, kindBootstrapReply:
		part, parts := byte(0), byte(1)
		if h.kind == kindBootstrapReply {
			if len(data) < 2 || data[0] >= data[1] {
				t.stats.PacketsMalformed++
				return
			}
			part, parts, data = data[0], data[1], data[2:]
		}
		all, err := DecodeObservations(data)
		if err != nil {
			t.stats.PacketsMalformed++
			return
		}
		if h.kind == kindBootstrapReply {
			if !t.bootstrap.acceptReply(h.name, part, parts) {
				return // not asked for, or too late: what was learnt here since stands
			}
			for i := range all { // its own only: an observer made up would have many voices
				all[i].Observer, all[i].Hops = h.name, 0
			}
		}
		t.store.Receive(now, h.name, all)
		t.stats.ObservationsReceived += uint64(len(all))
	case kindBootstrapRequest:
		t.answerBootstrap(now, h.name)
	case kindBootstrapEmpty:
		t.bootstrap.markEmpty(h.name)
	case kindNameConflict:
		if len(data) == 8 {
			t.conflictReported(now, h.name, binary.BigEndian.Uint64(data))
		}
	default:
		t.stats.PacketsMalformed++
	}
}

// answerBootstrap tells one that begins what was learnt here, or that it is nothing.
func (t *Node) answerBootstrap(now time.Duration, to string) {
	all := t.store.OwnModelParameters(now)
	// Danger: a flood of joins, as all return after a power cut, would have those that are there do nothing
	// else.
	if len(all) == 0 || !t.bootstrapLimiter.AllowN(limiterTime(now), 1) {
		t.stats.BootstrapsDeclined++
		t.sendPacket(now, to, kindBootstrapEmpty, nil)
		return
	}
	t.stats.BootstrapsAnswered++
	packets := EncodeObservations(all)
	for i, p := range packets {
		if len(packets) < 256 {
			t.sendPacket(now, to, kindBootstrapReply, append([]byte{byte(i), byte(len(packets))}, p...))
		}
	}
}

// Tick lets time pass. It is to be called some twenty times a second.
func (t *Node) Tick(now time.Duration) {
	if t.stats.NameYielded {
		return
	}
	self := t.ordinals.Self()
	v, _ := t.ordinals.Update(now)
	moved := t.clock.Sync(now)
	if v != t.view || moved || !t.viewReported {
		if v != t.view {
			t.validator.ResetPeers()
		}
		t.view, t.viewReported = v, true
		t.emit(Action{Type: UpdateView, View: v, Clock: t.clock.At(now)})
	}
	if self != t.ordinals.Self() {
		t.emit(Action{Type: BroadcastMetadata})
	}
	t.stepBootstrap(now)
	if len(t.memberNames) > 0 && now-t.lastDigest >= digestInterval {
		t.lastDigest = now
		d := t.store.Digest(now)
		t.stats.DigestsSent++
		t.sendPacket(now, t.memberNames[t.random.IntN(len(t.memberNames))], kindDigest, appendDigest(d))
	}
	if now-t.lastEngineCheck >= engineCheckInterval {
		t.lastEngineCheck = now
		t.reportEnginesDown(now)
	}
}

// reportEnginesDown tells of engines that are newly said to be down.
func (t *Node) reportEnginesDown(now time.Duration) {
	was := t.enginesDown
	t.enginesDown = map[string]bool{}
	for _, e := range t.store.EnginesToAvoid(now) {
		t.enginesDown[e] = true
		if !was[e] {
			t.emit(Action{Type: ReportEngineDown, Engine: e})
		}
	}
}
