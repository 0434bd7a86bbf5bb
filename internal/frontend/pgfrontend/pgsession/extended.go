package pgsession

import (
	"bytes"
	"fmt"

	"cresspass/internal/backend/enginequery"
	"cresspass/internal/protocol/pgwire"
	"cresspass/internal/protocol/sqlscan"
	"cresspass/internal/protocol/sqlstate"
)

// The extended protocol ("Extended Query"). Parse, Bind and Close are answered here. A statement is sent to
// an engine when it is described or executed, and each engine connection prepares it under its own name.

// statement is a prepared statement.
type statement struct {
	text           string
	parameterTypes string // OIDs as sent, 4 bytes each
	parsed         []sqlscan.Statement
}

// portal is a prepared statement bound to parameter values.
type portal struct {
	statement *statement
	bindBody  []byte
	executed  bool
	atEngine  bool // exists at the engine until the transaction ends
}

func (s *Session) handleParse(b []byte) error {
	p, err := pgwire.ParseParse(b)
	if err != nil {
		return err
	}
	name := string(p.Name)
	limit := s.cfg.MaxPrepared
	if limit == 0 {
		limit = defaultMaxPrepared
	}
	st := &statement{text: string(p.Text), parameterTypes: string(p.Types)}
	st.parsed = s.scan(st.text)
	_, exists := s.statements.get(name)
	switch {
	case len(st.parsed) > 1:
		s.failStatement(sqlstate.SyntaxError, "cannot insert multiple commands into a prepared statement")
	case name != "" && exists:
		s.failStatement(sqlstate.DuplicatePreparedStatement,
			fmt.Sprintf("prepared statement %q already exists", name))
	case len(s.statements.byName) >= limit:
		s.failStatement(sqlstate.ConfigurationLimitExceeded,
			fmt.Sprintf("more than %d prepared statements", limit))
	default:
		s.statements.put(name, st)
		s.out = pgwire.Append(s.out, '1', nil) // ParseComplete
	}
	return nil
}

// answersLocally reports whether the dispatcher answers a prepared statement in the session's present state.
// The result may differ from the one at Parse, because the session's settings may have changed since then.
func (s *Session) answersLocally(st *statement) bool {
	return len(st.parsed) == 0 || s.allLocal(st.parsed)
}

func (s *Session) handleBind(b []byte) error {
	m, err := pgwire.ParseBind(b)
	if err != nil {
		return err
	}
	st, known := s.statements.get(string(m.Statement))
	name := string(m.Portal)
	_, exists := s.portals.get(name)
	switch {
	case !known:
		s.failNoStatement(m.Statement)
	case name != "" && exists:
		s.failStatement(sqlstate.DuplicateCursor, fmt.Sprintf("portal %q already exists", name))
	default:
		s.portals.put(name, &portal{statement: st, bindBody: bytes.Clone(m.Rest)})
		s.out = pgwire.Append(s.out, '2', nil) // BindComplete
	}
	return nil
}

func (s *Session) handleDescribe(b []byte) error {
	kind, name, err := pgwire.ParseTarget(b)
	if err != nil {
		return err
	}
	if kind == 'P' {
		s.describePortal(name)
	} else {
		s.describeStatement(name)
	}
	return nil
}

// describePortal handles the Describe of a portal. Unless it is answered here, it waits for the next message:
// if that executes the portal, both become one query for the engine.
func (s *Session) describePortal(name []byte) {
	switch p, known := s.portals.get(string(name)); {
	case !known:
		s.failNoPortal(name)
	case s.answersLocally(p.statement):
		s.out = append(s.out, s.localDescription(p.statement)...)
	default:
		s.describedPortal, s.describePending = string(name), true
	}
}

