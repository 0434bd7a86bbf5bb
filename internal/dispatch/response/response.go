// Package response passes a query's response from an engine to its client. It ensures that there is exactly
// one final answer, whichever comes first: the engine's last byte, a verdict of the dispatcher, or the
// client's departure. It does no I/O: bytes leave through a Sink.
//
// A response is buffering (no byte was passed on, so another attempt can still replace the current one),
// streaming (bytes were passed on or Commit was called, so no other attempt can replace the current one) or
// finished.
package response

import (
	"sync"

	"cresspass/internal/dispatch/verdict"
)

// Sink receives a response's bytes. Its methods are called in order and under the response's lock. They must
// not block or call the response's methods.
type Sink interface {
	// WritePartial writes messages of an engine that do not end the response.
	WritePartial(b []byte)
	// WriteFinal writes an engine's last messages. failed means that they end with an ErrorResponse.
	WriteFinal(b []byte, failed bool)
	// WriteVerdict ends the response with a verdict of the dispatcher. Partial messages may have been written
	// before.
	WriteVerdict(v *verdict.Verdict)
}

// noAttempt is the owner of a response that belongs to no attempt.
const noAttempt = -1

// Response is the response to one query. Use New to create one. Its methods may be called from several
// goroutines.
type Response struct {
	mu          sync.Mutex
	sink        Sink
	budget      *BufferBudget
	maxBuffered int // bytes
	owner       int // the attempt whose bytes are accepted, or noAttempt
	buffered    []byte
	reserved    int // bytes reserved from the budget
	streaming   bool
	committed   bool // Commit was called
	finished    bool
	doneSignal  chan struct{} // closed once the response is finished
}

// New returns a response that buffers up to maxBuffered bytes, within a budget shared by several responses.
func New(sink Sink, budget *BufferBudget, maxBuffered int) *Response {
	return &Response{sink: sink, budget: budget, maxBuffered: maxBuffered, owner: noAttempt,
		doneSignal: make(chan struct{})}
}

// Done returns a channel that is closed once the response is finished.
func (r *Response) Done() <-chan struct{} { return r.doneSignal }

// BeginAttempt makes an attempt the response's owner: from now on only its bytes are accepted. Bytes that
// were buffered for the previous owner are discarded. BeginAttempt returns false if the response is streaming
// or finished.
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

// Write accepts bytes from an attempt. It buffers them as long as the limits allow, and passes them on once
// the limits are reached. It returns false if the response does not belong to the attempt.
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

// WriteThrough accepts bytes from an attempt and passes them on at once, after any buffered bytes. From then
// on no other attempt can replace this one. It returns false if the response does not belong to the attempt.
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

// Commit binds the response to its attempt before the attempt's last bytes: from now on the response cannot
// be revoked, no other attempt can begin, and no verdict of the dispatcher replaces the engine's answer.
// Finish or FailAttempt must follow. It returns false if the response does not belong to the attempt.
func (r *Response) Commit(attempt int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.belongsTo(attempt) {
		return false
	}
	r.streaming, r.committed = true, true
	return true
}

// Finish ends the response with an attempt's last bytes. failed means that they end with an ErrorResponse.
// Finish returns false if the response does not belong to the attempt.
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

// FailAttempt records that an attempt ended without a complete response. If the response is streaming, the
// client gets the verdict and the response is finished. Otherwise the buffered bytes are discarded and
// another attempt may begin. If the response does not belong to the attempt, FailAttempt does nothing.
// FailAttempt returns whether it has finished the response.
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

// Revoke takes the response away from an attempt, whose bytes are then no longer accepted. If the response
// belongs to the attempt and is streaming, the attempt can no longer be replaced: Revoke changes nothing and
// returns false. Otherwise it returns true.
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

// FinishWithVerdict ends the response with a verdict of the dispatcher. It returns false if the response was
// already finished, or an attempt has committed it and is about to finish it.
func (r *Response) FinishWithVerdict(v *verdict.Verdict) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished || r.committed {
		return false
	}
	r.discardBuffer()
	r.writeVerdict(v)
	return true
}

// Abandon ends the response to a client that is gone: nothing more is written. It returns false if the
// response was already finished.
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

// belongsTo reports whether an attempt owns the response. The caller holds the lock.
func (r *Response) belongsTo(attempt int) bool { return !r.finished && r.owner == attempt }

// writeVerdict ends the response with a verdict. The signal comes first: the sink checks whether an attempt
// was sent, and none may be sent after that check. The caller holds the lock.
func (r *Response) writeVerdict(v *verdict.Verdict) {
	r.finished, r.owner = true, noAttempt
	close(r.doneSignal)
	r.sink.WriteVerdict(v)
}

// discardBuffer discards the buffered bytes and releases their part of the budget. The caller holds the lock.
func (r *Response) discardBuffer() {
	r.budget.release(r.reserved)
	r.reserved, r.buffered = 0, nil
}
