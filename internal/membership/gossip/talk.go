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
	Name     string // the dispatcher's own among all
	Born     uint64 // its life: greater than that of any before
	Claim    int    // ordinal that it had; -1: none
	Seed     uint64 // of what is left to chance
	Rate     int    // bytes a second that may be said
	Ordinals ordinal.Limits
	Believe  validation.Limits
	// Wait is how long one that begins waits for what others have learnt; 0: it does not ask.
	Wait time.Duration
}

// OutputType tells which fields of an Output count.
type OutputType int

// The outputs.
const (
	Send    OutputType = iota // To, Data: a packet
	Message                   // From, Data: of the module's
	View                      // View, Clock: what the module is to be told
	Say                       // the member's word of itself changed; see Self
	Begun                     // Voices: one that began has all that it waits for
	Down                      // Engine: several tell that it does not answer, and nothing else was seen here
	Yield                     // a younger dispatcher has our name; this one is to be silent
)

// Output is one thing to be done, in order.
type Output struct {
	Type   OutputType
	To     string
	From   int
	Data   []byte
	View   ordinal.View
	Clock  time.Duration // the fleet's
	Voices int           // that answered
	Engine string
}

// Stats counts what was said and heard.
type Stats struct {
	Sent, Taken          uint64
	Bytes                uint64 // sent
	Held                 uint64 // not sent: beyond the rate
	Old, Unknown, Unread uint64 // not taken: replayed or too late; of no member; of no known form
	HeldFacts            uint64 // records taken
	AskedFacts           uint64 // digests sent
	Answers, Unanswered  uint64 // what was learnt told to one that began; not told
	Members, Ordinal     int
	Judged               [validation.Reasons]uint64
	Dropped              observation.Dropped
	Yielded              bool
}

const (
	askEvery    = time.Second
	downEvery   = time.Second
	warnEvery   = 2 * time.Second
	twinsFor    = time.Minute
	mostFacts   = 200 // records of an answer to a digest
	answersMost = 8   // answers to those that begin, at once...
	answersEach = 4   // ...and a second
)

// Talker is a dispatcher's part. Make one with New. It is for one goroutine at a time.
type Talker struct {
	cfg       Config
	store     *observation.Store
	judge     *validation.Judge
	clock     *clocksync.Clock
	agreement *ordinal.Agreement
	windows   *replayguard.Windows
	rate      *rate.Limiter
	answers   *rate.Limiter
	random    *rand.Rand
	members   map[string]ordinal.Member // the others
	names     []string                  // theirs, in order
	seq       uint64
	out       []Output
	view      ordinal.View
	viewed    bool
	asked     time.Duration
	looked    time.Duration
	down      map[string]bool
	warned    map[string]time.Duration // members of another life of their name
	twins     map[string]time.Duration // who said that there is one of ours
	newcomer  newcomer
	stats     Stats
}

// New returns the part of a dispatcher that knows of no other.
func New(cfg Config, store *observation.Store, now time.Duration) *Talker {
	t := &Talker{cfg: cfg, store: store, judge: validation.New(cfg.Believe), clock: clocksync.New(),
		windows: replayguard.NewWindows(4096),
		rate:    rate.NewLimiter(rate.Limit(cfg.Rate), max(cfg.Rate, 4*MostPacket)),
		answers: rate.NewLimiter(answersEach, answersMost),
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Born)), members: map[string]ordinal.Member{},
		asked: now, looked: now, down: map[string]bool{}, warned: map[string]time.Duration{},
		twins: map[string]time.Duration{}}
	t.agreement = ordinal.New(ordinal.Member{Name: cfg.Name, Born: cfg.Born, Claim: cfg.Claim},
		cfg.Ordinals, now)
	t.newcomer = newNewcomer(cfg.Wait, now)
	return t
}

// Self is what this dispatcher says of itself.
func (t *Talker) Self() ordinal.Member { return t.agreement.Self() }

// Store is what is known, to be looked at and added to.
func (t *Talker) Store() *observation.Store { return t.store }

// Stats returns the counts so far.
func (t *Talker) Stats() Stats {
	s := t.stats
	s.Members, s.Ordinal = t.agreement.Members(), t.agreement.Self().Claim
	s.Judged, s.Dropped = t.judge.Counts(), t.store.Dropped()
	return s
}

// Ready returns what is to be done, once.
func (t *Talker) Ready() []Output {
	out := t.out
	t.out = nil
	return out
}

