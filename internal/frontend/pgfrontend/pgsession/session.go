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

// Cancel is a client's request to cancel what another connection runs.
type Cancel struct {
	PID    uint32
	Secret string
}

// Config is what all sessions share.
type Config struct {
	Version    string // server_version told to clients
	MaxMessage int    // bytes; 0: pgwire's
	MaxPending int    // bytes that a client may send ahead while a query runs; 0: 1 MiB
	MaxNames   int    // prepared statements a client may keep; 0: 1,000
	Described  func(key string) []byte
	// Harmless reports whether a function leaves nothing in a session; nil: none is known to.
	Harmless func(name string) bool
}

type phase int

const (
	phaseStart phase = iota
	phaseIdle
	phaseBusy
	phaseOver
)

type statement struct {
	text   string
	types  string
	parsed []sqlscan.Statement
	local  bool
}

type portal struct {
	of   *statement
	bind []byte
	used bool
	kept bool // it stands at the engine until the transaction ends
}

// Session is one client's protocol state. It is for one goroutine at a time.
type Session struct {
	User, Database, Application string
	Timeout                     time.Duration // statement_timeout; 0: none
	PID                         uint32
	Secret                      string

	Pin *affinity.Session // whether the session is kept on one engine connection

	cfg    *Config
	phase  phase
	reader pgwire.Reader
	out    []byte
	ask    *enginequery.Ask
	cancel *Cancel

	statements map[string]*statement
	portals    map[string]*portal
	skip       bool   // after an error, until Sync
	describe   string // name of the portal whose Describe waits for the next message...
	waiting    bool   // ...where one does
	carry      pgwire.Message
	carried    bool
	settings   map[string]string

	ahead   int        // bytes of the client that wait
	copying bool       // in copy-in mode
	copied  []byte     // messages for the engine
	copyEnd copyin.End // how they end
}

// New returns a session that waits for its startup packet. The PID and secret name it in cancel requests; a
// secret is 32 bytes, of which clients before 3.2 get the first four.
func New(cfg *Config, pid uint32, secret string) *Session {
	s := &Session{cfg: cfg, PID: pid, Secret: secret, Pin: affinity.New()}
	s.reader.Startup, s.reader.Max = true, cfg.MaxMessage
	return s
}

// Over reports whether the connection is to be closed once the output is out.
func (s *Session) Over() bool { return s.phase == phaseOver }

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

// Ask returns the query to be run now, once, or nil. Done must follow each.
func (s *Session) Ask() *enginequery.Ask {
	a := s.ask
	s.ask = nil
	return a
}

// Cancel returns the cancel request that this connection brought, or nil.
func (s *Session) Cancel() *Cancel { return s.cancel }

// Data takes bytes of the client. It keeps no reference to them.
func (s *Session) Data(b []byte) {
	if s.phase == phaseOver {
		return
	}
	s.reader.Push(b)
	s.drain()
	if s.ahead = s.reader.Rest(); s.phase == phaseBusy && s.ahead > s.most() && !s.copying {
		s.fatal("54000", fmt.Sprintf("more than %d bytes sent ahead while a query runs", s.most()), "")
	}
}

// Full reports whether so much was sent ahead of the query that is out that the client should not be read for
// now: until Done or Copy.
func (s *Session) Full() bool { return s.phase == phaseBusy && !s.copying && 2*s.ahead > s.most() }

func (s *Session) most() int {
	if s.cfg.MaxPending == 0 {
		return 1 << 20
	}
	return s.cfg.MaxPending
}

// Done tells that the query of the last Ask ended, after b was put before all further output. failed says
// that an ErrorResponse ended it.
func (s *Session) Done(kind enginequery.Kind, b []byte, failed bool) {
	if s.phase != phaseBusy {
		return
	}
	s.phase, s.copying = phaseIdle, false
	s.out = append(s.out, b...)
	if kind == enginequery.Simple {
		s.out = pgwire.AppendReady(s.out, s.Pin.Status())
	} else {
		s.skip = failed
	}
	if s.carried && !failed {
		s.carried = false
		s.message(s.carry)
	}
	s.carried = false
	s.reader.Push(nil)
	s.drain()
	s.ahead = s.reader.Rest()
}

