// Package duplicateresponse detects duplicate responses on connections to compute nodes. A response does not
// name the request that it belongs to. If a compute node sends a response a second time, and the duplicate
// arrives after the connection was idle and is used again, the duplicate would be read as the response to the
// next query's call. The package keeps a history of responses; it does no I/O, reads no clock and repeats no
// call itself.
package duplicateresponse

import (
	"hash/maphash"
	"net/http"
	"slices"
	"time"

	"cresspass/internal/protocol/nodehttp"
)

const (
	// minLongPoll is the least time after which a compute node answers that a query still runs: 250 ms by the
	// protocol, less a margin for the difference between its clock and the dispatcher's.
	minLongPoll = 200 * time.Millisecond
	// suspicionPeriod is the time after a duplicate response in which responses that often repeat without
	// being duplicates are suspected too.
	suspicionPeriod = 30 * time.Second
	// historySize is the number of responses remembered for a connection: the largest number of pages in a
	// result.
	historySize = 64
	// maxKnownRepeats limits the responses remembered as repeating without being duplicates.
	maxKnownRepeats = 64
)

// Fingerprint is a hash of a response's status, headers and body. Two responses with the same Fingerprint are
// equal, except for hash collisions. The zero value stands for no response.
type Fingerprint uint64

// History holds the fingerprints of the last responses on one connection. The zero value is the history of a
// new connection.
type History struct {
	fingerprints [historySize]Fingerprint
	next         int
}

func (h *History) contains(f Fingerprint) bool { return slices.Contains(h.fingerprints[:], f) }

func (h *History) add(f Fingerprint) {
	h.fingerprints[h.next] = f
	h.next = (h.next + 1) % historySize
}

// Detector finds duplicate responses on all connections of a dispatcher. It is not safe for concurrent use.
type Detector struct {
	seed            maphash.Seed
	knownRepeats    []Fingerprint // responses that compute nodes repeat without duplication, oldest first
	duplicateSeen   bool
	lastDuplicateAt time.Duration
}

// NewDetector returns a Detector that has seen no duplicate.
func NewDetector() *Detector { return &Detector{seed: maphash.MakeSeed()} }

// fingerprint returns the fingerprint of a response.
func (d *Detector) fingerprint(resp *nodehttp.Response) Fingerprint {
	sum := uint64(resp.Status) ^ maphash.Bytes(d.seed, resp.Body)
	for name, value := range resp.Header { // XOR makes the order of the headers irrelevant
		sum ^= maphash.String(d.seed, name+":"+value)
	}
	return Fingerprint(max(sum, 1))
}

// Suspect adds a response to the history of its connection and reports whether it may be a duplicate of an
// earlier response there; took is the time since the call was sent. If so, the caller makes the call again on
// a new connection and passes the response to Recheck together with the returned Fingerprint.
func (d *Detector) Suspect(now, took time.Duration, history *History,
	resp *nodehttp.Response) (Fingerprint, bool) {
	f := d.fingerprint(resp)
	repeated := history.contains(f)
	history.add(f)
	return f, repeated && d.suspectRepeat(now, took, f, resp)
}

// suspectRepeat reports whether a response that its connection has delivered before may be a duplicate.
func (d *Detector) suspectRepeat(now, took time.Duration, f Fingerprint, resp *nodehttp.Response) bool {
	duplicateRecent := d.duplicateSeen && now-d.lastDuplicateAt < suspicionPeriod
	known := slices.Contains(d.knownRepeats, f)
	switch {
	case resp.Status == http.StatusOK:
		// After a recent duplicate, even a result that is known to repeat may be a duplicate, and the
		// query's own rows may differ from it.
		return !known || duplicateRecent
	case known:
		return false
	case resp.Status == http.StatusAccepted:
		return took < minLongPoll && resp.Header[nodehttp.HeaderProgressKind] == ""
	case resp.Status == http.StatusNoContent:
		return false // if a duplicate confirms a Delete, the Delete itself takes effect within moments
	}
	// Rejections and errors are mostly identical. If each of them were suspected, a query that could go to
	// another compute node would first need a second call to this compute node.
	return duplicateRecent
}

// Recheck handles the response on a new connection to a call whose first response was suspected. If the two
// responses differ, the first was a duplicate; otherwise the compute node is known to repeat that response.
func (d *Detector) Recheck(now time.Duration, suspected Fingerprint, resp *nodehttp.Response) {
	if d.fingerprint(resp) != suspected {
		d.RecordDuplicate(now)
		return
	}
	// Both responses are equal: the first was not a duplicate.
	if slices.Contains(d.knownRepeats, suspected) {
		return
	}
	if len(d.knownRepeats) == maxKnownRepeats {
		d.knownRepeats = slices.Delete(d.knownRepeats, 0, 1)
	}
	d.knownRepeats = append(d.knownRepeats, suspected)
}

// RecordDuplicate records that a compute node sent a response that no call asked for.
func (d *Detector) RecordDuplicate(now time.Duration) { d.duplicateSeen, d.lastDuplicateAt = true, now }
