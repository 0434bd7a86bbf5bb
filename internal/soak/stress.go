package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// NodeBehavior is how all compute nodes of a plan answer from its start, beside its faults. The zero value is
// that of nodes without a fault.
type NodeBehavior struct {
	CopyShare float64 // answers of which a copy comes a second time, up to maxDuplicateDelay later
	ShedShare float64 // starts of queries that are shed
	FailShare float64 // starts of queries that fail
	Pages     int     // of each result; 0: as many as are drawn
}

// String lists the shares.
func (b NodeBehavior) String() string {
	return fmt.Sprintf("nodes copy %.2f, shed %.2f, fail %.2f, %d pages", b.CopyShare, b.ShedShare,
		b.FailShare, b.Pages)
}

// stressStream keeps the draws of a stressed plan apart from others of the same seed.
const stressStream = 0x57e6

// What a stressed plan has in place of what was drawn.
const (
	stressSockets    = 48
	stressRateFactor = 2.5
	stressPages      = maxPages
	stressShedShare  = 0.3
	stressFailShare  = 0.05
	stressedFailures = 0.5 // of the plans: nodes shed and fail starts
	meanStallSeries  = 4 * time.Second
)

// stressCopyShares are the shares of answers that are copied: mostly all; rarely means that no copy was seen
// for a while when the next one comes.
var stressCopyShares = []float64{1, 1, 1, 0.03}

// addStress has coincide in a plan what rarely does: few descriptors that crowds fill, more requests than
// connections, compute nodes that send copies, and processes that do not run while clients come and go.
func addStress(r *rand.Rand, p *Plan) {
	p.Sockets, p.Rate = stressSockets, p.Rate*stressRateFactor
	copyShare := stressCopyShares[r.IntN(len(stressCopyShares))]
	p.NodeBehavior = NodeBehavior{CopyShare: copyShare, Pages: stressPages}
	if r.Float64() < stressedFailures {
		p.NodeBehavior.ShedShare, p.NodeBehavior.FailShare = stressShedShare, stressFailShare
	}
	addCrowd(p)
	at := quietAtStart + exponential(r, meanStallSeries)
	for at < p.Duration-quietAtEnd {
		dispatcher := r.IntN(p.Dispatchers)
		clients := Fault{At: at, Duration: extraLongFault, Kind: MalformedClients, Dispatcher: dispatcher}
		stall := Fault{At: at + maxPause, Duration: maxPause, Kind: Pause, Dispatcher: dispatcher}
		p.Faults = append(p.Faults, clients, stall)
		at += exponential(r, meanStallSeries)
	}
}
