// Package pgsession implements the server side of the PostgreSQL protocol for one client, without sockets.
// Its inputs are the client's bytes and the ends of queries; its outputs are bytes for the client and queries
// for engines. It decides what the dispatcher answers itself (startup, Parse, Bind, Sync, a few settings),
// what is a query for an engine, and what is skipped after an error. It decides nothing about engines, and
// does no I/O. Section names in comments refer to PostgreSQL's chapter "Frontend/Backend Protocol".
package pgsession

import (
	"fmt"
	"time"

	"cresspass/internal/affinity"
	"cresspass/internal/backend/copyin"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/protocol/pgwire"
	"cresspass/internal/protocol/sqlstate"
)

const (
	defaultMaxPending  = 1 << 20 // bytes
	defaultMaxPrepared = 1000    // statements
	// maxIdleOutput is the largest output buffer, in bytes, that a session keeps while its client is idle.
	maxIdleOutput = 1 << 12
)

// Config holds the settings that all sessions share.
type Config struct {
	ServerVersion string // server_version sent to clients
	MaxMessage    int    // largest message body in bytes; 0: the default of package pgwire
	MaxPending    int    // bytes that a client may send ahead while a query runs; 0: 1 MiB
	MaxPrepared   int    // prepared statements of a client; 0: 1,000
	// CachedDescription returns an engine's response to the Describe of a statement by the query's
	// DescriptionKey, or nil if none is cached. A nil function means that nothing is cached.
	CachedDescription func(key string) []byte
	// StatelessFunction reports whether a function leaves no state in a session. It may be nil.
	StatelessFunction func(name string) bool
}

// CancelRequest is a client's request to cancel the query of another connection.
type CancelRequest struct {
	PID    uint32
	Secret string
}

// phase is the state of a connection in the protocol's message flow.
type phase int

const (
	phaseStart   phase = iota // the startup packet has not arrived
	phaseIdle                 // no query runs
	phaseBusy                 // a query runs
	phaseClosing              // the connection must be closed
)

// Session is the protocol state of one client. It is not safe for concurrent use.
type Session struct {
	User, Database string
	PID            uint32 // identifies the session in cancel requests, together with Secret
	Secret         string

	Affinity *affinity.Session // tracks whether the session must keep one engine connection

	cfg    *Config
	phase  phase
	reader pgwire.Reader
	out    []byte

	pendingQuery  *enginequery.Query // until TakeQuery
	cancelRequest *CancelRequest

	statements      namedObjects[*statement]
	portals         namedObjects[*portal]
	skipToSync      bool   // after an error: messages are skipped until Sync
	describedPortal string // name of the portal whose Describe waits, if describePending
	describePending bool   // the Describe of a portal waits for the next message
	deferred        pgwire.Message
	hasDeferred     bool
	// failedTransaction means that an error of the session itself has failed a transaction.
	failedTransaction bool
	settings          settingTracker
	startupReports    map[string]string // startup values of reported settings, by name in lower case

	queryBytes int        // of the text of the running query, unless it is a prepared statement's
	bytesAhead int        // bytes received but not yet handled
	copyIn     bool       // in copy-in mode
	copyData   []byte     // copy messages for the engine
	copyEnd    copyin.End // how the data ends after copyData
}

// New returns a session that waits for its startup packet. The PID and secret identify it in cancel requests.
// The secret has 32 bytes; clients before protocol version 3.2 get the first four.
func New(cfg *Config, pid uint32, secret string) *Session {
	s := &Session{cfg: cfg, PID: pid, Secret: secret, Affinity: affinity.NewSession()}
	s.reader.Startup, s.reader.Max = true, cfg.MaxMessage
	return s
}

// StatementTimeout returns the time limit that the client has set for each query; 0 means none.
func (s *Session) StatementTimeout() time.Duration { return s.settings.current.statementTimeout }

// Application returns the client's application name.
func (s *Session) Application() string { return s.settings.current.application }

