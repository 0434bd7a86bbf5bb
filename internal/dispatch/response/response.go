// Package response holds one query's answer on its way from an engine to its client, and sees to it that
// there is exactly one final answer, whoever comes first: the engine's last byte, the module's refusal, or
// the client's going. It does no I/O; bytes leave through a Sink.
//
// An answer waits (bytes are held back, so that a further attempt may still take its place), streams (bytes
// went out, so it belongs to its attempt) or is done.
package response

import (
	"sync"
	"sync/atomic"

	"cresspass/internal/dispatch/verdict"
)

// Sink takes an answer's bytes. Its methods are called in order, under the answer's lock; none may block or
// call the answer.
type Sink interface {
	// WritePartial passes on bytes of an answer that is not yet complete: messages of an engine.
	WritePartial(b []byte)
	// WriteFinal passes on the last of them; failed tells that they end in an ErrorResponse.
	WriteFinal(b []byte, failed bool)
	// WriteVerdict ends the answer by a verdict of ours, whatever went out before.
	WriteVerdict(v *verdict.Verdict)
}

// BufferBudget bounds the bytes held back by all answers together. The zero value allows nothing.
type BufferBudget struct {
	MaxBytes int64 // bytes
	used     atomic.Int64
}

// Used is the number of bytes held back now.
func (b *BufferBudget) Used() int64 { return b.used.Load() }

func (b *BufferBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) > b.MaxBytes {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// Response is one query's answer. Make one with New.
type Response struct {
	mu          sync.Mutex
	sink        Sink
	budget      *BufferBudget
	maxBuffered int
	owner       int // attempt whose bytes count; -1: none
	buffered    []byte
	reserved    int
	streaming   bool
	finished    bool
	doneSignal  chan struct{}
}

// New returns an answer that holds back up to most bytes, within a budget shared with others.
func New(sink Sink, budget *BufferBudget, maxBuffered int) *Response {
	return &Response{
		sink:        sink,
		budget:      budget,
		maxBuffered: maxBuffered,
		owner:       -1,
		doneSignal:  make(chan struct{}),
	}
}

// Done is closed once the answer is done.
func (a *Response) Done() <-chan struct{} { return a.doneSignal }

// BeginAttempt makes an attempt the one whose bytes count. It returns false where the answer is done or
// streams.
func (a *Response) BeginAttempt(attempt int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished || a.streaming {
		return false
	}
	a.discardBuffer()
	a.owner = attempt
	return true
}

// Write takes bytes from an attempt. It returns false where they no longer count.
func (a *Response) Write(attempt int, b []byte) (owner bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished || a.owner != attempt {
		return false
	}
	if !a.streaming {
		if len(a.buffered)+len(b) <= a.maxBuffered && a.budget.reserve(len(b)) {
			a.reserved += len(b)
			a.buffered = append(a.buffered, b...)
			return true
		}
		a.streaming = true
		if len(a.buffered) > 0 {
			a.sink.WritePartial(a.buffered)
		}
		a.discardBuffer()
	}
	a.sink.WritePartial(b)
	return true
}

// WriteThrough passes an attempt's bytes on at once, whatever may be held back, so that the answer belongs
// to it. It returns false where they no longer count.
func (a *Response) WriteThrough(attempt int, b []byte) (owner bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished || a.owner != attempt {
		return false
	}
	a.streaming = true
	b = append(a.buffered, b...)
	a.sink.WritePartial(b)
	a.discardBuffer()
	return true
}

// Commit makes the answer an attempt's for good, before its last bytes: from here on it is not disowned, and
// no other begins. It returns false where the attempt does not count any more.
func (a *Response) Commit(attempt int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished || a.owner != attempt {
		return false
	}
	a.streaming = true
	return true
}

// Finish ends the answer with an attempt's last bytes. It returns false where it did not count any more.
func (a *Response) Finish(attempt int, b []byte, failed bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished || a.owner != attempt {
		return false
	}
	if len(a.buffered) > 0 {
		b = append(a.buffered, b...)
	}
	a.writeFinal(b, failed)
	return true
}

// FailAttempt tells that an attempt ended without a whole answer. Where its bytes had begun to go out, the
// client gets the verdict and the answer is done: finished is true. Else what was held is forgotten.
func (a *Response) FailAttempt(attempt int, failure *verdict.Verdict) (finished bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished || a.owner != attempt {
		return false
	}
	a.owner = -1
	a.discardBuffer()
	if a.streaming {
		a.writeVerdict(failure)
	}
	return a.finished
}

// Revoke takes the answer from an attempt. It returns false where its bytes have begun to go out, so that it
// can no longer be replaced, and true where nothing of it will count any more.
func (a *Response) Revoke(attempt int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished || a.owner != attempt {
		return true
	}
	if a.streaming {
		return false
	}
	a.owner = -1
	a.discardBuffer()
	return true
}

// FinishWithVerdict ends the answer with a verdict of ours. It returns false where it was done.
func (a *Response) FinishWithVerdict(v *verdict.Verdict) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		return false
	}
	a.discardBuffer()
	a.writeVerdict(v)
	return true
}

// Abandon ends the answer of a client that is gone: nothing more goes out. It returns false where it was
// done.
func (a *Response) Abandon() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		return false
	}
	a.discardBuffer()
	a.finished, a.owner = true, -1
	close(a.doneSignal)
	return true
}

func (a *Response) writeVerdict(v *verdict.Verdict) {
	a.finished, a.owner = true, -1
	a.sink.WriteVerdict(v)
	close(a.doneSignal)
}

func (a *Response) writeFinal(b []byte, failed bool) {
	a.finished, a.owner = true, -1
	a.sink.WriteFinal(b, failed)
	a.discardBuffer()
	close(a.doneSignal)
}

func (a *Response) discardBuffer() {
	a.budget.used.Add(-int64(a.reserved))
	a.reserved, a.buffered = 0, nil
}
