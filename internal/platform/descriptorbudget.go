package platform

import "sync/atomic"

// Shares of the descriptors.
const (
	evictAboveShare     = 0.42 // of all: above so many client connections, new ones evict old ones
	reservedDescriptors = 24   // for all else: discovery, the listener, the log, overflow, a file read
	headroomDivisor     = 16   // one descriptor in so many is kept free of calls to compute nodes
	minNodeConns        = 8    // connections to compute nodes, whatever clients do
)

// descriptorBudget shares the descriptors between client connections and connections to compute nodes.
// Either may use what the other leaves, so that neither a flood of clients nor a backlog of queries
// starves the other. It is for any number of goroutines: only clientConns changes, and the frontend alone
// stores it.
type descriptorBudget struct {
	total       int // for client connections and connections to compute nodes together
	evictAbove  int // client connections, above which new ones evict old ones
	headroom    int // kept free of calls to compute nodes, for clients that connect
	clientConns atomic.Int32
}

// newDescriptorBudget returns the budget of a process that may hold so many descriptors.
func newDescriptorBudget(sockets int) *descriptorBudget {
	return &descriptorBudget{total: sockets - reservedDescriptors,
		evictAbove: int(evictAboveShare * float64(sockets)), headroom: sockets / headroomDivisor}
}

// maxNodeConns is how many connections to compute nodes there may be now.
func (b *descriptorBudget) maxNodeConns() int {
	return max(b.total-int(b.clientConns.Load())-b.headroom, minNodeConns)
}

// urgentNodeConns is how many connections to compute nodes there may be beyond maxNodeConns: for health
// checks, and for calls that cancel a query.
func (b *descriptorBudget) urgentNodeConns() int { return b.headroom / 2 }

// clientsExhausted reports whether clients hold all that is left beside so many connections to compute nodes.
// Without this limit a flood of idle clients takes the descriptors of the urgent calls, and then the one of
// discovery.
func (b *descriptorBudget) clientsExhausted(nodeConns int) bool {
	return int(b.clientConns.Load()) >= b.total-max(nodeConns, minNodeConns+b.urgentNodeConns())
}