// submitDescribe submits the waiting Describe of a portal as a separate query and returns true, unless the
// next message m executes that portal. m is deferred until the query has ended.
func (s *Session) submitDescribe(m pgwire.Message) bool {
	if m.Type == 'E' {
		name, _, err := pgwire.ParseExecute(m.Body)
		if err == nil && string(name) == s.describedPortal {
			return false
		}
	}
	s.describePending = false
	p, _ := s.portals.get(s.describedPortal)
	s.deferred = pgwire.Message{Type: m.Type, Body: bytes.Clone(m.Body)}
	s.hasDeferred = true
	s.submit(&enginequery.Query{Kind: enginequery.DescribePortal, Text: p.statement.text,
		Parsed: p.statement.parsed, ParameterTypes: p.statement.parameterTypes, BindBody: p.bindBody})
	return true
}

func (s *Session) describeStatement(name []byte) {
	st, known := s.statements.get(string(name))
	switch {
	case !known:
		s.failNoStatement(name)
		return
	case s.answersLocally(st):
		s.out = pgwire.Append(s.out, 't', []byte{0, 0}) // ParameterDescription of no parameters
		s.out = append(s.out, s.localDescription(st)...)
		return
	}
	q := &enginequery.Query{Kind: enginequery.DescribeStatement, Text: st.text, Parsed: st.parsed,
		ParameterTypes: st.parameterTypes, Sticky: s.Affinity.Bound(), Settings: s.Affinity.Params.Desired()}
	key, ok := q.DescriptionKey()
	if ok && s.cfg.CachedDescription != nil {
		if cached := s.cfg.CachedDescription(key); cached != nil {
			s.out = append(s.out, cached...)
			return
		}
	}
	s.submit(q)
}

func (s *Session) handleExecute(b []byte) error {
	name, maxRows, err := pgwire.ParseExecute(b)
	if err != nil {
		return err
	}
	p, known := s.portals.get(string(name))
	withDescribe := s.describePending
	s.describePending = false
	switch {
	case !known:
		s.failNoPortal(name)
	case len(p.statement.parsed) == 0:
		s.out = pgwire.Append(s.out, 'I', nil) // EmptyQueryResponse
	case s.answersLocally(p.statement):
		s.executeLocal(&p.statement.parsed[0], false)
	case p.executed && p.atEngine && s.Affinity.Status() == enginequery.StatusInTransaction:
		s.submit(&enginequery.Query{Kind: enginequery.Execute, Text: p.statement.text,
			Parsed: p.statement.parsed, Portal: string(name), ContinuePortal: true, MaxRows: maxRows})
	case p.executed:
		s.failStatement(sqlstate.FeatureNotSupported,
			"a portal is executed once: fetching on would need a session that is kept on one engine")
	default:
		s.executePortal(p, name, maxRows, withDescribe)
	}
	return nil
}

// executePortal executes a portal for the first time. In a transaction, the portal then exists at the engine.
func (s *Session) executePortal(p *portal, name []byte, maxRows int32, withDescribe bool) {
	q := &enginequery.Query{Kind: enginequery.Execute, Text: p.statement.text, Parsed: p.statement.parsed,
		ParameterTypes: p.statement.parameterTypes, BindBody: p.bindBody, WithDescribe: withDescribe,
		MaxRows: maxRows}
	p.executed, p.atEngine = true, s.Affinity.Status() == enginequery.StatusInTransaction
	if p.atEngine {
		q.Portal = string(name)
	}
	s.submit(q)
}

func (s *Session) handleClose(b []byte) error {
	kind, name, err := pgwire.ParseTarget(b)
	if err != nil {
		return err
	}
	if kind == 'S' {
		s.statements.remove(string(name))
	} else {
		s.portals.remove(string(name))
	}
	s.out = pgwire.Append(s.out, '3', nil) // CloseComplete
	return nil
}

func (s *Session) handleSync() {
	s.skipToSync, s.describePending = false, false
	if s.Affinity.Status() == enginequery.StatusIdle {
		s.portals.clear() // the implicit transaction ends here
	}
	s.out = pgwire.AppendReady(s.out, s.Affinity.Status())
}

func (s *Session) failNoStatement(name []byte) {
	s.failStatement(sqlstate.InvalidSQLStatementName,
		fmt.Sprintf("prepared statement %q does not exist", name))
}

func (s *Session) failNoPortal(name []byte) {
	s.failStatement(sqlstate.InvalidCursorName, fmt.Sprintf("portal %q does not exist", name))
}
