package pgwire

import "encoding/binary"

// Limits of the length of a session's secret key, in bytes. Before protocol version 3.2 it is always
// minSecretSize.
const (
	minSecretSize = 4
	maxSecretSize = 256
)

// ParseKey parses the body of a BackendKeyData message: the process ID and the secret that a CancelRequest
// must contain.
func ParseKey(b []byte) (pid uint32, secret []byte, err error) {
	d := bodyDecoder{b: b}
	pid = uint32(d.int32())
	if len(d.b) < minSecretSize || len(d.b) > maxSecretSize {
		d.malformed = true
	}
	secret = append([]byte(nil), d.take(len(d.b))...)
	return pid, secret, d.end("BackendKeyData")
}

// AppendKey appends a BackendKeyData message.
func AppendKey(out []byte, pid uint32, secret []byte) []byte {
	out, at := begin(out, 'K')
	out = binary.BigEndian.AppendUint32(out, pid)
	return end(append(out, secret...), at)
}

// ParseStatus parses the body of a ParameterStatus message: a parameter's name and value.
func ParseStatus(b []byte) (name, value []byte, err error) {
	d := bodyDecoder{b: b}
	name, value = d.text(), d.text()
	return name, value, d.end("ParameterStatus")
}

// AppendAuthOK appends an AuthenticationOk message.
func AppendAuthOK(out []byte) []byte { return append(out, 'R', 0, 0, 0, 8, 0, 0, 0, 0) }

// AppendReady appends a ReadyForQuery message. The transaction status is 'I', 'T' or 'E'.
func AppendReady(out []byte, status byte) []byte { return append(out, 'Z', 0, 0, 0, 5, status) }

// ParseTag parses the body of a CommandComplete message and returns its command tag.
func ParseTag(b []byte) (tag []byte, err error) {
	d := bodyDecoder{b: b}
	tag = d.text()
	return tag, d.end("CommandComplete")
}
