// Package response holds one query's response on its way from an engine to its client. It sees to it that
// there is exactly one final answer, whichever comes first: the engine's last byte, the decision module's
// rejection, or the client's going away. It does no I/O: bytes leave through a Sink.
//
// A response is buffering (bytes are held back, so that another attempt may still take its place), streaming
// (bytes went out, so it belongs to its attempt) or finished.
package response

import (
	"sync"

	"cresspass/internal/dispatch/verdict"
)

// Sink takes a response's bytes. Its methods are called in order, under the response's lock; none may block
// or call the response.
type Sink interface {
	// WritePartial passes on messages of an engine that do not yet end the response.
	WritePartial(b []byte)
	// WriteFinal passes on the last of them; failed tells that they end in an ErrorResponse.
	WriteFinal(b []byte, failed bool)
	// WriteVerdict ends the response by a verdict of the dispatcher, whatever was written before.
	WriteVerdict(v *verdict.Verdict)
}

// noAttempt is the owner of a response that belongs to no attempt.
const noAttempt = -1

// Response is one query's response. Make one with New.
type Response struct {
	mu          sync.Mutex
	sink        Sink
	budget      *BufferBudget
	maxBuffered int
	owner       int // the attempt whose bytes count
	buffered    []byte
	reserved    int // bytes of the budget
	streaming   bool
	finished    bool
	doneSignal  chan struct{}
}

// New returns a response that holds back up to maxBuffered bytes, within a budget shared with others.
func New(sink Sink, budget *BufferBudget, maxBuffered int) *Response {
	return &Response{sink: sink, budget: budget, maxBuffered: maxBuffered, owner: noAttempt,
		doneSignal: make(chan struct{})}
}

// Done returns a channel that is closed once the response is finished.
func (r *Response) Done() <-chan struct{} { return r.doneSignal }

// BeginAttempt makes an attempt the one whose bytes count. It returns false if the response is streaming or
// finished.
func (r *Response) BeginAttempt(attempt int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished || r.streaming {
		return false
	}
	r.discardBuffer()
	r.owner = attempt
	return true
}

// Write takes bytes from an attempt, and buffers them as far as the limits allow. It returns false if the
// response no longer belongs to the attempt.
func (r *Response) Write(attempt int, b []byte) (owner bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.belongsTo(attempt) {
		return false
	}
	if !r.streaming {
		if len(r.buffered)+len(b) <= r.maxBuffered && r.budget.reserve(len(b)) {
			r.reserved += len(b)
			r.buffered = append(r.buffered, b...)
			return true
		}
		r.streaming = true
		if len(r.buffered) > 0 {
			r.sink.WritePartial(r.buffered)
		}
		r.discardBuffer()
	}
	r.sink.WritePartial(b)
	return true
}

// WriteThrough takes bytes from an attempt and passes them on at once, so that the response belongs to the
// attempt for good. It returns false if the response no longer belongs to the attempt.
func (r *Response) WriteThrough(attempt int, b []byte) (owner bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.belongsTo(attempt) {
		return false
	}
	r.streaming = true
	r.buffered = append(r.buffered, b...)
	r.sink.WritePartial(r.buffered)
	r.discardBuffer()
	return true
}

// Commit makes the response an attempt's for good, before its last bytes: from here on it is not revoked, and
// no other attempt begins. It returns false if the response no longer belongs to the attempt.
func (r *Response) Commit(attempt int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.belongsTo(attempt) {
		return false
	}
	r.streaming = true
	return true
}

// Finish ends the response with an attempt's last bytes. It returns false if the response no longer belonged
// to the attempt.
func (r *Response) Finish(attempt int, b []byte, failed bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.belongsTo(attempt) {
		return false
	}
	if len(r.buffered) > 0 {
		r.buffered = append(r.buffered, b...)
		b = r.buffered
	}
	r.finished, r.owner = true, noAttempt
	r.sink.WriteFinal(b, failed)
	r.discardBuffer()
	close(r.doneSignal)
	return true
}

// FailAttempt tells that an attempt ended without a complete response. If its bytes had begun to go out, the
// client gets the verdict and the response is finished. Otherwise what was held back is discarded.
func (r *Response) FailAttempt(attempt int, failure *verdict.Verdict) (finished bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.belongsTo(attempt) {
		return false
	}
	r.owner = noAttempt
	r.discardBuffer()
	if r.streaming {
		r.writeVerdict(failure)
	}
	return r.finished
}

// Revoke takes the response from an attempt. It returns false if the attempt's bytes have begun to go out, so
// that it can no longer be replaced, and true if nothing of it will count any more.
func (r *Response) Revoke(attempt int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.belongsTo(attempt) {
		return true
	}
	if r.streaming {
		return false
	}
	r.owner = noAttempt
	r.discardBuffer()
	return true
}

// FinishWithVerdict ends the response with a verdict of the dispatcher. It returns false if it was finished.
func (r *Response) FinishWithVerdict(v *verdict.Verdict) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished {
		return false
	}
	r.discardBuffer()
	r.writeVerdict(v)
	return true
}

// Abandon ends the response to a client that is gone: nothing more is written. It returns false if the
// response was finished.
func (r *Response) Abandon() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished {
		return false
	}
	r.discardBuffer()
	r.finished, r.owner = true, noAttempt
	close(r.doneSignal)
	return true
}

// belongsTo reports whether an attempt's bytes count. The lock is held.
func (r *Response) belongsTo(attempt int) bool { return !r.finished && r.owner == attempt }

// writeVerdict ends the response with a verdict. The lock is held.
func (r *Response) writeVerdict(v *verdict.Verdict) {
	r.finished, r.owner = true, noAttempt
	r.sink.WriteVerdict(v)
	close(r.doneSignal)
}

// discardBuffer forgets what is held back. The lock is held.
func (r *Response) discardBuffer() {
	r.budget.release(r.reserved)
	r.reserved, r.buffered = 0, nil
}
