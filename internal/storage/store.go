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

const (
	// queueCapacity is how many records may wait for the writer. maxPending is how many records the writer
	// keeps while the disk fails; if there are more, it drops them all and rewrites the log from its state.
	queueCapacity = 1 << 16
	maxPending    = 1 << 14
	// batchInterval is how long records are collected before they are made durable together.
	batchInterval = 2 * time.Millisecond
	// retryInterval is the time after which a failed write is retried.
	retryInterval = 100 * time.Millisecond
)

// Store keeps the state of a dispatcher in a directory. Put, PutDurable and Counts may be called from several
// goroutines. Put never blocks: a goroutine writes the records, in batches. Writes that fail are retried
// until they succeed. Records that do not fit the queue are dropped and counted.
type Store struct {
	logger       *slog.Logger
	queue        chan queuedRecord
	done         chan struct{} // closed when the writer has ended
	mu           sync.RWMutex  // guards closed, so that nothing is sent on a closed queue
	closed       bool
	dropped      atomic.Uint64
	failedWrites atomic.Uint64

	// Used by the writer's goroutine, and by Close after that has ended.
	log     *Log
	state   *State         // with all records taken from the queue, durable or not
	pending []queuedRecord // not durable yet, in order
	// needsRewrite is set if the next flush must rewrite the log from state: the log lacks records that are
	// no longer in pending, or its last rewrite failed.
	needsRewrite bool
}

// queuedRecord is a record on its way to the disk.
type queuedRecord struct {
	record  Record
	durable chan struct{} // closed once the record is durable; nil: no caller waits
}

// OpenStore opens a state directory, and returns its store and the state that the last incarnation left. The
// error wraps ErrLocked if another process has the directory open.
func OpenStore(dir string, logger *slog.Logger) (*Store, *State, error) {
	log, records, err := Open(dir, logger)
	if err != nil {
		return nil, nil, err
	}
	recovered := NewState()
	if unreadable := recovered.Apply(records); unreadable > 0 {
		logger.Warn("state log has unreadable records", "records", unreadable)
	}
	current := NewState()
	current.Apply(records)
	s := &Store{log: log, state: current, logger: logger, queue: make(chan queuedRecord, queueCapacity),
		done: make(chan struct{}), needsRewrite: log.NeedsRewrite()}
	go s.run()
	return s, recovered, nil
}

// RemoveModelState removes what the decision module had learned from a state directory, and keeps everything
// else. No other process may have locked the directory.
func RemoveModelState(dir string) error {
	log, records, err := Open(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	records = slices.DeleteFunc(records, func(r Record) bool { return r.Kind == kindModelState })
	return errors.Join(log.Rewrite(records), log.Close())
}

// Put queues a record to be written. It returns false if the record was dropped.
func (s *Store) Put(r Record) bool { return s.enqueue(queuedRecord{record: r}) }

// PutDurable queues a record to be written, and returns a channel that is closed once the record is durable;
// nil: the record was dropped. The channel is never closed if Close cannot write the record, or if the writer
// drops it from the pending records because there are more than maxPending.
func (s *Store) PutDurable(r Record) <-chan struct{} {
	q := queuedRecord{r, make(chan struct{})}
	if !s.enqueue(q) {
		return nil
	}
	return q.durable
}

func (s *Store) enqueue(q queuedRecord) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		s.dropped.Add(1)
		return false
	}
	select {
	case s.queue <- q:
		return true
	default:
		s.dropped.Add(1)
		return false
	}
}

// Counts returns how many records were dropped, and how many attempts to write to the log failed.
func (s *Store) Counts() (dropped, failed uint64) { return s.dropped.Load(), s.failedWrites.Load() }

// Close writes the queued records and closes the directory. Records that are put later are dropped. If
// records could not be written, the error has the number of those that are still pending.
func (s *Store) Close() error {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
	s.mu.Unlock()
	<-s.done
	var unwritten error
	if s.hasBacklog() {
		unwritten = fmt.Errorf("storage: %d records not written", len(s.pending))
	}
	return errors.Join(unwritten, s.log.Close())
}

// run is the writer's goroutine. It ends once the queue is closed and empty.
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

// collectBatch returns a record and those that arrive within batchInterval after it.
func (s *Store) collectBatch(first queuedRecord) []queuedRecord {
	batch := []queuedRecord{first}
	limit := time.After(batchInterval)
	for len(batch) < queueCapacity {
		select {
		case q, ok := <-s.queue:
			if !ok {
				return batch
			}
			batch = append(batch, q)
		case <-limit:
			return batch
		}
	}
	return batch
}

// hasBacklog reports whether records are pending or the log must be rewritten.
func (s *Store) hasBacklog() bool { return len(s.pending) > 0 || s.needsRewrite }

// writeBatch makes a batch durable, together with the pending records.
func (s *Store) writeBatch(batch []queuedRecord) {
	s.state.Apply(recordsOf(batch))
	s.pending = append(s.pending, batch...)
	if err := s.flush(); err != nil {
		// While the log cannot be written, a restart would lose the latest records, but no query fails.
		if s.failedWrites.Add(1) == 1 {
			s.logger.Error("state log not written", "error", err)
		}
		if len(s.pending) > maxPending {
			s.pending, s.needsRewrite = nil, true
		}
		return
	}
	for _, q := range s.pending {
		if q.durable != nil {
			close(q.durable)
		}
	}
	s.pending = nil
}

// flush appends the pending records, and compacts the log if it has grown enough. If needsRewrite is set,
// flush rewrites the whole log instead.
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
			// The records are durable in the old log. It is not known whether the new log has replaced it.
			s.needsRewrite = true
			s.logger.Warn("state log not compacted", "error", err)
		}
	}
	return nil
}

func recordsOf(queued []queuedRecord) []Record {
	records := make([]Record, len(queued))
	for i := range queued {
		records[i] = queued[i].record
	}
	return records
}
