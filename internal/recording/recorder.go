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
	queueCapacity = 8192        // entries that wait for the writer
	blockInterval = time.Second // after which a block is written, full or not
)

// Recorder writes the queries that a dispatcher admitted into a folder. Record never blocks: a goroutine
// writes, in blocks, and an entry that does not fit into its queue is dropped and counted.
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

	// The goroutine's alone.
	file  *os.File // nil: none is open
	name  string
	start time.Time // entries of the open file count from here
}

// timedEntry is an entry with its time by the wall clock; in a file times count from the file's start.
type timedEntry struct {
	at time.Time
	Entry
}

// NewRecorder begins to record into a folder, which is made where there is none. Close ends it.
func NewRecorder(dir string, l Limits, log *slog.Logger) (*Recorder, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	r := &Recorder{dir: dir, limits: l, log: log, queue: make(chan timedEntry, queueCapacity),
		stop: make(chan struct{}), done: make(chan struct{})}
	go r.run()
	return r, nil
}

// Record has the entry of a query written that arrived at a time. It returns false where the entry was
// dropped.
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

// Close writes what waits and ends. Record must not be called after it.
func (r *Recorder) Close() {
	r.close.Do(func() { close(r.stop) })
	<-r.done
}

func (r *Recorder) run() {
	defer close(r.done)
	tick := time.NewTicker(blockInterval)
	defer tick.Stop()
	var waiting []timedEntry
	add := func(e timedEntry) {
		if waiting = append(waiting, e); len(waiting) == MaxBlockEntries {
			r.flush(waiting)
			waiting = waiting[:0]
		}
	}
	for {
		select {
		case e := <-r.queue:
			add(e)
		case <-tick.C:
			r.flush(waiting)
			waiting = waiting[:0]
		case <-r.stop:
			for len(r.queue) > 0 {
				add(<-r.queue)
			}
			r.flush(waiting)
			r.closeFile()
			return
		}
	}
}

// flush writes entries as a block and counts them. A full disk costs the recording, never a query.
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

// closeFile closes the file that is open, so that the next block begins another one.
func (r *Recorder) closeFile() {
	if r.file == nil {
		return
	}
	if err := r.file.Close(); err != nil {
		r.log.Error("recording not closed", "file", r.name, "error", err)
	}
	r.file, r.name = nil, ""
}

func (r *Recorder) appendBlock(all []timedEntry) []byte {
	entries := make([]Entry, len(all))
	for i, e := range all {
		entries[i] = e.Entry
		entries[i].ArrivedAt = e.at.Sub(r.start)
	}
	return AppendBlock(nil, entries)
}

// write writes a block, to another file where the limits want one.
func (r *Recorder) write(all []timedEntry) error {
	block := r.appendBlock(all)
	files, err := r.recordings()
	if err != nil {
		return err
	}
	begin, remove := r.limits.Rotate(files, r.name, int64(len(block)))
	if err := r.remove(remove); err != nil {
		return err
	}
	if begin {
		if err := r.begin(all[0].at); err != nil {
			return err
		}
		block = r.appendBlock(all) // its times count from the new file's start
	}
	// After half a block, as a full disk leaves it, nothing that follows in the file could be read; so an
	// error ends the file.
	_, err = r.file.Write(block)
	return err
}

// recordings lists the recordings in the folder.
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

// remove removes recordings, the open one too.
func (r *Recorder) remove(names []string) (err error) {
	for _, name := range names {
		if name == r.name {
			r.closeFile()
		}
		err = errors.Join(err, os.Remove(filepath.Join(r.dir, name)))
	}
	return err
}

// begin opens a new file, whose times count from start.
func (r *Recorder) begin(start time.Time) error {
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

// Load reads a file. A cut or damaged end is an error beside what was read before it.
func Load(path string) (h Header, all []Entry, skipped int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return h, nil, 0, err
	}
	defer func() { _ = f.Close() }() // it is only read
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

// Save writes entries as one file, in blocks.
func Save(path string, h Header, all []Entry) error {
	b := AppendHeader(nil, h)
	for len(all) > 0 {
		n := min(len(all), MaxBlockEntries)
		b = AppendBlock(b, all[:n])
		all = all[n:]
	}
	return os.WriteFile(path, b, 0o600)
}
