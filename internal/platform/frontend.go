package platform

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/eventlog"
	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/oserr"
	"cresspass/internal/protocol/thrift"
)

// Of connections that come.
const (
	acceptBackoff        = 10 * time.Millisecond // after an accept that failed by the machine...
	maxAcceptErrors      = 16                    // ...or after so many in a row that failed by their connections
	acceptBlockedAfter   = time.Millisecond      // an accept that took longer waited for its connection
	backlogPollTimeout   = 2 * time.Millisecond  // for who waits for accept, once no more should come...
	maxEmptyBacklogPolls = 3                     // ...so often in vain
	maxEvictionTries     = 4                     // connections looked at to make room for one
)

// frontend takes clients' connections.
type frontend struct {
	service        *service
	listener       *net.TCPListener
	descriptors    *descriptorBudget
	mu             sync.Mutex
	state          *thriftserver.Registry
	conns          map[thriftserver.ConnID]*clientConn
	lastID         thriftserver.ConnID
	closedByReason map[closeReason]uint64 // connections
	idleTimeout    time.Duration          // of the connections to come
	writeTimeout   time.Duration          // of the connections to come
	done           chan struct{}          // closed once no further connection comes
}

func newFrontend(s *service, ln *net.TCPListener, b *descriptorBudget) *frontend {
	return &frontend{
		service:        s,
		listener:       ln,
		descriptors:    b,
		idleTimeout:    clientIdleTimeout,
		writeTimeout:   clientWriteTimeout,
		state:          thriftserver.New(&s.cfg.Module),
		done:           make(chan struct{}),
		conns:          map[thriftserver.ConnID]*clientConn{},
		closedByReason: map[closeReason]uint64{},
	}
}

// acceptQueue estimates how long connections may have waited for accept. Danger: what a request has left
// counts from its last byte, and one that waited behind accepts that fail has less than it says.
type acceptQueue struct {
	failingSince time.Time // accepts failed first since the queue was last empty; zero: they did not
}

// observe takes in how an accept went.
func (q *acceptQueue) observe(begun, ended time.Time, failed bool) {
	switch {
	case failed && q.failingSince.IsZero():
		q.failingSince = begun
	case !failed && ended.Sub(begun) > acceptBlockedAfter:
		q.failingSince = time.Time{} // it waited for a connection: nobody was in line
	}
}

// maxWait is how long a connection that was just taken may have been in line at most.
func (q *acceptQueue) maxWait(now time.Time) time.Duration {
	if q.failingSince.IsZero() {
		return 0
	}
	return now.Sub(q.failingSince)
}

// recordClose enters why a connection ends; f.mu is held.
func (f *frontend) recordClose(why closeReason) {
	f.closedByReason[why]++
	what := eventlog.ConnectionClosed
	if why == closedByClient {
		what = eventlog.ConnectionLost
	}
	f.service.events.Add(eventlog.Event{Kind: what, Attempt: -1, Reason: string(why)})
}

// recordNotReading enters a connection that ends because nothing more can be written to it.
func (f *frontend) recordNotReading() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordClose(closedNotReading)
}

// closeCounts tells how many connections ended for which reason.
func (f *frontend) closeCounts() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(f.closedByReason)
}

// drainBacklog has what waits for accept be taken, and no more after that.
func (f *frontend) drainBacklog() { f.setAcceptTimeout(0) }

func (f *frontend) setAcceptTimeout(d time.Duration) { f.listener.SetDeadline(time.Now().Add(d)) }

