package cresspass

import (
	"hash/fnv"
)

// The form of messages between gateways: a first byte for the type, then entries of an engine's tag in two
// bytes, its load in threads and, in a report, a byte of two counts. What is told and when, and what is made
// of it, is decided in gateway.go.

// peerMessageType is the type of a message.
type peerMessageType byte

const (
	peerLoadReport     peerMessageType = 1 // a gateway to the hub: what it runs where and how attempts ended
	peerAggregate      peerMessageType = 2 // the hub to all: the load of every engine
	peerSendNotice     peerMessageType = 3 // a gateway to the hub: a query just sent
	peerForwardedSends peerMessageType = 4 // the hub to all: queries just sent

	maxPeerMessageBytes = 255 // longest message
	maxPeerLoad         = 255 // largest load an entry can tell
	maxPeerCount        = 15  // largest count an entry can tell
)

// peerEntry tells of one engine.
type peerEntry struct {
	tag               uint16
	load              float64
	succeeded, failed int // in reports
}

// PeerLoad is what a message tells of one engine.
type PeerLoad struct {
	Tag               uint16
	Threads           float64
	Succeeded, Failed int // in reports: answers, and failures or lost answers
}

// DecodePeerMessage reads a message for who weighs it before a gateway takes it. Report is a gateway's of
// what it runs, sums a hub's of what all run, else it tells of queries just sent; relayed: by a hub. ok
// false: it is of no known type.
func DecodePeerMessage(data []byte) (report, sums, relayed bool, loads []PeerLoad, ok bool) {
	m, entries := decodePeerMessage(data)
	for _, e := range entries {
		loads = append(loads, PeerLoad{e.tag, e.load, e.succeeded, e.failed})
	}
	return m == peerLoadReport, m == peerAggregate, m == peerForwardedSends, loads, m != 0
}

// PeerLoadEjected is the load by which sums call an engine sick.
const PeerLoadEjected = maxPeerLoad

// EngineTag stands for an engine's ID in messages.
func EngineTag(id EngineID) uint16 { return engineTag(id) }

// engineTag stands for an engine's ID in messages.
func engineTag(id EngineID) uint16 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return uint16(h.Sum32() ^ h.Sum32()>>16)
}

func peerEntryBytes(m peerMessageType) int {
	if m == peerLoadReport {
		return 4
	}
	return 3
}

// encodePeerMessage returns messages that together hold the entries, at least one message. Values are
// clipped.
func encodePeerMessage(m peerMessageType, entries []peerEntry) [][]byte {
	messages := [][]byte{{byte(m)}}
	for _, e := range entries {
		last := len(messages) - 1
		if len(messages[last])+peerEntryBytes(m) > maxPeerMessageBytes {
			messages = append(messages, []byte{byte(m)})
			last++
		}
		data := append(messages[last], byte(e.tag>>8), byte(e.tag), byte(min(max(e.load, 0), maxPeerLoad)))
		if m == peerLoadReport {
			data = append(data, byte(min(e.succeeded, maxPeerCount)<<4|min(e.failed, maxPeerCount)))
		}
		messages[last] = data
	}
	return messages
}

// decodePeerMessage reads a message of any bytes. A type it does not know, and an entry cut short, are left
// out.
func decodePeerMessage(data []byte) (m peerMessageType, entries []peerEntry) {
	if len(data) == 0 || peerMessageType(data[0]) < peerLoadReport ||
		peerMessageType(data[0]) > peerForwardedSends {
		return 0, nil
	}
	m = peerMessageType(data[0])
	for i, n := 1, peerEntryBytes(m); i+n <= len(data); i += n {
		e := peerEntry{tag: uint16(data[i])<<8 | uint16(data[i+1]), load: float64(data[i+2])}
		if m == peerLoadReport {
			e.succeeded, e.failed = int(data[i+3]>>4), int(data[i+3]&maxPeerCount)
		}
		entries = append(entries, e)
	}
	return m, entries
}
