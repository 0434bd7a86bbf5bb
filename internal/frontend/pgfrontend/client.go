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
	overLimit    bool // beyond the connection limit
	registration registry.Entry
	lease        pgbackend.Lease // ties the session to an engine connection
	done         chan struct{}   // closed when the connection closes

	queuedBytes    atomic.Int64  // passed to nbio for sending, in total
	writtenBytes   atomic.Int64  // written to the socket by nbio, in total
	awaitsCapacity atomic.Bool   // awaitCapacity is waiting
	capacity       chan struct{} // capacity 1; signals that there may be room again

	// readLock is held by the goroutine that reads from the client. It is locked before mu.
	readLock   sync.Mutex
	awaitsTurn bool                        // the client is read when its turn is granted; guarded by readLock
	copyPipe   atomic.Pointer[copyin.Pipe] // for the data of the running COPY; nil: none

	mu             sync.Mutex
	session        *pgsession.Session
	current        *frontend.Query
	nextQuery      *enginequery.Query // submitted after the decision module is notified of current's end
	closed         bool
	admitted       bool // AdmitUser has admitted the user
	readPaused     bool // the client has sent too much ahead
	connectionLost bool // the engine connection was lost while a query ran
	closeWhenIdle  bool // the server is draining
	startupTimer   *time.Timer
	drainTimer     *time.Timer // terminates a client that had just connected when a drain began
	reservedInput  int64       // of the bytes that the session holds, in Config.InputBudget
}

// reserveInput reserves what the session holds of the client's input now, or returns what it does not hold
// any more. If there is no room, it ends the session. The caller holds c.mu.
func (c *client) reserveInput() {
	budget := c.server.cfg.Load().InputBudget
	if budget == nil {
		return
	}
	held := max(int64(c.session.HeldBytes())-freeInputBytes, 0)
	if c.closed {
		held = 0
	}
	if more := held - c.reservedInput; more > 0 && !budget.TryReserve(more) {
		c.session.Terminate(sqlstate.OutOfMemory, "no memory is left for what this client sends")
		return
	} else if more < 0 {
		budget.Release(-more)
	}
	c.reservedInput = held
}

// onStartupTimeout terminates the connection if the client has not completed its startup.
func (c *client) onStartupTimeout(timeout time.Duration) {
	c.mu.Lock()
	started := c.session.Started()
	c.mu.Unlock()
	if !started {
		c.terminate(sqlstate.ProtocolViolation, "no startup packet within "+timeout.String())
	}
}

// rejectIfOverLimit replaces the response to the startup packet with an error if the client exceeds a
// limit. The caller holds c.mu.
func (c *client) rejectIfOverLimit() {
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
		c.session.Output() // drops the response to the startup packet
		c.session.Terminate(sqlstate.TooManyConnections, "too many clients: "+reason)
	}
}

// drain terminates the client at once if it runs no query and its session is not sticky. Otherwise the client
// is terminated after the first response that leaves it in this state. A client that has not completed its
// startup is terminated after newClientGrace.
func (c *client) drain() {
	c.mu.Lock()
	c.closeWhenIdle = true
	s := c.session
	idle := !s.Busy() && s.Started() && !s.Affinity.Bound()
	if s.Affinity.State() == affinity.StateSticky && !s.Busy() && !c.closed {
		c.sendWarning("the dispatcher is shutting down, and this session is kept on an engine by " +
			s.Affinity.Reason().String() + "; it will be ended")
	}
	// A client that has just connected may still run one query: the listener was open when it connected.
	if !s.Started() {
		c.terminateAfterGrace()
	}
	c.mu.Unlock()
	if idle {
		c.terminate(sqlstate.AdminShutdown, shutdownMessage)
	}
}

// terminateAfterGrace terminates a client that connected when the server began to drain, after
// newClientGrace.
func (c *client) terminateAfterGrace() {
	c.drainTimer = time.AfterFunc(newClientGrace, func() {
		c.terminate(sqlstate.AdminShutdown, shutdownMessage)
	})
}

// terminate sends a FATAL error and closes the connection. onClose withdraws a running query.
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

// closeConn closes the network connection. The error is ignored: it only fails if the connection is closed
// already.
func (c *client) closeConn() { _ = c.netConn.Close() }

// flushOutput writes the session's pending output to the client. The caller holds c.mu.
func (c *client) flushOutput() {
	if b := c.session.Output(); len(b) > 0 && !c.closed {
		c.write(b)
	}
}

// sendWarning sends a notice of severity WARNING. The caller holds c.mu, and no query runs.
func (c *client) sendWarning(text string) {
	c.write(pgwire.AppendFields(nil, 'N',
		&pgwire.Fields{Severity: "WARNING", Code: sqlstate.Warning, Message: text}))
}

// sendParameterStatus sends a ParameterStatus that belongs to no response.
func (c *client) sendParameterStatus(body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && !c.session.Closing() {
		c.write(pgwire.Append(nil, 'S', body))
	}
}

// write passes bytes to nbio for sending. If the connection fails, nbio closes it and calls onClose.
func (c *client) write(b []byte) {
	c.queuedBytes.Add(int64(len(b)))
	_, _ = c.netConn.Write(b)
}

// onWritten is called by nbio when it has written n bytes to the socket.
func (c *client) onWritten(n int) {
	written := c.writtenBytes.Add(int64(n))
	if c.awaitsCapacity.Load() && c.queuedBytes.Load()-written <= c.maxUnsentBytes()/2 {
		select {
		case c.capacity <- struct{}{}:
		default:
		}
	}
}

// unsentBytes returns the number of bytes that nbio has not yet written to the socket.
func (c *client) unsentBytes() int64 { return c.queuedBytes.Load() - c.writtenBytes.Load() }

func (c *client) maxUnsentBytes() int64 { return int64(c.server.cfg.Load().ClientBuffer) }

// awaitCapacity blocks until at most maxUnsentBytes bytes wait to be written to the socket, or until the
// response or the connection ends.
func (c *client) awaitCapacity(responseDone <-chan struct{}) {
	limit := c.maxUnsentBytes()
	for c.unsentBytes() > limit {
		c.awaitsCapacity.Store(true)
		if c.unsentBytes() <= limit { // written before onWritten could see awaitsCapacity
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

// onClose is called once for each connection, after it has closed.
func (c *client) onClose() {
	c.mu.Lock()
	c.closed = true
	c.reserveInput()
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
