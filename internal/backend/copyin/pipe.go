// Package copyin carries the data of a COPY from a client to an engine with back-pressure: a queue bounded in
// bytes between who reads the client and who writes to the engine. Nothing is dropped, nothing grows: where
// the engine is slow the queue fills, and the client is no longer read until it has emptied by half.
package copyin

import "sync"

// End says how a copy's data ended.
type End int

// The ends of a copy's data.
const (
	Open      End = iota // more may come
	Done                 // CopyDone was the last
	Failed               // CopyFail was the last: the engine is to undo it
	Abandoned            // nobody feeds it any more: its query has ended
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

// New returns a pipe that holds about most bytes; room is called, outside the pipe's lock, when a full one
// has emptied to half of that.
func New(limit int, onCapacity func()) *Pipe {
	return &Pipe{limit: limit, onCapacity: onCapacity, ready: make(chan struct{}, 1)}
}

// Put queues bytes, and how the data ended with them. It does not block: what was read has to go somewhere.
// It returns true where no more is to be read until there is room.
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

// Full reports whether no more is to be read until there is room.
func (p *Pipe) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.full
}

// Abandon ends the pipe, whatever waits in it. It counts as room: the client's bytes are nobody's now.
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

// Ready is signalled when Take may have something to say.
func (p *Pipe) Ready() <-chan struct{} { return p.ready }

// Take swaps what waits for a buffer that is used again, and says how the data ended behind it.
func (p *Pipe) Take(spare []byte) ([]byte, End) {
	p.mu.Lock()
	b, end := p.data, p.end
	p.data = spare[:0]
	p.mu.Unlock()
	return b, end
}

// MarkSent tells that what was taken has gone out. Danger: were there room as soon as it is taken, twice the
// limit would be under way.
func (p *Pipe) MarkSent() {
	p.mu.Lock()
	wasFull := p.full
	if wasFull && len(p.data) <= p.limit/2 {
		p.full = false
	}
	wasFull = wasFull && !p.full
	p.mu.Unlock()
	if wasFull {
		p.onCapacity()
	}
}
