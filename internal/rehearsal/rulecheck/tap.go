package rulecheck

import (
	"errors"
	"io"
	"sync"
	"time"
)

// chunk is bytes with the time at which they arrived.
type chunk struct {
	at   time.Time
	data []byte
}

// tap keeps the bytes of one direction until they are decoded. It never blocks the relay that adds to it.
type tap struct {
	recorder *Recorder
	mu       sync.Mutex
	changed  *sync.Cond
	queue    []chunk
	ended    time.Time
	waiting  bool      // the decoder has read all and waits
	onWait   func()    // called as the decoder begins to wait; nil: nothing is
	at       time.Time // of the bytes read last
	unread   []byte
}

func newTap(rec *Recorder) *tap {
	t := &tap{recorder: rec}
	t.changed = sync.NewCond(&t.mu)
	return t
}

// add takes bytes that arrived at a time.
func (t *tap) add(at time.Time, b []byte) {
	t.mu.Lock()
	t.queue = append(t.queue, chunk{at, append([]byte(nil), b...)})
	t.mu.Unlock()
	t.changed.Signal()
}

func (t *tap) end() {
	t.mu.Lock()
	t.ended = time.Now()
	t.mu.Unlock()
	t.changed.Signal()
}

// Read returns bytes to the decoder. Its only error is io.EOF.
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

// drained reports whether the decoder has handled all that has come.
func (t *tap) drained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waiting && len(t.queue) == 0
}

// discard reads a tap to its end.
func (t *tap) discard() { _, _ = io.Copy(io.Discard, t) } // neither side has an error but the end

// isEndOfStream reports whether a direction ended, also within a message.
func isEndOfStream(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
