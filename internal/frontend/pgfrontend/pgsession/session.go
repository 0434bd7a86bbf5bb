// Package pgsession is one client's side of the PostgreSQL protocol, without sockets: bytes of the client and
// ends of queries in, bytes for the client and queries out. It knows what is answered on the spot (startup,
// Parse, Bind, Sync, a few settings), what is a query for an engine, and what is skipped after an error. It
// decides nothing about engines. Sections named are of PostgreSQL's chapter "Frontend/Backend Protocol".
package pgsession

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"cresspass/internal/affinity"
	"cresspass/internal/backend/copyin"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/pgwire"
	"cresspass/internal/protocol/sqlscan"
)

// CancelRequest is a client's request to cancel what another connection runs.
type CancelRequest struct {
	PID    uint32
	Secret string
}

// Config is what all sessions share.
type Config struct {
	ServerVersion     string // server_version told to clients
	MaxMessage        int    // bytes; 0: pgwire's
	MaxPending        int    // bytes that a client may send ahead while a query runs; 0: 1 MiB
	MaxPrepared       int    // prepared statements a client may keep; 0: 1,000
	CachedDescription func(key string) []byte
	// StatelessFunction reports whether a function leaves nothing in a session; nil: none is known to.
	StatelessFunction func(name string) bool
}

type phase int

const (
	phaseStart phase = iota
	phaseIdle
	phaseBusy
	phaseClosing
)

type statement struct {
	text           string
	parameterTypes string
	parsed         []sqlscan.Statement
	local          bool
}

type portal struct {
	statement *statement
	bindBody  []byte
	executed  bool
	atEngine  bool // it stands at the engine until the transaction ends
}

// Session is one client's protocol state. It is for one goroutine at a time.
type Session struct {
	User, Database, Application string
	StatementTimeout            time.Duration // statement_timeout; 0: none
	PID                         uint32
	Secret                      string

	Affinity *affinity.Session // whether the session is kept on one engine connection

	cfg           *Config
	phase         phase
	reader        pgwire.Reader
	out           []byte
	pendingQuery  *enginequery.Query
	cancelRequest *CancelRequest

	statements      map[string]*statement
	portals         map[string]*portal
	skipToSync      bool   // after an error, until Sync
	describedPortal string // name of the portal whose Describe waits for the next message...
	describePending bool   // ...where one does
	deferred        pgwire.Message
	hasDeferred     bool
	localSettings   map[string]string

	bytesAhead int        // bytes of the client that wait
	copyIn     bool       // in copy-in mode
	copyData   []byte     // messages for the engine
	copyEnd    copyin.End // how they end
}

// New returns a session that waits for its startup packet. The PID and secret name it in cancel requests; a
// secret is 32 bytes, of which clients before 3.2 get the first four.
func New(cfg *Config, pid uint32, secret string) *Session {
	s := &Session{cfg: cfg, PID: pid, Secret: secret, Affinity: affinity.NewSession()}
	s.reader.Startup, s.reader.Max = true, cfg.MaxMessage
	return s
}

// Closing reports whether the connection is to be closed once the output is out.
func (s *Session) Closing() bool { return s.phase == phaseClosing }

// Started reports whether the startup packet has been taken.
func (s *Session) Started() bool { return s.phase != phaseStart }

// Busy reports whether a query is out.
func (s *Session) Busy() bool { return s.phase == phaseBusy }

// Output returns the bytes for the client since the last call, valid until the next call of any method.
func (s *Session) Output() []byte {
	b := s.out
	s.out = s.out[:0]
	if cap(s.out) > 1<<12 { // an idle client holds no large buffer
		s.out = nil
	}
	return b
}

// TakeQuery returns the query to be run now, once, or nil. Done must follow each.
func (s *Session) TakeQuery() *enginequery.Query {
	a := s.pendingQuery
	s.pendingQuery = nil
	return a
}

// CancelRequest returns the cancel request that this connection brought, or nil.
func (s *Session) CancelRequest() *CancelRequest { return s.cancelRequest }

// Receive takes bytes of the client. It keeps no reference to them.
func (s *Session) Receive(b []byte) {
	if s.phase == phaseClosing {
		return
	}
	s.reader.Push(b)
	s.processInput()
	if s.bytesAhead = s.reader.Rest(); s.phase == phaseBusy && s.bytesAhead > s.maxPending() && !s.copyIn {
		s.failFatal(
			"54000",
			fmt.Sprintf("more than %d bytes sent ahead while a query runs", s.maxPending()),
			"",
		)
	}
}

