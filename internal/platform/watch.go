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
	quietMost  = 1700 * time.Millisecond // a comment comes each second: more silence than this is a stop
	boardDial  = 500 * time.Millisecond  // until another call is begun beside one that has not connected
	elderMost  = 5 * time.Second         // for the answer to a call, while others are made beside it
	boardAgain = 50 * time.Millisecond   // before the notice board is asked again, see discovery.Backoff
	boardMost  = 400 * time.Millisecond
	missedFor  = 500 * time.Millisecond // events that come so soon in a stream may have been told long ago
)

// watcher keeps asking the notice board and hands what it tells to the module.
type watcher struct {
	s     *service
	asked atomic.Uint64
	life  context.Context
	stop  context.CancelFunc // ends run
	again sse.Backoff

	mu       sync.Mutex
	follower *sse.Follower
	heard    bool // the notice board itself told something
	at       string
	cancel   context.CancelFunc // of all that goes on at this address
}

func newWatcher(s *service, at string) *watcher {
	w := &watcher{s: s, at: at}
	w.follower = sse.NewFollower(s.clock, starttime.New(starttime.Late, s.system.wall(), s.clock()))
	w.again = sse.Backoff{Least: boardAgain, Most: boardMost,
		Random: rand.New(rand.NewPCG(s.cfg.Module.Seed, 0))}
	w.life, w.stop = context.WithCancel(context.Background())
	return w
}

func (w *watcher) addr(engine cresspass.EngineID) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.Addr(engine)
}

// known returns how many compute nodes have an address.
func (w *watcher) known() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.Len()
}

// takes reports whether a compute node at an address takes new queries.
func (w *watcher) takes(engine cresspass.EngineID, addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.Takes(engine, addr)
}

// place returns a compute node at an address as the invariants see it.
func (w *watcher) place(engine cresspass.EngineID, addr string) invariant.Place {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.follower.Location(engine)
	return invariant.Place{Engine: engine, Kind: at.Kind, Zone: at.Zone,
		Takes: w.follower.Takes(engine, addr)}
}

// drains reports whether a compute node drains.
func (w *watcher) drains(engine cresspass.EngineID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.Drains(engine)
}

// move has the notice board asked at another address, at once. Danger: the old address tells nothing more,
// so neither a call under way nor a pause between calls may go on.
func (w *watcher) move(at string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at = at
	if w.cancel != nil {
		w.cancel()
	}
}

// learn takes what a configuration knows of the notice board's events. What was told already is passed over.
func (w *watcher) learn(known []sse.Notice) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range known {
		w.follower.See(n)
	}
	for _, n := range known {
		list, v, err := w.follower.Notice(n)
		if err != nil {
			return err
		}
		if v != sse.Taken {
			continue
		}
		if list.Listing == cresspass.ListFull && !w.heard {
			list.Listing = cresspass.ListCached
		}
		w.s.loop.Post(list)
	}
	return nil
}

// startsByWall is what the mutant makes of starts: their age by the wall clock of the moment.
func (w *watcher) startsByWall(engines []cresspass.EngineInfo) {
	ahead := time.Until(w.s.system.wall())
	for i := range engines {
		if engines[i].Started > 0 {
			engines[i].Started = max(engines[i].Started-ahead, 1)
		}
	}
}

// last is the number of the last event.
func (w *watcher) last() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.Last()
}

// opening is a call of discovery that is not answered yet.
type opening struct {
	at        string
	last      uint64
	begun     time.Time
	cancel    context.CancelFunc
	connected atomic.Bool
	result    chan openResult
}

// openResult is what became of an opening.
type openResult struct {
	stream *stream
	err    error
}

// stream is an answered call.
type stream struct {
	ctx    context.Context
	cancel context.CancelFunc
	net    net.Conn
	body   io.ReadCloser
}

func (s *stream) close() {
	s.cancel()
	s.body.Close()
	s.net.Close()
}

// overdue is how long an opening has until another is begun beside it.
func (o *opening) overdue() time.Duration {
	if o.connected.Load() {
		return time.Until(o.begun.Add(boardDial + quietMost))
	}
	return time.Until(o.begun.Add(boardDial))
}

// drop gives an opening up.
func (o *opening) drop() {
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
	for w.life.Err() == nil {
		ctx, at := w.address()
		w.watch(ctx, at)
		w.again.Heard()
	}
}

// address returns where to ask, and a context that ends when that changes.
func (w *watcher) address() (context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, cancel := context.WithCancel(w.life)
	w.cancel = cancel
	return ctx, w.at
}