// End closes the session from our side with a FATAL error.
func (s *Session) End(code, message string) {
	if s.phase != phaseOver {
		s.fatal(code, message, "")
	}
}

func (s *Session) drain() {
	for (s.phase != phaseBusy || s.copying) && s.phase != phaseOver {
		m, ok, err := s.reader.Next()
		if err != nil {
			s.fatal("08P01", "protocol violation: "+err.Error(), "")
			return
		}
		if !ok {
			return
		}
		if s.phase == phaseStart {
			s.start(m.Body)
			continue
		}
		if s.copying {
			s.copyMessage(m)
			continue
		}
		if s.waiting && !s.skip {
			if s.wait(m) {
				continue
			}
		}
		s.message(m)
	}
}

// wait runs a portal's Describe by itself where the next message is no Execute of it; that message then
// waits.
func (s *Session) wait(m pgwire.Message) bool {
	if m.Type == 'E' {
		if name, _, err := pgwire.ParseExecute(m.Body); err == nil && string(name) == s.describe {
			return false
		}
	}
	s.waiting = false
	p := s.portals[s.describe]
	s.carry = pgwire.Message{Type: m.Type, Body: append([]byte(nil), m.Body...)}
	s.carried = true
	s.run(&enginequery.Ask{Kind: enginequery.DescribePortal, Text: p.of.text, Parsed: p.of.parsed, Types: p.of.types,
		Bind: p.bind})
	return true
}

func (s *Session) fatal(code, message, detail string) {
	s.out = pgwire.AppendFields(s.out, 'E', &pgwire.Fields{Severity: "FATAL", Code: code, Message: message,
		Detail: detail})
	s.phase = phaseOver
}

// fail answers a message with an ERROR; in the extended protocol all up to Sync is skipped then.
func (s *Session) fail(code, message string) {
	s.out = pgwire.AppendFields(s.out, 'E', &pgwire.Fields{Severity: "ERROR", Code: code, Message: message})
	s.skip = true
}

