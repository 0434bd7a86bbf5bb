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
	threads    map[uint16]float64 // by the engines' tag
	knownTotal float64            // of engines known here
}

// sentThreads is what a member has sent to engines since a time.
type sentThreads struct {
	since          time.Duration
	known, unknown float64 // threads on engines that are known here, and on others
}

// recordLoads keeps the loads of a message by its sender and returns what the sender has reported in this
// message and those that it was split from. Engines with one tag have an entry each in a message, which add
// up; a later message replaces what an earlier one says of a tag.
func (v *Validator) recordLoads(
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
		if isLoad(load) {
			p.add(load.Tag, -p.threads[load.Tag], v.engines)
		}
	}
	for _, load := range loads {
		if isLoad(load) {
			p.add(load.Tag, load.Threads, v.engines)
		}
	}
	return p
}

// isLoad reports whether an entry is a load: the value may call an engine ejected instead.
func isLoad(load cresspass.PeerLoad) bool { return load.Threads < cresspass.PeerLoadEjected }

// add adds to the threads on the engines with a tag.
func (p *peerLoads) add(tag uint16, threads float64, known map[uint16]*engineGroup) {
	p.threads[tag] += threads
	if known[tag] != nil {
		p.knownTotal += threads
	}
}

// recomputeTotal adds up the loads of the engines known now. Loads are whole numbers, so that the order in
// which they are added does not matter.
func (p *peerLoads) recomputeTotal(known map[uint16]*engineGroup) {
	p.knownTotal = 0
	for tag, threads := range p.threads {
		if known[tag] != nil {
			p.knownTotal += threads
		}
	}
}
