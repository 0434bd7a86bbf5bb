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
	log          *Log
	state        *State
	logger       *slog.Logger
	queue        chan queuedRecord
	done         chan struct{}
	mu           sync.RWMutex // of closed, so that nothing is put into a closed queue
	closed       bool
	dropped      atomic.Uint64
	failedWrites atomic.Uint64

	pending      []queuedRecord // not durable yet, in their order
	needsRewrite bool           // more was pending than is kept: only a rewrite makes the log true again
}

// queuedRecord is a record on its way to the disk.
type queuedRecord struct {
	record  Record
	durable chan struct{} // closed once it is; nil: nobody waits
}

// queueCapacity is how many records may wait to be taken by the writer, maxPending how many the writer keeps
// while the disk fails.
const (
	queueCapacity = 1 << 16
	maxPending    = 1 << 14
)

// batchInterval is how long records are gathered before they are made durable together, retryInterval the
// time after which a failed write is tried again.
const (
	batchInterval = 2 * time.Millisecond
	retryInterval = 100 * time.Millisecond
)

// OpenStore opens a folder and returns its store and what is in force.
func OpenStore(dir string, logger *slog.Logger) (*Store, *State, error) {
	l, records, err := Open(dir, func(s string) { logger.Warn("state", "note", s) })
	if err != nil {
		return nil, nil, err
	}
	recovered := NewState()
	if unreadable := recovered.Apply(records); unreadable > 0 {
		logger.Warn("state", "unread records", unreadable)
	}
	current := NewState()
	current.Apply(records)
	s := &Store{log: l, state: current, logger: logger, queue: make(chan queuedRecord, queueCapacity),
		done: make(chan struct{}), needsRewrite: l.NeedsRewrite()}
	go s.run()
	return s, recovered, nil
}

// RemoveModelState takes what the module had learnt out of a folder that nobody holds, and leaves all else.
func RemoveModelState(dir string) error {
	l, records, err := Open(dir, func(string) {})
	if err != nil {
		return err
	}
	records = slices.DeleteFunc(records, func(r Record) bool { return r.Kind == kindModelState })
	return errors.Join(l.Rewrite(records), l.Close())
}

// Put has a record written. It returns false where it was dropped.
func (s *Store) Put(r Record) bool { return s.put(queuedRecord{record: r}) }

// PutDurable has a record written, and returns a channel that is closed once it is durable; nil: it was
// dropped.
func (s *Store) PutDurable(r Record) <-chan struct{} {
	e := queuedRecord{r, make(chan struct{})}
	if !s.put(e) {
		return nil
	}
	return e.durable
}

func (s *Store) put(e queuedRecord) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
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
func (s *Store) Counts() (dropped, failed uint64) { return s.dropped.Load(), s.failedWrites.Load() }

// Close writes what waits and closes the folder. What is put after it is dropped. The error tells of records
// that the disk did not take.
func (s *Store) Close() error {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
	s.mu.Unlock()
	<-s.done
	var lost error
	if n := len(s.pending); n > 0 || s.needsRewrite {
		lost = fmt.Errorf("state: %d records not written", n)
	}
	return errors.Join(lost, s.log.Close())
}

func (s *Store) run() {
	defer close(s.done)
	for {
		var retry <-chan time.Time
		if s.hasBacklog() {
			retry = time.After(retryInterval)
		}
		select {
		case first, ok := <-s.queue:
			if !ok {
				if s.hasBacklog() {
					s.writeBatch(nil)
				}
				return
			}
			s.writeBatch(s.collectBatch(first))
		case <-retry:
			s.writeBatch(nil)
		}
	}
}

// collectBatch returns an entry with those that come soon after it.
func (s *Store) collectBatch(first queuedRecord) []queuedRecord {
	batch := []queuedRecord{first}
	limit := time.After(batchInterval)
	for len(batch) < queueCapacity {
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

// hasBacklog reports whether the log lacks records.
func (s *Store) hasBacklog() bool { return len(s.pending) > 0 || s.needsRewrite }

// writeBatch makes a batch durable, with all that is pending.
func (s *Store) writeBatch(batch []queuedRecord) {
	s.state.Apply(recordsOf(batch))
	s.pending = append(s.pending, batch...)
	if err := s.flush(); err != nil {
		// A full disk costs what a restart would know until it has room again, never a query.
		if s.failedWrites.Add(1) == 1 {
			s.logger.Error("state not written", "error", err)
		}
		if len(s.pending) > maxPending {
			s.pending, s.needsRewrite = nil, true
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
	if s.needsRewrite {
		if err := s.log.Rewrite(s.state.Compacted(Now())); err != nil {
			return err
		}
		s.needsRewrite = false
		return nil
	}
	if err := s.log.Append(recordsOf(s.pending)); err != nil {
		return err
	}
	if s.log.NeedsCompaction() {
		if err := s.log.Rewrite(s.state.Compacted(Now())); err != nil {
			// The records are durable in the old log. Whether the new one took its place is not known.
			s.needsRewrite = true
			s.logger.Warn("state not rewritten", "error", err)
		}
	}
	return nil
}

func recordsOf(entries []queuedRecord) []Record {
	out := make([]Record, len(entries))
	for i := range entries {
		out[i] = entries[i].record
	}
	return out
}
