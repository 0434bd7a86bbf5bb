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
	// MaxQueryThreads are the most that a query has.
	MaxQueryThreads float64
	// MaxPeerThreadsPerCore is the most threads a core that one dispatcher runs on an engine, All the most
	// of all together.
	MaxPeerThreadsPerCore, MaxTotalThreadsPerCore float64
	// MaxUnconfirmedThreadsPerCore is the most threads a core, over all engines, that one's word is enough
	// for.
	MaxUnconfirmedThreadsPerCore float64
	// DisagreementFactor is by how much one may outdo what stands against it.
	DisagreementFactor float64
	// DisagreementSlack is in threads a core: less is no contradiction. It is under what the module takes
	// for a crowd.
	DisagreementSlack float64
	// EvidenceTTL is how long a figure stands, Shun how long one that contradicted is not heard.
	EvidenceTTL, BlockFor time.Duration
}

// DefaultLimits suit the module, which runs at most one and a half threads a core of its own, and takes no
// report of more than sixteen.
func DefaultLimits(threads float64) Limits {
	return Limits{
		MaxQueryThreads:              threads,
		MaxPeerThreadsPerCore:        4,
		MaxTotalThreadsPerCore:       16,
		MaxUnconfirmedThreadsPerCore: 2,
		DisagreementFactor:           4,
		DisagreementSlack:            0.75,
		EvidenceTTL:                  2 * time.Second,
		BlockFor:                     30 * time.Second,
	}
}

// Result a message is not taken.
type Result int

// The reasons.
const (
	Accepted          Result = iota
	Malformed                // of no known type
	NotAggregator            // sums or relays of one that does not gather
	OutOfRange               // figures that cannot be
	ImplausibleOutage        // most engines are called sick, or such as answered here just now
	Contradicted             // what another gatherer says, or what was seen here, stands against it
	Disproportionate         // one runs more than all others together by far
	SenderBlocked            // its sender was caught
	resultCount              // how many
	maxTrackedPeers   = 1024
)

// ResultCount is how many reasons there are, Taken among them.
const ResultCount = int(resultCount)

func (w Result) String() string {
	return [...]string{"taken", "unread", "no hub", "beyond", "sick", "denied", "outdoes", "shunned"}[w]
}

type engine struct {
	cores           float64
	lastResponse    time.Duration // it answered us last; 0: never
	reportedThreads float64       // threads that it told us of itself...
	reportedAt      time.Duration // ...then; 0: never
}

// peerLoads is what one told last: threads by engine.
type peerLoads struct {
	receivedAt time.Duration
	threads    map[uint16]float64
	total      float64
}

// Validator weighs messages. Make one with New. It is for one goroutine at a time.
type Validator struct {
	limits       Limits
	engines      map[uint16]*engine
	aggregates   map[int]*peerLoads // by the gatherer's ordinal
	reports      map[int]*peerLoads
	sentLoads    map[int]*peerLoads
	blockedUntil map[int]time.Duration
	counts       [resultCount]uint64
}

// New returns a judge that knows of no engine.
func New(l Limits) *Validator {
	return &Validator{
		limits:       l,
		engines:      map[uint16]*engine{},
		aggregates:   map[int]*peerLoads{},
		reports:      map[int]*peerLoads{},
		sentLoads:    map[int]*peerLoads{},
		blockedUntil: map[int]time.Duration{},
	}
}

