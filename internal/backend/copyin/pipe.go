// Package copyin carries the data of a COPY from a client to an engine with back-pressure: a queue bounded in
// bytes between the goroutine that reads the client and the one that writes to the engine. Nothing is dropped
// and nothing grows without bound: where the engine is slow the queue fills, and the client is not read until
// the queue has emptied to half its limit.
package copyin

import "sync"

// End says how a copy's data ended.
type End int

// The ends of a copy's data.
const (
	Open      End = iota // more may come
	Done                 // CopyDone was the last message
	Failed               // CopyFail was the last message: the engine is to undo the copy
	Abandoned            // nobody feeds the pipe any more: its query has ended
)

// Pipe is the queue of one copy. Make one with New.
type Pipe struct {
	limit      int
	onCapacity func()

	mu    sync.Mutex
	data  []byte
	full  bool
	end   End
	ready chan struct{}
}

// New returns a pipe that holds about limit bytes. onCapacity is called, outside the pipe's lock, when a full
// pipe has emptied to half of that.
func New(limit int, onCapacity func()) *Pipe {
	return &Pipe{limit: limit, onCapacity: onCapacity, ready: make(chan struct{}, 1)}
}

// Put queues bytes, and how the data ended with them. It does not block, as bytes that were read have to go
// somewhere. It returns true where no more is to be read until there is capacity.
func (p *Pipe) Put(b []byte, end End) (full bool) {
	p.mu.Lock()
	if p.end == Open {
		p.data = append(p.data, b...)
		p.full = len(p.data) >= p.limit
		p.end = end
	}
	full = p.full
	p.mu.Unlock()
	p.signal()
	return full
}

// Full reports whether no more is to be read until there is capacity.
func (p *Pipe) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.full
}

// Abandon ends the pipe and drops what is queued. A full pipe has capacity by that: the client's bytes belong
// to no copy any more and are to be read.
func (p *Pipe) Abandon() {
	p.mu.Lock()
	p.data = nil
	if p.end == Open || p.full {
		p.end = Abandoned
	}
	wasFull := p.full
	p.full = false
	p.mu.Unlock()
	p.signal()
	if wasFull {
		p.onCapacity()
	}
}

func (p *Pipe) signal() {
	select {
	case p.ready <- struct{}{}:
	default:
	}
}

// Ready is signalled when Take may return something new.
func (p *Pipe) Ready() <-chan struct{} { return p.ready }

// Take exchanges the queued bytes for a spare buffer, and says how the data ended after them.
func (p *Pipe) Take(spare []byte) ([]byte, End) {
	p.mu.Lock()
	b, end := p.data, p.end
	p.data = spare[:0]
	p.mu.Unlock()
	return b, end
}

// MarkSent reports that what was taken has been written to the engine. Capacity is given here and not by
// Take: otherwise twice the limit would be under way.
func (p *Pipe) MarkSent() {
	p.mu.Lock()
	wasFull := p.full
	if wasFull && len(p.data) <= p.limit/2 {
		p.full = false
	}
	resumed := wasFull && !p.full
	p.mu.Unlock()
	if resumed {
		p.onCapacity()
	}
}