// Roster tells which engines there are, with their cores.
func (t *Talker) Roster(engines map[cresspass.EngineID]float64) {
	var names []string
	for id := range engines {
		names = append(names, string(id))
	}
	t.store.Roster(names)
	t.judge.Roster(engines)
}

// Saw tells that an attempt at an engine was answered or not; threads is what the engine says of all that
// it runs, below 0: nothing.
func (t *Talker) Saw(now time.Duration, id cresspass.EngineID, answered bool, threads float64) {
	v := 0.0
	if answered {
		v = 1
		t.judge.Answered(now, id, threads)
	}
	t.store.See(now, observation.Key{Engine: string(id), Fact: observation.Health}, v)
}

// Learnt tells what the module has learnt, by name.
func (t *Talker) Learnt(now time.Duration, figures map[string]float64) {
	for name, v := range figures {
		t.store.See(now, observation.Key{Fact: observation.Weight, Class: name}, v)
	}
}

// Alive takes a member that is there, or what it says of itself anew.
func (t *Talker) Alive(now time.Duration, m ordinal.Member) {
	if m.Name == t.cfg.Name {
		if t.agreement.Twin(m) {
			t.yield()
		}
		return
	}
	if old, known := t.members[m.Name]; !known || m.Born >= old.Born {
		if !known {
			t.names = append(t.names, m.Name)
			sort.Strings(t.names)
		}
		if known && m.Born > old.Born {
			t.clock.Forget(m.Name)
		}
		t.members[m.Name] = m
	}
	t.agreement.Alive(now, m)
}

// yield has this dispatcher fall silent. Danger: two of one name would take turns in all that is told by
// name, and nobody could tell one's messages from the other's replayed. The younger has the name: it was
// started on purpose.
func (t *Talker) yield() {
	if !t.stats.Yielded {
		t.stats.Yielded = true
		t.do(Output{Type: Yield})
	}
}

// Conflict takes that another life of a member's name speaks from elsewhere. The member is told of it, as
// those who are asked first by the younger may be the only ones to see both.
func (t *Talker) Conflict(now time.Duration, m ordinal.Member) {
	old, known := t.members[m.Name]
	switch {
	case m.Name == t.cfg.Name:
		t.Alive(now, m)
	case known && m.Born > old.Born && now-t.warned[m.Name] >= warnEvery:
		t.warned[m.Name] = now
		t.send(now, m.Name, kindTwin, binary.BigEndian.AppendUint64(nil, m.Born))
	}
}

// twin takes what a member says of another life of our name. Danger: one that lies would silence all; so
// three have to say so, or half of the others, where they are fewer.
func (t *Talker) twin(now time.Duration, from string, born uint64) {
	if born <= t.cfg.Born {
		return
	}
	t.twins[from] = now
	voices := 0
	for name, at := range t.twins {
		if _, known := t.members[name]; known && now-at < twinsFor {
			voices++
		}
	}
	if voices >= min(3, (len(t.members)+1)/2) {
		t.yield()
	}
}

// Gone takes the loss of a member; left: it said so itself.
func (t *Talker) Gone(now time.Duration, name string, left bool) {
	if _, known := t.members[name]; known {
		delete(t.members, name)
		i := sort.SearchStrings(t.names, name)
		t.names = append(t.names[:i], t.names[i+1:]...)
		t.clock.Forget(name)
	}
	t.agreement.Gone(now, name, left)
}

// Tell says a message of the module's to the dispatcher of an ordinal; -1: to all.
func (t *Talker) Tell(now time.Duration, to int, data []byte) {
	for _, name := range t.names {
		if c := t.members[name].Claim; c >= 0 && (to < 0 || c == to) {
			t.send(now, name, kindModule, data)
		}
	}
}

// Clock is the fleet's clock.
func (t *Talker) Clock(now time.Duration) time.Duration { return t.clock.At(now) }

func (t *Talker) do(o Output) { t.out = append(t.out, o) }