func (f *frontend) run() {
	defer close(f.done)
	defer f.listener.Close()
	emptyPolls := 0   // times in a row that the last call found nobody
	acceptErrors := 0 // accepts in a row
	var queue acceptQueue
	for {
		begun := time.Now()
		conn, err := f.service.system.accept(f.listener)
		queue.observe(begun, time.Now(), err != nil)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // the last call
			// Danger: closed at once, the listener would reset connections whose requests are there; and past
			// its deadline, which a busy core may bring before the look, Accept doesn't look for them.
			if emptyPolls++; emptyPolls > maxEmptyBacklogPolls || mutated(noLastCall) {
				return
			}
			f.setAcceptTimeout(backlogPollTimeout)
			continue
		}
		emptyPolls = 0
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			f.evict(silentClientGrace)
		}
		if acceptErrors++; err == nil {
			acceptErrors = 0
		} else if !oserr.IsPerConnection(err) || acceptErrors > maxAcceptErrors { // the machine fails for a moment
			time.Sleep(acceptBackoff)
		}
		if err != nil {
			continue
		}
		newClient := &clientConn{frontend: f, conn: conn}
		newClient.reader = bufio.NewReaderSize(
			&deadlineReader{conn: conn, hasUnread: newClient.hasUnread, setTimeout: newClient.setReadTimeout},
			requestBufferBytes,
		)
		if newClient.raw, err = conn.SyscallConn(); err != nil {
			conn.Close()
			continue
		}
		if f.connCount() >= f.descriptors.evictAbove && !f.evict(silentClientGrace) &&
			f.descriptors.clientsExhausted(f.service.pool.connCount()) &&
			!f.evict(noGrace) {
			f.service.evictedClients.Add(1)
			f.mu.Lock()
			f.recordClose(closedNoCapacity)
			f.mu.Unlock()
			conn.Close()
			continue
		}
		newClient.emptyAt = f.service.clock()
		if newClient.hasUnread() {
			newClient.readDelay = max(queue.maxWait(time.Now()), f.service.stalls.maxWait(0))
		}
		f.mu.Lock()
		f.lastID++
		newClient.id, newClient.idleTimeout, newClient.writeTimeout = f.lastID, f.idleTimeout, f.writeTimeout
		f.conns[newClient.id] = newClient
		f.state.AddConn(time.Now(), newClient.id)
		f.descriptors.clientConns.Store(int32(f.state.ConnCount()))
		f.mu.Unlock()
		go newClient.serve()
	}
}

// evict closes a connection to make room. It reports whether there was one that could go.
func (f *frontend) evict(mute time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evictLocked(mute)
}

// evictLocked is crowded; f.mu is held.
func (f *frontend) evictLocked(mute time.Duration) bool {
	for range maxEvictionTries {
		id, ok := f.state.EvictionCandidate(time.Now(), mute)
		if !ok {
			return false
		}
		c := f.conns[id]
		if c.hasUnread() { // a message is there that its reader has not come to
			f.state.BeginMessage(time.Now(), id)
			continue
		}
		if !f.service.guard.mayClose(f.state.OpenRequestsOn(id), closedForCapacity) {
			return false
		}
		f.forget(id)
		f.service.evictedClients.Add(1)
		f.recordClose(closedForCapacity)
		c.conn.Close()
		return true
	}
	return false
}

// forget takes a connection out of the books and returns what was open on it. f.mu is held.
func (f *frontend) forget(id thriftserver.ConnID) []*thriftserver.Request {
	delete(f.conns, id)
	open := f.state.RemoveConn(id)
	f.descriptors.clientConns.Store(int32(f.state.ConnCount()))
	return open
}

// retireUnused retires the connections on which nothing is open. Danger: a request may be there that its
// reader has not come to yet; looked for under the lock that Begin needs, it is either seen here or comes
// too late to be taken.
func (f *frontend) retireUnused() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retireUnusedLocked()
}

// retireUnusedLocked is closeIdle; f.mu is held.
func (f *frontend) retireUnusedLocked() {
	for _, id := range f.state.UnusedConns() {
		c := f.conns[id]
		if c.hasUnread() || !f.state.Retire(id) {
			continue
		}
		if f.service.guard.mayClose(f.state.OpenRequestsOn(id), closedUnusedAtShutdown) {
			f.recordClose(closedUnusedAtShutdown)
			c.retire()
		}
	}
}

