package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"cresspass/internal/membership/observation"
)

// packetKind is that of a packet.
type packetKind byte

const (
	kindMessage          packetKind = 1 // a message of the module's
	kindDigest           packetKind = 2 // a digest: its sender wants what differs
	kindObservations     packetKind = 3 // records
	kindBootstrapRequest packetKind = 4 // its sender begins, and wants what was learnt
	kindBootstrapReply   packetKind = 5 // number of the part and how many there are, then records
	kindNameConflict     packetKind = 7 // another life of the receiver's name speaks from elsewhere: its number
	kindBootstrapEmpty   packetKind = 6 // an answer to kindBootstrapRequest: nothing was learnt, or too many ask
)

const (
	packetVersion = 2
	// MaxPacketSize is the most bytes of a packet; more may be cut by networks.
	MaxPacketSize   = 1200
	fixedHeaderSize = 27 // bytes of a header without the name
)

// header is what each packet begins with: version, kind, life, number and clock of its sender
// (milliseconds), name.
type header struct {
	kind        packetKind
	incarnation uint64
	seq         uint64
	clock       time.Duration
	name        string
}

func (h header) append(data []byte) []byte {
	b := make([]byte, 0, fixedHeaderSize+len(h.name)+len(data))
	b = append(b, packetVersion, byte(h.kind))
	b = binary.BigEndian.AppendUint64(b, h.incarnation)
	b = binary.BigEndian.AppendUint64(b, h.seq)
	b = binary.BigEndian.AppendUint64(b, uint64(max(h.clock, 0).Milliseconds()))
	b = append(b, byte(len(h.name)))
	return append(append(b, h.name...), data...)
}

func readHeader(b []byte) (h header, data []byte, ok bool) {
	if len(b) < fixedHeaderSize || b[0] != packetVersion ||
		len(b) < fixedHeaderSize+int(b[fixedHeaderSize-1]) {
		return h, nil, false
	}
	h.kind, h.incarnation, h.seq = packetKind(
		b[1],
	), binary.BigEndian.Uint64(
		b[2:],
	), binary.BigEndian.Uint64(
		b[10:],
	)
	ms := binary.BigEndian.Uint64(b[18:])
	h.clock = time.Duration(min(ms, math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
	end := fixedHeaderSize + int(b[fixedHeaderSize-1])
	h.name = string(b[fixedHeaderSize:end])
	return h, b[end:], true
}

func appendDigest(d observation.Digest) []byte {
	b := make([]byte, 0, 8*len(d))
	for _, v := range d {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	return b
}

func readDigest(b []byte) (d observation.Digest, ok bool) {
	if len(b) != 8*len(d) {
		return d, false
	}
	for i := range d {
		d[i] = binary.BigEndian.Uint64(b[8*i:])
	}
	return d, true
}

// EncodeObservations puts records into pieces that fit packets. Names of more than 255 bytes are left out.
func EncodeObservations(all []observation.Observation) (pieces [][]byte) {
	var b []byte
	for _, t := range all {
		if len(t.Engine) > 255 || len(t.Parameter) > 255 || len(t.Observer) > 255 {
			continue
		}
		var r []byte
		for _, s := range []string{t.Engine, t.Parameter, t.Observer} {
			r = append(append(r, byte(len(s))), s...)
		}
		r = append(r, byte(t.Property), t.Hops)
		r = binary.BigEndian.AppendUint32(r, uint32(min(t.Age.Milliseconds(), math.MaxUint32)))
		r = binary.BigEndian.AppendUint64(r, t.Seq)
		r = binary.BigEndian.AppendUint64(r, math.Float64bits(t.Value))
		if len(b)+len(r) > MaxPacketSize-fixedHeaderSize-64 {
			pieces, b = append(pieces, b), nil
		}
		b = append(b, r...)
	}
	if len(b) > 0 {
		pieces = append(pieces, b)
	}
	return pieces
}

var errTruncated = errors.New("talk: records are cut")

// DecodeObservations reads a piece of any bytes.
func DecodeObservations(b []byte) (all []observation.Observation, err error) {
	for len(b) > 0 {
		var t observation.Observation
		for _, to := range []*string{&t.Engine, &t.Parameter, &t.Observer} {
			if len(b) < 1 || len(b) < 1+int(b[0]) {
				return nil, errTruncated
			}
			*to, b = string(b[1:1+int(b[0])]), b[1+int(b[0]):]
		}
		if len(b) < 22 {
			return nil, errTruncated
		}
		t.Property, t.Hops = observation.Property(b[0]), b[1]
		t.Age = time.Duration(binary.BigEndian.Uint32(b[2:])) * time.Millisecond
		t.Seq = binary.BigEndian.Uint64(b[6:])
		t.Value = math.Float64frombits(binary.BigEndian.Uint64(b[14:]))
		b = b[22:]
		all = append(all, t)
	}
	return all, nil
}
