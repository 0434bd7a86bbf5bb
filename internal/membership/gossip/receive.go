package gossip

import (
	"encoding/binary"
	"slices"
	"time"

	"cresspass/internal/membership/ordinal"
	"cresspass/internal/membership/validation"
)

// HandlePacket handles a packet from the network. The caller has authenticated it as sent by a process of the
// fleet.
func (n *Node) HandlePacket(now time.Duration, packet []byte) {
	h, data, ok := readHeader(packet)
	if !ok {
		n.stats.PacketsMalformed++
		return
	}
	from, known := n.members[h.name]
	fresh := n.replayGuard.Accept(h.name, known, h.incarnation, h.seq)
	switch {
	case !known:
		n.stats.PacketsFromUnknown++
		return
	case !fresh:
		n.stats.PacketsReplayed++
		return
	}
	n.stats.PacketsAccepted++
	n.clock.AddSample(now, h.name, h.clock)
	if !n.handlePayload(now, from, h.kind, data) {
		n.stats.PacketsMalformed++
	}
}

// handlePayload handles the payload of an accepted packet; false: it is malformed.
func (n *Node) handlePayload(now time.Duration, from ordinal.Member, kind packetKind, data []byte) bool {
	switch kind {
	case kindMessage:
		n.handleMessage(now, from, data)
		return true
	case kindDigest:
		return n.handleDigest(now, from.Name, data)
	case kindObservations:
		return n.handleObservations(now, from.Name, data)
	case kindBootstrapRequest:
		n.answerBootstrap(now, from.Name)
		return true
	case kindBootstrapReply:
		return n.handleBootstrapReply(now, from.Name, data)
	case kindBootstrapEmpty:
		n.bootstrap.markEmpty(from.Name)
		return true
	case kindNameConflict:
		if len(data) == incarnationSize {
			n.conflictReported(now, from.Name, binary.BigEndian.Uint64(data))
		}
		return true
	default:
		return false
	}
}

// handleMessage delivers a message to the decision module, if its sender has an ordinal and the validator
// accepts it.
func (n *Node) handleMessage(now time.Duration, from ordinal.Member, data []byte) {
	if from.Claim < 0 {
		return
	}
	result := n.validator.Validate(now, n.clock.At(now), from.Claim, n.view.Count, data)
	if result == validation.Accepted {
		n.emit(Action{Type: DeliverMessage, From: from.Claim, Data: slices.Clone(data)})
	}
}

// handleDigest answers a peer's digest with the observations that the peer lacks; false: the digest is
// malformed.
func (n *Node) handleDigest(now time.Duration, from string, data []byte) bool {
	digest, ok := readDigest(data)
	if !ok {
		return false
	}
	for _, packet := range EncodeObservations(n.store.AnswerDigest(now, digest, maxDigestReply)) {
		n.sendPacket(now, from, kindObservations, packet)
	}
	return true
}

// handleObservations records a peer's observations; false: they are malformed.
func (n *Node) handleObservations(now time.Duration, from string, data []byte) bool {
	observations, err := DecodeObservations(data)
	if err != nil {
		return false
	}
	n.store.Receive(now, from, observations)
	n.stats.ObservationsReceived += uint64(len(observations))
	return true
}
