package pgsession

import (
	"slices"

	"cresspass/internal/affinity"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/pgwire"
	"cresspass/internal/protocol/sqlscan"
)

// handleQuery handles a Query message, whose text holds any number of statements.
func (s *Session) handleQuery(b []byte) error {
	raw, err := pgwire.ParseQuery(b)
	if err != nil {
		return err
	}
	text := string(raw)
	parsed := s.scan(text)
	switch {
	case len(parsed) == 0:
		s.out = pgwire.Append(s.out, 'I', nil) // EmptyQueryResponse
	case s.allLocal(parsed):
		s.executeAllLocal(parsed)
	default:
		s.queryBytes = len(text)
		s.submit(&enginequery.Query{Kind: enginequery.Simple, Text: text, Parsed: parsed})
		return nil
	}
	s.skipToSync = false
	s.out = pgwire.AppendReady(s.out, s.Affinity.Status())
	return nil
}

// executeAllLocal answers all statements of a query text. After an error it skips the remaining statements
// and undoes the setting changes of the text.
func (s *Session) executeAllLocal(parsed []sqlscan.Statement) {
	before := s.settings.settingScopes
	for i := range parsed {
		if !s.executeLocal(&parsed[i], true) {
			s.settings.settingScopes = before
			return
		}
	}
}

// scan splits a text into its statements.
func (s *Session) scan(text string) []sqlscan.Statement {
	return enginequery.ParseStatements(text, s.cfg.StatelessFunction)
}

// submit makes q the running query. TakeQuery returns it.
func (s *Session) submit(q *enginequery.Query) {
	s.pendingQuery, s.phase = q, phaseBusy
	q.Sticky = s.Affinity.Bound()
	status := s.Affinity.Status()
	q.OutsideTransaction = status == enginequery.StatusIdle
	q.Settings = s.Affinity.Params.Desired()
	var statements []sqlscan.Statement // empty for a Describe, which runs none
	if q.Kind == enginequery.Simple || q.Kind == enginequery.Execute {
		statements = q.Parsed
		s.Affinity.StatementsSent(statements)
	}
	s.settings.statementsSent(statements, status)
	// A query that would make the session sticky may still be rejected before an engine runs it. The session
	// then holds no connection when the query ends.
	q.MayBecomeSticky = !q.Sticky && (s.Affinity.Bound() || slices.ContainsFunc(q.Parsed, mayLeaveState))
	q.Stateful = q.Sticky || q.MayBecomeSticky || sessionparams.ChangesAny(q.Parsed)
}

func mayLeaveState(st sqlscan.Statement) bool { return affinity.MayLeaveState(&st) }
