package connpool

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

const (
	ms      = time.Millisecond
	minIdle = 20 * ms
	maxIdle = 3 * time.Second
)

// poolHarness carries out a pool's grants and checks that each of them is permitted.
type poolHarness struct {
	t           *rapid.T
	pool        *Pool
	now         time.Duration
	limits      Limits
	waiting     map[uint64]Request            // requests without a grant, by ID
	idleSince   map[uint64]time.Duration      // by idle connection
	engines     map[uint64]cresspass.EngineID // by open connection
	held        map[uint64]uint64             // connection by request
	lastConn    uint64
	granted     func(request, conn uint64) // called for each connection that is granted; may be nil
	closingIdle cresspass.EngineID         // whose idle connections may be closed before minIdle
}

func newPoolHarness(t *rapid.T, limits Limits) *poolHarness {
	return &poolHarness{
		t:         t,
		pool:      New(minIdle, maxIdle),
		limits:    limits,
		waiting:   map[uint64]Request{},
		held:      map[uint64]uint64{},
		idleSince: map[uint64]time.Duration{},
		engines:   map[uint64]cresspass.EngineID{},
	}
}

func (h *poolHarness) apply(grants []Grant) {
	for _, g := range grants {
		if g.Type == Close {
			if at, ok := h.idleSince[g.Conn]; !ok ||
				h.now-at < minIdle && h.engines[g.Conn] != h.closingIdle {
				h.t.Fatalf("%v: connection %d closed too early, idle since %v (idle: %v)", h.now, g.Conn, at,
					ok)
			}
			delete(h.idleSince, g.Conn)
			delete(h.engines, g.Conn)
			continue
		}
		req, ok := h.waiting[g.RequestID]
		if !ok {
			h.t.Fatalf("%v: request %d got a grant but does not wait", h.now, g.RequestID)
		}
		delete(h.waiting, g.RequestID)
		conn := g.Conn
		if g.Type == Dial {
			h.lastConn++
			conn = h.lastConn
			h.engines[conn] = req.Engine
		} else if at, ok := h.idleSince[conn]; !ok || h.now-at < minIdle || req.Fresh ||
			h.engines[conn] != req.Engine {
			h.t.Fatalf("%v: %+v got connection %d to %s, idle since %v (idle: %v)", h.now, req, conn,
				h.engines[conn], at, ok)
		}
		delete(h.idleSince, conn)
		h.held[g.RequestID] = conn
		if h.granted != nil {
			h.granted(g.RequestID, conn)
		}
	}
	if open := h.pool.OpenConns(); open != len(h.engines) || open > h.limits.Capacity+h.limits.UrgentReserve {
		h.t.Fatalf("%v: %d connections open, %d were granted and not closed, limits %+v", h.now, open,
			len(h.engines), h.limits)
	}
	if h.pool.Waiting() != len(h.waiting) {
		h.t.Fatalf("%v: %d requests queued, want %d", h.now, h.pool.Waiting(), len(h.waiting))
	}
}

func (h *poolHarness) acquire(req Request) {
	h.waiting[req.ID] = req
	h.apply(h.pool.Acquire(h.now, req, h.limits))
}

// finish ends a request's call and returns its connection to the pool, open or closed.
func (h *poolHarness) finish(request uint64, reusable bool) {
	conn := h.held[request]
	delete(h.held, request)
	if reusable {
		h.idleSince[conn] = h.now
		h.pool.Release(h.now, h.engines[conn], conn)
		return
	}
	delete(h.engines, conn)
	h.apply(h.pool.Closed(h.limits))
}

// advance moves the clock to a time and makes the sweeps that the pool schedules, and one every 500 ms.
func (h *poolHarness) advance(to time.Duration) {
	for {
		next := h.now - h.now%(500*ms) + 500*ms
		if at, ok := h.pool.NextSweep(); ok {
			next = min(next, max(at, h.now))
		}
		if next > to {
			h.now = to
			return
		}
		h.now = next
		h.apply(h.pool.Sweep(h.now, h.limits))
	}
}