// Closing reports whether the connection must be closed once the output is sent.
func (s *Session) Closing() bool { return s.phase == phaseClosing }

// Started reports whether the startup phase is over.
func (s *Session) Started() bool { return s.phase != phaseStart }

// Busy reports whether a query runs.
func (s *Session) Busy() bool { return s.phase == phaseBusy }

// Output returns the bytes for the client since the last call. They are valid until the next call of any
// method.
func (s *Session) Output() []byte {
	b := s.out
	s.out = s.out[:0]
	if cap(s.out) > maxIdleOutput {
		s.out = nil
	}
	return b
}

// TakeQuery returns the query to run now, or nil. It returns each query once; QueryEnded must follow each.
func (s *Session) TakeQuery() *enginequery.Query {
	q := s.pendingQuery
	s.pendingQuery = nil
	return q
}

// TakeFailedTransaction reports whether an error of the session itself has failed a transaction since the
// last call. The engine must be brought to that status before the next query is sent to it.
func (s *Session) TakeFailedTransaction() bool {
	failed := s.failedTransaction
	s.failedTransaction = false
	return failed
}

// CancelRequest returns the cancel request that arrived on this connection, or nil.
func (s *Session) CancelRequest() *CancelRequest { return s.cancelRequest }

// Receive handles bytes from the client. It keeps no reference to them.
func (s *Session) Receive(b []byte) {
	if s.phase == phaseClosing {
		return
	}
	s.processInput(b)
	if s.phase == phaseBusy && s.bytesAhead > s.maxPending() && !s.copyIn {
		s.failFatal(sqlstate.ProgramLimitExceeded,
			fmt.Sprintf("more than %d bytes sent ahead while a query runs", s.maxPending()))
	}
}

// Backlogged reports whether the client has sent so much ahead while a query runs that reading should pause
// until QueryEnded or StartCopyIn.
func (s *Session) Backlogged() bool {
	return s.phase == phaseBusy && !s.copyIn && 2*s.bytesAhead > s.maxPending()
}

// HeldBytes returns how many bytes of the client's input the session holds: what is not handled yet, the
// running query, prepared statements and portals.
func (s *Session) HeldBytes() int {
	return s.bytesAhead + s.queryBytes + len(s.copyData) + s.statements.bytes + s.portals.bytes
}

func (s *Session) maxPending() int {
	if s.cfg.MaxPending == 0 {
		return defaultMaxPending
	}
	return s.cfg.MaxPending
}

// QueryEnded ends the query of the last TakeQuery. b holds the last messages of its response, without
// ReadyForQuery; failed reports whether an ErrorResponse ended it.
func (s *Session) QueryEnded(kind enginequery.Kind, b []byte, failed bool) {
	if s.phase != phaseBusy {
		return
	}
	s.phase, s.copyIn, s.queryBytes = phaseIdle, false, 0
	s.out = append(s.out, b...)
	if kind == enginequery.Simple {
		s.out = pgwire.AppendReady(s.out, s.Affinity.Status())
	} else {
		s.skipToSync = failed
	}
	if s.hasDeferred {
		s.hasDeferred = false
		s.handleMessage(s.deferred) // after an error, it is skipped unless it is a Sync
	}
	s.processInput(nil)
}

// CommandComplete records a command tag of the engine for the running query.
func (s *Session) CommandComplete(tag string) {
	s.Affinity.CommandComplete(tag)
	s.settings.commandComplete(tag)
	if tag == "DISCARD ALL" || tag == "DEALLOCATE ALL" {
		s.statements.clear() // "DISCARD": includes statements prepared by the extended protocol
	}
}

// ReadyForQuery records the transaction status of the engine's ReadyForQuery at the time now. It is called
// after the query's command tags. changed reports whether the session has become bound to its engine
// connection, or is no longer bound.
func (s *Session) ReadyForQuery(now time.Duration, status byte) (changed bool) {
	s.settings.readyForQuery(status)
	return s.Affinity.ReadyForQuery(now, status)
}

