package rulecheck

import (
	"testing"
	"time"
)

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