// watch asks at one address until the context ends. Danger: a discovery that is slow answers late, one
// that is cut off never, and the two look alike. So a call that is overdue is kept as the elder, and
// others are made beside it, one at a time.
func (w *watcher) watch(ctx context.Context, at string) {
	var elder *opening
	defer func() { elder.drop() }()
	for ctx.Err() == nil {
		w.asked.Add(1)
		last := w.last()
		got, rest := w.await(ctx, w.open(ctx, at, last), elder)
		heard, err := false, got.err
		if elder = rest; got.stream != nil {
			elder.drop()
			elder = nil
			heard, err = w.follow(got.stream)
		}
		if heard {
			w.again.Heard()
		}
		if err != nil && ctx.Err() == nil {
			w.s.log.Warn("notice board", "address", at, "from", last, "error", err)
		}
		sleep(ctx, w.again.Next())
	}
}

// await waits until one of two openings is answered, or the younger has failed or is overdue. It returns what
// came, and the opening that goes on; the other one is dropped. elder may be nil.
func (w *watcher) await(ctx context.Context, young, elder *opening) (openResult, *opening) {
	late := time.NewTimer(young.overdue())
	defer late.Stop()
	for {
		var old chan openResult
		if elder != nil {
			old = elder.result
		}
		select {
		case got := <-young.result:
			return got, elder
		case got := <-old:
			if got.stream != nil {
				young.drop()
				return got, nil
			}
			elder = nil
		case <-late.C:
			if left := young.overdue(); left > 0 { // it has connected meanwhile
				late.Reset(left)
				continue
			}
			if elder == nil {
				return openResult{err: errQuiet}, young
			}
			young.drop()
			return openResult{err: errQuiet}, elder
		case <-ctx.Done():
			young.drop()
			elder.drop()
			return openResult{err: ctx.Err()}, nil
		}
	}
}

var errQuiet = errors.New("nothing came for too long")

// open begins a call of discovery from the last event on. It has elderMost to be answered.
func (w *watcher) open(ctx context.Context, at string, last uint64) *opening {
	o := &opening{at: at, last: last, begun: time.Now(), result: make(chan openResult, 1)}
	ctx, o.cancel = context.WithCancel(ctx)
	go func() {
		s, err := w.call(ctx, o)
		if err != nil {
			o.cancel()
		}
		o.result <- openResult{s, err}
	}()
	return o
}

// call connects, asks, and reads the head of the answer.
func (w *watcher) call(ctx context.Context, o *opening) (*stream, error) {
	c, err := w.s.system.dial(ctx, elderMost, o.at)
	if err != nil {
		return nil, err
	}
	o.connected.Store(true)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	fail := func(err error) (*stream, error) {
		c.Close()
		return nil, err
	}
	if !extend(ctx, c, time.Until(o.begun.Add(elderMost))) {
		return fail(ctx.Err())
	}
	r, err := http.NewRequest("GET", "http://"+o.at+"/board/poll", nil)
	if err != nil {
		return fail(err)
	}
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set("Last-Event-ID", strconv.FormatUint(o.last, 10))
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
	return &stream{ctx, o.cancel, c, resp.Body}, nil
}

// extend gives a connection so long from now, unless its context has ended. Danger: the context's end sets a
// deadline that is over, and must not be lifted again by one that was on its way.
func extend(ctx context.Context, c net.Conn, d time.Duration) bool {
	c.SetDeadline(time.Now().Add(d))
	return ctx.Err() == nil
}

// follow takes events from a stream until it ends. heard: something came.
func (w *watcher) follow(s *stream) (heard bool, err error) {
	defer s.close()
	stop := context.AfterFunc(s.ctx, func() { s.net.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	var p sse.Parser
	b := make([]byte, 8<<10)
	begun := time.Now()
	for {
		if !extend(s.ctx, s.net, quietMost) {
			return true, s.ctx.Err()
		}
		n, err := s.body.Read(b)
		if s.ctx.Err() != nil {
			return true, s.ctx.Err()
		}
		var bad error
		if e := p.Feed(b[:n], func(ev sse.Event) {
			if bad == nil {
				bad = w.take(ev, time.Since(begun) < missedFor)
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
				err = errQuiet
			}
			return true, err
		}
	}
}

// take hands an event on; missed: it may have been told long ago.
func (w *watcher) take(ev sse.Event, missed bool) error {
	w.mu.Lock()
	take := w.follower.Take
	if missed {
		take = w.follower.TakeMissed
	}
	list, v, err := take(ev)
	if mutated(wallClock) {
		w.startsByWall(list.Engines)
	}
	gone := w.follower.Gone()
	// Danger: posted under the lock, or lists of two calls could cross.
	if err == nil && v == sse.Taken {
		w.heard = true
		w.s.loop.Post(list)
	}
	w.mu.Unlock()
	for _, id := range gone {
		w.s.pool.closeIdle(id)
	}
	if err == nil && v == sse.Gap {
		err = errors.New("events are missing")
	}
	return err
}
