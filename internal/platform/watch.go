package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cresspass"
	"cresspass/internal/discovery"
	"cresspass/internal/invariant"
	"cresspass/internal/startclock"
)

const (
	quietMost  = 1700 * time.Millisecond // a comment comes each second: more silence than this is a stop
	boardDial  = 500 * time.Millisecond
	boardAgain = 50 * time.Millisecond // before the notice board is asked again, see discovery.Backoff
	boardMost  = 400 * time.Millisecond
)

// watcher keeps asking the notice board and hands what it tells to the module.
type watcher struct {
	s     *service
	asked atomic.Uint64
	life  context.Context
	stop  context.CancelFunc // ends run
	again discovery.Backoff
	moved chan struct{} // the address was changed

	mu       sync.Mutex
	follower *discovery.Follower
	at       string
	cancel   context.CancelFunc // of the call under way
}

func newWatcher(s *service, at string) *watcher {
	w := &watcher{s: s, at: at, moved: make(chan struct{}, 1)}
	w.follower = discovery.NewFollower(s.clock, startclock.New(startclock.Late, s.system.wall(), s.clock()))
	w.again = discovery.Backoff{Least: boardAgain, Most: boardMost,
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
	select {
	case w.moved <- struct{}{}:
	default:
	}
}

// run asks until stop.
func (w *watcher) run() {
	for w.life.Err() == nil {
		ctx, cancel := context.WithCancel(w.life)
		w.mu.Lock()
		at, last := w.at, w.follower.Last()
		w.cancel = cancel
		select {
		case <-w.moved: // to the address just read
		default:
		}
		w.mu.Unlock()
		w.asked.Add(1)
		heard, err := w.ask(ctx, at, last)
		moved := ctx.Err() != nil
		cancel()
		if heard || moved {
			w.again.Heard()
		}
		if moved {
			continue
		}
		if err != nil {
			w.s.log.Warn("notice board", "address", at, "from", last, "error", err)
		}
		pause := time.NewTimer(w.again.Next())
		select {
		case <-pause.C:
		case <-w.moved:
			w.again.Heard()
		case <-w.life.Done():
		}
		pause.Stop()
	}
}

var errQuiet = errors.New("nothing came for too long")

// ask reads one answer of the notice board until it ends. heard: something came.
func (w *watcher) ask(ctx context.Context, at string, last uint64) (heard bool, err error) {
	c, err := w.s.system.dial(ctx, boardDial, at)
	if err != nil {
		return false, err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	alive := func() { c.SetDeadline(time.Now().Add(quietMost)) }
	alive()
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	r, err := http.NewRequest("GET", "http://"+at+"/board/poll", nil)
	if err != nil {
		return false, err
	}
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set("Last-Event-ID", strconv.FormatUint(last, 10))
	if err := r.Write(c); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("answered %s", resp.Status)
	}
	var p discovery.Parser
	b := make([]byte, 8<<10)
	for {
		n, err := resp.Body.Read(b)
		if ctx.Err() != nil {
			return true, ctx.Err()
		}
		alive()
		var bad error
		if e := p.Feed(b[:n], func(ev discovery.Event) {
			if bad == nil {
				bad = w.take(ev)
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

// take hands an event on.
func (w *watcher) take(ev discovery.Event) error {
	w.mu.Lock()
	list, v, err := w.follower.Take(ev)
	gone := w.follower.Gone()
	// Danger: posted under the lock, or lists of two calls could cross.
	if err == nil && v == discovery.Taken {
		w.s.loop.Post(list)
	}
	w.mu.Unlock()
	for _, id := range gone {
		w.s.pool.closeIdle(id)
	}
	if err == nil && v == discovery.Gap {
		err = errors.New("events are missing")
	}
	return err
}