// at is a time of ours for the limiters.
func at(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// send says one packet, if the rate allows.
func (t *Talker) send(now time.Duration, to string, k kind, data []byte) bool {
	if t.stats.Yielded {
		return false
	}
	t.seq++
	b := header{kind: k, born: t.cfg.Born, seq: t.seq, clock: t.clock.At(now), name: t.cfg.Name}.append(data)
	if !t.rate.AllowN(at(now), len(b)) {
		t.stats.Held++
		return false
	}
	t.stats.Sent++
	t.stats.Bytes += uint64(len(b))
	t.do(Output{Type: Send, To: to, Data: b})
	return true
}

// Packet takes a packet, authentic as far as one of the keys is.
func (t *Talker) Packet(now time.Duration, b []byte) {
	h, data, ok := readHeader(b)
	if !ok {
		t.stats.Unread++
		return
	}
	from, known := t.members[h.name]
	fresh := t.windows.Take(h.name, known, h.born, h.seq)
	switch {
	case !known:
		t.stats.Unknown++
		return
	case !fresh:
		t.stats.Old++
		return
	}
	t.stats.Taken++
	t.clock.Hear(now, h.name, h.clock)
	switch h.kind {
	case kindModule:
		if from.Claim >= 0 && t.judge.Take(now, t.clock.At(now), from.Claim, t.view.Count,
			data) == validation.Taken {
			t.do(Output{Type: Message, From: from.Claim, Data: append([]byte(nil), data...)})
		}
	case kindDigest:
		d, ok := readDigest(data)
		if !ok {
			t.stats.Unread++
			return
		}
		for _, packet := range Encode(t.store.Answer(now, d, mostFacts)) {
			t.send(now, h.name, kindFacts, packet)
		}
	case kindFacts, kindLearnt:
		part, parts := byte(0), byte(1)
		if h.kind == kindLearnt {
			if len(data) < 2 || data[0] >= data[1] {
				t.stats.Unread++
				return
			}
			part, parts, data = data[0], data[1], data[2:]
		}
		all, err := Decode(data)
		if err != nil {
			t.stats.Unread++
			return
		}
		if h.kind == kindLearnt {
			if !t.newcomer.answered(h.name, part, parts) {
				return // not asked for, or too late: what was learnt here since stands
			}
			for i := range all { // its own only: an observer made up would have many voices
				all[i].Observer, all[i].Hops = h.name, 0
			}
		}
		t.store.Hear(now, h.name, all)
		t.stats.HeldFacts += uint64(len(all))
	case kindAsk:
		t.answer(now, h.name)
	case kindNothing:
		t.newcomer.nothing(h.name)
	case kindTwin:
		if len(data) == 8 {
			t.twin(now, h.name, binary.BigEndian.Uint64(data))
		}
	default:
		t.stats.Unread++
	}
}

// answer tells one that begins what was learnt here, or that it is nothing.
func (t *Talker) answer(now time.Duration, to string) {
	all := t.store.Learnt(now)
	// Danger: a flood of joins, as all return after a power cut, would have those that are there do nothing
	// else.
	if len(all) == 0 || !t.answers.AllowN(at(now), 1) {
		t.stats.Unanswered++
		t.send(now, to, kindNothing, nil)
		return
	}
	t.stats.Answers++
	packets := Encode(all)
	for i, p := range packets {
		if len(packets) < 256 {
			t.send(now, to, kindLearnt, append([]byte{byte(i), byte(len(packets))}, p...))
		}
	}
}

// Tick lets time pass. It is to be called some twenty times a second.
func (t *Talker) Tick(now time.Duration) {
	if t.stats.Yielded {
		return
	}
	self := t.agreement.Self()
	v, _ := t.agreement.Step(now)
	moved := t.clock.Step(now)
	if v != t.view || moved || !t.viewed {
		if v != t.view {
			t.judge.Renumbered()
		}
		t.view, t.viewed = v, true
		t.do(Output{Type: View, View: v, Clock: t.clock.At(now)})
	}
	if self != t.agreement.Self() {
		t.do(Output{Type: Say})
	}
	t.begin(now)
	if len(t.names) > 0 && now-t.asked >= askEvery {
		t.asked = now
		d := t.store.Digest(now)
		t.stats.AskedFacts++
		t.send(now, t.names[t.random.IntN(len(t.names))], kindDigest, appendDigest(d))
	}
	if now-t.looked >= downEvery {
		t.looked = now
		t.look(now)
	}
}

// look tells of engines that are newly said to be down.
func (t *Talker) look(now time.Duration) {
	was := t.down
	t.down = map[string]bool{}
	for _, e := range t.store.Advice(now) {
		t.down[e] = true
		if !was[e] {
			t.do(Output{Type: Down, Engine: e})
		}
	}
}
