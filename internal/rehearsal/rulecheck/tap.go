package rulecheck

import (
	"errors"
	"io"
	"sync"
	"time"
)

// chunk holds bytes that arrived at one time.
type chunk struct {
	at   time.Time
	data []byte
}

// tap queues the bytes of one direction of a connection until they are decoded. The queue has no limit, so
// that a slow decoder never blocks the relay.
type tap struct {
	recorder *Recorder
	mu       sync.Mutex
	changed  *sync.Cond
	queue    []chunk
	ended    time.Time // when the direction ended; zero: it has not
	waiting  bool      // the decoder has read everything and waits for more
	onWait   func()    // called when the decoder begins to wait; may be nil
	at       time.Time // arrival of the bytes that were read last
	unread   []byte    // the rest of the chunk that is being read
}

func newTap(rec *Recorder) *tap {
	t := &tap{recorder: rec}
	t.changed = sync.NewCond(&t.mu)
	return t
}

// add queues a copy of bytes that arrived at the given time.
func (t *tap) add(at time.Time, b []byte) {
	t.mu.Lock()
	t.queue = append(t.queue, chunk{at, append([]byte(nil), b...)})
	t.mu.Unlock()
	t.changed.Signal()
}

// end records that the direction has ended.
func (t *tap) end() {
	t.mu.Lock()
	t.ended = time.Now()
	t.mu.Unlock()
	t.changed.Signal()
}

// Read passes the queued bytes to the decoder, and waits for some if there are none. Its only error is
// io.EOF.
func (t *tap) Read(b []byte) (int, error) {
	if len(t.unread) == 0 {
		t.mu.Lock()
		t.awaitChunk()
		if len(t.queue) == 0 {
			t.mu.Unlock()
			return 0, io.EOF
		}
		c := t.queue[0]
		t.queue = t.queue[1:]
		t.mu.Unlock()
		t.at, t.unread = c.at, c.data
		t.recorder.recordLag(time.Since(c.at))
	}
	n := copy(b, t.unread)
	t.unread = t.unread[n:]
	return n, nil
}

// awaitChunk waits until there is a chunk, or the direction has ended. The caller holds t.mu.
func (t *tap) awaitChunk() {
	for len(t.queue) == 0 && t.ended.IsZero() {
		if t.waiting {
			t.changed.Wait()
			continue
		}
		t.waiting = true
		if t.onWait != nil {
			t.mu.Unlock()
			t.onWait()
			t.mu.Lock()
		}
	}
	t.waiting = false
}

// drained reports whether the decoder has handled all bytes that have arrived.
func (t *tap) drained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waiting && len(t.queue) == 0
}

// discard reads a tap to its end.
func (t *tap) discard() { _, _ = io.Copy(io.Discard, t) } // neither Read nor Write fails

// isEndOfStream reports whether an error means that a direction ended, between or within messages.
func isEndOfStream(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
