package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// NodeBehavior is how all compute nodes of a plan answer during the whole run, in addition to its faults. The
// zero value is the normal behavior.
type NodeBehavior struct {
	CopyShare float64 // share of answers that are followed by a copy within maxDuplicateDelay
	ShedShare float64 // share of query starts that are shed
	FailShare float64 // share of query starts that fail
	Pages     int     // of each result; 0 for a random number up to maxPages
}

// String returns the shares and the number of pages as plans print them.
func (b NodeBehavior) String() string {
	return fmt.Sprintf("nodes copy %.2f, shed %.2f, fail %.2f, %d pages", b.CopyShare, b.ShedShare,
		b.FailShare, b.Pages)
}

// stressStream is the random stream of a stressed plan, separate from other draws with the same seed.
const stressStream = 0x57e6

// Parameters of a stressed plan, which replace or scale what was drawn.
const (
	stressSockets       = 48
	stressRateFactor    = 2.5
	stressPages         = maxPages
	stressShedShare     = 0.3
	stressFailShare     = 0.05
	stressFailureChance = 0.5             // share of plans in which nodes shed and fail query starts
	meanStallInterval   = 4 * time.Second // between stalls, over the whole fleet
)

// stressCopyShares are the values of CopyShare to draw from. Mostly all answers are copied. With the low
// share, the dispatcher has seen no copy for a while when the next one arrives.
var stressCopyShares = []float64{1, 1, 1, 0.03}

// addStress changes a plan so that rare conditions coincide: crowds that use up few descriptors, more
// requests than connections, compute nodes that send copies, and processes that are stopped while clients
// come and go.
func addStress(r *rand.Rand, p *Plan) {
	p.Sockets, p.Rate = stressSockets, p.Rate*stressRateFactor
	copyShare := stressCopyShares[r.IntN(len(stressCopyShares))]
	p.NodeBehavior = NodeBehavior{CopyShare: copyShare, Pages: stressPages}
	if r.Float64() < stressFailureChance {
		p.NodeBehavior.ShedShare, p.NodeBehavior.FailShare = stressShedShare, stressFailShare
	}
	addCrowd(p)
	at := quietAtStart + exponential(r, meanStallInterval)
	for at < p.Duration-quietAtEnd {
		dispatcher := r.IntN(p.Dispatchers)
		clients := Fault{At: at, Duration: extraLongFault, Kind: ClientsSendAndCancel, Dispatcher: dispatcher}
		stall := Fault{At: at + maxPause, Duration: maxPause, Kind: Pause, Dispatcher: dispatcher}
		p.Faults = append(p.Faults, clients, stall)
		at += exponential(r, meanStallInterval)
	}
}
