// Package storage keeps what a dispatcher must still know after it died: which loads it had sent and not seen
// end, and what its module had learnt. It is a log of checksummed records in one file, written by a goroutine
// off the way of queries, and rewritten whole when it has grown. What is unreadable is set aside, and the
// dispatcher starts as if new. Book holds the decisions, without I/O; Store is the file.
package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// The form of the file: a header, then records. All numbers are little-endian.
//
//	header: "cresspass state" version(1) 0x0a
//	record: length(4) checksum(4) kind(1) payload
//
// The checksum is CRC-32C over kind and payload. A record that is cut short or does not fit its checksum ends
// the log: what follows it was never acknowledged, or cannot be told from noise.
const (
	headerMagic       = "cresspass state"
	formatVersion     = 1
	maxRecordSize     = 1 << 24
	recordHeaderSize  = 8
	compactionFactor  = 4
	compactionMinSize = 1 << 16
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Kind says what a record holds.
type Kind byte

// Record is one entry of the log.
type Record struct {
	Kind    Kind
	Payload []byte
}

func appendRecord(out []byte, r Record) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(r.Payload)+1))
	sum := crc32.Update(crc32.Checksum([]byte{byte(r.Kind)}, castagnoli), castagnoli, r.Payload)
	out = binary.LittleEndian.AppendUint32(out, sum)
	return append(append(out, byte(r.Kind)), r.Payload...)
}

func encodeHeader() []byte { return append([]byte(headerMagic), formatVersion, '\n') }

var (
	// ErrFormat is the kind of error for a file that is no log of this version.
	ErrFormat = errors.New("state: the file has another form")
	// ErrLocked is the kind of error for a folder that another process holds.
	ErrLocked = errors.New("state: another process holds the folder")

	errNotRewritten = errors.New("state: the log was not rewritten since it was opened")
)

// decodeLog returns the records up to the first that cannot be believed, and how many bytes they take.
func decodeLog(b []byte) (records []Record, validSize int, err error) {
	h := encodeHeader()
	if len(b) < len(h) || string(b[:len(h)]) != string(h) {
		return nil, 0, ErrFormat
	}
	offset := len(h)
	for len(b)-offset >= recordHeaderSize {
		size := int(binary.LittleEndian.Uint32(b[offset:]))
		if size < 1 || size > maxRecordSize || len(b)-offset-recordHeaderSize < size {
			break
		}
		body := b[offset+recordHeaderSize : offset+recordHeaderSize+size]
		if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(b[offset+4:]) {
			break
		}
		records = append(records, Record{Kind(body[0]), body[1:]})
		offset += recordHeaderSize + size
	}
	return records, offset, nil
}

// File is what a log is written to.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Log is an open log. It is for one goroutine at a time.
type Log struct {
	path          string
	file          File
	durableSize   int64 // bytes that are durable
	tornTail      bool  // behind them may stand bytes of an append that failed
	compactedSize int64 // size after it was last rewritten
	lockFile      *os.File
	createFile    func(path string) (File, error)
}

// Open opens the log in a folder, alone, and returns what it holds. note is told, in words, of anything that
// was not believed; such a file is set aside under the name damaged.
func Open(dir string, warn func(string)) (*Log, []Record, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, nil, fmt.Errorf("%w: %s: %v", ErrLocked, dir, err)
	}
	l := &Log{path: filepath.Join(dir, "state"), lockFile: lock, createFile: newFile}
	b, err := os.ReadFile(l.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		lock.Close()
		return nil, nil, err
	}
	var records []Record
	if err == nil {
		var validSize int
		if records, validSize, err = decodeLog(b); err != nil {
			warn(fmt.Sprintf("%s is set aside: %v", l.path, err))
			if err := os.Rename(l.path, l.path+".damaged"); err != nil {
				lock.Close()
				return nil, nil, err
			}
		} else if validSize < len(b) {
			warn(fmt.Sprintf("%s: the last %d bytes are not believed", l.path, len(b)-validSize))
		}
	}
	// Always rewritten: what is appended must not stand behind bytes that were not believed. Where the disk
	// does not take it yet, the old file stays as it is, and nothing is appended until a rewriting succeeds.
	if err := l.Rewrite(records); err != nil {
		warn(fmt.Sprintf("%s is not written yet: %v", l.path, err))
	}
	return l, records, nil
}

// ReadUnlocked returns what a folder's log holds, whoever holds the folder, and changes nothing.
func ReadUnlocked(dir string) ([]Record, error) {
	b, err := os.ReadFile(filepath.Join(dir, "state"))
	if err != nil {
		return nil, err
	}
	records, _, err := decodeLog(b)
	return records, err
}

// newFile makes the files of logs. The build for the fault soak replaces it.
var newFile = create

func create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Append adds records and makes them durable. After an error the log holds what it held before, and the next
// call begins by cutting off what the failed one may have left.
func (l *Log) Append(records []Record) error {
	if l.file == nil {
		return errNotRewritten
	}
	// Danger: behind half a record nothing would be read, and bytes whose sync failed may be anything.
	if l.tornTail {
		if err := l.file.Truncate(l.durableSize); err != nil {
			return fmt.Errorf("state: cut back to %d bytes: %w", l.durableSize, err)
		}
		l.tornTail = false
	}
	var out []byte
	for _, r := range records {
		out = appendRecord(out, r)
	}
	l.tornTail = true
	if _, err := l.file.Write(out); err != nil {
		// A full disk has less to hold this way; where it fails, the next call does it first.
		l.tornTail = l.file.Truncate(l.durableSize) != nil
		return fmt.Errorf("state: append: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("state: sync: %w", err)
	}
	l.tornTail = false
	l.durableSize += int64(len(out))
	return nil
}

// NeedsCompaction reports whether the log is worth being rewritten.
func (l *Log) NeedsCompaction() bool {
	return l.durableSize > compactionMinSize && l.durableSize > compactionFactor*l.compactedSize
}

// Rewrite replaces the whole log, or leaves it as it was.
func (l *Log) Rewrite(records []Record) error {
	out := encodeHeader()
	for _, r := range records {
		out = appendRecord(out, r)
	}
	next := l.path + ".new"
	f, err := l.createFile(next)
	if err != nil {
		return err
	}
	if _, err = f.Write(out); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = os.Rename(next, l.path)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("state: rewrite: %w", err), f.Close(), os.Remove(next))
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.durableSize, l.compactedSize, l.tornTail = f, int64(len(out)), int64(len(out)), false
	if d, err := os.Open(filepath.Dir(l.path)); err == nil {
		err = d.Sync()
		d.Close()
		return err
	}
	return nil
}

// Close closes the log and lets go of the folder.
func (l *Log) Close() error {
	if l.file == nil {
		return l.lockFile.Close()
	}
	return errors.Join(l.file.Close(), l.lockFile.Close())
}

// NeedsRewrite reports whether the log could not be written since it was opened.
func (l *Log) NeedsRewrite() bool { return l.file == nil }