func (s *Session) start(b []byte) {
	p, err := pgwire.ParseStartup(b)
	switch {
	case err != nil:
		s.fatal("08P01", err.Error(), "")
		return
	case p.Code == pgwire.CodeTLS || p.Code == pgwire.CodeGSS:
		s.out = append(s.out, 'N')
		return
	case p.Code == pgwire.CodeCancel:
		s.cancel = &Cancel{PID: p.PID, Secret: string(p.Secret)}
		s.phase = phaseOver
		return
	case p.Parameters["user"] == "":
		s.fatal("28000", "no user name in the startup packet", "")
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
			for _, o := range startOptions(value) {
				if k, v, ok := strings.Cut(o, "="); ok && err == nil {
					err = s.begin(k, v)
				}
			}
		case name != "user" && name != "database" && name != "replication" &&
			!strings.HasPrefix(name, "_pq_."):
			err = s.begin(name, value)
		}
		if err != nil {
			s.fatal(err.code, err.message, "")
			return
		}
	}
	if r := p.Parameters["replication"]; r != "" && r != "false" && r != "off" && r != "0" && r != "no" {
		s.fatal("0A000", "replication connections are not served", "")
		return
	}
	s.out = pgwire.AppendAuthOK(s.out)
	for _, v := range [][2]string{{"server_version", s.cfg.Version}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"IntervalStyle", "postgres"}, {"TimeZone", "UTC"}, {"integer_datetimes",
			"on"},
		{"standard_conforming_strings", "on"}, {"application_name", s.Application},
		{"session_authorization", s.User}, {"is_superuser", "off"}, {"in_hot_standby", "off"},
		{"default_transaction_read_only", "off"}} {
		if asked, ok := s.settings["started "+strings.ToLower(v[0])]; ok {
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

// startOptions splits the command-line form of settings: "-c name=value" or "--name=value", spaces escaped by
// \.
func startOptions(v string) (out []string) {
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

// run puts a query out.
func (s *Session) run(a *enginequery.Ask) {
	s.ask, s.phase = a, phaseBusy
	a.Bound, a.Rest, a.Settings = s.Pin.Bound(), s.Pin.Status() == 'I', s.Pin.Params.Want()
	if a.Kind == enginequery.Simple || a.Kind == enginequery.Execute {
		s.Pin.Sent(a.Parsed)
	}
	// What begins a session to be kept may yet be refused before an engine saw it; Done then says that
	// nothing is held.
	a.Begins = !a.Bound && (s.Pin.Bound() || slices.ContainsFunc(a.Parsed, starts))
	a.Pinned = a.Bound || a.Begins || slices.ContainsFunc(a.Parsed, func(st sqlscan.Statement) bool {
		_, ok := sessionparams.Of(&st)
		return ok
	})
}

func starts(st sqlscan.Statement) bool { return affinity.Starts(&st) }

// scan reads a text. Functions that the settings call harmless are in no doubt.
func (s *Session) scan(text string) []sqlscan.Statement {
	all := sqlscan.Statements(text)
	for i := range all {
		if f := all[i].Function; f != "" && s.cfg.Harmless != nil && s.cfg.Harmless(f) {
			all[i].Function = ""
		}
	}
	return all
}

// Tag takes a CommandComplete of the engine for the query that is out.
func (s *Session) Tag(tag string) {
	if s.Pin.Tag(tag); tag == "DISCARD ALL" || tag == "DEALLOCATE ALL" {
		clear(s.statements) // "DISCARD": prepared statements of the protocol are among them
	}
}

func (s *Session) message(m pgwire.Message) {
	if s.skip && m.Type != 'S' && m.Type != 'X' {
		return // "Extended Query": after an error all is discarded until Sync
	}
	var err error
	switch m.Type {
	case 'Q':
		err = s.query(m.Body)
	case 'P':
		err = s.parse(m.Body)
	case 'B':
		err = s.bind(m.Body)
	case 'D':
		err = s.described(m.Body)
	case 'E':
		err = s.execute(m.Body)
	case 'C':
		err = s.close(m.Body)
	case 'S':
		s.skip, s.waiting = false, false
		if s.Pin.Status() == 'I' {
			clear(s.portals) // the implicit transaction ends here
		}
		s.out = pgwire.AppendReady(s.out, s.Pin.Status())
	case 'H', 'd', 'c', 'f': // answers are never kept back; copy data out of place is ignored as specified
	case 'F':
		s.fail("0A000", "function calls by number are not served")
		s.out = pgwire.AppendReady(s.out, s.Pin.Status())
		s.skip = false
	case 'X':
		s.phase = phaseOver
	default:
		err = fmt.Errorf("%w: message type %q is out of place", pgwire.ErrFrame, m.Type)
	}
	if err != nil {
		s.fatal("08P01", "protocol violation: "+err.Error(), "")
	}
}

func (s *Session) query(b []byte) error {
	raw, err := pgwire.ParseQuery(b)
	if err != nil {
		return err
	}
	text := string(raw)
	parsed := s.scan(text)
	switch {
	case len(parsed) == 0:
		s.out = pgwire.Append(s.out, 'I', nil)
	case s.here(parsed):
		for i := range parsed {
			if !s.serve(&parsed[i], true) {
				break
			}
		}
	default:
		s.run(&enginequery.Ask{Kind: enginequery.Simple, Text: text, Parsed: parsed})
		return nil
	}
	s.skip = false
	s.out = pgwire.AppendReady(s.out, s.Pin.Status())
	return nil
}

func (s *Session) parse(b []byte) error {
	p, err := pgwire.ParseParse(b)
	if err != nil {
		return err
	}
	name := string(p.Name)
	most := s.cfg.MaxNames
	if most == 0 {
		most = 1000
	}
	st := &statement{text: string(p.Text), types: string(p.Types)}
	st.parsed = s.scan(st.text)
	st.local = s.here(st.parsed) || len(st.parsed) == 0
	switch {
	case len(st.parsed) > 1:
		s.fail("42601", "cannot insert multiple commands into a prepared statement")
	case name != "" && s.statements[name] != nil:
		s.fail("42P05", fmt.Sprintf("prepared statement %q already exists", name))
	case len(s.statements) >= most:
		s.fail("53400", fmt.Sprintf("more than %d prepared statements", most))
	default:
		if s.statements == nil {
			s.statements = map[string]*statement{}
		}
		s.statements[name] = st
		s.out = pgwire.Append(s.out, '1', nil)
	}
	return nil
}

func (s *Session) bind(b []byte) error {
	m, err := pgwire.ParseBind(b)
	if err != nil {
		return err
	}
	st := s.statements[string(m.Statement)]
	name := string(m.Portal)
	switch {
	case st == nil:
		s.fail("26000", fmt.Sprintf("prepared statement %q does not exist", m.Statement))
	case name != "" && s.portals[name] != nil:
		s.fail("42P03", fmt.Sprintf("portal %q already exists", name))
	default:
		if s.portals == nil {
			s.portals = map[string]*portal{}
		}
		s.portals[name] = &portal{of: st, bind: append([]byte(nil), m.Rest...)}
		s.out = pgwire.Append(s.out, '2', nil)
	}
	return nil
}

func (s *Session) described(b []byte) error {
	kind, name, err := pgwire.ParseTarget(b)
	if err != nil {
		return err
	}
	if kind == 'P' {
		switch p := s.portals[string(name)]; {
		case p == nil:
			s.fail("34000", fmt.Sprintf("portal %q does not exist", name))
		case p.of.local:
			s.out = append(s.out, s.columns(p.of)...)
		default:
			s.describe, s.waiting = string(name), true
		}
		return nil
	}
	st := s.statements[string(name)]
	if st == nil {
		s.fail("26000", fmt.Sprintf("prepared statement %q does not exist", name))
		return nil
	}
	if st.local {
		s.out = pgwire.Append(s.out, 't', []byte{0, 0})
		s.out = append(s.out, s.columns(st)...)
		return nil
	}
	a := &enginequery.Ask{Kind: enginequery.DescribeStatement, Text: st.text, Parsed: st.parsed, Types: st.types}
	if s.cfg.Described != nil {
		if known := s.cfg.Described(a.Key()); known != nil {
			s.out = append(s.out, known...)
			return nil
		}
	}
	s.run(a)
	return nil
}

func (s *Session) execute(b []byte) error {
	name, rows, err := pgwire.ParseExecute(b)
	if err != nil {
		return err
	}
	p := s.portals[string(name)]
	describe := s.waiting
	s.waiting = false
	switch {
	case p == nil:
		s.fail("34000", fmt.Sprintf("portal %q does not exist", name))
	case len(p.of.parsed) == 0:
		s.out = pgwire.Append(s.out, 'I', nil)
	case p.of.local:
		s.serve(&p.of.parsed[0], false)
	case p.used && p.kept && s.Pin.Status() == 'T':
		s.run(&enginequery.Ask{Kind: enginequery.Execute, Text: p.of.text, Parsed: p.of.parsed, Portal: string(name),
			More: true, Rows: rows})
	case p.used:
		s.fail("0A000",
			"a portal is executed once: fetching on would need a session that is kept on one engine")
	default:
		a := &enginequery.Ask{Kind: enginequery.Execute, Text: p.of.text, Parsed: p.of.parsed, Types: p.of.types,
			Bind: p.bind, Describe: describe, Rows: rows}
		if p.used, p.kept = true, s.Pin.Status() == 'T'; p.kept {
			a.Portal = string(name)
		}
		s.run(a)
	}
	return nil
}

func (s *Session) close(b []byte) error {
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

// milliseconds reads a time setting as PostgreSQL does: a number in ms, or one with a unit.
func milliseconds(v string) (time.Duration, bool) {
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
