package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
)

// The file format is a header followed by records. All numbers are little-endian.
//
//	header: "cresspass state" version(1) 0x0a
//	record: length(4) checksum(4) kind(1) payload
//
// The checksum is CRC-32C over kind and payload, and the length counts both, in bytes. A record that is
// truncated, has an impossible length or does not match its checksum ends the log: the bytes after it were
// never acknowledged, or cannot be distinguished from garbage.
const (
	headerMagic      = "cresspass state"
	formatVersion    = 1
	maxRecordSize    = 1 << 24
	recordHeaderSize = 8
)

// A log is compacted once it is larger than compactionMinSize bytes and larger than compactionFactor times
// its size after the last rewrite.
const (
	compactionFactor  = 4
	compactionMinSize = 1 << 16
)

// The files in a state directory.
const (
	logName         = "state"
	lockName        = "lock"
	damagedSuffix   = ".damaged"
	temporarySuffix = ".new"

	directoryMode = 0o700
	fileMode      = 0o600
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	// ErrFormat reports a file that is not a state log of this version.
	ErrFormat = errors.New("storage: not a state log of this version")
	// ErrLocked reports that another process has locked the state directory.
	ErrLocked = errors.New("storage: another process has locked the state directory")

	errNotRewritten = errors.New("storage: state log must be rewritten before records are appended")
)

func appendRecord(out []byte, r Record) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(r.Payload)+1))
	sum := crc32.Update(crc32.Checksum([]byte{byte(r.Kind)}, castagnoli), castagnoli, r.Payload)
	out = binary.LittleEndian.AppendUint32(out, sum)
	return append(append(out, byte(r.Kind)), r.Payload...)
}

func encodeHeader() []byte { return append([]byte(headerMagic), formatVersion, '\n') }

// decodeLog returns the records before the first damaged one, and the size in bytes of the valid part. The
// error is ErrFormat if the header is wrong.
func decodeLog(b []byte) (records []Record, validSize int, err error) {
	header := encodeHeader()
	if len(b) < len(header) || string(b[:len(header)]) != string(header) {
		return nil, 0, ErrFormat
	}
	offset := len(header)
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

// File is the file that a log is written to.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Log is an open state log. It is not safe for concurrent use.
type Log struct {
	path          string
	file          File  // nil until a rewrite has created it
	unsyncedName  bool  // the directory has not been synced since the file was renamed
	durableSize   int64 // size of the durable part, in bytes
	tornTail      bool  // bytes of a failed append may follow the durable ones
	compactedSize int64 // size after the last rewrite, in bytes
	lockFile      *os.File
	createFile    func(path string) (File, error)
	syncDirectory func(dir string) error
}

// Open locks a directory, opens its log and returns the records of the log. It creates the directory if it
// does not exist. Damage is logged; a file of another format is renamed with the suffix .damaged. The log is
// opened even if the disk cannot be written: see NeedsRewrite. The error wraps ErrLocked if another process
// has locked the directory.
func Open(dir string, logger *slog.Logger) (*Log, []Record, error) {
	if err := makeDirectory(dir); err != nil {
		return nil, nil, err
	}
	lockFile, err := lockDirectory(dir)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{path: filepath.Join(dir, logName), lockFile: lockFile, createFile: newFile,
		syncDirectory: newDirectorySync}
	records, err := l.readFile(logger)
	if err != nil {
		return nil, nil, errors.Join(err, lockFile.Close())
	}
	// The log is always rewritten, so that nothing is appended after damaged bytes. If the disk cannot be
	// written yet, the old file stays as it is, and nothing is appended until a rewrite succeeds.
	if err := l.Rewrite(records); err != nil {
		logger.Warn("state log not rewritten at open", "path", l.path, "error", err)
	}
	return l, records, nil
}

func lockDirectory(dir string) (*os.File, error) {
	lockFile, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lockFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%w: %s: %w", ErrLocked, dir, err), lockFile.Close())
	}
	return lockFile, nil
}

