package pgfrontend

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"cresspass/internal/affinity"
	"cresspass/internal/affinity/orphanedsession"
	"cresspass/internal/affinity/registry"
	"cresspass/internal/backend/copyin"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/frontend"
	"cresspass/internal/frontend/pgfrontend/pgsession"
	"cresspass/internal/protocol/pgwire"
	"cresspass/internal/protocol/sqlstate"
)

// client is one connection of a client.
type client struct {
	server       *Server
	netConn      *nbio.Conn
	pid          uint32
	overLimit    bool // beyond the limit of connections
	registration registry.Entry
	lease        pgbackend.Lease // the session's hold on an engine connection
	done         chan struct{}   // closed with the connection

	queuedBytes    atomic.Int64  // given to the network
	writtenBytes   atomic.Int64  // taken by the network
	awaitsCapacity atomic.Bool   // awaitCapacity runs
	capacity       chan struct{} // of one: there may be capacity again

	readLock sync.Mutex                  // held by the goroutine that reads the client; taken before mu
	copyPipe atomic.Pointer[copyin.Pipe] // takes the data of a COPY; nil: none runs

	mu             sync.Mutex
	session        *pgsession.Session
	current        *frontend.Query
	nextQuery      *enginequery.Query // to be submitted once current has ended in the module's books
	closed         bool
	admitted       bool // AdmitUser let the user in
	readPaused     bool // too much was sent ahead
	connectionLost bool // the engine connection was lost while a query ran
	closeWhenIdle  bool // the server drains
	startupTimer   *time.Timer
	drainTimer     *time.Timer // terminates a client that had just connected when a drain began
}

// onStartupTimeout terminates a connection that has not started in time.
func (c *client) onStartupTimeout(timeout time.Duration) {
	c.mu.Lock()
	started := c.session.Started()
	c.mu.Unlock()
	if !started {
		c.terminate(sqlstate.ProtocolViolation, "no startup packet within "+timeout.String())
	}
}

// rejectIfUnservable replaces the welcome of a client that has started by an error, where the client is
// beyond a limit. The caller holds c.mu.
func (c *client) rejectIfUnservable() {
	c.registration.User = c.session.User
	if c.session.Closing() {
		return
	}
	cfg := c.server.cfg.Load()
	reason, ok := "", true
	switch {
	case c.overLimit:
		ok = false
		reason = fmt.Sprintf("at most %d are served, by all fronts", cfg.MaxClients)
	case cfg.AdmitUser != nil:
		reason, ok = cfg.AdmitUser(c.session.User)
		c.admitted = ok
	}
	if !ok {
		c.session.Output() // drops the welcome
		c.session.Terminate(sqlstate.TooManyConnections, "too many clients: "+reason)
	}
}

// drain ends the client: at once if it is idle, otherwise after its response.
func (c *client) drain() {
	c.mu.Lock()
	c.closeWhenIdle = true
	s := c.session
	idle := !s.Busy() && s.Started() && !s.Affinity.Bound()
	if s.Affinity.State() == affinity.StateSticky && !s.Busy() && !c.closed {
		c.sendWarning("the dispatcher is shutting down, and this session is kept on an engine by " +
			s.Affinity.Reason().String() + "; it will be ended")
	}
	// A client that has only just connected is served once: it came to a listener that was open.
	if !s.Started() {
		c.terminateAfterGrace()
	}
	c.mu.Unlock()
	if idle {
		c.terminate(sqlstate.AdminShutdown, shutdownMessage)
	}
}

// terminateAfterGrace ends a client that connects as the server drains, unless it disconnects before.
func (c *client) terminateAfterGrace() {
	c.drainTimer = time.AfterFunc(newClientGrace, func() {
		c.terminate(sqlstate.AdminShutdown, shutdownMessage)
	})
}

// terminate closes a connection from our side with a FATAL error. What runs for it is withdrawn by onClose.
func (c *client) terminate(code, message string) {
	c.mu.Lock()
	c.session.Terminate(code, message)
	c.flushOutput()
	c.mu.Unlock()
	c.closeConn()
}

// endSession terminates a client whose session has ended at its engine.
func (c *client) endSession(t affinity.Termination) { c.terminate(t.Code, terminationText(t)) }

func terminationText(t affinity.Termination) string { return t.Message + ". " + t.Detail }

// closeConn closes the network connection. It fails on one that has closed only.
func (c *client) closeConn() { _ = c.netConn.Close() }

// flushOutput writes what the session has for its client. The caller holds c.mu.
func (c *client) flushOutput() {
	if b := c.session.Output(); len(b) > 0 && !c.closed {
		c.write(b)
	}
}

// sendWarning sends a notice. The caller holds c.mu, and no query runs.
func (c *client) sendWarning(text string) {
	c.write(pgwire.AppendFields(nil, 'N',
		&pgwire.Fields{Severity: "WARNING", Code: sqlstate.Warning, Message: text}))
}

// write gives bytes to the network. A connection that fails is closed by nbio, which calls onClose.
func (c *client) write(b []byte) {
	c.queuedBytes.Add(int64(len(b)))
	_, _ = c.netConn.Write(b)
}

// onWritten is called when the network has taken bytes.
func (c *client) onWritten(n int) {
	written := c.writtenBytes.Add(int64(n))
	if c.awaitsCapacity.Load() && c.queuedBytes.Load()-written <= c.maxUntaken()/2 {
		select {
		case c.capacity <- struct{}{}:
		default:
		}
	}
}

// untakenBytes returns how much of what was given to the network is not taken.
func (c *client) untakenBytes() int64 { return c.queuedBytes.Load() - c.writtenBytes.Load() }

func (c *client) maxUntaken() int64 { return int64(c.server.cfg.Load().ClientBuffer) }

// awaitCapacity blocks until little enough of what was sent is untaken.
func (c *client) awaitCapacity(responseDone <-chan struct{}) {
	limit := c.maxUntaken()
	for c.untakenBytes() > limit {
		c.awaitsCapacity.Store(true)
		if c.untakenBytes() <= limit { // capacity came before onWritten knew that it is awaited
			break
		}
		select {
		case <-c.capacity:
		case <-responseDone:
			return
		case <-c.done:
			return
		}
	}
	c.awaitsCapacity.Store(false)
}

// onClose is called once for each connection, after it closed.
func (c *client) onClose() {
	c.mu.Lock()
	c.closed = true
	q := c.current
	if c.startupTimer != nil {
		c.startupTimer.Stop()
	}
	if c.drainTimer != nil {
		c.drainTimer.Stop()
	}
	admitted := c.admitted
	c.mu.Unlock()
	close(c.done)
	c.lease.Close()
	cfg := c.server.cfg.Load()
	cfg.Registry.Update(&c.registration, false, orphanedsession.Session{})
	if admitted {
		cfg.ReleaseUser(c.session.User)
	}
	if !c.overLimit {
		cfg.ReleaseConnection()
	}
	c.server.unregister(c)
	if q != nil && q.Response.Abandon() {
		c.server.dispatcher.Withdraw(q, false)
	}
}
