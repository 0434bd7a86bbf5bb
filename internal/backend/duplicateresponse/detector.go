// Package duplicateresponse finds second copies of answers on connections to compute nodes. Nothing in an
// answer names its call, so a copy that a compute node sends again, and that comes later than a connection
// is left to rest, would be taken for the answer to the next query's call. A Detector does no I/O and reads
// no clock.
package duplicateresponse

import (
	"hash/maphash"
	"net/http"
	"slices"
	"time"

	"cresspass/internal/protocol/nodehttp"
)

const (
	// minLongPoll is the least time after which a compute node answers a call without news (250 ms by the
	// protocol), with slack for its clock and ours.
	minLongPoll = 200 * time.Millisecond
	// suspicionPeriod is how long answers that often repeat are suspected after copies were seen.
	suspicionPeriod = 30 * time.Second
	// historySize is how many answers of a connection are kept.
	historySize = 4
	// maxKnownRepeats bounds the answers that are known to repeat by themselves.
	maxKnownRepeats = 64
)

// Fingerprint stands for an answer's status, headers and body. Two answers with the same one are the same to
// the byte, but for chance.
type Fingerprint uint64

// History is the last answers of a connection that could be taken for another call's. The zero value is that
// of a new connection.
type History struct {
	fingerprints [historySize]Fingerprint
	next         int
}

func (m *History) contains(f Fingerprint) bool { return slices.Contains(m.fingerprints[:], f) }

func (m *History) add(f Fingerprint) {
	m.fingerprints[m.next] = f
	m.next = (m.next + 1) % historySize
}

// Detector judges the answers of all connections of a dispatcher. It is for one goroutine at a time.
type Detector struct {
	seed            maphash.Seed
	knownRepeats    []Fingerprint // the oldest first
	duplicateSeen   bool
	lastDuplicateAt time.Duration
}

// NewDetector returns a Detector that has seen no copy.
func NewDetector() *Detector { return &Detector{seed: maphash.MakeSeed()} }

// fingerprint returns the fingerprint of an answer.
func (d *Detector) fingerprint(a *nodehttp.Response) Fingerprint {
	sum := uint64(a.Status) ^ maphash.Bytes(d.seed, a.Body)
	for name, value := range a.Header { // in any order
		sum ^= maphash.String(d.seed, name+":"+value)
	}
	return Fingerprint(max(sum, 1)) // 0 is no answer, in a Memory
}

// Suspect takes in an answer that came so long after its call, and reports whether it may be a copy of an
// earlier one on the same connection. The call is then to be made again on a new connection, and Again to be
// told of the answer there.
func (d *Detector) Suspect(now, took time.Duration, m *History, a *nodehttp.Response) (Fingerprint, bool) {
	if a.Header["page-no"] != "" {
		return 0, false // it names its page, and is taken for no other
	}
	f := d.fingerprint(a)
	repeated := m.contains(f)
	m.add(f)
	if !repeated || slices.Contains(d.knownRepeats, f) {
		return f, false
	}
	switch a.Status {
	case http.StatusOK:
		return f, true
	case http.StatusAccepted:
		return f, took < minLongPoll && a.Header["x-remark"] == ""
	case http.StatusNoContent:
		return f, false // what it tells of another call is true of this one within moments
	}
	// Danger: refusals and errors are mostly alike, and suspected each time they would cost a query that
	// could go elsewhere.
	return f, d.duplicateSeen && now-d.lastDuplicateAt < suspicionPeriod
}

// Recheck takes in the answer that a new connection gave to a call whose first answer was suspected.
func (d *Detector) Recheck(now time.Duration, suspected Fingerprint, a *nodehttp.Response) {
	if d.fingerprint(a) != suspected {
		d.RecordDuplicate(now)
		return
	}
	// The compute node says the same by itself.
	if len(d.knownRepeats) == maxKnownRepeats {
		d.knownRepeats = slices.Delete(d.knownRepeats, 0, 1)
	}
	d.knownRepeats = append(d.knownRepeats, suspected)
}

// RecordDuplicate takes in that a compute node sent more than it was asked for.
func (d *Detector) RecordDuplicate(now time.Duration) { d.duplicateSeen, d.lastDuplicateAt = true, now }
