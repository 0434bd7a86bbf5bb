package platform

import (
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"cresspass"
	"cresspass/internal/eventlog"
	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/protocol/thrift"
)

// maxBytesAhead limits how much input of a client is handled while clientWaiting waits: after so many bytes,
// the input that was sent when the wait began counts as handled; the buffers of both sockets seldom hold
// more. Without the limit, a client that writes without a pause would not be served in time.
const maxBytesAhead = 2 << 20

// maxCheckInterval is the longest pause between two checks of clientWaiting.
const maxCheckInterval = 16 * time.Millisecond

// retryAfterField is the field of a rejection with the time after which to retry, in milliseconds.
const retryAfterField = "later"

// frontend holds the clients' connections and their open requests. Its lock guards thriftserver.Registry, and
// it serializes closing a connection with the handling of its messages: code that closes a connection holds
// the lock while it checks for unread bytes. One goroutine, in run, accepts connections.
type frontend struct {
	service     *service
	listener    *net.TCPListener
	descriptors *descriptorBudget
	turns       *readTurns
	done        chan struct{} // closed by run once it accepts no more connections
	overflow    chan struct{} // semaphore: one element for each connection served beyond the capacity

	mu             sync.Mutex // guards the fields below
	registry       *thriftserver.Registry
	conns          map[thriftserver.ConnID]*clientConn
	lastID         thriftserver.ConnID
	closedByReason map[closeReason]uint64 // number of closed connections
	idleTimeout    time.Duration          // for new connections
	writeTimeout   time.Duration          // for new connections
}

func newFrontend(s *service, listener *net.TCPListener, descriptors *descriptorBudget) *frontend {
	return &frontend{service: s, listener: listener, descriptors: descriptors, idleTimeout: clientIdleTimeout,
		writeTimeout: clientWriteTimeout, registry: thriftserver.New(&s.cfg.Module),
		turns: newReadTurns(s.loop),
		done:  make(chan struct{}), overflow: make(chan struct{}, maxOverflowConns),
		conns:          map[thriftserver.ConnID]*clientConn{},
		closedByReason: map[closeReason]uint64{}}
}

// register adds an accepted connection.
func (f *frontend) register(client *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	client.id, client.idleTimeout, client.writeTimeout = f.lastID, f.idleTimeout, f.writeTimeout
	f.conns[client.id] = client
	f.registry.AddConn(time.Now(), client.id)
	f.descriptors.clientConns.Store(int32(f.registry.ConnCount()))
}

// forget removes a connection and returns the requests that were open on it. The caller holds f.mu.
func (f *frontend) forget(id thriftserver.ConnID) []*thriftserver.Request {
	delete(f.conns, id)
	open := f.registry.RemoveConn(id)
	f.descriptors.clientConns.Store(int32(f.registry.ConnCount()))
	return open
}

// recordClose records why a connection is closed. The caller holds f.mu.
func (f *frontend) recordClose(reason closeReason) {
	f.closedByReason[reason]++
	kind := eventlog.ConnectionClosed
	if reason == closedByClient {
		kind = eventlog.ConnectionLost
	}
	f.service.events.Add(requestEvent(kind, "", string(reason)))
}

// closeCounts returns the number of closed connections for each reason, for the log.
func (f *frontend) closeCounts() slog.Attr {
	f.mu.Lock()
	defer f.mu.Unlock()
	var counts []any
	for _, reason := range slices.Sorted(maps.Keys(f.closedByReason)) {
		counts = append(counts, slog.Uint64(string(reason), f.closedByReason[reason]))
	}
	return slog.Group("closed", counts...)
}

// connCount returns how many client connections are registered.
func (f *frontend) connCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.ConnCount()
}

// openRequests returns how many requests have no answer yet.
func (f *frontend) openRequests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.OpenRequests()
}

// finished reports whether all connections have been closed and no more are accepted.
func (f *frontend) finished() bool {
	select {
	case <-f.done: // checked first: all accepted connections are registered by then
		return f.openRequests() == 0 && f.connCount() == 0 && len(f.overflow) == 0
	default:
		return false
	}
}

// request returns the open request with an id, or nil if there is none.
func (f *frontend) request(id cresspass.QueryID) *thriftserver.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.Lookup(id)
}

// retainRequest returns the open request with an id, or nil if there is none. The memory of the request stays
// reserved until the caller releases it, even if the request ends before.
func (f *frontend) retainRequest(id cresspass.QueryID) *thriftserver.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	request := f.registry.Lookup(id)
	if request != nil {
		request.Memory.Retain()
	}
	return request
}