// TestGrants checks that for random calls each request gets at most one grant, no request waits while there
// is capacity, and a connection is granted only for its own compute node, after minIdle, and to one request
// at a time.
func TestGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newPoolHarness(t, Limits{Capacity: rapid.IntRange(1, 6).Draw(t, "capacity"), UrgentReserve: 1})
		id := uint64(0)
		pick := func(m map[uint64]uint64) uint64 {
			for n := rapid.Uint64Range(1, id+1).Draw(t, "which"); n > 0; n-- {
				if _, ok := m[n]; ok {
					return n
				}
			}
			return 0
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				id++
				engine := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "engine")
				h.acquire(Request{
					ID:     id,
					Engine: cresspass.EngineID(engine),
					Fresh:  rapid.Bool().Draw(t, "fresh"),
					Urgent: rapid.IntRange(0, 9).Draw(t, "urgent") == 0,
					Due:    h.now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "due"))*ms,
				})
			case 3:
				if n := pick(h.held); n > 0 {
					h.finish(n, rapid.Bool().Draw(t, "reusable"))
				}
			case 4:
				n := rapid.Uint64Range(1, id+1).Draw(t, "cancel")
				_, waits := h.waiting[n]
				if h.pool.Cancel(n) != waits {
					t.Fatalf("Cancel of request %d returned the wrong result, want %v", n, waits)
				}
				delete(h.waiting, n)
			case 5:
				h.advance(h.now + time.Duration(rapid.IntRange(1, 800).Draw(t, "time"))*ms)
			case 6:
				h.closingIdle = "b"
				h.apply(h.pool.CloseIdle("b", h.limits))
				if h.closingIdle = ""; len(h.pool.idle["b"]) > 0 {
					t.Fatal("idle connections are left after CloseIdle")
				}
			}
		}
		h.advance(h.now + 100*ms)
		if h.pool.Waiting() > 0 && h.pool.OpenConns() < h.limits.Capacity {
			t.Fatalf("%d requests wait although only %d of %d connections are open", h.pool.Waiting(),
				h.pool.OpenConns(), h.limits.Capacity)
		}
		for rounds := 0; len(h.held)+len(h.waiting) > 0; rounds++ { // every request is served in the end
			for n := range h.held {
				h.finish(n, true)
			}
			if h.advance(h.now + 100*ms); rounds > 200 {
				t.Fatalf("%d requests still wait after 200 rounds, %d of %d connections open",
					h.pool.Waiting(), h.pool.OpenConns(), h.limits.Capacity)
			}
		}
		if h.advance(h.now + maxIdle + time.Second); h.pool.OpenConns() > 0 {
			t.Fatalf("%d connections are still open after maxIdle without calls", h.pool.OpenConns())
		}
	})
}

// TestNoQueryAbandoned checks that no query goes unpolled for 2 s, after which its compute node would drop
// it. There are more running queries than connections, on many compute nodes, each polled repeatedly by calls
// that last as long as a poll of a running query, while new queries are started all the time. Quick queries
// on one compute node keep its connections in use; the other queries must not wait for those.
func TestNoQueryAbandoned(t *testing.T) {
	const (
		capacity     = 30
		call         = 250 * ms
		abandonAfter = 2 * time.Second
	)
	rapid.Check(t, func(rt *rapid.T) {
		h := newPoolHarness(rt, Limits{Capacity: capacity, UrgentReserve: 2})
		// A connection makes three calls a second; each of them keeps its query from being dropped for 2 s.
		running := rapid.IntRange(capacity, 4*capacity).Draw(rt, "running")
		nodes := rapid.IntRange(1, 40).Draw(rt, "nodes")
		quickPercent := rapid.IntRange(0, 100).Draw(rt, "quick percent")
		type event struct {
			at      time.Duration // when the call of the request ends
			request uint64
		}
		var callEnds []event
		query, polledAt := map[uint64]int{}, make([]time.Duration, running)
		id := uint64(0)
		startCall := func(q int) {
			id++
			query[id] = q
			if q < 0 {
				h.acquire(Request{ID: id, Engine: "quick", Due: h.now + time.Second})
				return
			}
			engine := fmt.Sprint(q % nodes)
			h.acquire(Request{ID: id, Engine: cresspass.EngineID(engine),
				Due: min(h.now+time.Second, polledAt[q]+abandonAfter-350*ms)})
		}
		h.granted = func(request, conn uint64) {
			duration := call
			if query[request] < 0 {
				duration = 5 * ms
			}
			callEnds = append(callEnds, event{h.now + duration, request})
		}
		for q := range polledAt {
			startCall(q)
		}
		for h.now < 12*time.Second {
			h.advance(h.now + 5*ms)
			for len(callEnds) > 0 { // end the calls that are due; their order within the step does not matter
				at := -1
				for i, e := range callEnds {
					if e.at <= h.now {
						at = i
						break
					}
				}
				if at < 0 {
					break
				}
				e := callEnds[at]
				callEnds = append(callEnds[:at], callEnds[at+1:]...)
				h.finish(e.request, true)
				if q := query[e.request]; q >= 0 {
					polledAt[q] = h.now
					startCall(q)
				}
				delete(query, e.request)
			}
			for req := range h.waiting {
				if q := query[req]; q >= 0 && h.now-polledAt[q] > abandonAfter {
					rt.Fatalf("%v: query %d of %d was not polled for %v", h.now, q, running,
						h.now-polledAt[q])
				}
			}
			if int(h.now/ms)%100 < quickPercent && len(h.waiting) < 4*capacity+running {
				startCall(-1)
			}
		}
	})
}