// abortAll ends all connections: what is still open is answered first.
func (f *frontend) abortAll() {
	f.mu.Lock()
	conns := make([]*clientConn, 0, len(f.conns))
	for _, c := range f.conns {
		conns = append(conns, c)
	}
	f.mu.Unlock()
	for _, c := range conns {
		c.abort("the dispatcher ends", closedAtExit)
		c.retire()
	}
}

// closeAll closes all connections.
func (f *frontend) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.conn.Close()
	}
}

func (f *frontend) connCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.ConnCount()
}

// finished reports whether no connection is left, and none is to come.
func (f *frontend) finished() bool {
	select {
	case <-f.done: // asked first: what was accepted before is in the books by then
		return f.openRequests() == 0 && f.connCount() == 0
	default:
		return false
	}
}

// openRequests returns how many requests have no answer yet.
func (f *frontend) openRequests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.OpenRequests()
}

// request returns a request that has no answer yet; nil: there is none of that id.
func (f *frontend) request(id cresspass.QueryID) *thriftserver.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Lookup(id)
}

// respond writes a request's one answer. It returns false where the request has ended already.
func (f *frontend) respond(id cresspass.QueryID, event eventlog.Kind, why string,
	message func(seq int32) []byte) bool {
	f.mu.Lock()
	q := f.state.Lookup(id)
	destination, ok := f.state.ClaimReply(time.Now(), id)
	conn := f.conns[destination.Conn]
	f.mu.Unlock()
	if ok && !f.service.guard.complete(q, event == eventlog.RequestAnswered) {
		conn.recordWritten(1) // nothing is
		return false
	}
	if ok {
		if mutated(secondAnswer) && event == eventlog.RequestAnswered {
			conn.send(message(destination.Seq), 0)
		}
		f.service.events.Add(eventlog.Event{Kind: event, RequestID: q.Ticket, Attempt: -1, Reason: why})
		conn.send(message(destination.Seq), 1)
	}
	return ok
}

// clientWaiting reports whether a request's client still waits for it, by what lies in its socket. Danger:
// on a full core the reader of a close or a cancel may come after the attempt that it forbids.
func (f *frontend) clientWaiting(q *thriftserver.Request) bool {
	f.mu.Lock()
	c := f.conns[q.Conn]
	f.mu.Unlock()
	if mutated(noClientLook) {
		c = nil
	}
	for begun := time.Now(); c != nil; time.Sleep(peekRetryInterval) {
		switch c.peek() {
		case peekClosed:
			return false
		case peekEmpty:
			return f.request(q.ID) != nil
		}
		// Something lies there, which may take the request back: its reader has a moment to come to it.
		if f.request(q.ID) == nil || time.Since(begun) > readerGrace {
			break
		}
	}
	return f.request(q.ID) != nil
}

// respondResult gives a request its result.
func (f *frontend) respondResult(id cresspass.QueryID, pages [][]byte) bool {
	return f.respond(id, eventlog.RequestAnswered, "", func(seq int32) []byte {
		return thrift.AppendAnswer(nil, "dispatch", seq, true, pages...)
	})
}

// respondError ends a request without a result; later is the come-back time of a refusal, 0: none.
func (f *frontend) respondError(
	id cresspass.QueryID,
	exception uint16,
	retryAfter time.Duration,
	why cresspass.Reason,
) {
	event := eventlog.RequestFailed
	if exception == thrift.ShedException {
		event = eventlog.RequestRejected
	}
	f.respond(id, event, string(why), func(seq int32) []byte {
		var fields [][2]string
		if retryAfter > 0 {
			fields = append(fields, [2]string{"later", strconv.FormatInt(retryAfter.Milliseconds(), 10)})
		}
		return thrift.AppendDeclaredException(nil, "dispatch", seq, exception, fields...)
	})
}
