package observation

import (
	"slices"
	"time"
)

// Observation is a record as dispatchers send it to each other: with its age in place of a time.
type Observation struct {
	Key
	Observer string
	Age      time.Duration
	Seq      uint64
	Value    float64
	Hops     uint8
}

// Record is one observer's evidence of one property.
type Record struct {
	Observer   string
	ObservedAt time.Duration // by the holder's clock
	Seq        uint64        // sequence number of the observer's observation
	Value      float64
	Hops       uint8  // dispatchers that the record came through; 0: observed here
	ReportedBy string // the peer that sent the record; "": observed here
	rank       uint32 // observerRank of Observer
}

// supersedes reports whether r replaces other. The order is total for the records of one property: by the
// time of the evidence, then by the fields that differ. Merging is independent of the order of reports only
// because the order is total.
func (r *Record) supersedes(other *Record) bool {
	switch {
	case r.ObservedAt != other.ObservedAt:
		return r.ObservedAt > other.ObservedAt
	case r.Seq != other.Seq:
		return r.Seq > other.Seq
	case r.Hops != other.Hops:
		return r.Hops < other.Hops
	case r.Observer != other.Observer:
		return r.Observer < other.Observer
	case r.ReportedBy != other.ReportedBy:
		return r.ReportedBy < other.ReportedBy
	}
	return r.Value < other.Value
}

// before reports whether r is sorted before other: records of different observers are sorted by rank.
func (r *Record) before(other *Record) bool {
	if r.rank != other.rank {
		return r.rank < other.rank
	}
	return r.Observer < other.Observer
}

// observerRank hashes an observer's name. Records of the observers with the lowest ranks are kept.
func observerRank(observer string) uint32 { return hash32(fnvOffset32, observer) * knuthMultiplier }

// mergeRecord merges a report into the sorted records of a property. It keeps the newest record of each
// observer, for at most limit observers: those with the lowest ranks. self's record comes first at any
// rank, and does not count towards the limit. Merging is commutative, associative and idempotent, so that
// loss, order and repetition of reports do not matter.
//
// Which observers are kept depends on their names alone. If the newest records were kept instead, Byzantine
// members that report twice a second would displace honest ones that report now and then.
func mergeRecord(records []Record, report Record, self string, limit int) []Record {
	first := 0
	if len(records) > 0 && records[0].Observer == self {
		first = 1
	}
	report.rank = observerRank(report.Observer)
	at := first
	for at < len(records) && records[at].before(&report) {
		at++
	}
	switch {
	case at < len(records) && records[at].Observer == report.Observer:
		if report.supersedes(&records[at]) {
			records[at] = report
		}
	case at-first < limit:
		records = slices.Insert(records, at, report)
	}
	return records[:min(len(records), max(limit+first, limit))] // without a limit the sum overflows
}

// dropExpired removes records whose evidence has expired, as they would take the place of other records.
func dropExpired(now time.Duration, property Property, records []Record) []Record {
	ttl := propertySpecs[property].ttl
	return slices.DeleteFunc(records, func(r Record) bool { return now-r.ObservedAt > ttl })
}