// AnsweredEarly records that the running query ends with an error that is not the engine's, at the time now.
// It is called before QueryEnded. ran, changed and known are as in affinity.Session.
func (s *Session) AnsweredEarly(now time.Duration, ran bool) (changed, known bool) {
	before := s.Affinity.Status()
	changed, known = s.Affinity.AnsweredEarly(now, ran)
	if before != enginequery.StatusIdle {
		s.settings.readyForQuery(s.Affinity.Status())
	}
	return changed, known
}

// Terminate ends the session with a FATAL error, unless it is closing already.
func (s *Session) Terminate(code, message string) {
	if s.phase != phaseClosing {
		s.failFatal(code, message)
	}
}

// processInput adds b to the client's unhandled bytes and handles the messages that can be handled now.
func (s *Session) processInput(b []byte) {
	s.reader.Push(b)
	s.handleMessages()
	s.bytesAhead = s.reader.Rest()
}

func (s *Session) handleMessages() {
	for (s.phase != phaseBusy || s.copyIn) && s.phase != phaseClosing {
		m, ok, err := s.reader.Next()
		if err != nil {
			s.failProtocol(err)
			return
		}
		if !ok {
			return
		}
		switch {
		case s.phase == phaseStart:
			s.handleStartup(m.Body)
		case s.copyIn:
			s.handleCopyMessage(m)
		case s.describePending && !s.skipToSync && s.submitDescribe(m):
		default:
			s.handleMessage(m)
		}
	}
}

// handleMessage handles one message outside startup and copy-in mode.
func (s *Session) handleMessage(m pgwire.Message) {
	if s.skipToSync && m.Type != 'S' && m.Type != 'X' {
		return // "Extended Query": after an error all messages are discarded until Sync
	}
	var err error
	switch m.Type {
	case 'Q': // Query
		err = s.handleQuery(m.Body)
	case 'P': // Parse
		err = s.handleParse(m.Body)
	case 'B': // Bind
		err = s.handleBind(m.Body)
	case 'D': // Describe
		err = s.handleDescribe(m.Body)
	case 'E': // Execute
		err = s.handleExecute(m.Body)
	case 'C': // Close
		err = s.handleClose(m.Body)
	case 'S': // Sync
		s.handleSync()
	case 'H': // Flush: output is not held back here
	case 'd', 'c', 'f': // CopyData, CopyDone, CopyFail: ignored outside copy-in mode, as specified
	case 'F': // FunctionCall
		s.failStatement(sqlstate.FeatureNotSupported, "function calls by number are not served")
		s.out = pgwire.AppendReady(s.out, s.Affinity.Status())
		s.skipToSync = false
	case 'X': // Terminate
		s.phase = phaseClosing
	default:
		err = fmt.Errorf("%w: message type %q is out of place", pgwire.ErrFrame, m.Type)
	}
	if err != nil {
		s.failProtocol(err)
	}
}

// failFatal ends the session with a FATAL error.
func (s *Session) failFatal(code, message string) {
	s.out = pgwire.AppendFields(s.out, 'E', &pgwire.Fields{Severity: "FATAL", Code: code, Message: message})
	s.phase, s.pendingQuery = phaseClosing, nil
}

// failProtocol ends the session because the client violates the protocol.
func (s *Session) failProtocol(err error) {
	s.failFatal(sqlstate.ProtocolViolation, "protocol violation: "+err.Error())
}

// failStatement answers a message with an ERROR. In the extended protocol, the messages up to Sync are then
// skipped. As any error does, it fails an open transaction.
func (s *Session) failStatement(code, message string) {
	s.out = pgwire.AppendFields(s.out, 'E', &pgwire.Fields{Severity: "ERROR", Code: code, Message: message})
	s.skipToSync = true
	if s.Affinity.FailTransaction() {
		s.settings.transactionFailed()
		s.failedTransaction = true
	}
}
