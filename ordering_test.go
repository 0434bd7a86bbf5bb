package cresspass

import (
	"fmt"
	"testing"
	"time"
)

// TestKeyOrderSweepsIdleKeys: keys that are in use or not settled yet are kept; idle ones are dropped once
// there are many.
func TestKeyOrderSweepsIdleKeys(t *testing.T) {
	o := keyOrder{keys: map[string]*orderKey{}}
	running, settling := &query{}, &query{}
	o.enqueue(running, "running", 0)
	running.orderKey.waiting, running.orderKey.running = nil, 1
	o.enqueue(settling, "settling", 0)
	settling.orderKey.waiting, settling.orderKey.settlesAt = nil, time.Hour
	for i := range 10 * minKeysToSweep {
		q := &query{}
		o.enqueue(q, fmt.Sprint(i), time.Minute)
		q.orderKey.waiting = nil
	}
	if len(o.keys) > 3*minKeysToSweep {
		t.Errorf("%d keys held, two of them in use: idle keys were not dropped", len(o.keys))
	}
	if o.keys["running"] != running.orderKey || o.keys["settling"] != settling.orderKey {
		t.Error("a key in use was dropped")
	}
}
