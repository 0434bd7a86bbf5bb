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

// poolHarness carries a pool's grants out, and checks them against what may be granted.
type poolHarness struct {
	t           *rapid.T
	pool        *Pool
	now         time.Duration
	limits      Limits
	waiting     map[uint64]Request            // not granted yet
	idleSince   map[uint64]time.Duration      // idle connections
	engines     map[uint64]cresspass.EngineID // of all connections
	held        map[uint64]uint64             // connection by request
	lastConn    uint64
	granted     func(want, conn uint64)
	closingIdle cresspass.EngineID
}

func newPoolHarness(t *rapid.T, l Limits) *poolHarness {
	return &poolHarness{
		t:         t,
		pool:      New(minIdle, maxIdle),
		limits:    l,
		waiting:   map[uint64]Request{},
		held:      map[uint64]uint64{},
		idleSince: map[uint64]time.Duration{},
		engines:   map[uint64]cresspass.EngineID{},
	}
}

func (s *poolHarness) apply(grants []Grant) {
	for _, g := range grants {
		if g.Type == Close {
			if at, ok := s.idleSince[g.Conn]; !ok ||
				s.now-at < minIdle && s.engines[g.Conn] != s.closingIdle {
				s.t.Fatalf("%v: connection %d closed, idle since %v (%v)", s.now, g.Conn, at, ok)
			}
			delete(s.idleSince, g.Conn)
			delete(s.engines, g.Conn)
			continue
		}
		w, ok := s.waiting[g.RequestID]
		if !ok {
			s.t.Fatalf("%v: request %d granted that does not wait", s.now, g.RequestID)
		}
		delete(s.waiting, g.RequestID)
		conn := g.Conn
		if g.Type == Dial {
			s.lastConn++
			conn = s.lastConn
			s.engines[conn] = w.Engine
		} else if at, ok := s.idleSince[conn]; !ok || s.now-at < minIdle || w.Fresh || s.engines[conn] != w.Engine {
			s.t.Fatalf("%v: %+v got connection %d to %s, idle since %v (%v)", s.now, w, conn,
				s.engines[conn], at, ok)
		}
		delete(s.idleSince, conn)
		s.held[g.RequestID] = conn
		if s.granted != nil {
			s.granted(g.RequestID, conn)
		}
	}
	if open := s.pool.OpenConns(); open != len(s.engines) || open > s.limits.Capacity+s.limits.UrgentReserve {
		s.t.Fatalf("%v: %d open, %d granted, %+v", s.now, open, len(s.engines), s.limits)
	}
	if s.pool.Waiting() != len(s.waiting) {
		s.t.Fatalf("%v: %d wait, %d were asked for", s.now, s.pool.Waiting(), len(s.waiting))
	}
}

func (s *poolHarness) acquire(w Request) {
	s.waiting[w.ID] = w
	s.apply(s.pool.Acquire(s.now, w, s.limits))
}

// finish gives a request's connection back, open or closed.
func (s *poolHarness) finish(want uint64, whole bool) {
	conn := s.held[want]
	delete(s.held, want)
	if whole {
		s.idleSince[conn] = s.now
		s.pool.Release(s.now, s.engines[conn], conn)
		return
	}
	delete(s.engines, conn)
	s.apply(s.pool.Closed(s.limits))
}

// advance lets time pass, with the sweeps that the pool schedules and one each 500 ms.
func (s *poolHarness) advance(to time.Duration) {
	for {
		next := s.now - s.now%(500*ms) + 500*ms
		if at, ok := s.pool.NextSweep(); ok {
			next = min(next, max(at, s.now))
		}
		if next > to {
			s.now = to
			return
		}
		s.now = next
		s.apply(s.pool.Sweep(s.now, s.limits))
	}
}

