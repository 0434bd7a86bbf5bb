package cresspass

import "time"

// orderKey is a key whose queries run one at a time, in the order of arrival (rule 5).
type orderKey struct {
	waiting   []*query
	running   int
	settlesAt time.Duration // nothing is sent before: an earlier attempt may still run
}

// keyOrder holds the order keys in use.
type keyOrder struct {
	keys    map[string]*orderKey
	sweepAt int // number of keys at which those that are idle are dropped
}

const minKeysToSweep = 64

// enqueue puts a query at the end of its key's queue.
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

// sweep drops idle keys once there are many, at a cost for each new key that does not grow.
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

// isNextForKey is rule 5: only the first query of a key, with nothing of the key running and the key
// settled.
func (g *Gateway) isNextForKey(q *query) bool {
	k := q.orderKey
	if k == nil {
		return true
	}
	othersRun := k.running != 0 && k.running != len(q.inFlight)
	return k.waiting[0] == q && g.now >= k.settlesAt && !othersRun
}

// leavesOrderOpen reports whether an attempt of such an outcome may still run.
func leavesOrderOpen(o Outcome) bool {
	return o == OutcomeTimedOut || o == OutcomeConnectionReset || o == OutcomeCancelled
}