// Backlogged reports whether so much was sent ahead of the query that is out that the client should not be
// read for now: until Done or Copy.
func (s *Session) Backlogged() bool {
	return s.phase == phaseBusy && !s.copyIn && 2*s.bytesAhead > s.maxPending()
}

func (s *Session) maxPending() int {
	if s.cfg.MaxPending == 0 {
		return 1 << 20
	}
	return s.cfg.MaxPending
}

// QueryEnded tells that the query of the last Ask ended, after b was put before all further output. failed
// says that an ErrorResponse ended it.
func (s *Session) QueryEnded(kind enginequery.Kind, b []byte, failed bool) {
	if s.phase != phaseBusy {
		return
	}
	s.phase, s.copyIn = phaseIdle, false
	s.out = append(s.out, b...)
	if kind == enginequery.Simple {
		s.out = pgwire.AppendReady(s.out, s.Affinity.Status())
	} else {
		s.skipToSync = failed
	}
	if s.hasDeferred && !failed {
		s.hasDeferred = false
		s.handleMessage(s.deferred)
	}
	s.hasDeferred = false
	s.reader.Push(nil)
	s.processInput()
	s.bytesAhead = s.reader.Rest()
}

// Terminate closes the session from our side with a FATAL error.
func (s *Session) Terminate(code, message string) {
	if s.phase != phaseClosing {
		s.failFatal(code, message, "")
	}
}

func (s *Session) processInput() {
	for (s.phase != phaseBusy || s.copyIn) && s.phase != phaseClosing {
		m, ok, err := s.reader.Next()
		if err != nil {
			s.failFatal("08P01", "protocol violation: "+err.Error(), "")
			return
		}
		if !ok {
			return
		}
		if s.phase == phaseStart {
			s.handleStartup(m.Body)
			continue
		}
		if s.copyIn {
			s.handleCopyMessage(m)
			continue
		}
		if s.describePending && !s.skipToSync {
			if s.describeAlone(m) {
				continue
			}
		}
		s.handleMessage(m)
	}
}

// describeAlone runs a portal's Describe by itself where the next message is no Execute of it; that message
// then waits.
func (s *Session) describeAlone(m pgwire.Message) bool {
	if m.Type == 'E' {
		if name, _, err := pgwire.ParseExecute(m.Body); err == nil && string(name) == s.describedPortal {
			return false
		}
	}
	s.describePending = false
	p := s.portals[s.describedPortal]
	s.deferred = pgwire.Message{Type: m.Type, Body: append([]byte(nil), m.Body...)}
	s.hasDeferred = true
	s.submit(
		&enginequery.Query{
			Kind:           enginequery.DescribePortal,
			Text:           p.statement.text,
			Parsed:         p.statement.parsed,
			ParameterTypes: p.statement.parameterTypes,
			BindBody:       p.bindBody,
		},
	)
	return true
}

func (s *Session) failFatal(code, message, detail string) {
	s.out = pgwire.AppendFields(s.out, 'E', &pgwire.Fields{Severity: "FATAL", Code: code, Message: message,
		Detail: detail})
	s.phase = phaseClosing
}

// failStatement answers a message with an ERROR; in the extended protocol all up to Sync is skipped then.
func (s *Session) failStatement(code, message string) {
	s.out = pgwire.AppendFields(s.out, 'E', &pgwire.Fields{Severity: "ERROR", Code: code, Message: message})
	s.skipToSync = true
}

