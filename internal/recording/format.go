// Package recording is the form in which a dispatcher keeps what it took, for the model to replay: times,
// classes, fingerprints, outcomes and durations, no text. A file is a header and blocks, each with its
// checksum; what stands in whole blocks is read whatever became of the rest.
package recording

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Outcome is how a query ended.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota
	Rejected
	Failed
	Abandoned
	outcomeCount
)

func (o Outcome) String() string {
	if o >= outcomeCount {
		return "unknown"
	}
	return [...]string{"served", "refused", "failed", "given up"}[o]
}

// Entry is one query that was taken and has ended.
type Entry struct {
	ArrivedAt   time.Duration // since the recording's start
	Elapsed     time.Duration // until its final answer
	Class       string
	Tenant      string
	Dispatcher  string
	Fingerprint uint64        // of its text's shape
	Key         uint64        // a hash of its order key; 0: none
	Cost        time.Duration // as it was told, thread time; 0: it was not
	Threads     float64       // 0: not known
	Outcome     Outcome
	IsRetry     bool // its client had asked before
	IsWrite     bool
}

// Header begins a file.
type Header struct {
	Start time.Time // by the wall clock; entries' times count from here
}

var magic = [4]byte{'c', 'r', 'p', 'r'}

const (
	version    = 1
	headerSize = 16
	// MaxBlockEntries is the most entries of a block.
	MaxBlockEntries = 4096
	blockHeaderSize = 12 // length, checksum
	maxBlockBytes   = 1 << 22
)

// Errors of reading.
var (
	ErrTruncated = errors.New("recording: the last block is cut")
	ErrDamaged   = errors.New("recording: a block is damaged")
)

// AppendHeader appends a header.
func AppendHeader(b []byte, h Header) []byte {
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint32(b, version)
	return binary.LittleEndian.AppendUint64(b, uint64(h.Start.UnixMicro()))
}