// beginAttempt records that an attempt is sent. It returns false if its request has ended. An attempt of
// which no byte was written may begin again.
func (f *frontend) beginAttempt(a *attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.ticketHeld {
		return f.registry.Lookup(a.request.ID) != nil
	}
	a.ticketHeld = f.registry.BeginAttempt(a.request)
	return a.ticketHeld
}

// endAttempt records the outcome of an attempt.
func (f *frontend) endAttempt(a *attempt, outcome cresspass.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.ticketHeld {
		f.registry.EndAttempt(a.request, !outcome.NeverRan())
	}
}

// clientWaiting reports whether a request's client still waits for it, and when that was checked. Input that
// is unread, or was read and not handled yet, may hold a cancel, and the client may have closed the
// connection behind it: after a stall of the process, or with much input, the attempt can be due before that
// is read. So clientWaiting waits until the client's reader has handled the input, but not beyond the time
// by.
func (f *frontend) clientWaiting(request *thriftserver.Request, by time.Time) (checkedAt time.Time,
	waiting bool) {
	if mutantEnabled(mutantNoClientCheck) {
		return time.Now(), f.request(request.ID) != nil
	}
	check := clientCheck{frontend: f, request: request}
	for pause := peekRetryInterval; ; pause = min(2*pause, maxCheckInterval) {
		checkedAt = time.Now()
		waiting, handled := check.poll()
		if !waiting || handled || !checkedAt.Before(by) {
			return checkedAt, waiting
		}
		time.Sleep(pause)
	}
}

// clientCheck checks, possibly several times, whether a request's client waits for it.
type clientCheck struct {
	frontend *frontend
	request  *thriftserver.Request

	begun      bool
	drained    uint64 // value of clientConn.drained at the first check
	bytesLimit uint64 // value of clientConn.handledBytes that ends the wait
}

// poll checks whether the client waits, judging by its connection and the messages that were handled. handled
// reports whether all input that was sent before the first check counts as handled.
func (c *clientCheck) poll() (waiting, handled bool) {
	f := c.frontend
	f.mu.Lock()
	defer f.mu.Unlock()
	client := f.conns[c.request.Conn]
	if client == nil || f.registry.Lookup(c.request.ID) == nil {
		return false, true
	}
	if client.peek() == peekClosed || client.closedByPeer() {
		return false, true
	}
	if !c.begun {
		c.begun = true
		c.drained, c.bytesLimit = client.drained.Load(), client.handledBytes+maxBytesAhead
	}
	return true, !client.mayHoldMessage() || client.drained.Load() > c.drained ||
		client.handledBytes >= c.bytesLimit
}

// respond writes a request's only answer. It returns false, and writes nothing, if the request has ended
// already or the guard forbids the answer.
func (f *frontend) respond(id cresspass.QueryID, kind eventlog.Kind, reason string,
	message func(seq int32) []byte) bool {
	f.mu.Lock()
	request := f.registry.Lookup(id)
	destination, ok := f.registry.ClaimReply(time.Now(), id)
	client := f.conns[destination.Conn]
	f.mu.Unlock()
	if !ok {
		return false
	}
	if !f.service.guard.complete(request, kind == eventlog.RequestAnswered) {
		client.recordWritten(1) // nothing is written; this releases the claim
		return false
	}
	if mutantEnabled(mutantDuplicateAnswer) && kind == eventlog.RequestAnswered {
		client.send(message(destination.Seq), 0)
	}
	f.service.events.Add(requestEvent(kind, request.Ticket, reason))
	client.send(message(destination.Seq), 1)
	return true
}

// respondResult answers a request with its result.
func (f *frontend) respondResult(id cresspass.QueryID, pages [][]byte) bool {
	return f.respond(id, eventlog.RequestAnswered, "", func(seq int32) []byte {
		return thrift.Answer{Method: thrift.MethodDispatch, Good: true, Body: pages}.Append(nil, seq)
	})
}

// respondError answers a request with an exception: a rejection or a failure. If retryAfter is above 0, the
// answer contains the time after which to retry, in milliseconds.
func (f *frontend) respondError(id cresspass.QueryID, exception thrift.DispatchExceptionType,
	retryAfter time.Duration, reason cresspass.Reason) {
	kind := eventlog.RequestFailed
	if exception == thrift.ShedException {
		kind = eventlog.RequestRejected
	}
	f.respond(id, kind, string(reason), func(seq int32) []byte {
		var fields thrift.Fields
		if retryAfter > 0 {
			fields = append(fields, thrift.Field{Name: retryAfterField,
				Value: strconv.FormatInt(retryAfter.Milliseconds(), 10)})
		}
		return thrift.DispatchException{Which: exception, Fields: fields}.Append(nil, seq)
	})
}
