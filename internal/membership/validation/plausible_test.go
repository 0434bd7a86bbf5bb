package validation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

const (
	s     = time.Second
	cores = 8
)

func judge(n int) *Judge {
	j := New(DefaultLimits(2))
	all := map[cresspass.EngineID]float64{}
	for i := range n {
		all[id(i)] = cores
	}
	j.Roster(all)
	return j
}

func id(i int) cresspass.EngineID { return cresspass.EngineID(fmt.Sprint("10.0.0.", i, ":5432")) }

// message writes one by hand: 1 a report, 2 sums, 3 a query sent, 4 such relayed.
func message(kind byte, loads ...byte) []byte {
	out := []byte{kind}
	for i, v := range loads {
		tag := cresspass.EngineTag(id(i))
		if out = append(out, byte(tag>>8), byte(tag), v); kind == 1 {
			out = append(out, 0x10)
		}
	}
	return out
}

// hubs returns a time of the fleet's clock at which a gathers and another b, and one that does not.
func hubs(t *testing.T, members int) (clock time.Duration, a, b, none int) {
	for clock = 1000 * s; clock < 2000*s; clock += s {
		var is, not []int
		for i := range members {
			if cresspass.Gathers(i, members, clock) {
				is = append(is, i)
			} else {
				not = append(not, i)
			}
		}
		if len(is) > 1 && len(not) > 0 {
			return clock, is[0], is[1], not[0]
		}
	}
	t.Fatal("no such time")
	return
}

// Each kind of lie is seen for what it is, and what honest ones say beside it is taken.
func TestLies(t *testing.T) {
	clock, a, b, none := hubs(t, 9)
	now := 50 * s
	for _, c := range []struct {
		name   string
		before func(j *Judge)
		from   int
		data   []byte
		want   Why
	}{
		{"honest sums", nil, a, message(2, 9, 8, 3, 0), Taken},
		{"no hub", nil, none, message(2, 9, 8, 3, 0), NoHub},
		{"relay of no hub", nil, none, message(4, 1), NoHub},
		{"all dead", nil, a, message(2, 255, 255, 255, 255), Sick},
		{"a crowd that one alone tells of", nil, a, message(2, 60, 60, 60, 60), Denied},
		{"a crowd that another tells of as well", func(j *Judge) {
			j.Take(now-s, clock, b, 9, message(2, 50, 50, 50, 50))
		}, a, message(2, 60, 60, 60, 60), Taken},
		{"one dead", nil, a, message(2, 255, 3, 3, 3), Taken},
		{"one dead that answers", func(j *Judge) { j.Answered(now-s, id(0), -1) }, a, message(2, 255, 3, 3,
			3), Sick},
		{"one dead that answered long ago", func(j *Judge) { j.Answered(now-5*s, id(0), -1) }, a,
			message(2, 255, 3, 3, 3), Taken},
		{"254 everywhere", nil, a, message(2, 254, 254, 254, 254), Beyond},
		{"against the other's word", func(j *Judge) { j.Take(now-s, clock, b, 9, message(2, 4, 4, 4, 4)) }, a,
			message(2, 60, 60, 60, 60), Denied},
		{"less than the other's word", func(j *Judge) {
			j.Take(now-s, clock, b, 9, message(2, 90, 90, 90,
				90))
		}, a,
			message(2, 3, 3, 3, 3), Taken},
		{"against what engines say", func(j *Judge) {
			j.Answered(now, id(0), 2)
			j.Answered(now, id(1),
				3)
		}, a,
			message(2, 60, 60, 60, 60), Denied},
		{"a load that engines confirm", func(j *Judge) { j.Answered(now, id(0), 12) }, a, message(2, 14,
			14, 14, 14),
			Taken},
		{"honest report", nil, 1, message(1, 4, 4, 4), Taken},
		{"a report beyond what one runs", nil, 1, message(1, 200), Beyond},
		{"more than all others", func(j *Judge) {
			j.Take(now, clock, 2, 9, message(1, 1, 1))
			j.Take(now, clock, 3, 9, message(1, 1, 1))
		}, 1, message(1, 30, 30, 30, 30), Outdoes},
		{"four fifths of all clients", func(j *Judge) {
			j.Take(now, clock, 2, 9, message(1, 1, 1))
			j.Take(now, clock, 3, 9, message(1, 1, 1))
		}, 1, message(1, 4, 4, 4, 4), Taken},
		{"a query of too many threads", nil, 1, message(3, 9), Beyond},
		{"a query", nil, 1, message(3, 2), Taken},
		{"caught before", func(j *Judge) { j.Take(now-s, clock, 1, 9, message(3, 9)) }, 1, message(3, 2),
			Shunned},
		{"caught long before", func(j *Judge) { j.Take(now-40*s, clock, 1, 9, message(3, 9)) }, 1,
			message(3, 2), Taken},
		{"nothing", nil, 1, nil, Unread},
		{"another form", nil, 1, []byte{9, 1, 2, 3}, Unread},
	} {
		j := judge(4)
		if c.before != nil {
			c.before(j)
		}
		if got := j.Take(now, clock, c.from, 9, c.data); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	j := judge(4)
	small := 0
	for small < 1000 && j.Take(now, clock, 1, 9, message(3, 2, 2, 2, 2)) == Taken {
		small++
	}
	if small > 20 {
		t.Errorf("%d small lies in a moment", small)
	}
}

// Whatever is said in whatever order, what is taken of sums never has more than half of the engines sick,
// nor a load over sixteen threads a core, and nothing grows for ever.
func TestWhateverIsSaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := judge(5)
		now, clock := 10*s, 1000*s
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			data := message(byte(rapid.IntRange(0, 5).Draw(t, "kind")),
				rapid.SliceOfN(rapid.Byte(), 0, 5).Draw(t, "loads")...)
			from := rapid.IntRange(0, 1<<20).Draw(t, "from")
			if j.Take(now, clock, from, 1+rapid.IntRange(0, 600).Draw(t, "members"), data) != Taken {
				continue
			}
			_, sums, _, loads, _ := cresspass.ReadPeer(data)
			sick := 0
			for _, l := range loads {
				if sums && l.Threads == cresspass.PeerFull {
					sick++
				} else if sums && l.Threads > 16*cores {
					t.Fatalf("%v", loads)
				}
			}
			if 2*sick > len(loads) {
				t.Fatalf("%d of %d sick", sick, len(loads))
			}
		}
		if n := len(j.sums) + len(j.reports) + len(j.sent) + len(j.shunned); n > 4*mostKept {
			t.Fatal(n)
		}
	})
}