// readFile returns the records of the file, or none if there is no file or the file has another format. It
// renames a file of another format.
func (l *Log) readFile(logger *slog.Logger) ([]Record, error) {
	b, err := os.ReadFile(l.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	records, validSize, err := decodeLog(b)
	if err != nil {
		logger.Warn("state log set aside", "path", l.path+damagedSuffix, "error", err)
		return nil, os.Rename(l.path, l.path+damagedSuffix)
	}
	if validSize < len(b) {
		logger.Warn("state log has a damaged tail", "path", l.path, "discarded_bytes", len(b)-validSize)
	}
	return records, nil
}

// ReadUnlocked returns the records of a directory's log without locking it, and changes nothing. Another
// process may have locked the directory.
func ReadUnlocked(dir string) ([]Record, error) {
	b, err := os.ReadFile(filepath.Join(dir, logName))
	if err != nil {
		return nil, err
	}
	records, _, err := decodeLog(b)
	return records, err
}

// newFile creates log files, and newDirectorySync syncs their directories. The build for the fault soak
// replaces them.
var (
	newFile          = create
	newDirectorySync = syncDirectory
)

func create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append appends records and makes them durable. After an error none of these records counts as appended, and
// the next call first removes the bytes that the failed call may have left. Append fails while NeedsRewrite
// reports true.
func (l *Log) Append(records []Record) error {
	if l.NeedsRewrite() {
		return errNotRewritten
	}
	// A reader stops at a partial record, and bytes whose sync failed may be anything. Records appended after
	// either would be lost at a restart, although they were acknowledged.
	if l.tornTail {
		if err := l.file.Truncate(l.durableSize); err != nil {
			return fmt.Errorf("storage: truncate state log to %d bytes: %w", l.durableSize, err)
		}
		l.tornTail = false
	}
	var out []byte
	for _, r := range records {
		out = appendRecord(out, r)
	}
	l.tornTail = true
	if _, err := l.file.Write(out); err != nil {
		// Truncating frees space on a full disk. If Truncate fails, the next call of Append tries it first.
		l.tornTail = l.file.Truncate(l.durableSize) != nil
		return fmt.Errorf("storage: append to state log: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("storage: sync state log: %w", err)
	}
	l.tornTail = false
	l.durableSize += int64(len(out))
	return nil
}

// NeedsCompaction reports whether the log has grown so much that a rewrite is worthwhile.
func (l *Log) NeedsCompaction() bool {
	return l.durableSize > compactionMinSize && l.durableSize > compactionFactor*l.compactedSize
}

// Rewrite replaces the whole log. If it fails before the rename, the log is unchanged. If only the sync of
// the directory fails, a power cut may bring back the old log, and NeedsRewrite reports true.
func (l *Log) Rewrite(records []Record) error {
	out := encodeHeader()
	for _, r := range records {
		out = appendRecord(out, r)
	}
	temporary := l.path + temporarySuffix
	file, err := l.createFile(temporary)
	if err != nil {
		return err
	}
	if _, err = file.Write(out); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = os.Rename(temporary, l.path)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("storage: rewrite state log: %w", err), file.Close(),
			os.Remove(temporary))
	}
	if l.file != nil {
		_ = l.file.Close() // the rename has replaced this file
	}
	l.file, l.durableSize, l.compactedSize, l.tornTail = file, int64(len(out)), int64(len(out)), false
	l.unsyncedName = true
	if err := l.syncDirectory(filepath.Dir(l.path)); err != nil {
		return fmt.Errorf("storage: sync state directory: %w", err)
	}
	l.unsyncedName = false
	return nil
}

// makeDirectory creates a directory if it does not exist, and makes its name durable.
func makeDirectory(dir string) error {
	_, err := os.Stat(dir)
	if !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(dir))
}

// syncDirectory makes the entries of a directory durable.
func syncDirectory(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	_ = d.Close() // the directory was only opened for reading
	return err
}

// Close closes the log and unlocks the directory.
func (l *Log) Close() error {
	if l.file == nil {
		return l.lockFile.Close()
	}
	return errors.Join(l.file.Close(), l.lockFile.Close())
}

// NeedsRewrite reports whether no rewrite has succeeded since the log was opened, or whether a power cut may
// still bring back the log that the last rewrite replaced. In both cases appended records could be lost.
func (l *Log) NeedsRewrite() bool { return l.file == nil || l.unsyncedName }
