// Package validation weighs the module's messages before the module sees them: who may say such a thing now,
// whether the figures can be, and whether what was seen here, or what another gatherer says, stands against
// them. A message is taken whole or not at all; one that is dropped costs no more than one that was lost.
// It does no I/O and reads no clock.
package validation

import (
	"time"

	"cresspass"
)

// Limits of what can be.
type Limits struct {
	// Threads are the most that a query has.
	Threads float64
	// Each is the most threads a core that one dispatcher runs on an engine, All the most of all together.
	Each, All float64
	// Alone is the most threads a core, over all engines, that one's word is enough for.
	Alone float64
	// Times is by how much one may outdo what stands against it.
	Times float64
	// Slack is in threads a core: less is no contradiction. It is under what the module takes for a crowd.
	Slack float64
	// Fresh is how long a figure stands, Shun how long one that contradicted is not heard.
	Fresh, Shun time.Duration
}

// DefaultLimits suit the module, which runs at most one and a half threads a core of its own, and takes no
// report of more than sixteen.
func DefaultLimits(threads float64) Limits {
	return Limits{Threads: threads, Each: 4, All: 16, Alone: 2, Times: 4, Slack: 0.75, Fresh: 2 * time.Second,
		Shun: 30 * time.Second}
}

// Why a message is not taken.
type Why int

// The reasons.
const (
	Taken    Why = iota
	Unread       // of no known type
	NoHub        // sums or relays of one that does not gather
	Beyond       // figures that cannot be
	Sick         // most engines are called sick, or such as answered here just now
	Denied       // what another gatherer says, or what was seen here, stands against it
	Outdoes      // one runs more than all others together by far
	Shunned      // its sender was caught
	reasons      // how many
	mostKept = 1024
)

// Reasons is how many reasons there are, Taken among them.
const Reasons = int(reasons)

func (w Why) String() string {
	return [...]string{"taken", "unread", "no hub", "beyond", "sick", "denied", "outdoes", "shunned"}[w]
}

type engine struct {
	cores    float64
	answered time.Duration // it answered us last; 0: never
	seen     float64       // threads that it told us of itself...
	seenAt   time.Duration // ...then; 0: never
}

// told is what one told last: threads by engine.
type told struct {
	at    time.Duration
	loads map[uint16]float64
	total float64
}

// Judge weighs messages. Make one with New. It is for one goroutine at a time.
type Judge struct {
	limits  Limits
	engines map[uint16]*engine
	sums    map[int]*told // by the gatherer's ordinal
	reports map[int]*told
	sent    map[int]*told
	shunned map[int]time.Duration
	counts  [reasons]uint64
}

// New returns a judge that knows of no engine.
func New(l Limits) *Judge {
	return &Judge{limits: l, engines: map[uint16]*engine{}, sums: map[int]*told{}, reports: map[int]*told{},
		sent: map[int]*told{}, shunned: map[int]time.Duration{}}
}

// Roster tells which engines there are, with their cores.
func (j *Judge) Roster(engines map[cresspass.EngineID]float64) {
	now := map[uint16]*engine{}
	for id, cores := range engines {
		tag := cresspass.EngineTag(id)
		e := j.engines[tag]
		if e == nil {
			e = &engine{}
		}
		e.cores = max(cores, 1)
		now[tag] = e
	}
	j.engines = now
}

// Answered tells that an engine has answered us; threads is what it says of all that it runs, below 0:
// nothing.
func (j *Judge) Answered(now time.Duration, id cresspass.EngineID, threads float64) {
	e := j.engines[cresspass.EngineTag(id)]
	if e == nil {
		return
	}
	e.answered = now
	if threads >= 0 {
		e.seen, e.seenAt = threads, now
	}
}

// Renumbered forgets what was kept by ordinals, as they may be others' now.
func (j *Judge) Renumbered() {
	clear(j.sums)
	clear(j.reports)
	clear(j.sent)
	clear(j.shunned)
}

// Counts returns how many messages were judged how.
func (j *Judge) Counts() (out [Reasons]uint64) { return j.counts }

// Take judges a message of the member with an ordinal, of so many members, at a time of ours and of the
// fleet's clock.
func (j *Judge) Take(now, clock time.Duration, from, members int, data []byte) Why {
	w := j.judge(now, clock, from, members, data)
	j.counts[w]++
	return w
}

func (j *Judge) judge(now, clock time.Duration, from, members int, data []byte) Why {
	report, sums, relayed, loads, ok := cresspass.ReadPeer(data)
	if !ok {
		return Unread
	}
	if until, caught := j.shunned[from]; caught && now < until {
		return Shunned
	}
	if (sums || relayed) && !cresspass.Gathers(from, members, clock) {
		return NoHub
	}
	var w Why
	switch {
	case report:
		w = j.report(now, from, loads)
	case sums:
		w = j.summed(now, from, loads)
	default:
		w = j.sends(now, from, loads, relayed)
	}
	// Danger: one that gathers passes on what liars told it; only one's own word is held against it. And a
	// report of much may be the truth of one that has nearly all clients: it is left out, and heard again.
	if w == Beyond && !sums && !relayed && len(j.shunned) < mostKept {
		j.shunned[from] = now + j.limits.Shun
	}
	return w
}

