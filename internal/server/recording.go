package server

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cresspass"
	"cresspass/internal/protocol/sqlscan"
	"cresspass/internal/recording"
)

// What is recorded of queries. A recording holds no text, no parameter, no key and no row.

// beginRecording begins what is recorded of a query. What is asked on the way to a request is none of its
// own.
func (s *Server) beginRecording(q *queryRowCount, ev *cresspass.Event) {
	if s.recorder == nil || ev.AddsNoRetryBudget {
		return
	}
	q.arrivedAt = time.Now()
	q.recordEntry = &recording.Entry{
		Class:       ev.Class,
		Tenant:      ev.Tenant,
		Dispatcher:  s.memberName(),
		Cost:        ev.CostEstimate,
		Fingerprint: sqlscan.Fingerprint(q.EngineQuery.Text),
		IsRetry:     ev.IsRetry,
		IsWrite:     ev.IsWrite,
	}
	if ev.Key != "" {
		q.recordEntry.Key = xxhash.Sum64String(ev.Key)
	}
	m := &s.cfg.Module
	for i := range m.Classes {
		if m.Classes[i].Name == ev.Class && i < len(m.ClassThreads) {
			q.recordEntry.Threads = m.ClassThreads[i]
		}
	}
}

// finishRecording has a query's first end written.
func (s *Server) finishRecording(q *queryRowCount, how recording.Outcome) {
	s.mu.Lock()
	note := q.recordEntry
	q.recordEntry = nil
	s.mu.Unlock()
	if note == nil {
		return
	}
	note.Outcome, note.Elapsed = how, time.Since(q.arrivedAt)
	s.recorder.Record(q.arrivedAt, *note)
}
