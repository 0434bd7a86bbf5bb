package validation

import (
	"time"

	"cresspass"
)

// Two members are aggregators at a time, and others were aggregators before them. The sums of all of them are
// compared for comparableTTLs times EvidenceTTL, and kept for retainedTTLs times EvidenceTTL.
const (
	comparableTTLs = 3
	retainedTTLs   = 10
)

// validateAggregate checks an aggregator's sums of the loads of all dispatchers.
func (v *Validator) validateAggregate(now time.Duration, from int, loads []cresspass.PeerLoad) Result {
	if result := v.checkAgainstEngines(now, loads); result != Accepted {
		return result
	}
	own := v.recordLoads(v.aggregates, from, now, loads)
	confirming, contradicting := v.compareAggregates(now, from, own)
	// To miss a load costs less than to reject clients for a load that does not exist. So sums are rejected
	// if at least as many aggregators contradict as confirm them, and high sums also if there is no
	// aggregator to compare them with. Rejected sums are still stored: a load that does exist is accepted
	// once a second aggregator reports it.
	if contradicting > 0 && contradicting >= confirming {
		return Contradicted
	}
	alone := confirming == 0 && contradicting == 0
	if alone && own.knownTotal > v.limits.MaxUnconfirmedThreadsPerCore*v.totalCores() {
		return Contradicted
	}
	return Accepted
}

// checkAgainstEngines compares sums with the engines' responses and reports to this dispatcher.
func (v *Validator) checkAgainstEngines(now time.Duration, loads []cresspass.PeerLoad) Result {
	known, ejected, ejectedButResponding := 0, 0, 0
	checked, contradicted := 0, 0
	for _, load := range loads {
		group := v.engines[load.Tag]
		if group == nil {
			continue
		}
		known++
		if load.Threads >= cresspass.PeerLoadEjected {
			ejected++
			if v.isFresh(now, group.lastResponse()) {
				ejectedButResponding++
			}
			continue
		}
		if load.Threads > v.limits.MaxTotalThreadsPerCore*group.cores {
			return OutOfRange
		}
		if reportedThreads, reportedAt := group.reported(); v.isFresh(now, reportedAt) {
			checked++
			if v.exceeds(load.Threads, reportedThreads, group.cores) {
				contradicted++
			}
		}
	}
	switch {
	case 2*ejected > known, ejectedButResponding > 0 && 2*ejectedButResponding >= ejected:
		return ImplausibleOutage
	case 2*contradicted > checked:
		return Contradicted
	}
	return Accepted
}

// isFresh reports whether evidence from the time at still counts; at 0: there is no evidence.
func (v *Validator) isFresh(now, at time.Duration) bool {
	return at > 0 && now-at <= v.limits.EvidenceTTL
}

// compareAggregates counts the other aggregators whose sums confirm own, the sums of the sender from, and
// those whose sums own contradicts.
func (v *Validator) compareAggregates(
	now time.Duration, from int, own *peerLoads,
) (confirming, contradicting int) {
	for sender, other := range v.aggregates {
		age := now - other.receivedAt
		if age > retainedTTLs*v.limits.EvidenceTTL {
			delete(v.aggregates, sender)
			continue
		}
		if sender == from || age > comparableTTLs*v.limits.EvidenceTTL {
			continue
		}
		switch v.compare(own, other) {
		case sumsContradict:
			contradicting++
		case sumsConfirm:
			confirming++
		}
	}
	return confirming, contradicting
}

// comparison is the result of comparing an aggregator's sums with another's.
type comparison int

const (
	sumsNotComparable comparison = iota // no engine known here is in both
	sumsConfirm
	sumsContradict
)

// compare compares an aggregator's sums with another's, on the engines known here that are in both. Sums that
// far exceed the other's contradict them; all other sums confirm them.
func (v *Validator) compare(own, other *peerLoads) comparison {
	ours, theirs, cores := 0.0, 0.0, 0.0
	for tag, threads := range own.threads {
		otherThreads, inBoth := other.threads[tag]
		group := v.engines[tag]
		if !inBoth || group == nil {
			continue
		}
		ours, theirs, cores = ours+threads, theirs+otherThreads, cores+group.cores
	}
	switch {
	case cores == 0:
		return sumsNotComparable
	case v.exceeds(ours, theirs, cores):
		return sumsContradict
	default:
		return sumsConfirm
	}
}
