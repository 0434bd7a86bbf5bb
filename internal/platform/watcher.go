package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cresspass"
	"cresspass/internal/discovery/sse"
	"cresspass/internal/discovery/starttime"
	"cresspass/internal/invariant"
)

const (
	// streamSilenceTimeout is how long a stream may send nothing before it counts as broken. The discovery
	// service sends a comment each second.
	streamSilenceTimeout = 1700 * time.Millisecond
	// replayWindow is how long after the start of a stream its events may be replays of old events.
	replayWindow = 500 * time.Millisecond
	// minReconnectDelay and maxReconnectDelay are the bounds of the pause between calls.
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 400 * time.Millisecond
	// streamBufferBytes is the size of the read buffer for a stream.
	streamBufferBytes = 8 << 10
)

var (
	errStreamSilent = errors.New("nothing came for too long")
	errEventGap     = errors.New("events are missing")
)

// watcher polls the discovery service and posts its lists of compute nodes to the core. One goroutine, in
// run, makes the calls; redirect and applyKnown are called by the lifecycle's goroutine, and any goroutine
// may look up a compute node.
type watcher struct {
	service *service
	calls   atomic.Uint64 // number of calls made since the start
	ctx     context.Context
	stop    context.CancelFunc // ends run
	backoff sse.Backoff        // used only by run's goroutine

	mu            sync.Mutex // guards the fields below, and the order of lists posted to the core
	follower      *sse.Follower
	sawEvent      bool // an event arrived from the discovery service, not only from the configuration
	discoveryAddr string
	cancel        context.CancelFunc // ends all calls and pauses for discoveryAddr
}

func newWatcher(s *service, addr string) *watcher {
	w := &watcher{service: s, discoveryAddr: addr}
	w.follower = sse.NewFollower(s.clock, starttime.New(starttime.RecentStarts, s.system.now(), s.clock()))
	w.backoff = sse.Backoff{Min: minReconnectDelay, Max: maxReconnectDelay,
		Random: rand.New(rand.NewPCG(s.cfg.Module.Seed, 0))}
	w.ctx, w.stop = context.WithCancel(context.Background())
	return w
}

// engineAddr returns the address of a compute node, or "" if it is not in the list.
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

// accepting reports whether a compute node at an address accepts new queries.
func (w *watcher) accepting(engine cresspass.EngineID, addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.AcceptsQueries(engine, addr)
}

// placement returns the compute node at an address in the form in which the guard checks it.
func (w *watcher) placement(engine cresspass.EngineID, addr string) invariant.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.follower.Location(engine)
	return invariant.Target{Engine: engine, Kind: at.Kind, Zone: at.Zone,
		Accepting: w.follower.AcceptsQueries(engine, addr)}
}

// addressTaken reports whether another compute node than this one accepts queries at an address.
func (w *watcher) addressTaken(engine cresspass.EngineID, addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.AddressTaken(engine, addr)
}

// draining reports whether a compute node is draining.
func (w *watcher) draining(engine cresspass.EngineID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.Draining(engine)
}

// lastEvent returns the revision of the last event.
func (w *watcher) lastEvent() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.LastRevision()
}

// redirect polls the discovery service at another address from now on. The old address is out of use, so
// pending calls to it and a pause between calls are cancelled.
func (w *watcher) redirect(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.discoveryAddr = addr
	if w.cancel != nil {
		w.cancel()
	}
}

// applyKnown applies the events in a configuration. Those that were applied already are skipped. Until the
// discovery service has sent an event, a complete list counts as a cached one.
func (w *watcher) applyKnown(known []sse.WatchEvent) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, event := range known {
		w.follower.ObserveStarts(event)
	}
	for _, event := range known {
		list, result, err := w.follower.ApplyWatchEvent(event)
		if err != nil {
			return err
		}
		if result != sse.Applied {
			continue
		}
		if list.ListType == cresspass.ListComplete && !w.sawEvent {
			list.ListType = cresspass.ListCached
		}
		w.service.loop.Post(list)
	}
	return nil
}

// run polls until stop is called.
func (w *watcher) run() {
	for w.ctx.Err() == nil {
		ctx, addr := w.target()
		w.watchAddr(ctx, addr)
		w.backoff.Reset()
	}
}

