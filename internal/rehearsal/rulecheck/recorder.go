package rulecheck

import (
	"slices"
	"strings"
	"sync"
	"time"

	"cresspass/internal/protocol/sqlscan"
)

// maxDecodingLag is how far decoding may fall behind before the log counts as not judged.
const maxDecodingLag = 5 * time.Second

// Recorder collects the decoded traffic of all relays of a rehearsal. It may be used by several goroutines.
type Recorder struct {
	mu         sync.Mutex
	log        Log
	byID       map[string]*Request
	statements statementCache
	maxLag     time.Duration  // the longest time from a byte's arrival to its decoding
	unreadable []string       // streams that could not be decoded
	pending    sync.WaitGroup // connections that are still being decoded
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{byID: map[string]*Request{}, statements: statementCache{byKey: map[string]string{}}}
}

// Side is the side of a dispatcher on which a relay listens.
type Side int

// The sides of a dispatcher.
const (
	Clients Side = iota // from clients to a dispatcher
	Engines             // from dispatchers to an engine
)

// recordLag records how long bytes had arrived before they were decoded.
func (rec *Recorder) recordLag(d time.Duration) {
	rec.mu.Lock()
	rec.maxLag = max(rec.maxLag, d)
	rec.mu.Unlock()
}

// Stop waits until all recorded bytes are decoded, and returns the log. The relays must have been closed.
// If decoding does not end within the limit, lagged by more than maxDecodingLag, or failed on a stream, the
// log's Unjudged lists the reasons: a rule must not count as kept on traffic that was not read.
func (rec *Recorder) Stop(limit time.Duration) *Log {
	done := make(chan struct{})
	go func() {
		rec.pending.Wait()
		close(done)
	}()
	timedOut := false
	select {
	case <-done:
	case <-time.After(limit):
		timedOut = true
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	out := rec.log
	if timedOut {
		out.Unjudged = append(out.Unjudged, "the relays' bytes were not decoded in time")
	}
	if rec.maxLag > maxDecodingLag {
		out.Unjudged = append(out.Unjudged, "decoding fell behind by "+rec.maxLag.String())
	}
	out.Unjudged = append(out.Unjudged, rec.unreadable...)
	return &out
}

// recordUnreadable records a stream that cannot be decoded. On the engines' side it is ignored: answers
// that are no protocol are one of the faults that a rehearsal injects into engines.
func (rec *Recorder) recordUnreadable(side Side, what, name string) {
	if side == Engines {
		return
	}
	rec.mu.Lock()
	rec.unreadable = append(rec.unreadable, "dispatcher "+name+": "+what)
	rec.mu.Unlock()
}

// addRequest records a query that a dispatcher received from a client.
func (rec *Recorder) addRequest(r *Request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.log.Requests = append(rec.log.Requests, r)
	rec.byID[r.ID] = r
}

// addAttempt records a query that an engine received.
func (rec *Recorder) addAttempt(a *Attempt) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.log.Attempts = append(rec.log.Attempts, a)
}

// recordCancel records a cancel request on the engines' side for the attempt that runs on the connection with
// the process id pid. A cancel request on the clients' side is ignored.
func (rec *Recorder) recordCancel(side Side, name string, pid uint32, at time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if side != Engines {
		return
	}
	for _, a := range slices.Backward(rec.log.Attempts) {
		if a.Engine == name && a.PID == pid && a.End.IsZero() {
			a.Cancel = at
			return
		}
	}
}

// recordFinal counts a final answer, and keeps the time and the SQLSTATE of the first one; code "": the
// query was served.
func (r *Request) recordFinal(at time.Time, code string) {
	r.FinalCount++
	if r.FinalCount == 1 {
		r.FinalAt, r.Code = at, code
	}
}

// recordConnectionEnd records when a request without an answer lost its connection, and whether the
// dispatcher ended the connection. The dispatcher did if down, the direction to the client, ended before up.
func (r *Request) recordConnectionEnd(down, up *tap) {
	r.ConnectionEnded = up.ended
	if down.ended.Before(up.ended) {
		r.ConnectionEnded, r.ServerClosed = down.ended, true
	}
}

// statementTags returns the tags of a statement: those in its comment, and those in its first parameter,
// which has the form "id;name=value;...".
func statementTags(text, first string) map[string]string {
	out := sqlscan.Tags(text)
	if out == nil {
		out = map[string]string{}
	}
	parts := strings.Split(first, ";")
	for _, p := range parts {
		if k, v, ok := strings.Cut(p, "="); ok {
			out[k] = v
		}
	}
	if out["id"] == "" {
		out["id"] = parts[0]
	}
	return out
}
