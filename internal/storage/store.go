package storage

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Store keeps a book in a folder. Put never blocks: a goroutine writes, in batches. What the disk does not
// take is written again until it does; what does not fit the queue is dropped and counted.
type Store struct {
	log     *Log
	book    *Book
	slog    *slog.Logger
	queue   chan entry
	done    chan struct{}
	lock    sync.RWMutex // of closed, so that nothing is put into a closed queue
	closed  bool
	dropped atomic.Uint64
	failed  atomic.Uint64

	pending []entry // not durable yet, in their order
	whole   bool    // more was pending than is kept: only a rewrite makes the log true again
}

// entry is a record on its way to the disk.
type entry struct {
	record  Record
	durable chan struct{} // closed once it is; nil: nobody waits
}

// queueMost is how many records may wait to be taken by the writer, pendingMost how many the writer keeps
// while the disk fails.
const (
	queueMost   = 1 << 16
	pendingMost = 1 << 14
)

// batchFor is how long records are gathered before they are made durable together, againAfter the time after
// which a failed write is tried again.
const (
	batchFor   = 2 * time.Millisecond
	againAfter = 100 * time.Millisecond
)

// OpenStore opens a folder and returns its store and what is in force.
func OpenStore(dir string, logger *slog.Logger) (*Store, *Book, error) {
	l, records, err := Open(dir, func(s string) { logger.Warn("state", "note", s) })
	if err != nil {
		return nil, nil, err
	}
	book := NewBook()
	if odd := book.Take(records); odd > 0 {
		logger.Warn("state", "unread records", odd)
	}
	mine := NewBook()
	mine.Take(records)
	s := &Store{log: l, book: mine, slog: logger, queue: make(chan entry, queueMost),
		done: make(chan struct{}), whole: l.Unwritten()}
	go s.run()
	return s, book, nil
}

// Unlearn takes what the module had learnt out of a folder that nobody holds, and leaves all else.
func Unlearn(dir string) error {
	l, records, err := Open(dir, func(string) {})
	if err != nil {
		return err
	}
	records = slices.DeleteFunc(records, func(r Record) bool { return r.Kind == kindLearnt })
	return errors.Join(l.Rewrite(records), l.Close())
}

// Put has a record written. It returns false where it was dropped.
func (s *Store) Put(r Record) bool { return s.put(entry{record: r}) }

// PutDurable has a record written, and returns a channel that is closed once it is durable; nil: it was
// dropped.
func (s *Store) PutDurable(r Record) <-chan struct{} {
	e := entry{r, make(chan struct{})}
	if !s.put(e) {
		return nil
	}
	return e.durable
}

func (s *Store) put(e entry) bool {
	s.lock.RLock()
	defer s.lock.RUnlock()
	if s.closed {
		s.dropped.Add(1)
		return false
	}
	select {
	case s.queue <- e:
		return true
	default:
		s.dropped.Add(1)
		return false
	}
}

// Counts returns how many records were dropped, and how many writes failed.
func (s *Store) Counts() (dropped, failed uint64) { return s.dropped.Load(), s.failed.Load() }

// Close writes what waits and closes the folder. What is put after it is dropped. The error tells of records
// that the disk did not take.
func (s *Store) Close() error {
	s.lock.Lock()
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
	s.lock.Unlock()
	<-s.done
	var lost error
	if n := len(s.pending); n > 0 || s.whole {
		lost = fmt.Errorf("state: %d records not written", n)
	}
	return errors.Join(lost, s.log.Close())
}

func (s *Store) run() {
	defer close(s.done)
	for {
		var again <-chan time.Time
		if s.behind() {
			again = time.After(againAfter)
		}
		select {
		case first, ok := <-s.queue:
			if !ok {
				if s.behind() {
					s.write(nil)
				}
				return
			}
			s.write(s.gather(first))
		case <-again:
			s.write(nil)
		}
	}
}

// gather returns an entry with those that come soon after it.
func (s *Store) gather(first entry) []entry {
	batch := []entry{first}
	limit := time.After(batchFor)
	for len(batch) < queueMost {
		select {
		case e, ok := <-s.queue:
			if !ok {
				return batch
			}
			batch = append(batch, e)
		case <-limit:
			return batch
		}
	}
	return batch
}

// behind reports whether the log lacks records.
func (s *Store) behind() bool { return len(s.pending) > 0 || s.whole }

// write makes a batch durable, with all that is pending.
func (s *Store) write(batch []entry) {
	s.book.Take(recordsOf(batch))
	s.pending = append(s.pending, batch...)
	if err := s.flush(); err != nil {
		// A full disk costs what a restart would know until it has room again, never a query.
		if s.failed.Add(1) == 1 {
			s.slog.Error("state not written", "error", err)
		}
		if len(s.pending) > pendingMost {
			s.pending, s.whole = nil, true
		}
		return
	}
	for _, e := range s.pending {
		if e.durable != nil {
			close(e.durable)
		}
	}
	s.pending = nil
}

// flush appends what is pending, or rewrites the log where that is worth it or needed.
func (s *Store) flush() error {
	if s.whole {
		if err := s.log.Rewrite(s.book.Records(Now())); err != nil {
			return err
		}
		s.whole = false
		return nil
	}
	if err := s.log.Append(recordsOf(s.pending)); err != nil {
		return err
	}
	if s.log.Grown() {
		if err := s.log.Rewrite(s.book.Records(Now())); err != nil {
			// The records are durable in the old log. Whether the new one took its place is not known.
			s.whole = true
			s.slog.Warn("state not rewritten", "error", err)
		}
	}
	return nil
}

func recordsOf(entries []entry) []Record {
	out := make([]Record, len(entries))
	for i := range entries {
		out[i] = entries[i].record
	}
	return out
}
