package platform

import "sync/atomic"

// How the file descriptors of the process are divided.
const (
	evictAboveShare     = 0.42 // of all; with more client connections, new ones evict old ones
	reservedDescriptors = 24   // for discovery, the listener, the log, overflow and reading a file
	headroomDivisor     = 16   // 1/headroomDivisor of all is kept free of ordinary calls to compute nodes
	minNodeConns        = 8    // connections to compute nodes that are always allowed
)

// descriptorBudget divides the file descriptors between client connections and connections to compute nodes.
// Each side may use what the other leaves, but neither a flood of clients nor a backlog of queries starves
// the other. It is safe for concurrent use: only clientConns changes, and only the frontend stores it.
type descriptorBudget struct {
	total       int // for client connections and connections to compute nodes together
	evictAbove  int // number of client connections above which new ones evict old ones
	headroom    int // kept free of ordinary calls to compute nodes, for new clients and urgent calls
	clientConns atomic.Int32
}

// newDescriptorBudget returns the budget of a process that may have sockets descriptors open.
func newDescriptorBudget(sockets int) *descriptorBudget {
	return &descriptorBudget{total: sockets - reservedDescriptors,
		evictAbove: int(evictAboveShare * float64(sockets)), headroom: sockets / headroomDivisor}
}

// maxNodeConns returns how many connections to compute nodes there may be now.
func (b *descriptorBudget) maxNodeConns() int {
	return max(b.total-int(b.clientConns.Load())-b.headroom, minNodeConns)
}

// urgentNodeConns returns how many connections to compute nodes there may be beyond maxNodeConns, for health
// checks and for calls that cancel a query.
func (b *descriptorBudget) urgentNodeConns() int { return b.headroom / 2 }

// clientsExhausted reports whether clients hold all descriptors that are left to them. Compute nodes get
// nodeConns connections, or minNodeConns and those of the urgent calls if that is more. Without this limit a
// flood of idle clients would take the descriptors of the urgent calls and then that of discovery.
func (b *descriptorBudget) clientsExhausted(nodeConns int) bool {
	return int(b.clientConns.Load()) >= b.total-max(nodeConns, minNodeConns+b.urgentNodeConns())
}
