package platform

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"cresspass/internal/bytebudget"
	"cresspass/internal/protocol/thrift"
)

const (
	// maxFrameBytes is the length of the longest message that is accepted.
	maxFrameBytes = 128 << 10
	// freeMessageBytes is the part of a message that is read without a reservation. The header of a message
	// fits, so that a request can be rejected if there is no memory for the rest.
	freeMessageBytes = 1 << 10
)

var (
	// errMalformedFrame is the error for bytes that are not a valid message.
	errMalformedFrame = errors.New("platform: malformed frame")
	// errNoMemory is the error for a message that can't be kept because too many bytes are held already.
	errNoMemory = errors.New("platform: no memory left for a message")
)

// messageBuffer holds the message that is being read on a connection. It reserves memory as bytes arrive,
// not for the length that a client claims. It belongs to the goroutine that reads the connection.
type messageBuffer struct {
	memory   *memoryBudget
	bytes    []byte
	skipped  int                // bytes of the message that were not kept
	budget   *bytebudget.Budget // of the message
	reserved int64              // in budget
}

// read reads a message and returns it without its length. The message is valid until the next call. If there
// is no memory for it, read skips it and returns its beginning and errNoMemory.
func (b *messageBuffer) read(reader *bufio.Reader) ([]byte, error) {
	b.reset()
	var head [thrift.FrameHeaderBytes]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		return nil, err
	}
	claimed := binary.BigEndian.Uint32(head[:])
	if claimed == 0 || claimed > maxFrameBytes {
		return nil, errMalformedFrame
	}
	length := int(claimed)
	b.budget = b.memory.ofMessage(length)
	for len(b.bytes) < length {
		if !b.grow(length) {
			b.skipped = length - len(b.bytes)
			if _, err := io.CopyN(io.Discard, reader, int64(b.skipped)); err != nil {
				return nil, err
			}
			return b.bytes, errNoMemory
		}
		chunk := b.bytes[len(b.bytes):cap(b.bytes)]
		chunk = chunk[:min(len(chunk), length-len(b.bytes))]
		if _, err := io.ReadFull(reader, chunk); err != nil {
			return nil, err
		}
		b.bytes = b.bytes[:len(b.bytes)+len(chunk)]
	}
	return b.bytes, nil
}

// grow makes room for more bytes of a message of a length: it doubles the buffer. It returns false if there
// is no memory.
func (b *messageBuffer) grow(length int) bool {
	if len(b.bytes) < cap(b.bytes) {
		return true
	}
	size := min(max(2*cap(b.bytes), freeMessageBytes), length)
	if size > freeMessageBytes {
		more := int64(size) - b.reserved
		if !b.budget.TryReserve(more) {
			return false
		}
		b.reserved += more
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return true
}

// reserveRequest reserves what the request in the current message may hold while it is open, including the
// message itself. It returns false if there is no memory.
func (b *messageBuffer) reserveRequest() (*bytebudget.Reservation, bool) {
	total := int64(requestOverheadBytes + cap(b.bytes))
	if !b.budget.TryReserve(total - b.reserved) {
		return nil, false
	}
	b.reserved = 0
	return b.budget.Reservation(total), true
}

// length returns the length of the current message, including what was skipped.
func (b *messageBuffer) length() int { return len(b.bytes) + b.skipped }

// handOver leaves the current message to a request. The buffer does not use its memory any more.
func (b *messageBuffer) handOver() { b.bytes = nil }

// reset drops the current message. A short buffer is used again.
func (b *messageBuffer) reset() {
	if cap(b.bytes) > freeMessageBytes {
		b.bytes = nil
	}
	b.bytes, b.skipped = b.bytes[:0], 0
	if b.reserved > 0 {
		b.budget.Release(b.reserved)
		b.reserved = 0
	}
}
