package rulecheck

import (
	"errors"
	"io"
	"testing"
	"time"

	"cresspass/internal/tcptest"
)

// Guards against an end of a connection that counts from when a goroutine came to read it.
func TestEndHasTimeOfArrival(t *testing.T) {
	const readLate, precision = 200 * time.Millisecond, 50 * time.Millisecond
	conn, peer := tcptest.Pair(t)
	reader, err := newArrivalReader(conn)
	if err != nil {
		t.Fatal(err)
	}
	peer.Write([]byte("x"))
	if n, _, err := reader.Read(make([]byte, 8)); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	time.Sleep(readLate)
	before := time.Now()
	peer.Close()
	after := time.Now()
	time.Sleep(readLate)
	_, arrived, err := reader.Read(make([]byte, 8))
	if !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	if arrived.Before(before.Add(-precision)) || arrived.After(after.Add(precision)) {
		t.Errorf("%v after the end", arrived.Sub(after))
	}
}

// Guards against an attempt that counts as running after its connection ended: either direction may end
// first.
func TestAttemptEndsWithFirstDirection(t *testing.T) {
	first, last := time.Now(), time.Now().Add(time.Second)
	for name, ends := range map[string]struct{ up, down time.Time }{
		"up first":   {first, last},
		"down first": {last, first},
	} {
		attempt := &Attempt{}
		s := &stream{recorder: NewRecorder(), pending: []pendingReply{{attempt: attempt}}}
		s.recordConnectionEnd(&tap{ended: ends.down}, &tap{ended: ends.up})
		if !attempt.Lost || !attempt.End.Equal(first) {
			t.Errorf("%s: ended %v after the first end, lost %v", name, attempt.End.Sub(first), attempt.Lost)
		}
	}
}