// target returns the address to poll, and a context that ends when the address changes.
func (w *watcher) target() (context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, cancel := context.WithCancel(w.ctx)
	w.cancel = cancel
	return ctx, w.discoveryAddr
}

// watchAddr polls at one address until the context ends. A slow discovery service can't be distinguished from
// one that is cut off and never answers. So an overdue call continues while other calls are made, one at a
// time.
func (w *watcher) watchAddr(ctx context.Context, addr string) {
	var older *pendingCall
	defer func() { older.abandon() }()
	for ctx.Err() == nil {
		w.calls.Add(1)
		lastEvent := w.lastEvent()
		result, remaining := w.awaitCall(ctx, w.startCall(ctx, addr, lastEvent), older)
		err := result.err
		if older = remaining; result.stream != nil {
			older.abandon()
			older = nil
			var received bool
			if received, err = w.readStream(result.stream); received {
				w.backoff.Reset()
			}
		}
		if err != nil && ctx.Err() == nil {
			w.service.log.Warn("discovery call failed", "address", addr, "last_event", lastEvent,
				"error", err)
		}
		sleepContext(ctx, w.backoff.Next())
	}
}

// readStream applies the events of a stream until it ends. It returns whether anything was received, and the
// error that ended the stream.
func (w *watcher) readStream(s *eventStream) (received bool, err error) {
	defer s.close()
	stop := context.AfterFunc(s.ctx, func() { expire(s.conn) })
	defer stop()
	var parser sse.Parser
	b := make([]byte, streamBufferBytes)
	begun := time.Now()
	for {
		if !extendDeadline(s.ctx, s.conn, streamSilenceTimeout) {
			return received, s.ctx.Err()
		}
		n, err := s.body.Read(b)
		received = received || n > 0
		if s.ctx.Err() != nil {
			return received, s.ctx.Err()
		}
		if err := w.feed(&parser, b[:n], begun); err != nil {
			return received, err
		}
		if err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				err = errStreamSilent
			}
			return received, err
		}
	}
}

// feed parses a part of a stream and applies its events, up to the first that can't be applied.
func (w *watcher) feed(parser *sse.Parser, b []byte, begun time.Time) error {
	var eventErr error
	parseErr := parser.Feed(b, func(event sse.Event) {
		if eventErr == nil {
			eventErr = w.handleEvent(event, time.Since(begun) < replayWindow)
		}
	})
	if eventErr != nil {
		return eventErr
	}
	return parseErr
}

// handleEvent applies an event, posts its list, and closes the idle connections to removed compute nodes.
// replayed means that the event may be an old one.
func (w *watcher) handleEvent(event sse.Event, replayed bool) error {
	result, removed, err := w.follow(event, replayed)
	for _, engine := range removed {
		w.service.pool.closeIdleTo(engine)
	}
	if err == nil && result == sse.Gap {
		return errEventGap
	}
	return err
}

// follow has the follower apply an event, and posts the resulting list to the core. It does both under the
// lock: otherwise the lists of two events could be posted in the wrong order. It returns the compute nodes
// that were removed.
func (w *watcher) follow(event sse.Event, replayed bool) (result sse.ApplyResult,
	removed []cresspass.EngineID, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	apply := w.follower.Apply
	if replayed {
		apply = w.follower.ApplyDelayed
	}
	list, result, err := apply(event)
	if mutantEnabled(mutantWallClock) {
		w.ageByWallClock(list.Engines)
	}
	removed = w.follower.TakeRemoved()
	if err == nil && result == sse.Applied {
		w.sawEvent = true
		w.service.loop.Post(list)
	}
	return result, removed, err
}

// ageByWallClock is the fault of mutantWallClock: it shifts start times by the current step of the wall
// clock.
func (w *watcher) ageByWallClock(engines []cresspass.EngineInfo) {
	ahead := time.Until(w.service.system.now())
	for i := range engines {
		if engines[i].StartedAt > 0 {
			engines[i].StartedAt = max(engines[i].StartedAt-ahead, 1)
		}
	}
}