// take keeps what one told. Messages of one time, as they are cut at 255 bytes, add up.
func take(of map[int]*told, from int, now time.Duration, loads []cresspass.PeerLoad) *told {
	t := of[from]
	if t == nil || now-t.at > 100*time.Millisecond {
		t = &told{at: now, loads: map[uint16]float64{}}
		if len(of) < mostKept {
			of[from] = t
		}
	}
	for _, l := range loads {
		if l.Threads < cresspass.PeerFull { // by which an engine is called sick: no load
			t.total += l.Threads - t.loads[l.Tag]
			t.loads[l.Tag] = l.Threads
		}
	}
	return t
}

// report judges what one dispatcher says that it runs.
func (j *Judge) report(now time.Duration, from int, loads []cresspass.PeerLoad) Why {
	for _, l := range loads {
		if e := j.engines[l.Tag]; e != nil && l.Threads > j.limits.Each*e.cores+j.limits.Threads {
			return Beyond
		}
	}
	mine := take(j.reports, from, now, loads)
	others, n := 0.0, 0
	for who, t := range j.reports {
		switch {
		case now-t.at > j.limits.Fresh:
			delete(j.reports, who)
		case who != from:
			others += t.total
			n++
		}
	}
	if n >= 2 && mine.total > j.limits.Times*others+j.limits.Slack*j.cores() {
		return Outdoes
	}
	return Taken
}

// cores is what all engines have.
func (j *Judge) cores() (sum float64) {
	for _, e := range j.engines {
		sum += e.cores
	}
	return sum
}

// sends judges what is told of queries just sent.
func (j *Judge) sends(now time.Duration, from int, loads []cresspass.PeerLoad, relayed bool) Why {
	for _, l := range loads {
		if l.Threads > j.limits.Threads {
			return Beyond
		}
	}
	if relayed {
		return Taken
	}
	t := j.sent[from]
	if t == nil || now-t.at > j.limits.Fresh {
		t = &told{at: now}
		if len(j.sent) < mostKept {
			j.sent[from] = t
		}
	}
	for _, l := range loads {
		t.total += l.Threads
	}
	// Danger: small lies add up. Nobody sends more within the time in which news fades than would fill all
	// cores.
	if t.total > j.limits.Each*j.cores()+j.limits.Threads {
		return Beyond
	}
	return Taken
}

// summed judges what one that gathers says of all engines.
func (j *Judge) summed(now time.Duration, from int, loads []cresspass.PeerLoad) Why {
	sick, denied, known, against, checked := 0, 0, 0, 0, 0
	for _, l := range loads {
		e := j.engines[l.Tag]
		if e == nil {
			continue
		}
		known++
		if l.Threads >= cresspass.PeerFull {
			sick++
			if e.answered > 0 && now-e.answered <= j.limits.Fresh {
				denied++
			}
			continue
		}
		if l.Threads > j.limits.All*e.cores {
			return Beyond
		}
		if e.seenAt > 0 && now-e.seenAt <= j.limits.Fresh {
			if checked++; l.Threads > j.limits.Times*e.seen+j.limits.Slack*e.cores {
				against++
			}
		}
	}
	switch {
	case 2*sick > known || denied > 0 && 2*denied >= sick:
		return Sick
	case 2*against > checked:
		return Denied
	}
	mine := take(j.sums, from, now, loads)
	confirms, denies := 0, 0
	for who, t := range j.sums {
		if now-t.at > 10*j.limits.Fresh {
			delete(j.sums, who)
			continue
		}
		if who == from || now-t.at > 3*j.limits.Fresh {
			continue
		}
		// Two gather at a time, and others did before them. What far more of them say otherwise is not
		// believed: it costs less to know too little than to refuse clients for a load that is none. What
		// was denied is kept as well, so that a load that did come is believed with the second that tells
		// of it.
		ours, theirs, cores := 0.0, 0.0, 0.0
		for tag, v := range mine.loads {
			if o, ok := t.loads[tag]; ok {
				ours, theirs = ours+v, theirs+o
				if e := j.engines[tag]; e != nil {
					cores += e.cores
				}
			}
		}
		if ours > j.limits.Times*theirs+j.limits.Slack*cores {
			denies++
		} else {
			confirms++
		}
	}
	alone := confirms == 0 && denies == 0
	if denies > 0 && denies >= confirms || alone && mine.total > j.limits.Alone*j.cores() {
		return Denied
	}
	return Taken
}
