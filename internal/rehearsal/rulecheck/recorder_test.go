package rulecheck

import (
	"testing"
	"time"
)

// Guards against an attempt that counts as running after it was cancelled: its cancel request, on a
// connection of its own, was decoded before the statement.
func TestCancelDecodedBeforeStatement(t *testing.T) {
	zero := time.Now()
	at := func(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }
	rec := NewRecorder()
	rec.recordCancel(Engines, "e1", 7, at(20))
	rec.recordCancel(Engines, "e1", 7, at(45)) // nothing runs then
	rec.recordCancel(Clients, "e1", 7, at(12)) // a client's: the dispatcher decides what becomes of it
	before := &Attempt{Engine: "e1", PID: 7, At: at(0), End: at(9)}
	cancelled := &Attempt{Engine: "e1", PID: 7, At: at(10), End: at(40)}
	after := &Attempt{Engine: "e1", PID: 7, At: at(50)}
	other := &Attempt{Engine: "e2", PID: 7, At: at(10)}
	for _, a := range []*Attempt{before, cancelled, after, other} {
		rec.addAttempt(a)
	}
	rec.Stop(time.Second)
	if !cancelled.Cancel.Equal(at(20)) {
		t.Errorf("cancelled at %v, want %v", cancelled.Cancel, at(20))
	}
	for _, a := range []*Attempt{before, after, other} {
		if !a.Cancel.IsZero() {
			t.Errorf("an attempt at %s from %v counts as cancelled", a.Engine, a.At.Sub(zero))
		}
	}
}
