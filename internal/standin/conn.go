package standin

import (
	"encoding/binary"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes that the stand-in sends ("PostgreSQL Error Codes").
const (
	codeProtocolViolation         = "08P01"
	codeFeatureNotSupported       = "0A000"
	codeInvalidParameterValue     = "22023"
	codeInvalidTextRepresentation = "22P02"
	codeBadCopyFileFormat         = "22P04"
	codeActiveTransaction         = "25001"
	codeNoActiveTransaction       = "25P01"
	codeInFailedTransaction       = "25P02"
	codeInvalidStatementName      = "26000"
	codeInvalidCursorName         = "34000"
	codeInvalidSavepoint          = "3B001"
	codeSyntaxError               = "42601"
	codeUndefinedTable            = "42P01"
	codeTooManyConnections        = "53300"
	codeQueryCanceled             = "57014"
	codeSystemError               = "58000"
	messageCanceled               = "canceling statement due to user request"
	syntaxErrorMarker             = "syntax error" // a statement that contains it is rejected with 42601
)

// The transaction status of a connection, as ReadyForQuery reports it.
const (
	txIdle   byte = 'I'
	txActive byte = 'T'
	txFailed byte = 'E'
)

// engineConn is one connection to the engine.
type engineConn struct {
	engine          *Engine
	netConn         net.Conn
	backend         *pgproto3.Backend
	pid             uint32
	secret          []byte
	cancel          chan struct{} // buffers one cancel request
	applicationName string        // guarded by the engine's mutex

	statements    map[string]string
	portals       map[string]*enginePortal
	runningPortal *enginePortal // the portal that is executed; nil: none, as in a simple query
	limitedPortal *enginePortal // the portal whose answer is suspended after rowLimit rows
	rowLimit      int
	inSimpleQuery bool // a simple query is executed
	skipUntilSync bool // after an error, messages are ignored until Sync

	grantMB      float64 // by SET work_mem
	priority     int     // by SET cresspass.priority
	reportedLoad string

	txStatus        byte              // txIdle, txActive or txFailed
	settings        map[string]string // session parameters set by clients, not those of isDispatcherSetting
	overridden      map[string]string // values that SET LOCAL replaced, until the transaction's end
	temporaryTables map[string]bool   // names of temporary tables
	savepoints      []savepoint       // of the open transaction
	beforeTx        *savepoint        // the state that a rollback restores; nil: no transaction
	inTx            atomic.Bool       // a transaction is open; read by other connections
	hasSessionState atomic.Bool       // a transaction is open, or there is a temporary table
}

// enginePortal is a portal and, once it is suspended, what remains of its answer.
type enginePortal struct {
	text, firstParameter string
	executed             bool   // the portal was executed
	remaining            int    // rows that were not sent yet
	value                string // the value column of these rows
	formats              []int16
	params               [][]byte // as text
}

var errConnectionEnded = errors.New("standin: the connection has ended")

func (e *Engine) accept(ln net.Listener) {
	defer e.background.Done()
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		c := e.newConn(nc)
		if c == nil {
			nc.Close()
			return
		}
		go func() {
			defer e.background.Done()
			c.serve()
			nc.Close()
			e.unlock(c, allLocks)
			e.mu.Lock()
			if e.conns[c.pid] == c {
				delete(e.conns, c.pid)
			}
			e.mu.Unlock()
		}()
	}
}

// newConn registers a connection. It returns nil where the engine has crashed.
func (e *Engine) newConn(nc net.Conn) *engineConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return nil
	}
	e.nextPID++
	c := &engineConn{
		engine:          e,
		netConn:         nc,
		pid:             e.nextPID,
		secret:          binary.BigEndian.AppendUint32(nil, e.random.Uint32()),
		cancel:          make(chan struct{}, 1),
		statements:      map[string]string{},
		portals:         map[string]*enginePortal{},
		priority:        1,
		txStatus:        txIdle,
		settings:        map[string]string{},
		overridden:      map[string]string{},
		temporaryTables: map[string]bool{},
	}
	e.conns[c.pid] = c
	e.background.Add(1)
	return c
}

func (c *engineConn) serve() {
	c.backend = pgproto3.NewBackend(c.netConn, c.netConn)
	if !c.startUp() || c.sendStartupResponse() != nil {
		return
	}
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return
		}
		if err := c.handleMessage(m); err != nil {
			return
		}
	}
}

// startUp reads messages up to the StartupMessage. It returns false where the connection failed or carried a
// cancel request, so that no statements follow.
func (c *engineConn) startUp() bool {
	for {
		m, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.netConn.Write([]byte{'N'}); err != nil {
				return false
			}
			continue
		case *pgproto3.CancelRequest:
			c.engine.handleCancel(m)
			return false
		case *pgproto3.StartupMessage:
			c.engine.mu.Lock()
			c.applicationName = m.Parameters["application_name"]
			c.engine.mu.Unlock()
		}
		return true
	}
}

func (c *engineConn) sendStartupResponse() error {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0 (stand-in)"})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: txIdle})
	return c.backend.Flush()
}

// handleCancel carries out a cancel request, after the delay of the engine's current faults.
func (e *Engine) handleCancel(m *pgproto3.CancelRequest) {
	if f := e.currentFaults(); f.SlowCancel > 0 {
		time.Sleep(f.SlowCancel)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.conns[m.ProcessID]; c != nil && string(c.secret) == string(m.SecretKey) {
		c.signalCancel()
	}
}

// signalCancel cancels the statement that is executed, without waiting for its end.
func (c *engineConn) signalCancel() {
	select {
	case c.cancel <- struct{}{}:
	default:
	}
}

// dropStaleCancel discards a cancel request that arrived after the end of the statement it was meant for.
func (c *engineConn) dropStaleCancel() {
	select {
	case <-c.cancel:
	default:
	}
}

// sendReady sends ReadyForQuery, which ends the answer to a query or a Sync. If the load report has changed,
// sendReady sends the report first.
func (c *engineConn) sendReady() error {
	if load := c.engine.loadReport(); load != "" && load != c.reportedLoad {
		c.reportedLoad = load
		c.backend.Send(&pgproto3.ParameterStatus{Name: "cresspass.load", Value: load})
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus})
	return c.backend.Flush()
}

// fail sends an error. It fails an open transaction, and messages up to the next Sync are skipped.
func (c *engineConn) fail(code, message string) {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code,
		Message: message})
	c.skipUntilSync = true
	if c.txStatus == txActive {
		c.txStatus = txFailed
	}
}

// complete sends CommandComplete, which ends a statement.
func (c *engineConn) complete(tag string) {
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}
