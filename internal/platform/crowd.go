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
	spare       = 24   // for all else: discovery's connection, the listener, the log, the poller, a file read
	headShare   = 16   // one in so many is headroom
	nodesLeast  = 8    // connections to compute nodes, whatever clients do
)

func newBudget(sockets int) *budget {
	return &budget{total: sockets - spare, usual: int(clientShare * float64(sockets)),
		headroom: sockets / headShare}
}

// nodes is how many connections to compute nodes there may be now.
func (b *budget) nodes() int { return max(b.total-int(b.clients.Load())-b.headroom, nodesLeast) }

// urgent is how many connections to compute nodes there may be beyond nodes: of probes, and of calls that
// give a query up.
func (b *budget) urgent() int { return b.headroom / 2 }

// full reports whether clients hold all that is left beside so many connections to compute nodes. Danger: a
// crowd of idle clients would take the descriptors of the urgent calls, and then the one of discovery.
func (b *budget) full(nodes int) bool {
	return int(b.clients.Load()) >= b.total-max(nodes, nodesLeast+b.urgent())
}

// muteFor is how long a connection may say nothing before it counts as one that never will.
const muteFor = 500 * time.Millisecond

// pressing is the same where no descriptor is left.
const pressing = 0
