package gossip

import (
	"time"

	"cresspass/internal/membership/observation"
)

// A starting node asks its peers for the model state that they have learnt, so that it need not learn it
// anew. Peers answer in numbered packets, or that they have none.

const (
	// maxBootstrapPeers is how many peers are asked, or have answered, at a time.
	maxBootstrapPeers = 9
	// enoughReportingPeers complete answers end the bootstrap once no more has come for
	// bootstrapSettleTime.
	enoughReportingPeers = 5
	bootstrapSettleTime  = 100 * time.Millisecond
	// bootstrapReplyTimeout is when a peer that has not answered is replaced by another.
	bootstrapReplyTimeout = 300 * time.Millisecond
	// discoveryTime is when the membership should have found the peers.
	discoveryTime = 300 * time.Millisecond

	// bootstrapReplyBurst and bootstrapRepliesPerSecond bound the answers to starting peers.
	bootstrapReplyBurst       = 8
	bootstrapRepliesPerSecond = 4
)

// bootstrapRequest is one peer's part in a bootstrap.
type bootstrapRequest struct {
	sentAt   time.Duration
	parts    map[byte]bool // packets of the answer that have come
	complete bool          // all of them
	empty    bool          // the peer has learnt nothing either
}

// outstanding reports whether the peer may still answer.
func (r *bootstrapRequest) outstanding(now time.Duration) bool {
	return !r.empty && !r.complete && now-r.sentAt < bootstrapReplyTimeout
}

// bootstrap is the state of a starting node's requests.
type bootstrap struct {
	timeout  time.Duration
	started  time.Duration
	done     bool
	requests map[string]*bootstrapRequest // by peer

	reporting      int           // peers with complete answers at the last step
	reportingSince time.Duration // since when they are so many
}

func newBootstrap(timeout, now time.Duration) bootstrap {
	return bootstrap{
		timeout:        timeout,
		started:        now,
		done:           timeout <= 0,
		requests:       map[string]*bootstrapRequest{},
		reportingSince: now,
	}
}

// acceptReply takes one packet of a peer's answer and reports whether its content is to be used. Answers of
// peers that were not asked are ignored: otherwise one lying member could answer under five names and
// outvote the honest peers.
func (b *bootstrap) acceptReply(name string, part, parts byte) bool {
	request := b.requests[name]
	if b.done || request == nil || request.empty {
		return false
	}
	if request.parts == nil {
		request.parts = map[byte]bool{}
	}
	request.parts[part] = true
	request.complete = len(request.parts) >= int(parts)
	return true
}

// markEmpty takes a peer's answer that it has learnt nothing.
func (b *bootstrap) markEmpty(name string) {
	if request := b.requests[name]; request != nil && request.parts == nil {
		request.empty = true
	}
}

// reportingPeers is how many peers have answered completely.
func (b *bootstrap) reportingPeers() (count int) {
	for _, request := range b.requests {
		if request.complete {
			count++
		}
	}
	return count
}

// outstanding is how many peers may still answer.
func (b *bootstrap) outstanding(now time.Duration) (count int) {
	for _, request := range b.requests {
		if request.outstanding(now) {
			count++
		}
	}
	return count
}

// finished reports whether the bootstrap is over: its time is up, all or enough peers have answered, or
// there is nobody left to ask. members is the number of peers that are known.
func (b *bootstrap) finished(now time.Duration, members int) bool {
	switch {
	case now-b.started >= b.timeout:
		return true
	case b.reporting >= maxBootstrapPeers:
		return true
	case b.reporting >= enoughReportingPeers && now-b.reportingSince >= bootstrapSettleTime:
		return true
	}
	discovered := members > 0 && now-b.started >= discoveryTime
	return discovered && len(b.requests) == members && b.outstanding(now) == 0
}

// stepBootstrap sends requests to peers and ends the bootstrap when it is finished.
func (n *Node) stepBootstrap(now time.Duration) {
	b := &n.bootstrap
	if b.done {
		return
	}
	n.requestModelState(now)
	if reporting := b.reportingPeers(); reporting != b.reporting {
		b.reporting, b.reportingSince = reporting, now
	}
	if b.finished(now, len(n.memberNames)) {
		b.done = true
		n.emit(Action{Type: CompleteBootstrap, ReportingPeers: b.reporting})
	}
}

// requestModelState asks random peers until enough have answered or may still do so.
func (n *Node) requestModelState(now time.Duration) {
	b := &n.bootstrap
	for _, i := range n.random.Perm(len(n.memberNames)) {
		if b.reportingPeers()+b.outstanding(now) >= maxBootstrapPeers {
			return
		}
		if name := n.memberNames[i]; b.requests[name] == nil {
			b.requests[name] = &bootstrapRequest{sentAt: now}
			n.sendPacket(now, name, kindBootstrapRequest, nil)
		}
	}
}

// answerBootstrap sends a starting peer the model state that was learnt here, or that there is none. The
// rate limit keeps a flood of joins, as after a power cut, from taking all of a running node's time.
func (n *Node) answerBootstrap(now time.Duration, to string) {
	parameters := n.store.OwnModelParameters(now)
	if len(parameters) == 0 || !n.bootstrapLimiter.AllowN(limiterTime(now), 1) {
		n.stats.BootstrapsDeclined++
		n.sendPacket(now, to, kindBootstrapEmpty, nil)
		return
	}
	n.stats.BootstrapsAnswered++
	packets := EncodeObservations(parameters)
	if len(packets) > maxReplyParts {
		return
	}
	for i, packet := range packets {
		n.sendPacket(now, to, kindBootstrapReply, appendReplyPart(byte(i), byte(len(packets)), packet))
	}
}

// handleBootstrapReply records a peer's model state; false: the packet is malformed. Answers that nobody
// asked for, or that come too late, are ignored: what was learnt here since then stands.
func (n *Node) handleBootstrapReply(now time.Duration, from string, data []byte) bool {
	part, parts, data, ok := readReplyPart(data)
	if !ok {
		return false
	}
	parameters, err := DecodeObservations(data)
	if err != nil {
		return false
	}
	if !n.bootstrap.acceptReply(from, part, parts) {
		return true
	}
	asOwnObservations(parameters, from)
	n.store.Receive(now, from, parameters)
	n.stats.ObservationsReceived += uint64(len(parameters))
	return true
}

// asOwnObservations attributes all observations to the peer that sent them: with observers of its choice a
// lying peer would count several times.
func asOwnObservations(observations []observation.Observation, peer string) {
	for i := range observations {
		observations[i].Observer, observations[i].Hops = peer, 0
	}
}
