package platform

import (
	"sync/atomic"
	"time"
)

// budget shares the descriptors between clients and compute nodes. Either may use what the other leaves, so
// that neither a crowd of clients nor a jam of queries leaves the other without.
type budget struct {
	total    int // for both
	usual    int // connections of clients, from which old ones make room for new ones
	headroom int // kept free of calls to compute nodes, for clients that come
	clients  atomic.Int32
}

// Of all descriptors.
const (
	clientShare = 0.42 // for clients: their front holds a third at most, and strangers come on top
	spare       = 24   // for all else
	headShare   = 16   // one in so many is headroom
	nodesLeast  = 8    // connections to compute nodes, whatever clients do
)

func newBudget(sockets int) *budget {
	return &budget{total: sockets - spare, usual: int(clientShare * float64(sockets)),
		headroom: sockets / headShare}
}

// nodes is how many connections to compute nodes there may be now.
func (b *budget) nodes() int { return max(b.total-int(b.clients.Load())-b.headroom, nodesLeast) }

// full reports whether clients hold all that is left beside so many connections to compute nodes.
func (b *budget) full(nodes int) bool { return int(b.clients.Load()) >= b.total-max(nodes, nodesLeast) }

// seen is what is known of a client's connection when room is needed.
type seen struct {
	busy   bool          // a request is open, or an answer is on its way
	spoke  bool          // a whole message came
	silent time.Duration // since the last message either way, or since it was made
}

// muteFor is how long a connection may say nothing before it counts as one that never will.
const muteFor = 500 * time.Millisecond

// pressing is the same where no descriptor is left.
const pressing = 0

// victim picks the connection to be closed for a new one: one that never said anything, if it had time to,
// else the one that was silent for longest; -1: none can go. Danger: of all connections the newest are the
// ones on which a first request is just on its way, and it fails with them; a client that has used its
// connection notices a close and asks again.
func victim(conns []seen, muteFor time.Duration) int {
	best := -1
	for i, c := range conns {
		if c.busy || !c.spoke && c.silent < muteFor {
			continue
		}
		if best < 0 || c.spoke != conns[best].spoke && !c.spoke ||
			c.spoke == conns[best].spoke && c.silent > conns[best].silent {
			best = i
		}
	}
	return best
}
