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
	queueCapacity = 8192
	blockInterval = time.Second
)

// Recorder writes what a dispatcher took into a folder. Take never blocks: a goroutine writes, in blocks,
// and what does not fit its queue is dropped and counted.
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

	file  *os.File
	name  string
	start time.Time
	size  int64
}

// timedEntry is one with the wall clock's time, which files count from their own start.
type timedEntry struct {
	at time.Time
	Entry
}

// NewRecorder begins to record into a folder, which is made where there is none.
func NewRecorder(dir string, l Limits, log *slog.Logger) (*Recorder, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	r := &Recorder{dir: dir, limits: l, log: log, queue: make(chan timedEntry, queueCapacity),
		stop: make(chan struct{}),
		done: make(chan struct{})}
	go r.run()
	return r, nil
}

// Record has an entry written, of a query that was taken at a time. It returns false where it was dropped.
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

// Close writes what waits and ends. Take must not be called after it.
func (r *Recorder) Close() {
	r.close.Do(func() { close(r.stop) })
	<-r.done
}

func (r *Recorder) run() {
	defer close(r.done)
	tick := time.NewTicker(blockInterval)
	defer tick.Stop()
	var waiting []timedEntry
	flush := func() {
		if len(waiting) == 0 {
			return
		}
		if err := r.write(waiting); err != nil {
			// A full disk costs the recording, never a query.
			if r.failed.Add(1) == 1 {
				r.log.Error("recording not written", "error", err)
			}
			r.finish()
		} else {
			r.written.Add(uint64(len(waiting)))
		}
		waiting = waiting[:0]
	}
	for {
		select {
		case e := <-r.queue:
			if waiting = append(waiting, e); len(waiting) == MaxBlockEntries {
				flush()
			}
		case <-tick.C:
			flush()
		case <-r.stop:
			for {
				select {
				case e := <-r.queue:
					if waiting = append(waiting, e); len(waiting) == MaxBlockEntries {
						flush()
					}
					continue
				default:
				}
				break
			}
			flush()
			r.finish()
			return
		}
	}
}

// finish closes the file that is open.
func (r *Recorder) finish() {
	if r.file != nil {
		r.file.Close()
		r.file, r.name = nil, ""
	}
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
	found, err := os.ReadDir(r.dir)
	if err != nil {
		return err
	}
	var files []File
	for _, f := range found {
		if info, err := f.Info(); err == nil && IsRecording(f.Name()) {
			files = append(files, File{f.Name(), info.Size()})
		}
	}
	begin, remove := r.limits.Rotate(files, r.name, int64(len(block)))
	for _, name := range remove {
		if name == r.name {
			r.finish()
		}
		err = errors.Join(err, os.Remove(filepath.Join(r.dir, name)))
	}
	if err != nil {
		return err
	}
	if begin {
		r.finish()
		r.start = all[0].at
		name := FileName(r.start)
		if r.file, err = os.OpenFile(filepath.Join(r.dir, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY,
			0o600); err != nil {
			r.file = nil
			return err
		}
		r.name = name
		if _, err := r.file.Write(AppendHeader(nil, Header{Start: r.start})); err != nil {
			return err
		}
		block = r.appendBlock(all)
	}
	// Danger: half a block, as a full disk leaves, would hide all that comes after it in the file.
	_, err = r.file.Write(block)
	return err
}

// Load reads a file. A cut or damaged end is an error beside what was read before it.
func Load(path string) (h Header, all []Entry, skipped int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return h, nil, 0, err
	}
	defer f.Close()
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
