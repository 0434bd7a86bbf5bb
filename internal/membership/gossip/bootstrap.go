package gossip

import (
	"time"

	"cresspass/internal/membership/observation"
)

// A starting node requests the model state that its peers have learnt, so that it need not learn it again.
// Peers answer with numbered packets, or with a packet of kindBootstrapEmpty if they send none.

const (
	// maxBootstrapPeers bounds the number of peers that have answered completely or may still answer.
	maxBootstrapPeers = 9
	// enoughReportingPeers is the number of complete answers that end the bootstrap once no further complete
	// answer has arrived for bootstrapSettleTime.
	enoughReportingPeers = 5
	bootstrapSettleTime  = 100 * time.Millisecond
	// bootstrapReplyTimeout is how long after its request a peer that has not answered is replaced by
	// another.
	bootstrapReplyTimeout = 300 * time.Millisecond
	// discoveryTime is how long after the start the node assumes that the membership has found all peers.
	discoveryTime = 300 * time.Millisecond

	// bootstrapReplyBurst and bootstrapRepliesPerSecond limit the rate of answers to starting peers.
	bootstrapReplyBurst       = 8
	bootstrapRepliesPerSecond = 4
)

// bootstrapRequest is the state of the request to one peer.
type bootstrapRequest struct {
	sentAt   time.Duration
	parts    map[byte]bool // numbers of the answer's packets that have arrived
	complete bool          // all packets have arrived
	empty    bool          // the peer has no model state
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
	reportingSince time.Duration // when that number last changed
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

// acceptReply records one packet of a peer's answer and reports whether the packet's content is to be used.
// Answers of peers that were not asked are ignored: otherwise one Byzantine member could answer under five
// names and outvote the honest peers.
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

// markEmpty records a peer's answer that it has no model state.
func (b *bootstrap) markEmpty(name string) {
	if request := b.requests[name]; request != nil && request.parts == nil {
		request.empty = true
	}
}

// reportingPeers returns how many peers have answered completely.
func (b *bootstrap) reportingPeers() (count int) {
	for _, request := range b.requests {
		if request.complete {
			count++
		}
	}
	return count
}

// outstanding returns how many peers may still answer.
func (b *bootstrap) outstanding(now time.Duration) (count int) {
	for _, request := range b.requests {
		if request.outstanding(now) {
			count++
		}
	}
	return count
}

// finished reports whether the bootstrap is over: it has timed out, enough peers have answered, or no peer is
// left to ask or to wait for. members is the number of known peers.
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

// answerBootstrap sends a starting peer the model state that was learnt here. If there is none, or if too
// many peers ask, it sends a kindBootstrapEmpty. The rate limit keeps a flood of joins, as after a power cut,
// from taking all of a running node's time. Model state of more than maxReplyParts packets is not sent.
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

// handleBootstrapReply records a peer's model state; false: the packet is malformed. Answers that were not
// requested, or that arrive after the bootstrap, are ignored: the values that were learnt here since then are
// kept.
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

// asOwnObservations attributes all observations to the peer that sent them: a Byzantine peer that named
// several observers would otherwise count several times.
func asOwnObservations(observations []observation.Observation, peer string) {
	for i := range observations {
		observations[i].Observer, observations[i].Hops = peer, 0
	}
}