func (s *Session) handleStartup(b []byte) {
	p, err := pgwire.ParseStartup(b)
	switch {
	case err != nil:
		s.failFatal("08P01", err.Error(), "")
		return
	case p.Code == pgwire.CodeTLS || p.Code == pgwire.CodeGSS:
		s.out = append(s.out, 'N')
		return
	case p.Code == pgwire.CodeCancel:
		s.cancelRequest = &CancelRequest{PID: p.PID, Secret: string(p.Secret)}
		s.phase = phaseClosing
		return
	case p.Parameters["user"] == "":
		s.failFatal("28000", "no user name in the startup packet", "")
		return
	}
	s.reader.Startup, s.reader.Known = false, pgwire.FrontendType
	var unknown []string
	for name := range p.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
		}
	}
	if p.Code > pgwire.Version32 || len(unknown) > 0 {
		s.out = pgwire.AppendNegotiate(s.out, min(p.Code, pgwire.Version32), unknown)
	}
	s.User, s.Database, s.Application = p.Parameters["user"], p.Parameters["database"],
		p.Parameters["application_name"]
	if s.Database == "" {
		s.Database = s.User
	}
	for name, value := range p.Parameters {
		var err *settingError
		switch {
		case name == "options":
			for _, o := range parseStartupOptions(value) {
				if k, v, ok := strings.Cut(o, "="); ok && err == nil {
					err = s.applyStartupSetting(k, v)
				}
			}
		case name != "user" && name != "database" && name != "replication" &&
			!strings.HasPrefix(name, "_pq_."):
			err = s.applyStartupSetting(name, value)
		}
		if err != nil {
			s.failFatal(err.code, err.message, "")
			return
		}
	}
	if r := p.Parameters["replication"]; r != "" && r != "false" && r != "off" && r != "0" && r != "no" {
		s.failFatal("0A000", "replication connections are not served", "")
		return
	}
	s.out = pgwire.AppendAuthOK(s.out)
	for _, v := range [][2]string{{"server_version", s.cfg.ServerVersion}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"IntervalStyle", "postgres"}, {"TimeZone", "UTC"}, {"integer_datetimes",
			"on"},
		{"standard_conforming_strings", "on"}, {"application_name", s.Application},
		{"session_authorization", s.User}, {"is_superuser", "off"}, {"in_hot_standby", "off"},
		{"default_transaction_read_only", "off"}} {
		if asked, ok := s.localSettings["started "+strings.ToLower(v[0])]; ok {
			v[1] = asked
		}
		s.out = pgwire.AppendText(s.out, 'S', v[0], v[1])
	}
	if p.Code < pgwire.Version32 {
		s.Secret = s.Secret[:4]
	}
	s.out = pgwire.AppendKey(s.out, s.PID, []byte(s.Secret))
	s.out = pgwire.AppendReady(s.out, 'I')
	s.phase = phaseIdle
}

// parseStartupOptions splits the command-line form of settings: "-c name=value" or "--name=value", spaces
// escaped by \.
func parseStartupOptions(v string) (out []string) {
	var words []string
	word := ""
	for i := 0; i <= len(v); i++ {
		switch {
		case i == len(v) || v[i] == ' ':
			if word != "" {
				words = append(words, word)
			}
			word = ""
		case v[i] == '\\' && i+1 < len(v):
			i++
			word += v[i : i+1]
		default:
			word += v[i : i+1]
		}
	}
	for i := 0; i < len(words); i++ {
		switch w := words[i]; {
		case w == "-c" && i+1 < len(words):
			i++
			out = append(out, words[i])
		case strings.HasPrefix(w, "-c"):
			out = append(out, w[2:])
		case strings.HasPrefix(w, "--"):
			out = append(out, strings.ReplaceAll(w[2:], "-", "_"))
		}
	}
	return out
}

// submit puts a query out.
func (s *Session) submit(a *enginequery.Query) {
	s.pendingQuery, s.phase = a, phaseBusy
	a.Sticky, a.OutsideTransaction, a.Settings = s.Affinity.Bound(), s.Affinity.Status() == 'I', s.Affinity.Params.Desired()
	if a.Kind == enginequery.Simple || a.Kind == enginequery.Execute {
		s.Affinity.StatementsSent(a.Parsed)
	}
	// What begins a session to be kept may yet be refused before an engine saw it; Done then says that
	// nothing is held.
	a.MayBecomeSticky = !a.Sticky && (s.Affinity.Bound() || slices.ContainsFunc(a.Parsed, starts))
	a.Stateful = a.Sticky || a.MayBecomeSticky ||
		slices.ContainsFunc(a.Parsed, func(st sqlscan.Statement) bool {
			_, ok := sessionparams.ChangeOf(&st)
			return ok
		})
}

func starts(st sqlscan.Statement) bool { return affinity.MayLeaveState(&st) }

