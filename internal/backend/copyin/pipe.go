// Package copyin carries the data of a COPY from a client to an engine with back-pressure. It is a queue,
// bounded in bytes, between the goroutine that reads from the client and the one that writes to the engine.
// No data is dropped and memory stays bounded: if the engine is slow the queue fills, and the client is not
// read until the queue has drained to half its limit.
package copyin

import "sync"

// End is whether and how a copy's data has ended.
type End int

// The ends of a copy's data.
const (
	Open      End = iota // more data may come
	Done                 // CopyDone was the last message
	Failed               // CopyFail was the last message: the engine must undo the copy
	Abandoned            // no more data is put into the pipe: its query has ended
)

// Pipe is the queue of one copy. Make one with New. Its methods may be called from several goroutines.
type Pipe struct {
	limit      int
	onCapacity func()

	mu    sync.Mutex
	data  []byte
	full  bool
	end   End
	ready chan struct{}
}

// New returns a pipe that is full at limit bytes. onCapacity is called, without the pipe's lock held, when a
// full pipe has drained to half of limit or was abandoned.
func New(limit int, onCapacity func()) *Pipe {
	return &Pipe{limit: limit, onCapacity: onCapacity, ready: make(chan struct{}, 1)}
}

// Put queues a copy of b and records whether the data ends with b. Put does not block, and it accepts bytes
// beyond the limit, since they have already been read. It returns true if the client must not be read until
// the pipe has capacity. After the end of the data, Put drops b.
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

// Full reports whether the client must not be read until the pipe has capacity.
func (p *Pipe) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.full
}

// Abandon ends the pipe and drops the queued data. If the data had ended before, that end stays unless the
// pipe was full. A full pipe then has capacity again: what the client sends now belongs to no copy and has to
// be read.
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

// Ready returns a channel that receives a value when Take may return something new.
func (p *Pipe) Ready() <-chan struct{} { return p.ready }

// Take returns the queued bytes, and whether and how the data ended after them. The pipe reuses spare as its
// next buffer.
func (p *Pipe) Take(spare []byte) ([]byte, End) {
	p.mu.Lock()
	b, end := p.data, p.end
	p.data = spare[:0]
	p.mu.Unlock()
	return b, end
}

// MarkSent records that the bytes of the last Take have been written to the engine. A full pipe gets its
// capacity back here and not in Take: otherwise up to twice the limit would be in memory.
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
