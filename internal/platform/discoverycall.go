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
	// connectOverdueAfter is how long a call that has not connected keeps the next one from being made.
	connectOverdueAfter = 500 * time.Millisecond
	// callTimeout is how long a call has in all until it is answered, while others are made beside it.
	callTimeout = 5 * time.Second
	// pollPath is the path of the discovery service.
	pollPath = "/board/poll"
)

// pendingCall is a call of the discovery service that is not answered yet. Its goroutine sends one
// result; all else belongs to the goroutine of watcher.run.
type pendingCall struct {
	addr      string
	lastEvent uint64
	startedAt time.Time
	cancel    context.CancelFunc
	connected atomic.Bool
	result    chan callResult
}

// callResult is what became of a pendingCall.
type callResult struct {
	stream *eventStream
	err    error
}

// eventStream is an answered call. It belongs to whoever took it from the result.
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

// untilOverdue is how long a call has until another is made beside it.
func (c *pendingCall) untilOverdue() time.Duration {
	if c.connected.Load() {
		return time.Until(c.startedAt.Add(connectOverdueAfter + streamSilenceTimeout))
	}
	return time.Until(c.startedAt.Add(connectOverdueAfter))
}

// abandon gives a call up; nil: there is none.
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

// awaitCall waits until one of two calls is answered, or the newer has failed or is overdue. It returns
// what came, and the call that goes on; the other one is abandoned. older may be nil.
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
			if left := newer.untilOverdue(); left > 0 { // it has connected meanwhile
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

// startCall begins a call that asks for the events after the last one. It has callTimeout to be answered.
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

// openStream connects, and makes a call up to the head of its answer.
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

// poll writes a call's request and reads the head of its answer.
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
		return nil, fmt.Errorf("answered %s", response.Status)
	}
	return response.Body, nil
}

// extendDeadline gives a connection so long from now, unless its context has ended. It looks at the
// context last: the context's end sets a deadline that is over, which one that was on its way may have
// lifted.
func extendDeadline(ctx context.Context, conn net.Conn, timeout time.Duration) bool {
	conn.SetDeadline(time.Now().Add(timeout))
	return ctx.Err() == nil
}

// expire ends the calls on a connection.
func expire(conn net.Conn) {
	conn.SetDeadline(expired)
}
