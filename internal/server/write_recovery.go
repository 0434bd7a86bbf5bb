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

// Writes across a restart: each attempt that must not run twice is recorded before it is sent, and after a
// restart new writes wait for, or are rejected because of, those whose end is not known.

// noWriteRecord says that an attempt has no record.
const noWriteRecord = 0

// recordSent records an attempt that must not run twice, before it is sent. It returns the record's ID, or
// noWriteRecord, and a channel that is closed once the record is durable; nil: it was dropped.
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

// maxDurableWait is how long an attempt waits for its record. One that is sent before its record is durable
// is not known after a crash, and would be sent again within its deduplication window; but a disk that
// fails must not stop queries. They are counted instead.
const maxDurableWait = 100 * time.Millisecond

// afterDurable calls start once the record with an ID is durable, or after maxDurableWait.
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
	s.background.Add(1) // in the loop's goroutine, which Close ends before it waits
	go func() {
		defer s.background.Done()
		limit := time.NewTimer(maxDurableWait)
		defer limit.Stop()
		select {
		case <-durable:
		case <-limit.C:
			s.countUnrecordedWrite()
		}
		start()
	}()
}

// countUnrecordedWrite counts a write that is sent before its record is durable.
func (s *Server) countUnrecordedWrite() {
	if s.unrecordedWrites.Add(1) == 1 {
		s.log.Error("write sent before its record is durable; a crash now may send it twice",
			"waited", maxDurableWait)
	}
}

// UnrecordedWrites is how many attempts at writes were sent before their record was durable.
func (s *Server) UnrecordedWrites() uint64 { return s.unrecordedWrites.Load() }

// recordSentOutcome records the end of an attempt whose outcome is known. One whose outcome is unknown
// stays on record until its window is over.
func (s *Server) recordSentOutcome(id uint64, r pgbackend.Result) {
	store := s.store.Load()
	if id == noWriteRecord || store == nil {
		return
	}
	if r.Outcome == cresspass.OutcomeOK || r.Outcome.NeverRan() {
		store.Put(storage.WriteEndedRecord(id))
	}
}

// classByName returns a class of the settings, or nil.
func (s *Server) classByName(name string) *cresspass.Class {
	for i := range s.cfg.Module.Classes {
		if s.cfg.Module.Classes[i].Name == name {
			return &s.cfg.Module.Classes[i]
		}
	}
	return nil
}

// contentHash identifies what a query does: the text of its statements without the comments around them,
// and its parameters. It is stored; it must not change.
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

// delayForRecovery checks a write against those that the previous incarnation may have sent. It returns
// true where the query is not to be posted now: it is posted after a delay, or was rejected.
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
		s.forget(q)
		s.respond(q, verdict.RejectAfterRestart(delay))
		return true
	}
	return false
}

// postDelayed hands a query to the module after a delay, unless it has ended by then.
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
