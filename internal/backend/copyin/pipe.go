// Package copyin carries the data of a COPY from a client to an engine with back-pressure: a queue bounded in
// bytes between who reads the client and who writes to the engine. Nothing is dropped, nothing grows: where
// the engine is slow the queue fills, and the client is no longer read until it has emptied by half.
package copyin

import "sync"

// End says how a copy's data ended.
type End int

// The ends of a copy's data.
const (
	Open   End = iota // more may come
	Done              // CopyDone was the last
	Failed            // CopyFail was the last: the engine is to undo it
	Cut               // nobody feeds it any more: its query has ended
)

// Pipe is the queue of one copy. Make one with New.
type Pipe struct {
	most int
	room func()

	mu   sync.Mutex
	data []byte
	full bool
	end  End
	more chan struct{}
}

// New returns a pipe that holds about most bytes; room is called, outside the pipe's lock, when a full one
// has emptied to half of that.
func New(most int, room func()) *Pipe {
	return &Pipe{most: most, room: room, more: make(chan struct{}, 1)}
}

// Put queues bytes, and how the data ended with them. It does not block: what was read has to go somewhere.
// It returns true where no more is to be read until there is room.
func (p *Pipe) Put(b []byte, end End) (full bool) {
	p.mu.Lock()
	if p.end == Open {
		p.data = append(p.data, b...)
		p.full = len(p.data) >= p.most
		p.end = end
	}
	full = p.full
	p.mu.Unlock()
	p.poke()
	return full
}

// Full reports whether no more is to be read until there is room.
func (p *Pipe) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.full
}

// Cut ends the pipe, whatever waits in it. It counts as room: the client's bytes are nobody's now.
func (p *Pipe) Cut() {
	p.mu.Lock()
	p.data = nil
	if p.end == Open || p.full {
		p.end = Cut
	}
	was := p.full
	p.full = false
	p.mu.Unlock()
	p.poke()
	if was {
		p.room()
	}
}

func (p *Pipe) poke() {
	select {
	case p.more <- struct{}{}:
	default:
	}
}

// More is signalled when Take may have something to say.
func (p *Pipe) More() <-chan struct{} { return p.more }

// Take swaps what waits for a buffer that is used again, and says how the data ended behind it.
func (p *Pipe) Take(spare []byte) ([]byte, End) {
	p.mu.Lock()
	b, end := p.data, p.end
	p.data = spare[:0]
	p.mu.Unlock()
	return b, end
}

// Sent tells that what was taken has gone out. Danger: were there room as soon as it is taken, twice the
// limit would be under way.
func (p *Pipe) Sent() {
	p.mu.Lock()
	was := p.full
	if was && len(p.data) <= p.most/2 {
		p.full = false
	}
	was = was && !p.full
	p.mu.Unlock()
	if was {
		p.room()
	}
}
