// Package validation checks the messages that decision modules send each other before a module receives
// them: whether the sender may send such a message now, whether its loads are plausible, and whether evidence
// here or another aggregator's message contradicts it. A message is accepted or rejected as a whole; a
// rejected message costs no more than a message that the network lost. The package does no I/O and reads no
// clock.
package validation

import (
	"time"

	"cresspass"
)

// Limits bound what is plausible.
type Limits struct {
	// MaxQueryThreads is the most threads of a query.
	MaxQueryThreads float64
	// MaxPeerThreadsPerCore is the most threads a core that one dispatcher runs on an engine.
	MaxPeerThreadsPerCore float64
	// MaxTotalThreadsPerCore is the most threads a core that all dispatchers together run on an engine.
	MaxTotalThreadsPerCore float64
	// MaxUnconfirmedThreadsPerCore is the most threads a core, over all engines, that are accepted from one
	// aggregator without confirmation by another.
	MaxUnconfirmedThreadsPerCore float64
	// DisagreementFactor is by how much one load may exceed another that it is compared with.
	DisagreementFactor float64
	// DisagreementSlack is the difference, in threads a core, that is not a contradiction. It is less than
	// what the module considers an overload.
	DisagreementSlack float64
	// EvidenceTTL is how long evidence counts.
	EvidenceTTL time.Duration
	// BlockFor is how long a sender is blocked after a message that was out of range.
	BlockFor time.Duration
}

// DefaultLimits returns limits that suit the decision module, which runs at most one and a half threads a
// core of its own, and accepts no report of more than sixteen.
func DefaultLimits(maxQueryThreads float64) Limits {
	return Limits{
		MaxQueryThreads:              maxQueryThreads,
		MaxPeerThreadsPerCore:        4,
		MaxTotalThreadsPerCore:       16,
		MaxUnconfirmedThreadsPerCore: 2,
		DisagreementFactor:           4,
		DisagreementSlack:            0.75,
		EvidenceTTL:                  2 * time.Second,
		BlockFor:                     30 * time.Second,
	}
}

// maxTrackedPeers bounds the number of members in each of the maps by ordinal.
const maxTrackedPeers = 1024

// presumedCores is the least number of cores that is assumed in total for the engines that a peer knows and
// this dispatcher does not.
const presumedCores = 16

// Validator validates messages. Make one with New. It is not safe for concurrent use.
type Validator struct {
	limits  Limits
	engines map[uint16]*engineGroup // by the tag that identifies them in messages

	// By the sender's ordinal:
	aggregates   map[int]*peerLoads    // last sums over all dispatchers
	reports      map[int]*peerLoads    // last report of the sender's own load
	sentLoads    map[int]*sentThreads  // loads of queries that the sender has just sent
	blockedUntil map[int]time.Duration // senders of messages that were out of range

	counts [ResultCount]uint64
}

// New returns a validator that knows no engine yet.
func New(limits Limits) *Validator {
	return &Validator{
		limits:       limits,
		engines:      map[uint16]*engineGroup{},
		aggregates:   map[int]*peerLoads{},
		reports:      map[int]*peerLoads{},
		sentLoads:    map[int]*sentThreads{},
		blockedUntil: map[int]time.Duration{},
	}
}

// SetEngines sets which engines exist, with their cores.
func (v *Validator) SetEngines(engines map[cresspass.EngineID]float64) {
	current := map[uint16]*engineGroup{}
	for id, cores := range engines {
		tag := cresspass.EngineTag(id)
		group := current[tag]
		if group == nil {
			group = newEngineGroup()
			current[tag] = group
		}
		group.add(id, max(cores, 1), v.engines[tag])
	}
	v.engines = current
	for _, p := range v.aggregates {
		p.recomputeTotal(v.engines)
	}
	for _, p := range v.reports {
		p.recomputeTotal(v.engines)
	}
}

// RecordResponse records that an engine has answered this dispatcher. threads is what it reports to run in
// total; negative: it reported nothing.
func (v *Validator) RecordResponse(now time.Duration, id cresspass.EngineID, threads float64) {
	if group := v.engines[cresspass.EngineTag(id)]; group != nil {
		group.recordResponse(now, id, threads)
	}
}

// ResetPeers drops all that is kept by ordinal. It is called when ordinals may belong to other members.
func (v *Validator) ResetPeers() {
	clear(v.aggregates)
	clear(v.reports)
	clear(v.sentLoads)
	clear(v.blockedUntil)
}

// Counts returns how many messages had each result.
func (v *Validator) Counts() [ResultCount]uint64 { return v.counts }

// Validate checks a message from the member with the ordinal from, and counts the result. members is the
// number of members in the fleet. now is this dispatcher's clock, fleetClock the clock that the fleet agrees
// on.
func (v *Validator) Validate(now, fleetClock time.Duration, from, members int, data []byte) Result {
	result := v.validate(now, fleetClock, from, members, data)
	v.counts[result]++
	return result
}

