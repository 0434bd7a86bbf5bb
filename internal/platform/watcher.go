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
	// streamSilenceTimeout is the silence that counts as the end of a stream: a comment comes each second.
	streamSilenceTimeout = 1700 * time.Millisecond
	// replayWindow is how long after a stream's begin its events may be replayed.
	replayWindow = 500 * time.Millisecond
	// minReconnectDelay and maxReconnectDelay are the bounds of the pause between calls.
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 400 * time.Millisecond
	// streamBufferBytes is how much of a stream is read at once.
	streamBufferBytes = 8 << 10
)

var (
	errStreamSilent = errors.New("nothing came for too long")
	errEventGap     = errors.New("events are missing")
)

// watcher polls the discovery service and hands its events to the core. One goroutine, in run, makes the
// calls; redirect and applyKnown come from the lifecycle's goroutine, and any goroutine may ask for a
// compute node.
type watcher struct {
	service *service
	calls   atomic.Uint64 // made since the start
	ctx     context.Context
	stop    context.CancelFunc // ends run
	backoff sse.Backoff        // for run's goroutine only

	mu            sync.Mutex // guards the fields below, and the order of lists posted to the core
	follower      *sse.Follower
	sawEvent      bool // an event arrived, not only the configuration's
	discoveryAddr string
	cancel        context.CancelFunc // of all that goes on at this address
}

func newWatcher(s *service, addr string) *watcher {
	w := &watcher{service: s, discoveryAddr: addr}
	w.follower = sse.NewFollower(s.clock, starttime.New(starttime.RecentStarts, s.system.now(), s.clock()))
	w.backoff = sse.Backoff{Min: minReconnectDelay, Max: maxReconnectDelay,
		Random: rand.New(rand.NewPCG(s.cfg.Module.Seed, 0))}
	w.ctx, w.stop = context.WithCancel(context.Background())
	return w
}

// engineAddr is the address of a compute node; empty: it is not in the list.
func (w *watcher) engineAddr(engine cresspass.EngineID) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.Addr(engine)
}

// engineCount is how many compute nodes have an address.
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

// placement is a compute node at an address as the invariants see it.
func (w *watcher) placement(engine cresspass.EngineID, addr string) invariant.Target {
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

// lastEvent is the number of the last event.
func (w *watcher) lastEvent() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.follower.LastRevision()
}

// redirect has the discovery service polled at another address, at once. The old address is
// out of use, so neither a call under way nor a pause between calls goes on.
func (w *watcher) redirect(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.discoveryAddr = addr
	if w.cancel != nil {
		w.cancel()
	}
}

// applyKnown applies the events that a configuration knows. Those that were applied already are skipped.
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

// run polls until stop.
func (w *watcher) run() {
	for w.ctx.Err() == nil {
		ctx, addr := w.target()
		w.watchAddr(ctx, addr)
		w.backoff.Reset()
	}
}

// target returns where to poll, and a context that ends when that changes.
func (w *watcher) target() (context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, cancel := context.WithCancel(w.ctx)
	w.cancel = cancel
	return ctx, w.discoveryAddr
}

// watchAddr polls at one address until the context ends. A discovery service that is slow answers late,
// one that is cut off never, and the two look alike: so an overdue call goes on, and others are made
// beside it, one at a time.
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

// readStream applies the events of a stream until it ends, and returns why it did, and whether anything came.
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

// feed applies the events in a part of a stream, up to the first that can't be applied.
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

// handleEvent applies an event and posts its list; replayed: it may be an old one.
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

// follow has the follower apply an event, and posts its list to the core under the lock: without it,
// the lists of two calls could cross. It returns the compute nodes that have gone.
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

// ageByWallClock is what the mutant makes of start times: their age by the wall clock of the moment.
func (w *watcher) ageByWallClock(engines []cresspass.EngineInfo) {
	ahead := time.Until(w.service.system.now())
	for i := range engines {
		if engines[i].StartedAt > 0 {
			engines[i].StartedAt = max(engines[i].StartedAt-ahead, 1)
		}
	}
}
