package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cresspass"
	"cresspass/internal/discovery/sse"
	"cresspass/internal/discovery/starttime"
	"cresspass/internal/invariant"
)

const (
	streamSilenceTimeout = 1700 * time.Millisecond // a comment comes each second: more silence than this is a stop
	connectOverdueAfter  = 500 * time.Millisecond  // until another call is begun beside one that has not connected
	callTimeout          = 5 * time.Second         // for the answer to a call, while others are made beside it
	minReconnectDelay    = 50 * time.Millisecond   // before the notice board is asked again, see discovery.Backoff
	maxReconnectDelay    = 400 * time.Millisecond
	replayWindow         = 500 * time.Millisecond // events that come so soon in a stream may have been told long ago
)

// watcher keeps asking the notice board and hands what it tells to the module.
type watcher struct {
	service *service
	calls   atomic.Uint64
	ctx     context.Context
	stop    context.CancelFunc // ends run
	backoff sse.Backoff

	mu            sync.Mutex
	follower      *sse.Follower
	sawEvent      bool // the notice board itself told something
	discoveryAddr string
	cancel        context.CancelFunc // of all that goes on at this address
}

func newWatcher(s *service, addr string) *watcher {
	w := &watcher{service: s, discoveryAddr: addr}
	w.follower = sse.NewFollower(s.clock, starttime.New(starttime.RecentStarts, s.system.wall(), s.clock()))
	w.backoff = sse.Backoff{Min: minReconnectDelay, Max: maxReconnectDelay,
		Random: rand.New(rand.NewPCG(s.cfg.Module.Seed, 0))}
	w.ctx, w.stop = context.WithCancel(context.Background())
	return w
}

func (w *watcher) engineAddr(engine cresspass.EngineID) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.Addr(engine)
}

// engineCount returns how many compute nodes have an address.
func (w *watcher) engineCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.Len()
}

// accepting reports whether a compute node at an address takes new queries.
func (w *watcher) accepting(engine cresspass.EngineID, addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.AcceptsQueries(engine, addr)
}

// place returns a compute node at an address as the invariants see it.
func (w *watcher) place(engine cresspass.EngineID, addr string) invariant.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.follower.Location(engine)
	return invariant.Target{Engine: engine, Kind: at.Kind, Zone: at.Zone,
		Accepting: w.follower.AcceptsQueries(engine, addr)}
}

// draining reports whether a compute node drains.
func (w *watcher) draining(engine cresspass.EngineID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.Draining(engine)
}

// redirect has the notice board asked at another address, at once. Danger: the old address tells nothing
// more, so neither a call under way nor a pause between calls may go on.
func (w *watcher) redirect(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.discoveryAddr = addr
	if w.cancel != nil {
		w.cancel()
	}
}

// applyKnown takes what a configuration knows of the notice board's events. What was told already is passed
// over.
func (w *watcher) applyKnown(known []sse.WatchEvent) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range known {
		w.follower.ObserveStarts(n)
	}
	for _, n := range known {
		list, v, err := w.follower.ApplyWatchEvent(n)
		if err != nil {
			return err
		}
		if v != sse.Applied {
			continue
		}
		if list.ListType == cresspass.ListComplete && !w.sawEvent {
			list.ListType = cresspass.ListCached
		}
		w.service.loop.Post(list)
	}
	return nil
}

// ageByWallClock is what the mutant makes of starts: their age by the wall clock of the moment.
func (w *watcher) ageByWallClock(engines []cresspass.EngineInfo) {
	ahead := time.Until(w.service.system.wall())
	for i := range engines {
		if engines[i].StartedAt > 0 {
			engines[i].StartedAt = max(engines[i].StartedAt-ahead, 1)
		}
	}
}

// lastEvent is the number of the last event.
func (w *watcher) lastEvent() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.LastRevision()
}

// pendingCall is a call of discovery that is not answered yet.
type pendingCall struct {
	addr      string
	lastEvent uint64
	startedAt time.Time
	cancel    context.CancelFunc
	connected atomic.Bool
	result    chan callResult
}

// callResult is what became of an opening.
type callResult struct {
	stream *eventStream
	err    error
}

// eventStream is an answered call.
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

// untilOverdue is how long an opening has until another is begun beside it.
func (o *pendingCall) untilOverdue() time.Duration {
	if o.connected.Load() {
		return time.Until(o.startedAt.Add(connectOverdueAfter + streamSilenceTimeout))
	}
	return time.Until(o.startedAt.Add(connectOverdueAfter))
}

// abandon gives an opening up.
func (o *pendingCall) abandon() {
	if o == nil {
		return
	}
	o.cancel()
	go func() {
		if got := <-o.result; got.stream != nil {
			got.stream.close()
		}
	}()
}

// run asks until stop.
func (w *watcher) run() {
	for w.ctx.Err() == nil {
		ctx, at := w.target()
		w.watchAddr(ctx, at)
		w.backoff.Reset()
	}
}

// target returns where to ask, and a context that ends when that changes.
func (w *watcher) target() (context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, cancel := context.WithCancel(w.ctx)
	w.cancel = cancel
	return ctx, w.discoveryAddr
}

