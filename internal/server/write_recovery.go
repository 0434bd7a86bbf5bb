package server

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"cresspass"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/recording"
	"cresspass/internal/storage"
)

// This file protects writes across a restart. Each attempt that must not run twice is recorded before it is
// sent. After a restart, new writes are delayed or rejected because of recorded writes whose outcome is
// unknown.

// noWriteRecord is the record ID of an attempt that has no record.
const noWriteRecord = 0

// recordSent records an attempt that must not run twice, before it is sent. It returns the record's ID and a
// channel that is closed once the record is durable. The channel is nil if the record was dropped. The ID is
// noWriteRecord if the attempt needs no record or no state is stored.
func (s *Server) recordSent(q *query, engine cresspass.EngineID) (id uint64, durable <-chan struct{}) {
	class := s.classByName(q.class)
	store := s.store.Load()
	if store == nil || class == nil || class.Effect == cresspass.Idempotent {
		return noWriteRecord, nil
	}
	id, now := s.nextID.Add(1), storage.Now()
	return id, store.PutDurable(storage.WriteSentRecord(storage.WriteAttempt{
		ID:            id,
		Class:         class.Name,
		Key:           q.key,
		Hash:          q.contentHash(),
		Engine:        string(engine),
		SentAt:        now.Wall,
		BootID:        now.BootID,
		SentSinceBoot: now.SinceBoot,
		Window:        max(class.DeduplicationWindow, s.cfg.Module.Rules.OrderSettleDelay),
		AllEngines:    class.DeduplicationScope == cresspass.ScopeAll,
	}))
}

// maxDurableWait is the longest time that an attempt waits for its record to be durable. After a crash, an
// attempt that was sent before its record was durable is not known, and could be sent again within its
// deduplication window. But a failing disk must not stop queries, so these attempts are sent and counted.
const maxDurableWait = 100 * time.Millisecond

// afterDurable calls start once the record with an ID is durable, or after maxDurableWait. It calls start at
// once if there is no record or the record was dropped.
func (s *Server) afterDurable(id uint64, durable <-chan struct{}, start func()) {
	if id == noWriteRecord {
		start()
		return
	}
	if durable == nil {
		s.countUnrecordedWrite()
		start()
		return
	}
	s.background.Add(1) // runs in the loop's goroutine, which Close stops before it waits for background
	go func() {
		defer s.background.Done()
		timer := time.NewTimer(maxDurableWait)
		defer timer.Stop()
		select {
		case <-durable:
		case <-timer.C:
			s.countUnrecordedWrite()
		}
		start()
	}()
}

// countUnrecordedWrite counts a write that is sent before its record is durable, and logs the first one.
func (s *Server) countUnrecordedWrite() {
	if s.unrecordedWrites.Add(1) == 1 {
		s.log.Error("write sent before its record is durable; a crash now may send it twice",
			"waited", maxDurableWait)
	}
}

// UnrecordedWrites returns the number of attempts at writes that were sent before their record was durable.
func (s *Server) UnrecordedWrites() uint64 { return s.unrecordedWrites.Load() }

// recordSentOutcome records the end of an attempt that has succeeded or never ran. Any other attempt may have
// run, so its record counts until its window is over.
func (s *Server) recordSentOutcome(id uint64, r pgbackend.Result) {
	store := s.store.Load()
	if id == noWriteRecord || store == nil {
		return
	}
	if r.Outcome == cresspass.OutcomeOK || r.Outcome.NeverRan() {
		store.Put(storage.WriteEndedRecord(id))
	}
}

// classByName returns the class that has the name in the settings, or nil.
func (s *Server) classByName(name string) *cresspass.Class {
	for i := range s.cfg.Module.Classes {
		if s.cfg.Module.Classes[i].Name == name {
			return &s.cfg.Module.Classes[i]
		}
	}
	return nil
}

// contentHash returns a hash that identifies what a query does: the text of its statements without the
// comments around them, and its parameters. Hashes are stored, so the function must not change.
func (q *query) contentHash() uint64 {
	digest := xxhash.New()
	for i := range q.EngineQuery.Parsed {
		digest.WriteString(q.EngineQuery.Parsed[i].Text)
		digest.WriteString(";")
	}
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(q.EngineQuery.BindBody)))
	digest.Write(length[:])
	digest.Write(q.EngineQuery.BindBody)
	return digest.Sum64()
}

// delayForRecovery checks a write against those that the previous incarnation may have sent. It returns true
// if the caller must not post the query, because the query is rejected or is posted after a delay.
func (s *Server) delayForRecovery(q *query, ev *cresspass.Event) bool {
	q.class, q.key = ev.Class, ev.Key
	if !ev.IsWrite {
		return false
	}
	s.mu.Lock()
	decision, delay := storage.Allow, time.Duration(0)
	if s.recovery != nil {
		decision, delay = s.recovery.Check(time.Since(s.recoveredAt), ev.Class, ev.Key, q.contentHash())
	}
	s.mu.Unlock()
	if decision == storage.Delay && delay >= ev.RemainingDeadline {
		decision = storage.Reject
	}
	switch decision {
	case storage.Delay:
		s.postDelayed(q, *ev, delay)
		return true
	case storage.Reject:
		s.finishRecording(q, recording.Rejected)
		s.finishUnserved(q)
		s.respond(q, verdict.RejectAfterRestart(delay))
		return true
	}
	return false
}

// postDelayed passes a query to the module after a delay, unless the query has ended by then.
func (s *Server) postDelayed(q *query, ev cresspass.Event, delay time.Duration) {
	ev.RemainingDeadline -= delay
	time.AfterFunc(delay, func() {
		select {
		case <-q.Response.Done():
		default:
			s.loop.Post(ev)
		}
	})
}
