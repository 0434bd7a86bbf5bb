package platform

import (
	"sync/atomic"
	"time"
)

// descriptorBudget shares the descriptors between clients and compute nodes. Either may use what the other
// leaves, so that neither a crowd of clients nor a jam of queries leaves the other without.
type descriptorBudget struct {
	total       int // for both
	evictAbove  int // connections of clients, from which old ones make room for new ones
	headroom    int // kept free of calls to compute nodes, for clients that come
	clientConns atomic.Int32
}

// Of all descriptors.
const (
	clientShare         = 0.42 // for clients: their front holds a third at most, and strangers come on top
	reservedDescriptors = 24   // for all else: discovery's connection, the listener, the log, the poller, a file read
	headroomDivisor     = 16   // one in so many is headroom
	minNodeConns        = 8    // connections to compute nodes, whatever clients do
)

func newDescriptorBudget(sockets int) *descriptorBudget {
	return &descriptorBudget{
		total:      sockets - reservedDescriptors,
		evictAbove: int(clientShare * float64(sockets)),
		headroom:   sockets / headroomDivisor,
	}
}

// maxNodeConns is how many connections to compute nodes there may be now.
func (b *descriptorBudget) maxNodeConns() int {
	return max(b.total-int(b.clientConns.Load())-b.headroom, minNodeConns)
}

// urgentNodeConns is how many connections to compute nodes there may be beyond nodes: of probes, and of
// calls that give a query up.
func (b *descriptorBudget) urgentNodeConns() int { return b.headroom / 2 }

// clientsExhausted reports whether clients hold all that is left beside so many connections to compute
// nodes. Danger: a crowd of idle clients would take the descriptors of the urgent calls, and then the one of
// discovery.
func (b *descriptorBudget) clientsExhausted(nodes int) bool {
	return int(b.clientConns.Load()) >= b.total-max(nodes, minNodeConns+b.urgentNodeConns())
}

// silentClientGrace is how long a connection may say nothing before it counts as one that never will.
const silentClientGrace = 500 * time.Millisecond

// noGrace is the same where no descriptor is left.
const noGrace = 0