// AppendBlock appends a block of entries, which are in the order of their times; at most MaxBlockEntries.
func AppendBlock(b []byte, entries []Entry) []byte {
	head := len(b)
	b = append(b, make([]byte, blockHeaderSize)...)
	names, list := map[string]uint64{}, []string{}
	name := func(s string) uint64 {
		if _, known := names[s]; !known {
			names[s] = uint64(len(list))
			list = append(list, s)
		}
		return names[s]
	}
	var body []byte
	last := time.Duration(0)
	for i := range entries {
		e := &entries[i]
		body = binary.AppendVarint(body, (e.ArrivedAt - last).Microseconds())
		last = e.ArrivedAt.Truncate(time.Microsecond)
		body = binary.AppendUvarint(body, uint64(max(e.Elapsed, 0).Microseconds()))
		for _, s := range []string{e.Class, e.Tenant, e.Dispatcher} {
			body = binary.AppendUvarint(body, name(s))
		}
		body = binary.LittleEndian.AppendUint64(body, e.Fingerprint)
		body = binary.LittleEndian.AppendUint64(body, e.Key)
		body = binary.AppendUvarint(body, uint64(max(e.Cost, 0).Microseconds()))
		body = binary.LittleEndian.AppendUint32(body, math.Float32bits(float32(e.Threads)))
		flags := byte(e.Outcome)
		if e.IsRetry {
			flags |= 0x10
		}
		if e.IsWrite {
			flags |= 0x20
		}
		body = append(body, flags)
	}
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, s := range list {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	b = binary.AppendUvarint(b, uint64(len(entries)))
	b = append(b, body...)
	payload := b[head+blockHeaderSize:]
	binary.LittleEndian.PutUint32(b[head:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[head+4:], xxhash.Sum64(payload))
	return b
}

// decoder reads a payload. Its first error stands.
type decoder struct {
	rest []byte
	err  error
}

func (c *decoder) take(n uint64) []byte {
	if c.err != nil || n > uint64(len(c.rest)) {
		c.err = ErrDamaged
		return make([]byte, min(n, 8))
	}
	out := c.rest[:n]
	c.rest = c.rest[n:]
	return out
}

func (c *decoder) uvarint() uint64 { return decodeNumber(c, binary.Uvarint) }
func (c *decoder) varint() int64   { return decodeNumber(c, binary.Varint) }

func decodeNumber[T int64 | uint64](c *decoder, read func([]byte) (T, int)) T {
	v, n := read(c.rest)
	if n <= 0 {
		c.err = ErrDamaged
		return 0
	}
	c.rest = c.rest[n:]
	return v
}

func microseconds(v uint64) time.Duration {
	return time.Duration(min(v, math.MaxInt64/1000)) * time.Microsecond
}

func decodeBlock(payload []byte) ([]Entry, error) {
	c := &decoder{rest: payload}
	n := c.uvarint()
	if n > uint64(len(payload)) {
		return nil, ErrDamaged
	}
	list := make([]string, n)
	for i := range list {
		list[i] = string(c.take(c.uvarint()))
	}
	name := func() string {
		if i := c.uvarint(); c.err == nil && i < uint64(len(list)) {
			return list[i]
		}
		c.err = ErrDamaged
		return ""
	}
	n = c.uvarint()
	if c.err != nil || n > MaxBlockEntries {
		return nil, ErrDamaged
	}
	out := make([]Entry, n)
	last := time.Duration(0)
	for i := range out {
		e := &out[i]
		last += time.Duration(c.varint()) * time.Microsecond
		e.ArrivedAt, e.Elapsed = last, microseconds(c.uvarint())
		e.Class, e.Tenant, e.Dispatcher = name(), name(), name()
		e.Fingerprint = binary.LittleEndian.Uint64(c.take(8))
		e.Key = binary.LittleEndian.Uint64(c.take(8))
		e.Cost = microseconds(c.uvarint())
		e.Threads = float64(math.Float32frombits(binary.LittleEndian.Uint32(c.take(4))))
		flags := c.take(1)[0]
		e.Outcome, e.IsRetry, e.IsWrite = Outcome(flags&0x0f), flags&0x10 != 0, flags&0x20 != 0
		if c.err != nil || e.Outcome >= outcomeCount {
			return nil, ErrDamaged
		}
	}
	if len(c.rest) > 0 {
		return nil, ErrDamaged
	}
	return out, nil
}

// Reader reads a recording block by block.
type Reader struct {
	r      io.Reader
	Header Header
	// Skipped counts blocks whose checksum is wrong: they are left out.
	Skipped int
}

// NewReader reads the header.
func NewReader(r io.Reader) (*Reader, error) {
	b := make([]byte, headerSize)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, fmt.Errorf("recording: header: %w", err)
	}
	if [4]byte(b[:4]) != magic {
		return nil, errors.New("recording: this is none")
	}
	if v := binary.LittleEndian.Uint32(b[4:]); v != version {
		return nil, fmt.Errorf("recording: version %d, this program reads %d", v, version)
	}
	return &Reader{r: r, Header: Header{Start: time.UnixMicro(int64(binary.LittleEndian.Uint64(b[8:])))}}, nil
}

// Next returns the entries of the next block that is whole; io.EOF after the last one, ErrTruncated where the
// file ends within a block. A block that is damaged within is skipped; where its length cannot be, what
// follows is not found.
func (r *Reader) Next() ([]Entry, error) {
	for {
		var head [blockHeaderSize]byte
		if _, err := io.ReadFull(r.r, head[:]); err == io.EOF {
			return nil, io.EOF
		} else if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, ErrTruncated
		} else if err != nil {
			return nil, err
		}
		size := binary.LittleEndian.Uint32(head[:])
		if size > maxBlockBytes {
			return nil, ErrDamaged
		}
		payload := make([]byte, size)
		if _, err := io.ReadFull(r.r, payload); err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, ErrTruncated
		} else if err != nil {
			return nil, err
		}
		entries, err := decodeBlock(payload)
		if xxhash.Sum64(payload) == binary.LittleEndian.Uint64(head[4:]) && err == nil {
			return entries, nil
		}
		r.Skipped++
	}
}
