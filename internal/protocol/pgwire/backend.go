package pgwire

import "encoding/binary"

// Lengths of the secret key of a session, in bytes: exactly minSecret before protocol version 3.2.
const (
	minSecret = 4
	maxSecret = 256
)

// ParseKey reads a BackendKeyData message: the process and secret that a CancelRequest must name.
func ParseKey(b []byte) (pid uint32, secret []byte, err error) {
	d := bodyDecoder{b: b}
	pid = uint32(d.int32())
	if len(d.b) < minSecret || len(d.b) > maxSecret {
		d.malformed = true
	}
	secret = append([]byte(nil), d.take(len(d.b))...)
	return pid, secret, d.end("BackendKeyData")
}

// AppendKey appends BackendKeyData.
func AppendKey(out []byte, pid uint32, secret []byte) []byte {
	out, at := begin(out, 'K')
	out = binary.BigEndian.AppendUint32(out, pid)
	return end(append(out, secret...), at)
}

// ParseStatus reads a ParameterStatus message: a parameter's name and value.
func ParseStatus(b []byte) (name, value []byte, err error) {
	d := bodyDecoder{b: b}
	name, value = d.text(), d.text()
	return name, value, d.end("ParameterStatus")
}

// AppendAuthOK appends AuthenticationOk.
func AppendAuthOK(out []byte) []byte { return append(out, 'R', 0, 0, 0, 8, 0, 0, 0, 0) }

// AppendReady appends ReadyForQuery; status is 'I', 'T' or 'E'.
func AppendReady(out []byte, status byte) []byte { return append(out, 'Z', 0, 0, 0, 5, status) }

// ParseTag reads a CommandComplete message and returns its command tag.
func ParseTag(b []byte) (tag []byte, err error) {
	d := bodyDecoder{b: b}
	tag = d.text()
	return tag, d.end("CommandComplete")
}