// TestGrants: whatever callers do, each request has one grant at most, none waits while there is capacity,
// and a connection goes only to its compute node, after its least idle time, to one request at a time.
func TestGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newPoolHarness(t, Limits{Capacity: rapid.IntRange(1, 6).Draw(t, "room"), UrgentReserve: 1})
		id := uint64(0)
		some := func(m map[uint64]uint64) uint64 {
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
				s.acquire(
					Request{ID: id, Engine: cresspass.EngineID(rapid.SampledFrom([]string{"a", "b", "c"}).
						Draw(t, "engine")), Fresh: rapid.Bool().Draw(t, "fresh"),
						Urgent: rapid.IntRange(0, 9).Draw(t, "spare") == 0,
						Due:    s.now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "due"))*ms},
				)
			case 3:
				if n := some(s.held); n > 0 {
					s.finish(n, rapid.Bool().Draw(t, "whole"))
				}
			case 4:
				n := rapid.Uint64Range(1, id+1).Draw(t, "leaves")
				_, waits := s.waiting[n]
				if s.pool.Cancel(n) != waits {
					t.Fatalf("request %d cancelled: it waits: %v", n, waits)
				}
				delete(s.waiting, n)
			case 5:
				s.advance(s.now + time.Duration(rapid.IntRange(1, 800).Draw(t, "passes"))*ms)
			case 6:
				s.closingIdle = "b"
				s.apply(s.pool.CloseIdle("b", s.limits))
				if s.closingIdle = ""; len(s.pool.idle["b"]) > 0 {
					t.Fatal("dropped connections are idle still")
				}
			}
		}
		s.advance(s.now + 100*ms)
		if s.pool.Waiting() > 0 && s.pool.OpenConns() < s.limits.Capacity {
			t.Fatalf("%d wait, %d of %d open", s.pool.Waiting(), s.pool.OpenConns(), s.limits.Capacity)
		}
		for rounds := 0; len(s.held)+len(s.waiting) > 0; rounds++ { // all are served in the end
			for n := range s.held {
				s.finish(n, true)
			}
			if s.advance(s.now + 100*ms); rounds > 200 {
				t.Fatalf(
					"%d wait still, %d of %d open",
					s.pool.Waiting(),
					s.pool.OpenConns(),
					s.limits.Capacity,
				)
			}
		}
		if s.advance(s.now + maxIdle + time.Second); s.pool.OpenConns() > 0 {
			t.Fatalf("at rest %d are open", s.pool.OpenConns())
		}
	})
}

// TestNoQueryAbandoned: queries on many compute nodes, more than there are connections, each polled again
// and again by calls that last as long as a poll without news; beside them queries are started all the
// time. A compute node drops a query that was not polled for 2 s: none may be. The quick queries of one
// compute node have its connections always in use, and the others must not wait for these.
func TestNoQueryAbandoned(t *testing.T) {
	const (
		room   = 30
		call   = 250 * ms
		forgot = 2 * time.Second
	)
	rapid.Check(t, func(rt *rapid.T) {
		s := newPoolHarness(rt, Limits{Capacity: room, UrgentReserve: 2})
		// A connection makes three calls a second, each of which keeps a query from being dropped for 2 s.
		running := rapid.IntRange(room, 4*room).Draw(rt, "running")
		nodes := rapid.IntRange(1, 40).Draw(rt, "nodes")
		busy := rapid.IntRange(0, 100).Draw(rt, "busy")
		type event struct {
			at   time.Duration
			want uint64
			ask  bool // else the call of the request ends
		}
		var due []event
		query, asked := map[uint64]int{}, make([]time.Duration, running)
		id := uint64(0)
		next := func(q int) {
			id++
			query[id] = q
			engine := "quick"
			if q < 0 {
				s.acquire(Request{ID: id, Engine: "quick", Due: s.now + time.Second})
				return
			}
			engine = fmt.Sprint(q % nodes)
			s.acquire(Request{ID: id, Engine: cresspass.EngineID(engine),
				Due: min(s.now+time.Second, asked[q]+forgot-350*ms)})
		}
		s.granted = func(want, conn uint64) {
			lasts := call
			if query[want] < 0 {
				lasts = 5 * ms
			}
			due = append(due, event{s.now + lasts, want, false})
		}
		for q := range asked {
			next(q)
		}
		for s.now < 12*time.Second {
			s.advance(s.now + 5*ms)
			for len(due) > 0 { // ends of calls, in any order within the step
				at := -1
				for i, e := range due {
					if e.at <= s.now {
						at = i
						break
					}
				}
				if at < 0 {
					break
				}
				e := due[at]
				due = append(due[:at], due[at+1:]...)
				s.finish(e.want, true)
				if q := query[e.want]; q >= 0 {
					asked[q] = s.now
					next(q)
				}
				delete(query, e.want)
			}
			for w := range s.waiting {
				if q := query[w]; q >= 0 && s.now-asked[q] > forgot {
					rt.Fatalf("%v: query %d of %d was not polled for %v", s.now, q, running,
						s.now-asked[q])
				}
			}
			if int(s.now/ms)%100 < busy && len(s.waiting) < 4*room+running {
				next(-1)
			}
		}
	})
}
