package gossip

import (
	"encoding/binary"
	"math"
	"time"

	"cresspass/internal/membership/observation"
)

// packetKind is the kind of a packet, as encoded in its header.
type packetKind byte

const (
	kindMessage          packetKind = 1 // a message of the decision module
	kindDigest           packetKind = 2 // a digest: the sender requests the observations that it lacks
	kindObservations     packetKind = 3 // observations
	kindBootstrapRequest packetKind = 4 // the sender starts, and requests the model state
	kindBootstrapReply   packetKind = 5 // part number, number of parts, then model parameters as observations
	kindBootstrapEmpty   packetKind = 6 // no model state: nothing was learnt, or too many peers ask
	kindNameConflict     packetKind = 7 // incarnation of another process that has the receiver's name
)

const (
	packetVersion = 2
	// MaxPacketSize is the greatest size of a packet in bytes; networks may fragment larger packets.
	MaxPacketSize = 1200
	// fixedHeaderSize is the size in bytes of a header without its name.
	fixedHeaderSize = 27
	// maxNameSize is the greatest size in bytes of a string whose length is encoded in one byte.
	maxNameSize = math.MaxUint8
	// incarnationSize is the size in bytes of an incarnation in the payload of kindNameConflict.
	incarnationSize = 8
	// replyPartSize is the size in bytes of the part number and the number of parts of kindBootstrapReply.
	replyPartSize = 2
	maxReplyParts = math.MaxUint8
)

// header begins each packet: version, kind, and the sender's incarnation, sequence number, clock in
// milliseconds and name. The length of the name precedes it in one byte. Integers are big-endian.
type header struct {
	kind        packetKind
	incarnation uint64
	seq         uint64
	clock       time.Duration // the fleet's clock, as the sender estimates it
	name        string
}

// encode returns a packet of the header and a payload.
func (h header) encode(data []byte) []byte {
	b := make([]byte, 0, fixedHeaderSize+len(h.name)+len(data))
	b = append(b, packetVersion, byte(h.kind))
	b = binary.BigEndian.AppendUint64(b, h.incarnation)
	b = binary.BigEndian.AppendUint64(b, h.seq)
	b = binary.BigEndian.AppendUint64(b, uint64(max(h.clock, 0).Milliseconds()))
	b = append(b, byte(len(h.name)))
	b = append(b, h.name...)
	return append(b, data...)
}

// readHeader decodes the header of an untrusted packet and returns the payload that follows it; false: the
// packet is malformed, or of another version.
func readHeader(b []byte) (h header, data []byte, ok bool) {
	if len(b) < fixedHeaderSize || b[0] != packetVersion {
		return h, nil, false
	}
	end := fixedHeaderSize + int(b[fixedHeaderSize-1])
	if len(b) < end {
		return h, nil, false
	}
	h.kind = packetKind(b[1])
	h.incarnation = binary.BigEndian.Uint64(b[2:])
	h.seq = binary.BigEndian.Uint64(b[10:])
	milliseconds := min(binary.BigEndian.Uint64(b[18:]), math.MaxInt64/uint64(time.Millisecond))
	h.clock = time.Duration(milliseconds) * time.Millisecond
	h.name = string(b[fixedHeaderSize:end])
	return h, b[end:], true
}

// appendDigest returns the payload of kindDigest.
func appendDigest(digest observation.Digest) []byte {
	b := make([]byte, 0, 8*len(digest))
	for _, bucket := range digest {
		b = binary.BigEndian.AppendUint64(b, bucket)
	}
	return b
}

// readDigest decodes the payload of kindDigest; false: it has another size.
func readDigest(b []byte) (digest observation.Digest, ok bool) {
	if len(b) != 8*len(digest) {
		return digest, false
	}
	for i := range digest {
		digest[i] = binary.BigEndian.Uint64(b[8*i:])
	}
	return digest, true
}

// appendReplyPart returns the payload of one packet of a bootstrap reply.
func appendReplyPart(part, parts byte, observations []byte) []byte {
	return append([]byte{part, parts}, observations...)
}

// readReplyPart decodes the payload of one packet of a bootstrap reply; false: it is malformed.
func readReplyPart(b []byte) (part, parts byte, observations []byte, ok bool) {
	if len(b) < replyPartSize || b[0] >= b[1] {
		return 0, 0, nil, false
	}
	return b[0], b[1], b[replyPartSize:], true
}
