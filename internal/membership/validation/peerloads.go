package validation

import (
	"time"

	"cresspass"
)

// splitWindow is the time within which messages of one sender are parts of one that was split, as it
// exceeded the size of a message.
const splitWindow = 100 * time.Millisecond

// peerLoads is what a member has last reported.
type peerLoads struct {
	receivedAt time.Duration
	threads    map[uint16]float64 // by the engine's tag
	total      float64
}

// recordLoads keeps the loads of a message by its sender and returns what the sender has reported in this
// message and those that it was split from.
func recordLoads(
	peers map[int]*peerLoads, from int, now time.Duration, loads []cresspass.PeerLoad,
) *peerLoads {
	p := peers[from]
	if p == nil || now-p.receivedAt > splitWindow {
		p = &peerLoads{receivedAt: now, threads: map[uint16]float64{}}
		if len(peers) < maxTrackedPeers {
			peers[from] = p
		}
	}
	for _, load := range loads {
		if load.Threads < cresspass.PeerLoadEjected { // that value calls an engine ejected: it is no load
			p.total += load.Threads - p.threads[load.Tag]
			p.threads[load.Tag] = load.Threads
		}
	}
	return p
}
