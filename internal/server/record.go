package server

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cresspass"
	"cresspass/internal/protocol/sqlscan"
	"cresspass/internal/recording"
)

// What is recorded of queries. A recording holds no text, no parameter, no key and no row.

// noted begins what is recorded of a query. What is asked on the way to a request is none of its own.
func (s *Server) noted(q *query, ev *cresspass.Event) {
	if s.recorder == nil || ev.Uncounted {
		return
	}
	q.at = time.Now()
	q.note = &recording.Entry{Class: ev.Class, Tenant: ev.Tenant, Dispatcher: s.name(), Cost: ev.Cost,
		Fingerprint: sqlscan.Fingerprint(q.Ask.Text), Repeat: ev.IsRepeat, Write: ev.IsWrite}
	if ev.Key != "" {
		q.note.Key = xxhash.Sum64String(ev.Key)
	}
	m := &s.cfg.Module
	for i := range m.Classes {
		if m.Classes[i].Name == ev.Class && i < len(m.ClassThreads) {
			q.note.Threads = m.ClassThreads[i]
		}
	}
}

// recorded has a query's first end written.
func (s *Server) recorded(q *query, how recording.Outcome) {
	s.mu.Lock()
	note := q.note
	q.note = nil
	s.mu.Unlock()
	if note == nil {
		return
	}
	note.Outcome, note.Took = how, time.Since(q.at)
	s.recorder.Take(q.at, *note)
}
