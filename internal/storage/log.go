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

// The form of the file: a header, then records. All numbers are little-endian.
//
//	header: "cresspass state" version(1) 0x0a
//	record: length(4) checksum(4) kind(1) payload
//
// The checksum is CRC-32C over kind and payload, and the length counts both. A record that is cut short or
// does not fit its checksum ends the log: what follows it was never acknowledged, or cannot be told from
// noise.
const (
	headerMagic      = "cresspass state"
	formatVersion    = 1
	maxRecordSize    = 1 << 24
	recordHeaderSize = 8
)

// A log is compacted once it is larger than compactionMinSize and than compactionFactor times what it was
// when it was last rewritten.
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
	// ErrFormat reports a file that is no log of this version.
	ErrFormat = errors.New("storage: not a state log of this version")
	// ErrLocked reports a directory that another process has locked.
	ErrLocked = errors.New("storage: another process has locked the state directory")

	errNotRewritten = errors.New("storage: the state log has to be rewritten first")
)

func appendRecord(out []byte, r Record) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(r.Payload)+1))
	sum := crc32.Update(crc32.Checksum([]byte{byte(r.Kind)}, castagnoli), castagnoli, r.Payload)
	out = binary.LittleEndian.AppendUint32(out, sum)
	return append(append(out, byte(r.Kind)), r.Payload...)
}

func encodeHeader() []byte { return append([]byte(headerMagic), formatVersion, '\n') }

// decodeLog returns the records up to the first that is damaged, and the size of all before it.
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
	file          File  // nil until the log was rewritten once
	unsyncedName  bool  // the directory was not synced since the file was renamed to its name
	durableSize   int64 // bytes that are on the disk
	tornTail      bool  // bytes of a failed append may stand behind them
	compactedSize int64 // size after it was last rewritten
	lockFile      *os.File
	createFile    func(path string) (File, error)
	syncDirectory func(dir string) error
}

// Open locks a directory and opens its log, and returns what it holds. What could not be read is logged; a
// file of another form is set aside under the suffix .damaged. A disk that fails does not keep the log from
// being opened: see NeedsRewrite.
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
	// The log is always rewritten, so that nothing is appended behind bytes that were not believed. Where
	// the disk does not take it yet, the old file stays as it is, and nothing is appended until a rewrite
	// succeeds.
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

// readFile returns the records of the file, none where there is no file, and sets one of another form aside.
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

// ReadUnlocked returns what a directory's log holds, whichever process has locked it, and changes nothing.
func ReadUnlocked(dir string) ([]Record, error) {
	b, err := os.ReadFile(filepath.Join(dir, logName))
	if err != nil {
		return nil, err
	}
	records, _, err := decodeLog(b)
	return records, err
}

// newFile makes the files of logs, and newDirectorySync syncs their directories. The build for the fault soak
// replaces them.
var (
	newFile          = create
	newDirectorySync = syncDirectory
)

func create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append adds records and makes them durable. After an error the log holds what it held before, and the next
// call begins by cutting off what the failed one may have left. It fails while NeedsRewrite.
func (l *Log) Append(records []Record) error {
	if l.NeedsRewrite() {
		return errNotRewritten
	}
	// A reader stops at half a record, and bytes whose sync failed may be anything: records behind either
	// would be lost after a restart, although they were acknowledged.
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
		// This frees space on a full disk; where it fails, the next call does it first.
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

// NeedsCompaction reports whether the log has grown so much that it is worth rewriting.
func (l *Log) NeedsCompaction() bool {
	return l.durableSize > compactionMinSize && l.durableSize > compactionFactor*l.compactedSize
}

// Rewrite replaces the whole log. Where it fails before the rename, the log is as it was; where only the
// sync of the directory fails, a power cut may bring back the old log, and NeedsRewrite.
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
		_ = l.file.Close() // of a file that has no name any more
	}
	l.file, l.durableSize, l.compactedSize, l.tornTail = file, int64(len(out)), int64(len(out)), false
	l.unsyncedName = true
	if err := l.syncDirectory(filepath.Dir(l.path)); err != nil {
		return fmt.Errorf("storage: sync state directory: %w", err)
	}
	l.unsyncedName = false
	return nil
}

// makeDirectory creates a directory, where there is none, that outlives a power cut.
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

// syncDirectory makes the names in a directory durable.
func syncDirectory(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	_ = d.Close() // it was opened for reading only
	return err
}

// Close closes the log and unlocks the directory.
func (l *Log) Close() error {
	if l.file == nil {
		return l.lockFile.Close()
	}
	return errors.Join(l.file.Close(), l.lockFile.Close())
}

// NeedsRewrite reports whether the log could not be written since it was opened, or a power cut may still
// bring back the one before it. What is appended to it might be lost.
func (l *Log) NeedsRewrite() bool { return l.file == nil || l.unsyncedName }