// scan reads a text. Functions that the settings call harmless are in no doubt.
func (s *Session) scan(text string) []sqlscan.Statement {
	all := sqlscan.Statements(text)
	for i := range all {
		if f := all[i].Function; f != "" && s.cfg.StatelessFunction != nil && s.cfg.StatelessFunction(f) {
			all[i].Function = ""
		}
	}
	return all
}

// CommandComplete takes a CommandComplete of the engine for the query that is out.
func (s *Session) CommandComplete(tag string) {
	if s.Affinity.CommandComplete(tag); tag == "DISCARD ALL" || tag == "DEALLOCATE ALL" {
		clear(s.statements) // "DISCARD": prepared statements of the protocol are among them
	}
}

func (s *Session) handleMessage(m pgwire.Message) {
	if s.skipToSync && m.Type != 'S' && m.Type != 'X' {
		return // "Extended Query": after an error all is discarded until Sync
	}
	var err error
	switch m.Type {
	case 'Q':
		err = s.handleQuery(m.Body)
	case 'P':
		err = s.handleParse(m.Body)
	case 'B':
		err = s.handleBind(m.Body)
	case 'D':
		err = s.handleDescribe(m.Body)
	case 'E':
		err = s.handleExecute(m.Body)
	case 'C':
		err = s.handleClose(m.Body)
	case 'S':
		s.skipToSync, s.describePending = false, false
		if s.Affinity.Status() == 'I' {
			clear(s.portals) // the implicit transaction ends here
		}
		s.out = pgwire.AppendReady(s.out, s.Affinity.Status())
	case 'H', 'd', 'c', 'f': // answers are never kept back; copy data out of place is ignored as specified
	case 'F':
		s.failStatement("0A000", "function calls by number are not served")
		s.out = pgwire.AppendReady(s.out, s.Affinity.Status())
		s.skipToSync = false
	case 'X':
		s.phase = phaseClosing
	default:
		err = fmt.Errorf("%w: message type %q is out of place", pgwire.ErrFrame, m.Type)
	}
	if err != nil {
		s.failFatal("08P01", "protocol violation: "+err.Error(), "")
	}
}

func (s *Session) handleQuery(b []byte) error {
	raw, err := pgwire.ParseQuery(b)
	if err != nil {
		return err
	}
	text := string(raw)
	parsed := s.scan(text)
	switch {
	case len(parsed) == 0:
		s.out = pgwire.Append(s.out, 'I', nil)
	case s.allLocal(parsed):
		for i := range parsed {
			if !s.executeLocal(&parsed[i], true) {
				break
			}
		}
	default:
		s.submit(&enginequery.Query{Kind: enginequery.Simple, Text: text, Parsed: parsed})
		return nil
	}
	s.skipToSync = false
	s.out = pgwire.AppendReady(s.out, s.Affinity.Status())
	return nil
}

func (s *Session) handleParse(b []byte) error {
	p, err := pgwire.ParseParse(b)
	if err != nil {
		return err
	}
	name := string(p.Name)
	most := s.cfg.MaxPrepared
	if most == 0 {
		most = 1000
	}
	st := &statement{text: string(p.Text), parameterTypes: string(p.Types)}
	st.parsed = s.scan(st.text)
	st.local = s.allLocal(st.parsed) || len(st.parsed) == 0
	switch {
	case len(st.parsed) > 1:
		s.failStatement("42601", "cannot insert multiple commands into a prepared statement")
	case name != "" && s.statements[name] != nil:
		s.failStatement("42P05", fmt.Sprintf("prepared statement %q already exists", name))
	case len(s.statements) >= most:
		s.failStatement("53400", fmt.Sprintf("more than %d prepared statements", most))
	default:
		if s.statements == nil {
			s.statements = map[string]*statement{}
		}
		s.statements[name] = st
		s.out = pgwire.Append(s.out, '1', nil)
	}
	return nil
}

func (s *Session) handleBind(b []byte) error {
	m, err := pgwire.ParseBind(b)
	if err != nil {
		return err
	}
	st := s.statements[string(m.Statement)]
	name := string(m.Portal)
	switch {
	case st == nil:
		s.failStatement("26000", fmt.Sprintf("prepared statement %q does not exist", m.Statement))
	case name != "" && s.portals[name] != nil:
		s.failStatement("42P03", fmt.Sprintf("portal %q already exists", name))
	default:
		if s.portals == nil {
			s.portals = map[string]*portal{}
		}
		s.portals[name] = &portal{statement: st, bindBody: append([]byte(nil), m.Rest...)}
		s.out = pgwire.Append(s.out, '2', nil)
	}
	return nil
}

