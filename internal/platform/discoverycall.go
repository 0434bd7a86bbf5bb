package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// connectOverdueAfter is how long a call may take to connect before it is overdue. Another call is then
	// made while it continues.
	connectOverdueAfter = 500 * time.Millisecond
	// callTimeout is how long a call, overdue or not, may take in all until it is answered.
	callTimeout = 5 * time.Second
	// pollPath is the path at which the discovery service is polled.
	pollPath = "/board/poll"
)

// pendingCall is a call to the discovery service that is not answered yet. Its goroutine sets connected and
// sends one result. The other fields do not change once that goroutine runs.
type pendingCall struct {
	addr      string
	lastEvent uint64
	startedAt time.Time
	cancel    context.CancelFunc
	connected atomic.Bool
	result    chan callResult
}

// callResult is the result of a pendingCall: a stream or an error.
type callResult struct {
	stream *eventStream
	err    error
}

// eventStream is the event stream of an answered call. It belongs to the goroutine that received the result.
type eventStream struct {
	ctx    context.Context
	cancel context.CancelFunc
	conn   net.Conn
	body   io.ReadCloser
}

func (s *eventStream) close() {
	s.cancel()
	s.body.Close()
	s.conn.Close()
}

// untilOverdue returns how long to wait before the call is overdue: connectOverdueAfter from its start or,
// once it has connected, streamSilenceTimeout longer.
func (c *pendingCall) untilOverdue() time.Duration {
	if c.connected.Load() {
		return time.Until(c.startedAt.Add(connectOverdueAfter + streamSilenceTimeout))
	}
	return time.Until(c.startedAt.Add(connectOverdueAfter))
}

// abandon cancels a call and closes its stream if it was answered meanwhile. A nil call is ignored.
func (c *pendingCall) abandon() {
	if c == nil {
		return
	}
	c.cancel()
	go func() {
		if result := <-c.result; result.stream != nil {
			result.stream.close()
		}
	}()
}

// awaitCall waits until one of two calls is answered, or the newer one fails or is overdue. It returns the
// result, and the call that is still pending, if any. If both are overdue, it abandons the newer one. older
// may be nil.
func (w *watcher) awaitCall(ctx context.Context, newer, older *pendingCall) (callResult, *pendingCall) {
	overdue := time.NewTimer(newer.untilOverdue())
	defer overdue.Stop()
	for {
		var olderResult chan callResult
		if older != nil {
			olderResult = older.result
		}
		select {
		case result := <-newer.result:
			return result, older
		case result := <-olderResult:
			if result.stream != nil {
				newer.abandon()
				return result, nil
			}
			older = nil
		case <-overdue.C:
			if left := newer.untilOverdue(); left > 0 { // the call has connected meanwhile
				overdue.Reset(left)
				continue
			}
			if older == nil {
				return callResult{err: errStreamSilent}, newer
			}
			newer.abandon()
			return callResult{err: errStreamSilent}, older
		case <-ctx.Done():
			newer.abandon()
			older.abandon()
			return callResult{err: ctx.Err()}, nil
		}
	}
}

// startCall starts a call for the events after lastEvent. It fails if it is not answered within callTimeout.
func (w *watcher) startCall(ctx context.Context, addr string, lastEvent uint64) *pendingCall {
	c := &pendingCall{addr: addr, lastEvent: lastEvent, startedAt: time.Now(),
		result: make(chan callResult, 1)}
	ctx, c.cancel = context.WithCancel(ctx)
	go func() {
		stream, err := w.openStream(ctx, c)
		if err != nil {
			c.cancel()
		}
		c.result <- callResult{stream, err}
	}()
	return c
}

// openStream connects to the discovery service, sends the request and reads the head of the answer.
func (w *watcher) openStream(ctx context.Context, call *pendingCall) (*eventStream, error) {
	conn, err := w.service.system.dial(ctx, callTimeout, call.addr)
	if err != nil {
		return nil, err
	}
	call.connected.Store(true)
	stop := context.AfterFunc(ctx, func() { expire(conn) })
	defer stop()
	if !extendDeadline(ctx, conn, time.Until(call.startedAt.Add(callTimeout))) {
		conn.Close()
		return nil, ctx.Err()
	}
	body, err := poll(conn, call)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &eventStream{ctx, call.cancel, conn, body}, nil
}

// poll sends a call's request, reads the head of the answer and returns the body.
func poll(conn net.Conn, call *pendingCall) (io.ReadCloser, error) {
	request, err := http.NewRequest("GET", "http://"+call.addr+pollPath, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set("Last-Event-ID", strconv.FormatUint(call.lastEvent, 10))
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("discovery service answered with status %s", response.Status)
	}
	return response.Body, nil
}

// extendDeadline sets the deadline of a connection, and returns false if the context has ended. It checks the
// context last: when the context ends, expire sets a deadline in the past, which a concurrent call of
// extendDeadline may overwrite.
func extendDeadline(ctx context.Context, conn net.Conn, timeout time.Duration) bool {
	conn.SetDeadline(time.Now().Add(timeout))
	return ctx.Err() == nil
}

// expire ends the reads and writes on a connection.
func expire(conn net.Conn) {
	conn.SetDeadline(expired)
}
