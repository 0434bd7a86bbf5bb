package cresspass

import "time"

// orderKey is a key whose queries run one at a time, in order of arrival (rule 5).
type orderKey struct {
	waiting   []*query
	running   int
	settlesAt time.Duration // nothing is sent before, as an earlier attempt may still run
}

// keyOrder holds the order keys in use, by name.
type keyOrder struct {
	keys    map[string]*orderKey
	sweepAt int // number of keys at which idle keys are dropped
}

const minKeysToSweep = 64

// enqueue appends a query to the queue of its key.
func (o *keyOrder) enqueue(q *query, name string, now time.Duration) {
	k := o.keys[name]
	if k == nil {
		o.sweep(now)
		k = &orderKey{}
		o.keys[name] = k
	}
	k.waiting = append(k.waiting, q)
	q.orderKey = k
}

// sweep drops idle keys once there are many. Its amortized cost per new key is constant.
func (o *keyOrder) sweep(now time.Duration) {
	if len(o.keys) < o.sweepAt {
		return
	}
	for name, k := range o.keys {
		if len(k.waiting) == 0 && k.running == 0 && now >= k.settlesAt {
			delete(o.keys, name)
		}
	}
	o.sweepAt = 2*len(o.keys) + minKeysToSweep
}

// isNextForKey enforces rule 5: it reports whether a query is the first of its key, no other query of the key
// runs and the key has settled.
func (g *Gateway) isNextForKey(q *query) bool {
	k := q.orderKey
	if k == nil {
		return true
	}
	othersRun := k.running != 0 && k.running != len(q.inFlight)
	return k.waiting[0] == q && g.now >= k.settlesAt && !othersRun
}

// mayStillRun reports whether an attempt with this outcome may still be running.
func mayStillRun(o Outcome) bool {
	return o == OutcomeTimedOut || o == OutcomeConnectionReset || o == OutcomeCancelled
}
