// Package recording stores the queries that a dispatcher admitted, for replay in the simulation: times,
// classes, fingerprints, outcomes and durations, but no query text. A file consists of a header and blocks,
// each with a checksum. Complete blocks can be read even if the rest of the file is damaged. The package owns
// the files in its directory that IsRecording accepts, and must never delay a query.
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

// Outcome is how a query ended. The numbers are stored in recordings.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota
	Rejected
	Failed
	Abandoned
	outcomeCount
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return "unknown"
	}
	return [...]string{"served", "refused", "failed", "given up"}[o]
}

// Entry is a query that was admitted and has ended.
type Entry struct {
	ArrivedAt   time.Duration // since Header.Start
	Elapsed     time.Duration // from arrival to the final answer
	Class       string
	Tenant      string
	Dispatcher  string
	Fingerprint uint64        // hash of the shape of its text
	Key         uint64        // hash of its ordering key; 0: none
	Cost        time.Duration // thread time as estimated by the client; 0: not given
	Threads     float64       // number of threads; 0: not known
	Outcome     Outcome
	IsRetry     bool // the client had sent the query before
	IsWrite     bool
}

// Header is the header of a file.
type Header struct {
	Start time.Time // by the wall clock; entries' times count from this time
}

var magic = [4]byte{'c', 'r', 'p', 'r'}

const (
	formatVersion = 1
	headerSize    = 16
	// MaxBlockEntries is the maximum number of entries in a block.
	MaxBlockEntries = 4096
	blockHeaderSize = 12 // length (4 bytes) and checksum (8 bytes)
	maxBlockBytes   = 1 << 22
)

// Errors of Reader.Next.
var (
	ErrTruncated = errors.New("recording: last block is truncated")
	ErrDamaged   = errors.New("recording: block is damaged")
)

// AppendHeader appends an encoded header to b.
func AppendHeader(b []byte, h Header) []byte {
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	return binary.LittleEndian.AppendUint64(b, uint64(h.Start.UnixMicro()))
}

// nameTable numbers the names in a block. The names are stored once, at the start of the block.
type nameTable struct {
	numbers map[string]uint64
	names   []string
}

func (t *nameTable) number(name string) uint64 {
	n, known := t.numbers[name]
	if !known {
		n = uint64(len(t.names))
		t.numbers[name] = n
		t.names = append(t.names, name)
	}
	return n
}

// The flags byte of an entry: the outcome in the lower four bits, flags above it.
const (
	outcomeMask = 0x0f
	flagRetry   = 0x10
	flagWrite   = 0x20
)

// AppendBlock appends a block of at most MaxBlockEntries entries to b. The entries are in the order of
// arrival.
func AppendBlock(b []byte, entries []Entry) []byte {
	head := len(b)
	b = append(b, make([]byte, blockHeaderSize)...)
	table := nameTable{numbers: map[string]uint64{}}
	var body []byte
	last := time.Duration(0)
	for i := range entries {
		body = appendEntry(body, &entries[i], last, &table)
		last = entries[i].ArrivedAt.Truncate(time.Microsecond)
	}
	b = binary.AppendUvarint(b, uint64(len(table.names)))
	for _, name := range table.names {
		b = binary.AppendUvarint(b, uint64(len(name)))
		b = append(b, name...)
	}
	b = binary.AppendUvarint(b, uint64(len(entries)))
	b = append(b, body...)
	payload := b[head+blockHeaderSize:]
	binary.LittleEndian.PutUint32(b[head:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[head+4:], xxhash.Sum64(payload))
	return b
}

// appendEntry appends an entry. Its arrival is stored relative to last, the arrival of the entry before.
// Durations are stored in microseconds.
func appendEntry(b []byte, e *Entry, last time.Duration, table *nameTable) []byte {
	b = binary.AppendVarint(b, (e.ArrivedAt - last).Microseconds())
	b = binary.AppendUvarint(b, uint64(max(e.Elapsed, 0).Microseconds()))
	for _, name := range []string{e.Class, e.Tenant, e.Dispatcher} {
		b = binary.AppendUvarint(b, table.number(name))
	}
	b = binary.LittleEndian.AppendUint64(b, e.Fingerprint)
	b = binary.LittleEndian.AppendUint64(b, e.Key)
	b = binary.AppendUvarint(b, uint64(max(e.Cost, 0).Microseconds()))
	b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(e.Threads)))
	flags := byte(e.Outcome)
	if e.IsRetry {
		flags |= flagRetry
	}
	if e.IsWrite {
		flags |= flagWrite
	}
	return append(b, flags)
}

