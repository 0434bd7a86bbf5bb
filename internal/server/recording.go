package server

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cresspass"
	"cresspass/internal/protocol/sqlscan"
	"cresspass/internal/recording"
)

// This file records queries. A recording has no texts, parameters, ordering keys or rows.

// beginRecording prepares the recording's entry for a query, if queries are recorded. A query that the
// dispatcher itself issues on behalf of a client's query is not recorded.
func (s *Server) beginRecording(q *query, ev *cresspass.Event) {
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

// finishRecording writes a query's entry with its outcome. Only the first call for a query has an effect.
func (s *Server) finishRecording(q *query, outcome recording.Outcome) {
	s.mu.Lock()
	entry := q.recordEntry
	q.recordEntry = nil
	s.mu.Unlock()
	if entry == nil {
		return
	}
	entry.Outcome, entry.Elapsed = outcome, time.Since(q.arrivedAt)
	s.recorder.Record(q.arrivedAt, *entry)
}
