// Package ticket encodes and signs Flight tickets, and decides whether a fetch of a ticket may run the
// ticket's statement. A ticket carries its statement, so a ticket that is never fetched takes no memory here.
// A FetchLedger remembers only the fetches of statements that may change data, until their tickets have
// expired. The package does no I/O and reads no clock.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// Ticket lets a client fetch the rows of a statement.
type Ticket struct {
	Nonce          uint64        // unique among the tickets of one dispatcher process
	Session        string        // token of the session that may fetch it
	Transaction    string        // id; "": none
	Text           string        // of the statement
	ParameterTypes string        // OIDs, 4 bytes each
	BindBody       []byte        // body of PostgreSQL's Bind message, without its two names
	ExpiresAt      time.Duration // on the server's clock, as is now in FetchLedger.BeginFetch
	SingleUse      bool          // the statement may change data: at most one fetch runs it
}

// Errors of Open and FetchLedger.BeginFetch. Clients receive their texts.
var (
	ErrForged       = errors.New("the ticket is not one of this dispatcher's")
	ErrOtherSession = errors.New("the ticket belongs to another session")
	ErrExpired      = errors.New(
		"the ticket has ended: ask for another; its statement was not run by this fetch")
	ErrAlreadyFetched = errors.New(
		"the ticket was fetched before, and its statement may have run: it is not run again")
	ErrLedgerFull = errors.New("too many tickets of statements that change data are out")

	errTruncated = fmt.Errorf("%w: it is cut", ErrForged)
)

// The sealed form: a version byte, a flags byte, the nonce and the expiry as big-endian numbers of 8 bytes
// each, then five parts (session, transaction, text, parameter types, Bind body), each after its length as a
// varint, and the HMAC-SHA-256 signature of all that.
const (
	formatVersion = 1
	flagSingleUse = 1
	nonceOffset   = 2
	expiryOffset  = nonceOffset + 8
	partsOffset   = expiryOffset + 8
	partCount     = 5
)

// Seal encodes and signs a ticket.
func Seal(key []byte, t *Ticket) []byte {
	b := []byte{formatVersion, 0}
	if t.SingleUse {
		b[1] = flagSingleUse
	}
	b = binary.BigEndian.AppendUint64(b, t.Nonce)
	b = binary.BigEndian.AppendUint64(b, uint64(t.ExpiresAt))
	for _, part := range []string{t.Session, t.Transaction, t.Text, t.ParameterTypes, string(t.BindBody)} {
		b = binary.AppendUvarint(b, uint64(len(part)))
		b = append(b, part...)
	}
	return append(b, sign(key, b)...)
}

func sign(key, b []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(b)
	return mac.Sum(nil)
}

// Open verifies and decodes a ticket that Seal made with the key. For any other input the error is ErrForged.
func Open(key, sealed []byte) (*Ticket, error) {
	n := len(sealed) - sha256.Size
	if n < partsOffset {
		return nil, errTruncated
	}
	b, signature := sealed[:n], sealed[n:]
	if !hmac.Equal(sign(key, b), signature) {
		return nil, ErrForged
	}
	if b[0] != formatVersion {
		return nil, fmt.Errorf("%w: version %d", ErrForged, b[0])
	}
	parts, err := splitParts(b[partsOffset:])
	if err != nil {
		return nil, err
	}
	t := &Ticket{
		SingleUse:      b[1] == flagSingleUse,
		Nonce:          binary.BigEndian.Uint64(b[nonceOffset:]),
		ExpiresAt:      time.Duration(binary.BigEndian.Uint64(b[expiryOffset:])),
		Session:        string(parts[0]),
		Transaction:    string(parts[1]),
		Text:           string(parts[2]),
		ParameterTypes: string(parts[3]),
	}
	if len(parts[4]) > 0 {
		t.BindBody = append([]byte(nil), parts[4]...)
	}
	return t, nil
}

func splitParts(b []byte) (parts [partCount][]byte, err error) {
	for i := range parts {
		size, n := binary.Uvarint(b)
		if n <= 0 || size > uint64(len(b)-n) {
			return parts, errTruncated
		}
		end := n + int(size)
		parts[i], b = b[n:end], b[end:]
	}
	return parts, nil
}