func (v *Validator) validate(now, fleetClock time.Duration, from, members int, data []byte) Result {
	message, loads := cresspass.DecodePeerMessage(data)
	if message == cresspass.PeerMessageUnknown {
		return Malformed
	}
	if until, blocked := v.blockedUntil[from]; blocked && now < until {
		return SenderBlocked
	}
	fromAggregator := message == cresspass.PeerAggregate || message == cresspass.PeerForwardedSends
	if fromAggregator && !cresspass.MayAggregate(from, members, fleetClock) {
		return NotAggregator
	}
	var result Result
	switch message {
	case cresspass.PeerLoadReport:
		result = v.validateReport(now, from, loads)
	case cresspass.PeerAggregate:
		result = v.validateAggregate(now, from, loads)
	case cresspass.PeerForwardedSends:
		result = v.validateQueries(loads)
	default:
		result = v.validateSent(now, from, loads)
	}
	// An aggregator forwards the loads that Byzantine members have sent to it, so a sender is blocked only
	// for loads of its own. A disproportionate report may be true, if the dispatcher has nearly all clients:
	// the report is rejected, and its sender is not blocked.
	if result == OutOfRange && !fromAggregator && len(v.blockedUntil) < maxTrackedPeers {
		v.blockedUntil[from] = now + v.limits.BlockFor
	}
	return result
}

// totalCores returns the number of cores of all engines known here.
func (v *Validator) totalCores() (sum float64) {
	for _, group := range v.engines {
		sum += group.cores
	}
	return sum
}

// exceeds reports whether a load far exceeds another, and so contradicts it, on engines with this number of
// cores.
func (v *Validator) exceeds(load, other, cores float64) bool {
	return load > v.limits.DisagreementFactor*other+v.limits.DisagreementSlack*cores
}

// validateReport checks a dispatcher's report of what it runs.
func (v *Validator) validateReport(now time.Duration, from int, loads []cresspass.PeerLoad) Result {
	for _, load := range loads {
		group := v.engines[load.Tag]
		if group != nil && load.Threads > v.maxPeerThreads(group.cores) {
			return OutOfRange
		}
	}
	own := v.recordLoads(v.reports, from, now, loads)
	others, reporting := 0.0, 0
	for sender, reported := range v.reports {
		switch {
		case now-reported.receivedAt > v.limits.EvidenceTTL:
			delete(v.reports, sender)
		case sender != from:
			others += reported.knownTotal
			reporting++
		}
	}
	if reporting >= minReportsToCompare && v.exceeds(own.knownTotal, others, v.totalCores()) {
		return Disproportionate
	}
	return Accepted
}

// minReportsToCompare is the least number of other dispatchers' reports with which a report is compared.
const minReportsToCompare = 2

// validateQueries checks the threads of each query.
func (v *Validator) validateQueries(loads []cresspass.PeerLoad) Result {
	for _, load := range loads {
		if load.Threads > v.limits.MaxQueryThreads {
			return OutOfRange
		}
	}
	return Accepted
}

// maxPeerThreads returns the most threads that one dispatcher may run on this number of cores.
func (v *Validator) maxPeerThreads(cores float64) float64 {
	return v.limits.MaxPeerThreadsPerCore*cores + v.limits.MaxQueryThreads
}

// validateSent checks a dispatcher's message about the queries that it has just sent. Small false loads add
// up, so their sum is bounded by maxPeerThreads of all cores: within EvidenceTTL, the time in which such
// messages fade, no honest dispatcher sends more than would fill all cores. A peer may know engines that are
// not known here, so the loads on those engines are summed separately: a sum that is not plausible is
// rejected, but does not prove that the sender is Byzantine, and the sender is not blocked.
func (v *Validator) validateSent(now time.Duration, from int, loads []cresspass.PeerLoad) Result {
	if result := v.validateQueries(loads); result != Accepted {
		return result
	}
	sent := v.sentLoads[from]
	if sent == nil || now-sent.since > v.limits.EvidenceTTL {
		sent = &sentThreads{since: now}
		if len(v.sentLoads) < maxTrackedPeers {
			v.sentLoads[from] = sent
		}
	}
	known, unknown := 0.0, 0.0
	for _, load := range loads {
		if v.engines[load.Tag] != nil {
			known += load.Threads
		} else {
			unknown += load.Threads
		}
	}
	cores := v.totalCores()
	sent.known += known
	if sent.known > v.maxPeerThreads(cores) {
		return OutOfRange
	}
	if sent.unknown+unknown > v.maxPeerThreads(max(cores, presumedCores)) {
		return UnknownEngines
	}
	sent.unknown += unknown
	return Accepted
}