// decoder reads the payload of a block. After the first error err stays set, and results are meaningless.
type decoder struct {
	rest  []byte
	names []string
	err   error
}

func (d *decoder) take(n uint64) []byte {
	if d.err != nil || n > uint64(len(d.rest)) {
		d.err = ErrDamaged
		return make([]byte, min(n, 8))
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

func (d *decoder) uvarint() uint64 { return decodeNumber(d, binary.Uvarint) }
func (d *decoder) varint() int64   { return decodeNumber(d, binary.Varint) }

func (d *decoder) duration() time.Duration {
	return time.Duration(min(d.uvarint(), math.MaxInt64/1000)) * time.Microsecond
}

// name reads the number of a name in the name table, and returns the name.
func (d *decoder) name() string {
	if i := d.uvarint(); d.err == nil && i < uint64(len(d.names)) {
		return d.names[i]
	}
	d.err = ErrDamaged
	return ""
}

func decodeNumber[T int64 | uint64](d *decoder, read func([]byte) (T, int)) T {
	v, n := read(d.rest)
	if n <= 0 {
		d.err = ErrDamaged
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func decodeBlock(payload []byte) ([]Entry, error) {
	d := &decoder{rest: payload}
	n := d.uvarint()
	if n > uint64(len(payload)) {
		return nil, ErrDamaged
	}
	names := make([]string, n)
	for i := range names {
		names[i] = string(d.take(d.uvarint()))
	}
	d.names = names
	n = d.uvarint()
	if d.err != nil || n > MaxBlockEntries {
		return nil, ErrDamaged
	}
	entries := make([]Entry, n)
	last := time.Duration(0)
	for i := range entries {
		last += time.Duration(d.varint()) * time.Microsecond
		entries[i] = d.entry()
		entries[i].ArrivedAt = last
		if d.err != nil || entries[i].Outcome >= outcomeCount {
			return nil, ErrDamaged
		}
	}
	if len(d.rest) > 0 {
		return nil, ErrDamaged
	}
	return entries, nil
}

// entry reads all fields of an entry but its arrival.
func (d *decoder) entry() (e Entry) {
	e.Elapsed = d.duration()
	e.Class, e.Tenant, e.Dispatcher = d.name(), d.name(), d.name()
	e.Fingerprint = binary.LittleEndian.Uint64(d.take(8))
	e.Key = binary.LittleEndian.Uint64(d.take(8))
	e.Cost = d.duration()
	e.Threads = float64(math.Float32frombits(binary.LittleEndian.Uint32(d.take(4))))
	flags := d.take(1)[0]
	e.Outcome = Outcome(flags & outcomeMask)
	e.IsRetry = flags&flagRetry != 0
	e.IsWrite = flags&flagWrite != 0
	return e
}

// Reader reads a recording block by block. It is not safe for concurrent use.
type Reader struct {
	r      io.Reader
	Header Header
	// Skipped counts the blocks that were skipped because they are damaged.
	Skipped int
}

// NewReader reads the header from r and returns a Reader of the blocks.
func NewReader(r io.Reader) (*Reader, error) {
	b := make([]byte, headerSize)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, fmt.Errorf("recording: read header: %w", err)
	}
	if [4]byte(b[:4]) != magic {
		return nil, errors.New("recording: not a recording: wrong magic number")
	}
	if v := binary.LittleEndian.Uint32(b[4:]); v != formatVersion {
		return nil, fmt.Errorf("recording: unsupported format version %d, expected %d", v, formatVersion)
	}
	return &Reader{r: r, Header: Header{Start: time.UnixMicro(int64(binary.LittleEndian.Uint64(b[8:])))}}, nil
}

// Next returns the entries of the next undamaged block. The error is io.EOF after the last block, and
// ErrTruncated if the file ends within a block. A block with a damaged payload or checksum is skipped and
// counted in Skipped. If a block's length is impossible, the error is ErrDamaged: the blocks after it cannot
// be found.
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
