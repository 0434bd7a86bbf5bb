package cresspass

import "hash/fnv"

// Encoding of messages between gateways. The first byte is the type. Entries follow: an engine's tag (two
// bytes, big-endian), its load in threads (one byte) and, in a load report, two 4-bit counts (one byte). The
// encoding must not change, as a fleet may run two versions at once. gossip.go decides when messages are
// sent and how they are used.

// PeerMessageType is the type of a message between gateways: its first byte.
type PeerMessageType byte

// The peer message types.
const (
	PeerMessageUnknown PeerMessageType = 0
	PeerLoadReport     PeerMessageType = 1 // gateway to aggregator: its threads, how its attempts ended
	PeerAggregate      PeerMessageType = 2 // aggregator to all: the load of every active engine
	PeerSendNotice     PeerMessageType = 3 // gateway to aggregator: a query that it just sent
	PeerForwardedSends PeerMessageType = 4 // aggregator to all: queries just sent
)

const (
	// PeerLoadEjected is the load that an aggregate gives an engine that fails and should be ejected.
	PeerLoadEjected = maxPeerLoad

	maxPeerMessageBytes = 255
	maxPeerLoad         = 255 // largest load an entry can hold
	maxPeerCount        = 15  // largest count an entry can hold
)

// PeerLoad is one entry of a peer message: the load of one engine.
type PeerLoad struct {
	Tag               uint16
	Threads           float64
	Succeeded, Failed int // in load reports only: answers; failures and lost answers
}

// EngineTag returns the hash that identifies an engine in peer messages. Two engines may share a tag.
func EngineTag(id EngineID) uint16 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return uint16(h.Sum32() ^ h.Sum32()>>16)
}

// entryBytes returns the encoded length of one entry, in bytes.
func (m PeerMessageType) entryBytes() int {
	if m == PeerLoadReport {
		return 4
	}
	return 3
}

// encodePeerMessage encodes the loads as one or more messages, each within maxPeerMessageBytes. Values
// beyond the range of the encoding are clipped.
func encodePeerMessage(m PeerMessageType, loads []PeerLoad) [][]byte {
	messages := [][]byte{{byte(m)}}
	last := &messages[0]
	for _, l := range loads {
		if len(*last)+m.entryBytes() > maxPeerMessageBytes {
			messages = append(messages, []byte{byte(m)})
			last = &messages[len(messages)-1]
		}
		threads := byte(min(max(l.Threads, 0), maxPeerLoad))
		*last = append(*last, byte(l.Tag>>8), byte(l.Tag), threads)
		if m == PeerLoadReport {
			*last = append(*last, byte(min(l.Succeeded, maxPeerCount)<<4|min(l.Failed, maxPeerCount)))
		}
	}
	return messages
}

// DecodePeerMessage decodes a peer message from untrusted bytes. Gateways use it, and so does code that
// validates messages first. It returns PeerMessageUnknown for a message of an unknown type and drops an
// entry that is cut short.
func DecodePeerMessage(data []byte) (m PeerMessageType, loads []PeerLoad) {
	if len(data) == 0 || data[0] < byte(PeerLoadReport) || data[0] > byte(PeerForwardedSends) {
		return PeerMessageUnknown, nil
	}
	m = PeerMessageType(data[0])
	for i, n := 1, m.entryBytes(); i+n <= len(data); i += n {
		l := PeerLoad{Tag: uint16(data[i])<<8 | uint16(data[i+1]), Threads: float64(data[i+2])}
		if m == PeerLoadReport {
			l.Succeeded, l.Failed = int(data[i+3]>>4), int(data[i+3]&maxPeerCount)
		}
		loads = append(loads, l)
	}
	return m, loads
}
