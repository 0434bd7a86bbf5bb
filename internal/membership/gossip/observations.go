package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"cresspass/internal/membership/observation"
)

const (
	// observationSize is the size in bytes of an encoded observation without its strings: property, hops, age
	// in milliseconds, sequence number and value.
	observationSize = 1 + 1 + 4 + 8 + 8
	// pieceSize is the greatest size in bytes of the encoded observations in a packet. It leaves 64 bytes for
	// the sender's name in the header.
	pieceSize = MaxPacketSize - fixedHeaderSize - 64
)

// errTruncated is returned for bytes that end within an observation.
var errTruncated = errors.New("decode observations: truncated")

// EncodeObservations encodes observations in pieces that each fit a packet. Concatenated pieces can be
// decoded at once; they are stored in that form. Observations with a string of more than 255 bytes are left
// out.
func EncodeObservations(observations []observation.Observation) (pieces [][]byte) {
	var piece []byte
	for _, o := range observations {
		if max(len(o.Engine), len(o.Parameter), len(o.Observer)) > maxNameSize {
			continue
		}
		encoded := appendObservation(nil, o)
		if len(piece)+len(encoded) > pieceSize {
			pieces, piece = append(pieces, piece), nil
		}
		piece = append(piece, encoded...)
	}
	if len(piece) > 0 {
		pieces = append(pieces, piece)
	}
	return pieces
}

func appendObservation(b []byte, o observation.Observation) []byte {
	for _, s := range []string{o.Engine, o.Parameter, o.Observer} {
		b = append(b, byte(len(s)))
		b = append(b, s...)
	}
	b = append(b, byte(o.Property), o.Hops)
	b = binary.BigEndian.AppendUint32(b, uint32(min(o.Age.Milliseconds(), math.MaxUint32)))
	b = binary.BigEndian.AppendUint64(b, o.Seq)
	return binary.BigEndian.AppendUint64(b, math.Float64bits(o.Value))
}

// DecodeObservations decodes observations from untrusted bytes. It returns an error, and no observation, if
// the bytes end within an observation.
func DecodeObservations(b []byte) (observations []observation.Observation, err error) {
	for len(b) > 0 {
		var o observation.Observation
		if o, b, err = readObservation(b); err != nil {
			return nil, err
		}
		observations = append(observations, o)
	}
	return observations, nil
}

// readObservation decodes one observation and returns the bytes that follow it.
func readObservation(b []byte) (o observation.Observation, rest []byte, err error) {
	for _, field := range []*string{&o.Engine, &o.Parameter, &o.Observer} {
		if *field, b, err = readString(b); err != nil {
			return o, nil, err
		}
	}
	if len(b) < observationSize {
		return o, nil, errTruncated
	}
	o.Property, o.Hops = observation.Property(b[0]), b[1]
	o.Age = time.Duration(binary.BigEndian.Uint32(b[2:])) * time.Millisecond
	o.Seq = binary.BigEndian.Uint64(b[6:])
	o.Value = math.Float64frombits(binary.BigEndian.Uint64(b[14:]))
	return o, b[observationSize:], nil
}

// readString decodes a string with its length in one byte, and returns the bytes that follow it.
func readString(b []byte) (s string, rest []byte, err error) {
	if len(b) < 1 {
		return "", nil, errTruncated
	}
	end := 1 + int(b[0])
	if len(b) < end {
		return "", nil, errTruncated
	}
	return string(b[1:end]), b[end:], nil
}