// SetEngines tells which engines there are, with their cores.
func (j *Validator) SetEngines(engines map[cresspass.EngineID]float64) {
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

// RecordResponse tells that an engine has answered us; threads is what it says of all that it runs, below 0:
// nothing.
func (j *Validator) RecordResponse(now time.Duration, id cresspass.EngineID, threads float64) {
	e := j.engines[cresspass.EngineTag(id)]
	if e == nil {
		return
	}
	e.lastResponse = now
	if threads >= 0 {
		e.reportedThreads, e.reportedAt = threads, now
	}
}

// ResetPeers forgets what was kept by ordinals, as they may be others' now.
func (j *Validator) ResetPeers() {
	clear(j.aggregates)
	clear(j.reports)
	clear(j.sentLoads)
	clear(j.blockedUntil)
}

// Counts returns how many messages were judged how.
func (j *Validator) Counts() (out [ResultCount]uint64) { return j.counts }

// Validate judges a message of the member with an ordinal, of so many members, at a time of ours and of the
// fleet's clock.
func (j *Validator) Validate(now, clock time.Duration, from, members int, data []byte) Result {
	w := j.validate(now, clock, from, members, data)
	j.counts[w]++
	return w
}

func (j *Validator) validate(now, clock time.Duration, from, members int, data []byte) Result {
	message, loads := cresspass.DecodePeerMessage(data)
	if message == cresspass.PeerMessageUnknown {
		return Malformed
	}
	if until, caught := j.blockedUntil[from]; caught && now < until {
		return SenderBlocked
	}
	fromAggregator := message == cresspass.PeerAggregate || message == cresspass.PeerForwardedSends
	if fromAggregator && !cresspass.MayAggregate(from, members, clock) {
		return NotAggregator
	}
	var w Result
	switch message {
	case cresspass.PeerLoadReport:
		w = j.validateReport(now, from, loads)
	case cresspass.PeerAggregate:
		w = j.validateAggregate(now, from, loads)
	default:
		w = j.validateSent(now, from, loads, fromAggregator)
	}
	// Danger: one that gathers passes on what liars told it; only one's own word is held against it. And a
	// report of much may be the truth of one that has nearly all clients: it is left out, and heard again.
	if w == OutOfRange && !fromAggregator && len(j.blockedUntil) < maxTrackedPeers {
		j.blockedUntil[from] = now + j.limits.BlockFor
	}
	return w
}

// recordLoads keeps what one told. Messages of one time, as they are cut at 255 bytes, add up.
func recordLoads(of map[int]*peerLoads, from int, now time.Duration, loads []cresspass.PeerLoad) *peerLoads {
	t := of[from]
	if t == nil || now-t.receivedAt > 100*time.Millisecond {
		t = &peerLoads{receivedAt: now, threads: map[uint16]float64{}}
		if len(of) < maxTrackedPeers {
			of[from] = t
		}
	}
	for _, l := range loads {
		if l.Threads < cresspass.PeerLoadEjected { // by which an engine is called sick: no load
			t.total += l.Threads - t.threads[l.Tag]
			t.threads[l.Tag] = l.Threads
		}
	}
	return t
}

// validateReport judges what one dispatcher says that it runs.
func (j *Validator) validateReport(now time.Duration, from int, loads []cresspass.PeerLoad) Result {
	for _, l := range loads {
		if e := j.engines[l.Tag]; e != nil &&
			l.Threads > j.limits.MaxPeerThreadsPerCore*e.cores+j.limits.MaxQueryThreads {
			return OutOfRange
		}
	}
	mine := recordLoads(j.reports, from, now, loads)
	others, n := 0.0, 0
	for who, t := range j.reports {
		switch {
		case now-t.receivedAt > j.limits.EvidenceTTL:
			delete(j.reports, who)
		case who != from:
			others += t.total
			n++
		}
	}
	if n >= 2 && mine.total > j.limits.DisagreementFactor*others+j.limits.DisagreementSlack*j.totalCores() {
		return Disproportionate
	}
	return Accepted
}

// totalCores is what all engines have.
func (j *Validator) totalCores() (sum float64) {
	for _, e := range j.engines {
		sum += e.cores
	}
	return sum
}

// validateSent judges what is told of queries just sent.
func (j *Validator) validateSent(
	now time.Duration,
	from int,
	loads []cresspass.PeerLoad,
	relayed bool,
) Result {
	for _, l := range loads {
		if l.Threads > j.limits.MaxQueryThreads {
			return OutOfRange
		}
	}
	if relayed {
		return Accepted
	}
	t := j.sentLoads[from]
	if t == nil || now-t.receivedAt > j.limits.EvidenceTTL {
		t = &peerLoads{receivedAt: now}
		if len(j.sentLoads) < maxTrackedPeers {
			j.sentLoads[from] = t
		}
	}
	for _, l := range loads {
		t.total += l.Threads
	}
	// Danger: small lies add up. Nobody sends more within the time in which news fades than would fill all
	// cores.
	if t.total > j.limits.MaxPeerThreadsPerCore*j.totalCores()+j.limits.MaxQueryThreads {
		return OutOfRange
	}
	return Accepted
}

// validateAggregate judges what one that gathers says of all engines.
func (j *Validator) validateAggregate(now time.Duration, from int, loads []cresspass.PeerLoad) Result {
	sick, denied, known, against, checked := 0, 0, 0, 0, 0
	for _, l := range loads {
		e := j.engines[l.Tag]
		if e == nil {
			continue
		}
		known++
		if l.Threads >= cresspass.PeerLoadEjected {
			sick++
			if e.lastResponse > 0 && now-e.lastResponse <= j.limits.EvidenceTTL {
				denied++
			}
			continue
		}
		if l.Threads > j.limits.MaxTotalThreadsPerCore*e.cores {
			return OutOfRange
		}
		if e.reportedAt > 0 && now-e.reportedAt <= j.limits.EvidenceTTL {
			if checked++; l.Threads > j.limits.DisagreementFactor*e.reportedThreads+j.limits.DisagreementSlack*e.cores {
				against++
			}
		}
	}
	switch {
	case 2*sick > known || denied > 0 && 2*denied >= sick:
		return ImplausibleOutage
	case 2*against > checked:
		return Contradicted
	}
	mine := recordLoads(j.aggregates, from, now, loads)
	confirms, denies := 0, 0
	for who, t := range j.aggregates {
		if now-t.receivedAt > 10*j.limits.EvidenceTTL {
			delete(j.aggregates, who)
			continue
		}
		if who == from || now-t.receivedAt > 3*j.limits.EvidenceTTL {
			continue
		}
		// Two gather at a time, and others did before them. What far more of them say otherwise is not
		// believed: it costs less to know too little than to refuse clients for a load that is none. What
		// was denied is kept as well, so that a load that did come is believed with the second that tells
		// of it.
		ours, theirs, cores := 0.0, 0.0, 0.0
		for tag, v := range mine.threads {
			if o, ok := t.threads[tag]; ok {
				ours, theirs = ours+v, theirs+o
				if e := j.engines[tag]; e != nil {
					cores += e.cores
				}
			}
		}
		if ours > j.limits.DisagreementFactor*theirs+j.limits.DisagreementSlack*cores {
			denies++
		} else {
			confirms++
		}
	}
	alone := confirms == 0 && denies == 0
	if denies > 0 && denies >= confirms ||
		alone && mine.total > j.limits.MaxUnconfirmedThreadsPerCore*j.totalCores() {
		return Contradicted
	}
	return Accepted
}
