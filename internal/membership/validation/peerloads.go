package validation

import (
	"time"

	"cresspass"
)

// splitWindow is the time within which messages of one sender count as parts of one message, which was split
// because it exceeded the size limit.
const splitWindow = 100 * time.Millisecond

// peerLoads holds the loads that a member has last reported.
type peerLoads struct {
	receivedAt time.Duration
	threads    map[uint16]float64 // loads by the engines' tag
	knownTotal float64            // threads on engines known here
}

// sentThreads holds the threads of the queries that a member has sent to engines since a time.
type sentThreads struct {
	since          time.Duration
	known, unknown float64 // threads on engines that are known here, and on others
}

// recordLoads stores the loads of a message by its sender, and returns the loads of all parts of the message
// so far. Engines that share a tag have one entry each in a message; these entries add up. A later part
// replaces the loads that an earlier part has for a tag.
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

// isLoad reports whether an entry is a load, and not the mark of an ejected engine.
func isLoad(load cresspass.PeerLoad) bool { return load.Threads < cresspass.PeerLoadEjected }

// add adds threads to the load on the engines with a tag.
func (p *peerLoads) add(tag uint16, threads float64, known map[uint16]*engineGroup) {
	p.threads[tag] += threads
	if known[tag] != nil {
		p.knownTotal += threads
	}
}

// recomputeTotal sums the loads on the engines that are known now. Loads are whole numbers, so the order of
// addition does not matter.
func (p *peerLoads) recomputeTotal(known map[uint16]*engineGroup) {
	p.knownTotal = 0
	for tag, threads := range p.threads {
		if known[tag] != nil {
			p.knownTotal += threads
		}
	}
}
