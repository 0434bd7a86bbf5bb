package connpool

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

const (
	ms   = time.Millisecond
	rest = 20 * ms
	keep = 3 * time.Second
)

// shell carries a pool's grants out, and holds them against what may be granted.
type shell struct {
	t       *rapid.T
	b       *Pool
	now     time.Duration
	l       Limits
	asked   map[uint64]Want               // not granted yet
	rested  map[uint64]time.Duration      // idle connections
	engines map[uint64]cresspass.EngineID // of all connections
	held    map[uint64]uint64             // connection by want
	last    uint64
	granted func(want, conn uint64)
	dropped cresspass.EngineID
}

func newShell(t *rapid.T, l Limits) *shell {
	return &shell{t: t, b: New(rest, keep), l: l, asked: map[uint64]Want{}, held: map[uint64]uint64{},
		rested: map[uint64]time.Duration{}, engines: map[uint64]cresspass.EngineID{}}
}

func (s *shell) do(grants []Grant) {
	for _, g := range grants {
		if g.Type == Close {
			if at, ok := s.rested[g.Conn]; !ok || s.now-at < rest && s.engines[g.Conn] != s.dropped {
				s.t.Fatalf("%v: connection %d closed, idle since %v (%v)", s.now, g.Conn, at, ok)
			}
			delete(s.rested, g.Conn)
			delete(s.engines, g.Conn)
			continue
		}
		w, ok := s.asked[g.Want]
		if !ok {
			s.t.Fatalf("%v: want %d granted that does not wait", s.now, g.Want)
		}
		delete(s.asked, g.Want)
		conn := g.Conn
		if g.Type == Dial {
			s.last++
			conn = s.last
			s.engines[conn] = w.Engine
		} else if at, ok := s.rested[conn]; !ok || s.now-at < rest || w.Fresh || s.engines[conn] != w.Engine {
			s.t.Fatalf("%v: %+v got connection %d to %s, idle since %v (%v)", s.now, w, conn,
				s.engines[conn], at, ok)
		}
		delete(s.rested, conn)
		s.held[g.Want] = conn
		if s.granted != nil {
			s.granted(g.Want, conn)
		}
	}
	if open := s.b.Open(); open != len(s.engines) || open > s.l.Room+s.l.Spare {
		s.t.Fatalf("%v: %d open, %d granted, %+v", s.now, open, len(s.engines), s.l)
	}
	if s.b.Waiting() != len(s.asked) {
		s.t.Fatalf("%v: %d wait, %d were asked for", s.now, s.b.Waiting(), len(s.asked))
	}
}

func (s *shell) ask(w Want) {
	s.asked[w.ID] = w
	s.do(s.b.Ask(s.now, w, s.l))
}

// done gives a want's connection back, whole or closed.
func (s *shell) done(want uint64, whole bool) {
	conn := s.held[want]
	delete(s.held, want)
	if whole {
		s.rested[conn] = s.now
		s.b.Rest(s.now, s.engines[conn], conn)
		return
	}
	delete(s.engines, conn)
	s.do(s.b.Gone(s.l))
}

// advance lets time pass, with the looks that the pool wants and one each 500 ms.
func (s *shell) advance(to time.Duration) {
	for {
		next := s.now - s.now%(500*ms) + 500*ms
		if at, ok := s.b.Next(); ok {
			next = min(next, max(at, s.now))
		}
		if next > to {
			s.now = to
			return
		}
		s.now = next
		s.do(s.b.Settle(s.now, s.l))
	}
}

// TestGrants: whatever callers do, each want has one grant at most, none waits while there is room, and a
// connection goes only to its compute node, rested, to one at a time.
func TestGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newShell(t, Limits{Room: rapid.IntRange(1, 6).Draw(t, "room"), Spare: 1})
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
				s.ask(Want{ID: id, Engine: cresspass.EngineID(rapid.SampledFrom([]string{"a", "b", "c"}).
					Draw(t, "engine")), Fresh: rapid.Bool().Draw(t, "fresh"),
					Spare: rapid.IntRange(0, 9).Draw(t, "spare") == 0,
					Due:   s.now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "due"))*ms})
			case 3:
				if n := some(s.held); n > 0 {
					s.done(n, rapid.Bool().Draw(t, "whole"))
				}
			case 4:
				n := rapid.Uint64Range(1, id+1).Draw(t, "leaves")
				_, waits := s.asked[n]
				if s.b.Leave(n) != waits {
					t.Fatalf("want %d left: it waits: %v", n, waits)
				}
				delete(s.asked, n)
			case 5:
				s.advance(s.now + time.Duration(rapid.IntRange(1, 800).Draw(t, "passes"))*ms)
			case 6:
				s.dropped = "b"
				s.do(s.b.Drop("b", s.l))
				if s.dropped = ""; len(s.b.free["b"]) > 0 {
					t.Fatal("dropped connections are idle still")
				}
			}
		}
		s.advance(s.now + 100*ms)
		if s.b.Waiting() > 0 && s.b.Open() < s.l.Room {
			t.Fatalf("%d wait, %d of %d open", s.b.Waiting(), s.b.Open(), s.l.Room)
		}
		for rounds := 0; len(s.held)+len(s.asked) > 0; rounds++ { // all are served in the end
			for n := range s.held {
				s.done(n, true)
			}
			if s.advance(s.now + 100*ms); rounds > 200 {
				t.Fatalf("%d wait still, %d of %d open", s.b.Waiting(), s.b.Open(), s.l.Room)
			}
		}
		if s.advance(s.now + keep + time.Second); s.b.Open() > 0 {
			t.Fatalf("at rest %d are open", s.b.Open())
		}
	})
}

// TestNoneForgotten: queries on many compute nodes, more than there are connections, each asked about again
// and again by calls that last as long as an answer without news; beside them starts come all the time. A
// compute node drops what was not asked for in 2 s: none may be. The quick queries of one compute node keep
// its connections always in use, which others must not wait for.
func TestNoneForgotten(t *testing.T) {
	const (
		room   = 30
		call   = 250 * ms
		forgot = 2 * time.Second
	)
	rapid.Check(t, func(rt *rapid.T) {
		s := newShell(rt, Limits{Room: room, Spare: 2})
		// A connection makes three calls a second, each of which keeps a query for 2 s.
		running := rapid.IntRange(room, 4*room).Draw(rt, "running")
		nodes := rapid.IntRange(1, 40).Draw(rt, "nodes")
		busy := rapid.IntRange(0, 100).Draw(rt, "busy")
		type event struct {
			at   time.Duration
			want uint64
			ask  bool // else the call of want ends
		}
		var due []event
		query, asked := map[uint64]int{}, make([]time.Duration, running)
		id := uint64(0)
		next := func(q int) {
			id++
			query[id] = q
			engine := "quick"
			if q < 0 {
				s.ask(Want{ID: id, Engine: "quick", Due: s.now + time.Second})
				return
			}
			engine = fmt.Sprint(q % nodes)
			s.ask(Want{ID: id, Engine: cresspass.EngineID(engine),
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
				s.done(e.want, true)
				if q := query[e.want]; q >= 0 {
					asked[q] = s.now
					next(q)
				}
				delete(query, e.want)
			}
			for w := range s.asked {
				if q := query[w]; q >= 0 && s.now-asked[q] > forgot {
					rt.Fatalf("%v: query %d of %d is not asked about for %v", s.now, q, running,
						s.now-asked[q])
				}
			}
			if int(s.now/ms)%100 < busy && len(s.asked) < 4*room+running {
				next(-1)
			}
		}
	})
}
