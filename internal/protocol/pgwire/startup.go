package pgwire

import (
	"encoding/binary"
	"fmt"
)

// Protocol versions, and the codes that other startup packets contain in place of a version ("Message
// Formats": StartupMessage and others).
const (
	Version30  = 3 << 16
	Version32  = 3<<16 | 2
	CodeCancel = 1234<<16 | 5678
	CodeTLS    = 1234<<16 | 5679
	CodeGSS    = 1234<<16 | 5680
)

// majorVersion is the major protocol version that is supported, with all its minor versions.
const majorVersion = 3

// Startup is a packet of the startup phase: a StartupMessage, CancelRequest, SSLRequest or GSSENCRequest.
type Startup struct {
	Code       uint32 // a version, or one of the Code constants
	Parameters map[string]string
	PID        uint32 // of a CancelRequest
	Secret     []byte // of a CancelRequest: 4 bytes, or up to 256 from protocol version 3.2 on
}

// ParseStartup parses a packet of the startup phase without its length ("Message Formats", "Canceling
// Requests in Progress").
func ParseStartup(b []byte) (s Startup, err error) {
	d := bodyDecoder{b: b}
	s.Code = uint32(d.int32())
	switch {
	case s.Code == CodeTLS || s.Code == CodeGSS:
	case s.Code == CodeCancel:
		s.PID = uint32(d.int32())
		if n := len(d.b); n < minSecretSize || n > maxSecretSize {
			d.malformed = true
		}
		s.Secret = append([]byte(nil), d.take(len(d.b))...)
	case s.Code>>16 == majorVersion:
		s.Parameters = map[string]string{}
		for {
			name := d.text()
			if len(name) == 0 {
				break
			}
			s.Parameters[string(name)] = string(d.text())
		}
	default:
		return s, fmt.Errorf("pgwire: protocol version %d.%d is not served", s.Code>>16, s.Code&0xffff)
	}
	return s, d.end("startup packet")
}

// AppendStartup appends a StartupMessage of the given protocol version. parameters holds names, each followed
// by its value.
func AppendStartup(out []byte, version uint32, parameters ...string) []byte {
	out, at := beginUntyped(out)
	out = binary.BigEndian.AppendUint32(out, version)
	for _, s := range parameters {
		out = appendText(out, s)
	}
	return end(append(out, 0), at)
}

// AppendCancel appends a CancelRequest packet.
func AppendCancel(out []byte, pid uint32, secret []byte) []byte {
	out, at := beginUntyped(out)
	out = binary.BigEndian.AppendUint32(out, CodeCancel)
	out = binary.BigEndian.AppendUint32(out, pid)
	return end(append(out, secret...), at)
}

// AppendNegotiate appends a NegotiateProtocolVersion message: the newest supported version, and the names of
// the unknown protocol options ("Message Flow", "Start-up").
func AppendNegotiate(out []byte, version uint32, unknown []string) []byte {
	out, at := begin(out, 'v')
	out = binary.BigEndian.AppendUint32(out, version)
	out = binary.BigEndian.AppendUint32(out, uint32(len(unknown)))
	for _, s := range unknown {
		out = appendText(out, s)
	}
	return end(out, at)
}