func (s *Session) handleDescribe(b []byte) error {
	kind, name, err := pgwire.ParseTarget(b)
	if err != nil {
		return err
	}
	if kind == 'P' {
		switch p := s.portals[string(name)]; {
		case p == nil:
			s.failStatement("34000", fmt.Sprintf("portal %q does not exist", name))
		case p.statement.local:
			s.out = append(s.out, s.localDescription(p.statement)...)
		default:
			s.describedPortal, s.describePending = string(name), true
		}
		return nil
	}
	st := s.statements[string(name)]
	if st == nil {
		s.failStatement("26000", fmt.Sprintf("prepared statement %q does not exist", name))
		return nil
	}
	if st.local {
		s.out = pgwire.Append(s.out, 't', []byte{0, 0})
		s.out = append(s.out, s.localDescription(st)...)
		return nil
	}
	a := &enginequery.Query{
		Kind:           enginequery.DescribeStatement,
		Text:           st.text,
		Parsed:         st.parsed,
		ParameterTypes: st.parameterTypes,
	}
	if s.cfg.CachedDescription != nil {
		if known := s.cfg.CachedDescription(a.PrepareKey()); known != nil {
			s.out = append(s.out, known...)
			return nil
		}
	}
	s.submit(a)
	return nil
}

func (s *Session) handleExecute(b []byte) error {
	name, rows, err := pgwire.ParseExecute(b)
	if err != nil {
		return err
	}
	p := s.portals[string(name)]
	describe := s.describePending
	s.describePending = false
	switch {
	case p == nil:
		s.failStatement("34000", fmt.Sprintf("portal %q does not exist", name))
	case len(p.statement.parsed) == 0:
		s.out = pgwire.Append(s.out, 'I', nil)
	case p.statement.local:
		s.executeLocal(&p.statement.parsed[0], false)
	case p.executed && p.atEngine && s.Affinity.Status() == 'T':
		s.submit(
			&enginequery.Query{
				Kind:           enginequery.Execute,
				Text:           p.statement.text,
				Parsed:         p.statement.parsed,
				Portal:         string(name),
				ContinuePortal: true,
				MaxRows:        rows,
			},
		)
	case p.executed:
		s.failStatement("0A000",
			"a portal is executed once: fetching on would need a session that is kept on one engine")
	default:
		a := &enginequery.Query{
			Kind:           enginequery.Execute,
			Text:           p.statement.text,
			Parsed:         p.statement.parsed,
			ParameterTypes: p.statement.parameterTypes,
			BindBody:       p.bindBody,
			WithDescribe:   describe,
			MaxRows:        rows,
		}
		if p.executed, p.atEngine = true, s.Affinity.Status() == 'T'; p.atEngine {
			a.Portal = string(name)
		}
		s.submit(a)
	}
	return nil
}

func (s *Session) handleClose(b []byte) error {
	kind, name, err := pgwire.ParseTarget(b)
	if err != nil {
		return err
	}
	if kind == 'S' {
		delete(s.statements, string(name))
	} else {
		delete(s.portals, string(name))
	}
	s.out = pgwire.Append(s.out, '3', nil)
	return nil
}

// parseTimeout reads a time setting as PostgreSQL does: a number in ms, or one with a unit.
func parseTimeout(v string) (time.Duration, bool) {
	v = strings.TrimSpace(v)
	if n, err := strconv.ParseInt(v, 10, 32); err == nil && n >= 0 {
		return time.Duration(n) * time.Millisecond, true
	}
	units := map[string]time.Duration{"us": time.Microsecond, "ms": time.Millisecond, "s": time.Second,
		"min": time.Minute, "h": time.Hour, "d": 24 * time.Hour}
	i := strings.LastIndexAny(v, "0123456789") + 1
	unit, ok := units[strings.TrimSpace(v[i:])]
	n, err := strconv.ParseFloat(strings.TrimSpace(v[:i]), 64)
	if !ok || err != nil || n < 0 || n*float64(unit) > 1e18 {
		return 0, false
	}
	return time.Duration(n * float64(unit)), true
}
