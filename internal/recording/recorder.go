package recording

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queueCapacity = 8192        // entries that may wait for the writer
	blockInterval = time.Second // after which a block is written even if it is not full
)

// Recorder writes the queries that a dispatcher admitted to files in a directory. Record never blocks: a
// goroutine writes the entries in blocks, and entries that do not fit its queue are dropped and counted.
// Record and Counts may be called from several goroutines.
type Recorder struct {
	dir     string
	limits  Limits
	log     *slog.Logger
	queue   chan timedEntry
	stop    chan struct{}
	done    chan struct{}
	close   sync.Once
	dropped atomic.Uint64
	failed  atomic.Uint64
	written atomic.Uint64

	// Used by the writer's goroutine alone.
	file  *os.File // nil: none is open
	name  string
	start time.Time // times in the open file count from this time
}

// timedEntry is an entry with its arrival by the wall clock. In a file, arrivals count from the file's start.
type timedEntry struct {
	at time.Time
	Entry
}

// NewRecorder starts a recorder that writes to dir, which it creates if needed. Close ends it.
func NewRecorder(dir string, l Limits, log *slog.Logger) (*Recorder, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	r := &Recorder{dir: dir, limits: l, log: log, queue: make(chan timedEntry, queueCapacity),
		stop: make(chan struct{}), done: make(chan struct{})}
	go r.run()
	return r, nil
}

// Record queues the entry of a query that arrived at the given wall clock time. The recorder sets its
// ArrivedAt. Record returns false if the entry was dropped.
func (r *Recorder) Record(at time.Time, e Entry) bool {
	select {
	case r.queue <- timedEntry{at, e}:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Counts returns how many entries were written and dropped, and how many blocks could not be written.
func (r *Recorder) Counts() (written, dropped, failed uint64) {
	return r.written.Load(), r.dropped.Load(), r.failed.Load()
}

// Close writes the waiting entries and ends the recorder. Record must not be called afterwards.
func (r *Recorder) Close() {
	r.close.Do(func() { close(r.stop) })
	<-r.done
}

func (r *Recorder) run() {
	defer close(r.done)
	tick := time.NewTicker(blockInterval)
	defer tick.Stop()
	var pending []timedEntry
	add := func(e timedEntry) {
		if pending = append(pending, e); len(pending) == MaxBlockEntries {
			r.flush(pending)
			pending = pending[:0]
		}
	}
	for {
		select {
		case e := <-r.queue:
			add(e)
		case <-tick.C:
			r.flush(pending)
			pending = pending[:0]
		case <-r.stop:
			for len(r.queue) > 0 {
				add(<-r.queue)
			}
			r.flush(pending)
			r.closeFile()
			return
		}
	}
}

// flush writes entries as a block and counts them. While the disk cannot be written, entries are lost, but no
// query fails.
func (r *Recorder) flush(entries []timedEntry) {
	if len(entries) == 0 {
		return
	}
	if err := r.write(entries); err != nil {
		if r.failed.Add(1) == 1 {
			r.log.Error("recording not written", "error", err)
		}
		r.closeFile()
		return
	}
	r.written.Add(uint64(len(entries)))
}

// closeFile closes the open file, so that the next block starts a new one.
func (r *Recorder) closeFile() {
	if r.file == nil {
		return
	}
	if err := r.file.Close(); err != nil {
		r.log.Error("recording not closed", "file", r.name, "error", err)
	}
	r.file, r.name = nil, ""
}

func (r *Recorder) encodeBlock(all []timedEntry) []byte {
	entries := make([]Entry, len(all))
	for i, e := range all {
		entries[i] = e.Entry
		entries[i].ArrivedAt = e.at.Sub(r.start)
	}
	return AppendBlock(nil, entries)
}

// write writes a block, to a new file if the limits require one.
func (r *Recorder) write(all []timedEntry) error {
	block := r.encodeBlock(all)
	files, err := r.recordings()
	if err != nil {
		return err
	}
	startNew, obsolete := r.limits.Rotate(files, r.name, int64(len(block)))
	if err := r.removeFiles(obsolete); err != nil {
		return err
	}
	if startNew {
		if err := r.startFile(all[0].at); err != nil {
			return err
		}
		block = r.encodeBlock(all) // the block's times count from the new file's start
	}
	// A full disk may leave a partial block, and no block after it could be read. So flush closes the file
	// after an error.
	_, err = r.file.Write(block)
	return err
}

// recordings lists the recordings in the directory.
func (r *Recorder) recordings() (files []File, err error) {
	found, err := os.ReadDir(r.dir)
	if err != nil {
		return nil, err
	}
	for _, f := range found {
		if info, err := f.Info(); err == nil && IsRecording(f.Name()) {
			files = append(files, File{f.Name(), info.Size()})
		}
	}
	return files, nil
}

// removeFiles removes recordings. If the open one is among them, removeFiles closes it first.
func (r *Recorder) removeFiles(names []string) (err error) {
	for _, name := range names {
		if name == r.name {
			r.closeFile()
		}
		err = errors.Join(err, os.Remove(filepath.Join(r.dir, name)))
	}
	return err
}

// startFile creates a new file, in which times count from start.
func (r *Recorder) startFile(start time.Time) error {
	r.closeFile()
	r.start = start
	name := FileName(start)
	file, err := os.OpenFile(filepath.Join(r.dir, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.file, r.name = file, name
	_, err = file.Write(AppendHeader(nil, Header{Start: start}))
	return err
}

// Load reads a recording. If its end is truncated or a block's length is impossible, Load returns the entries
// before that place and an error. skipped is the number of damaged blocks that were left out without an
// error.
func Load(path string) (h Header, all []Entry, skipped int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return h, nil, 0, err
	}
	defer func() { _ = f.Close() }() // the file was only opened for reading
	r, err := NewReader(f)
	if err != nil {
		return h, nil, 0, err
	}
	for {
		entries, err := r.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return r.Header, all, r.Skipped, err
		}
		all = append(all, entries...)
	}
}

// Save writes entries to one file, in blocks. The entries are in the order of arrival.
func Save(path string, h Header, all []Entry) error {
	b := AppendHeader(nil, h)
	for len(all) > 0 {
		n := min(len(all), MaxBlockEntries)
		b = AppendBlock(b, all[:n])
		all = all[n:]
	}
	return os.WriteFile(path, b, 0o600)
}