// watchAddr asks at one address until the context ends. Danger: a discovery that is slow answers late, one
// that is cut off never, and the two look alike. So a call that is overdue is kept as the elder, and
// others are made beside it, one at a time.
func (w *watcher) watchAddr(ctx context.Context, addr string) {
	var older *pendingCall
	defer func() { older.abandon() }()
	for ctx.Err() == nil {
		w.calls.Add(1)
		lastEvent := w.lastEvent()
		result, remaining := w.awaitCall(ctx, w.startCall(ctx, addr, lastEvent), older)
		heard, err := false, result.err
		if older = remaining; result.stream != nil {
			older.abandon()
			older = nil
			heard, err = w.readStream(result.stream)
		}
		if heard {
			w.backoff.Reset()
		}
		if err != nil && ctx.Err() == nil {
			w.service.log.Warn("notice board", "address", addr, "from", lastEvent, "error", err)
		}
		sleep(ctx, w.backoff.Next())
	}
}

// awaitCall waits until one of two openings is answered, or the younger has failed or is overdue. It returns
// what came, and the opening that goes on; the other one is dropped. elder may be nil.
func (w *watcher) awaitCall(ctx context.Context, newer, older *pendingCall) (callResult, *pendingCall) {
	late := time.NewTimer(newer.untilOverdue())
	defer late.Stop()
	for {
		var old chan callResult
		if older != nil {
			old = older.result
		}
		select {
		case result := <-newer.result:
			return result, older
		case result := <-old:
			if result.stream != nil {
				newer.abandon()
				return result, nil
			}
			older = nil
		case <-late.C:
			if left := newer.untilOverdue(); left > 0 { // it has connected meanwhile
				late.Reset(left)
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

var errStreamSilent = errors.New("nothing came for too long")

// startCall begins a call of discovery from the last event on. It has callTimeout to be answered.
func (w *watcher) startCall(ctx context.Context, addr string, lastEvent uint64) *pendingCall {
	o := &pendingCall{
		addr:      addr,
		lastEvent: lastEvent,
		startedAt: time.Now(),
		result:    make(chan callResult, 1),
	}
	ctx, o.cancel = context.WithCancel(ctx)
	go func() {
		s, err := w.openStream(ctx, o)
		if err != nil {
			o.cancel()
		}
		o.result <- callResult{s, err}
	}()
	return o
}

// openStream connects, asks, and reads the head of the answer.
func (w *watcher) openStream(ctx context.Context, o *pendingCall) (*eventStream, error) {
	c, err := w.service.system.dial(ctx, callTimeout, o.addr)
	if err != nil {
		return nil, err
	}
	o.connected.Store(true)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	fail := func(err error) (*eventStream, error) {
		c.Close()
		return nil, err
	}
	if !extendDeadline(ctx, c, time.Until(o.startedAt.Add(callTimeout))) {
		return fail(ctx.Err())
	}
	r, err := http.NewRequest("GET", "http://"+o.addr+"/board/poll", nil)
	if err != nil {
		return fail(err)
	}
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set("Last-Event-ID", strconv.FormatUint(o.lastEvent, 10))
	if err := r.Write(c); err != nil {
		return fail(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return fail(err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return fail(fmt.Errorf("answered %s", resp.Status))
	}
	return &eventStream{ctx, o.cancel, c, resp.Body}, nil
}

// extendDeadline gives a connection so long from now, unless its context has ended. Danger: the context's
// end sets a deadline that is over, and must not be lifted again by one that was on its way.
func extendDeadline(ctx context.Context, c net.Conn, d time.Duration) bool {
	c.SetDeadline(time.Now().Add(d))
	return ctx.Err() == nil
}

// readStream takes events from a stream until it ends. heard: something came.
func (w *watcher) readStream(s *eventStream) (heard bool, err error) {
	defer s.close()
	stop := context.AfterFunc(s.ctx, func() { s.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	var p sse.Parser
	b := make([]byte, 8<<10)
	begun := time.Now()
	for {
		if !extendDeadline(s.ctx, s.conn, streamSilenceTimeout) {
			return true, s.ctx.Err()
		}
		n, err := s.body.Read(b)
		if s.ctx.Err() != nil {
			return true, s.ctx.Err()
		}
		var bad error
		if e := p.Feed(b[:n], func(ev sse.Event) {
			if bad == nil {
				bad = w.handleEvent(ev, time.Since(begun) < replayWindow)
			}
		}); bad == nil {
			bad = e
		}
		if bad != nil {
			return true, bad
		}
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				err = errStreamSilent
			}
			return true, err
		}
	}
}

// handleEvent hands an event on; missed: it may have been told long ago.
func (w *watcher) handleEvent(ev sse.Event, missed bool) error {
	w.mu.Lock()
	take := w.follower.Apply
	if missed {
		take = w.follower.ApplyDelayed
	}
	list, v, err := take(ev)
	if mutated(wallClock) {
		w.ageByWallClock(list.Engines)
	}
	gone := w.follower.TakeRemoved()
	// Danger: posted under the lock, or lists of two calls could cross.
	if err == nil && v == sse.Applied {
		w.sawEvent = true
		w.service.loop.Post(list)
	}
	w.mu.Unlock()
	for _, id := range gone {
		w.service.pool.closeIdleTo(id)
	}
	if err == nil && v == sse.Gap {
		err = errors.New("events are missing")
	}
	return err
}
