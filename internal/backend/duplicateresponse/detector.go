// Package duplicateresponse detects duplicates of responses on connections to compute nodes. A response
// does not name the request that it belongs to, so one that a compute node sends a second time, and that
// comes after the connection was idle and is used again, would be taken for the response to the next
// query's call. The package owns what is remembered of responses; it does no I/O and reads no clock, and
// repeats no call itself.
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
	// protocol, less what its clock and ours may differ.
	minLongPoll = 200 * time.Millisecond
	// suspicionPeriod is how long after a duplicate responses that often repeat are suspected as well.
	suspicionPeriod = 30 * time.Second
	// historySize is how many responses of a connection are remembered: as many as a result has pages.
	historySize = 64
	// maxKnownRepeats bounds the responses that are known to repeat without being duplicates.
	maxKnownRepeats = 64
)

// Fingerprint stands for a response's status, headers and body: two responses with the same one are equal,
// but for chance. The zero value is no response.
type Fingerprint uint64

// History is the last responses on a connection that could be taken for another call's. The zero value is
// that of a new connection.
type History struct {
	fingerprints [historySize]Fingerprint
	next         int
}

func (h *History) contains(f Fingerprint) bool { return slices.Contains(h.fingerprints[:], f) }

func (h *History) add(f Fingerprint) {
	h.fingerprints[h.next] = f
	h.next = (h.next + 1) % historySize
}

// Detector judges the responses on all connections of a dispatcher. It is for one goroutine at a time.
type Detector struct {
	seed            maphash.Seed
	knownRepeats    []Fingerprint // the oldest first
	duplicateSeen   bool
	lastDuplicateAt time.Duration
}

// NewDetector returns a Detector that has seen no duplicate.
func NewDetector() *Detector { return &Detector{seed: maphash.MakeSeed()} }

// fingerprint returns the fingerprint of a response.
func (d *Detector) fingerprint(resp *nodehttp.Response) Fingerprint {
	sum := uint64(resp.Status) ^ maphash.Bytes(d.seed, resp.Body)
	for name, value := range resp.Header { // XOR makes their order irrelevant
		sum ^= maphash.String(d.seed, name+":"+value)
	}
	return Fingerprint(max(sum, 1))
}

// Suspect takes in a response that came so long after its call, and reports whether it may be a duplicate
// of an earlier one on the same connection. The call is then to be made again on a new connection, and
// Recheck to be given the response there.
func (d *Detector) Suspect(now, took time.Duration, history *History,
	resp *nodehttp.Response) (Fingerprint, bool) {
	f := d.fingerprint(resp)
	repeated := history.contains(f)
	history.add(f)
	return f, repeated && d.suspectRepeat(now, took, f, resp)
}

// suspectRepeat reports whether a response is suspected that came on its connection before.
func (d *Detector) suspectRepeat(now, took time.Duration, f Fingerprint, resp *nodehttp.Response) bool {
	duplicateRecent := d.duplicateSeen && now-d.lastDuplicateAt < suspicionPeriod
	known := slices.Contains(d.knownRepeats, f)
	switch {
	case resp.Status == http.StatusOK:
		// While duplicates come, a result that is known to repeat may be one too, and the query's own rows
		// others.
		return !known || duplicateRecent
	case known:
		return false
	case resp.Status == http.StatusAccepted:
		return took < minLongPoll && resp.Header[nodehttp.HeaderProgressKind] == ""
	case resp.Status == http.StatusNoContent:
		return false // what it says of another call is true of this one within moments
	}
	// Rejections and errors are mostly alike. If they were suspected each time, a query that could go to
	// another compute node would pay for a second call.
	return duplicateRecent
}

// Recheck takes in the response that a new connection gave to a call whose first response was suspected.
func (d *Detector) Recheck(now time.Duration, suspected Fingerprint, resp *nodehttp.Response) {
	if d.fingerprint(resp) != suspected {
		d.RecordDuplicate(now)
		return
	}
	// The compute node repeats itself: the response was no duplicate.
	if slices.Contains(d.knownRepeats, suspected) {
		return
	}
	if len(d.knownRepeats) == maxKnownRepeats {
		d.knownRepeats = slices.Delete(d.knownRepeats, 0, 1)
	}
	d.knownRepeats = append(d.knownRepeats, suspected)
}

// RecordDuplicate takes in that a compute node sent more than it was asked for.
func (d *Detector) RecordDuplicate(now time.Duration) { d.duplicateSeen, d.lastDuplicateAt = true, now }
