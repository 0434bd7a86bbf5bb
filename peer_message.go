package cresspass

import "hash/fnv"

// The bytes of messages between gateways: a first byte for the type, then entries of an engine's tag in two
// bytes, its load in threads and, in a load report, a byte of two counts. A fleet may run two versions at
// once, so they do not change. What is sent when, and what is made of it, is decided in gossip.go.

// PeerMessageType is the type of a message between gateways.
type PeerMessageType byte

// The types of message.
const (
	PeerMessageUnknown PeerMessageType = 0
	PeerLoadReport     PeerMessageType = 1 // a gateway to the aggregator: what it runs, how attempts ended
	PeerAggregate      PeerMessageType = 2 // the aggregator to all: the load of every engine
	PeerSendNotice     PeerMessageType = 3 // a gateway to the aggregator: a query just sent
	PeerForwardedSends PeerMessageType = 4 // the aggregator to all: queries just sent
)

const (
	// PeerLoadEjected is the load by which an aggregate says that an engine is to be ejected.
	PeerLoadEjected = maxPeerLoad

	maxPeerMessageBytes = 255
	maxPeerLoad         = 255 // largest load an entry can hold
	maxPeerCount        = 15  // largest count an entry can hold
)

// PeerLoad is what a message says of one engine.
type PeerLoad struct {
	Tag               uint16
	Threads           float64
	Succeeded, Failed int // in load reports: answers, and failures or lost answers
}

// EngineTag stands for an engine's ID in messages.
func EngineTag(id EngineID) uint16 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return uint16(h.Sum32() ^ h.Sum32()>>16)
}

// entryBytes is the length of one entry.
func (m PeerMessageType) entryBytes() int {
	if m == PeerLoadReport {
		return 4
	}
	return 3
}

// encodePeerMessage returns messages that together hold the loads, at least one message. Values are
// clipped.
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

// DecodePeerMessage reads a message of any bytes, as a gateway does, for who validates it first. A message
// of a type it does not know is PeerMessageUnknown; an entry cut short is left out.
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
