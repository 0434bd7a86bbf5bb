package cresspass

import (
	"time"
)

// isNextForKey is rule 5: only the first of a key's line, with nothing of the key running and its rest over.
func (g *Gateway) isNextForKey(q *query) bool {
	k := q.orderKey
	return k == nil ||
		k.waiting[0] == q && g.now >= k.settlesAt && (k.running == 0 || k.running == len(q.inFlight))
}

type orderKey struct {
	waiting   []*query
	running   int
	settlesAt time.Duration
}

// enqueueByKey puts a query at the end of its key's line.
func (g *Gateway) enqueueByKey(q *query, key string) {
	k := g.orderKeys[key]
	if k == nil {
		if len(
			g.orderKeys,
		) >= g.orderKeySweepAt { // keys with nothing left are forgotten, at a cost that does not grow
			for name, old := range g.orderKeys {
				if len(old.waiting) == 0 && old.running == 0 && g.now >= old.settlesAt {
					delete(g.orderKeys, name)
				}
			}
			g.orderKeySweepAt = 2*len(g.orderKeys) + 64
		}
		k = &orderKey{}
		g.orderKeys[key] = k
	}
	k.waiting = append(k.waiting, q)
	q.orderKey = k
}
