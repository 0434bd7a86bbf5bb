// Package response holds one query's answer on its way from an engine to its client, and sees to it that there
// is exactly one final answer, whoever comes first: the engine's last byte, the module's refusal, or the
// client's going. It does no I/O; bytes leave through a Sink.
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
	// Rows passes on bytes of an answer that is not yet complete: messages of an engine.
	Rows(b []byte)
	// Final passes on the last of them; failed tells that they end in an ErrorResponse.
	Final(b []byte, failed bool)
	// Ruled ends the answer by a verdict of ours, whatever went out before.
	Ruled(v *verdict.Verdict)
}

// Budget bounds the bytes held back by all answers together. The zero value allows nothing.
type Budget struct {
	Most int64 // bytes
	used atomic.Int64
}

// Used is the number of bytes held back now.
func (b *Budget) Used() int64 { return b.used.Load() }

func (b *Budget) take(n int) bool {
	if b.used.Add(int64(n)) > b.Most {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// Answer is one query's answer. Make one with New.
type Answer struct {
	mu        sync.Mutex
	sink      Sink
	budget    *Budget
	most      int
	owner     int // attempt whose bytes count; -1: none
	held      []byte
	charged   int
	streaming bool
	done      bool
	ended     chan struct{}
}

// New returns an answer that holds back up to most bytes, within a budget shared with others.
func New(sink Sink, budget *Budget, most int) *Answer {
	return &Answer{sink: sink, budget: budget, most: most, owner: -1, ended: make(chan struct{})}
}

// Ended is closed once the answer is done.
func (a *Answer) Ended() <-chan struct{} { return a.ended }

// Begin makes an attempt the one whose bytes count. It returns false where the answer is done or streams.
func (a *Answer) Begin(attempt int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.streaming {
		return false
	}
	a.drop()
	a.owner = attempt
	return true
}

// Write takes bytes from an attempt. It returns false where they no longer count.
func (a *Answer) Write(attempt int, b []byte) (owner bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.owner != attempt {
		return false
	}
	if !a.streaming {
		if len(a.held)+len(b) <= a.most && a.budget.take(len(b)) {
			a.charged += len(b)
			a.held = append(a.held, b...)
			return true
		}
		a.streaming = true
		if len(a.held) > 0 {
			a.sink.Rows(a.held)
		}
		a.drop()
	}
	a.sink.Rows(b)
	return true
}

// Stream passes an attempt's bytes on at once, whatever may be held back, so that the answer belongs to it.
// It returns false where they no longer count.
func (a *Answer) Stream(attempt int, b []byte) (owner bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.owner != attempt {
		return false
	}
	a.streaming = true
	b = append(a.held, b...)
	a.sink.Rows(b)
	a.drop()
	return true
}

// Claim makes the answer an attempt's for good, before its last bytes: from here on it is not disowned, and
// no other begins. It returns false where the attempt does not count any more.
func (a *Answer) Claim(attempt int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.owner != attempt {
		return false
	}
	a.streaming = true
	return true
}

// Finish ends the answer with an attempt's last bytes. It returns false where it did not count any more.
func (a *Answer) Finish(attempt int, b []byte, failed bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.owner != attempt {
		return false
	}
	if len(a.held) > 0 {
		b = append(a.held, b...)
	}
	a.close(b, failed)
	return true
}

// Lose tells that an attempt ended without a whole answer. Where its bytes had begun to go out, the client
// gets the verdict and the answer is done: finished is true. Else what was held is forgotten.
func (a *Answer) Lose(attempt int, failure *verdict.Verdict) (finished bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.owner != attempt {
		return false
	}
	a.owner = -1
	a.drop()
	if a.streaming {
		a.rule(failure)
	}
	return a.done
}

// Disown takes the answer from an attempt. It returns false where its bytes have begun to go out, so that it
// can no longer be replaced, and true where nothing of it will count any more.
func (a *Answer) Disown(attempt int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.owner != attempt {
		return true
	}
	if a.streaming {
		return false
	}
	a.owner = -1
	a.drop()
	return true
}

// End ends the answer with a verdict of ours. It returns false where it was done.
func (a *Answer) End(v *verdict.Verdict) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return false
	}
	a.drop()
	a.rule(v)
	return true
}

// Abandon ends the answer of a client that is gone: nothing more goes out. It returns false where it was
// done.
func (a *Answer) Abandon() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return false
	}
	a.drop()
	a.done, a.owner = true, -1
	close(a.ended)
	return true
}

func (a *Answer) rule(v *verdict.Verdict) {
	a.done, a.owner = true, -1
	a.sink.Ruled(v)
	close(a.ended)
}

func (a *Answer) close(b []byte, failed bool) {
	a.done, a.owner = true, -1
	a.sink.Final(b, failed)
	a.drop()
	close(a.ended)
}

func (a *Answer) drop() {
	a.budget.used.Add(-int64(a.charged))
	a.charged, a.held = 0, nil
}
