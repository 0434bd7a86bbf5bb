package validation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

const (
	second = time.Second
	cores  = 8
)

func newTestValidator(n int) *Validator {
	j := New(DefaultLimits(2))
	all := map[cresspass.EngineID]float64{}
	for i := range n {
		all[engineID(i)] = cores
	}
	j.SetEngines(all)
	return j
}

func engineID(i int) cresspass.EngineID { return cresspass.EngineID(fmt.Sprint("10.0.0.", i, ":5432")) }

// message writes one by hand: 1 a report, 2 sums, 3 a query sent, 4 such relayed.
func message(kind byte, loads ...byte) []byte {
	out := []byte{kind}
	for i, v := range loads {
		tag := cresspass.EngineTag(engineID(i))
		if out = append(out, byte(tag>>8), byte(tag), v); kind == 1 {
			out = append(out, 0x10)
		}
	}
	return out
}

// aggregators returns a time of the fleet's clock at which a gathers and another b, and one that does not.
func aggregators(t *testing.T, members int) (clock time.Duration, a, b, none int) {
	for clock = 1000 * second; clock < 2000*second; clock += second {
		var is, not []int
		for i := range members {
			if cresspass.MayAggregate(i, members, clock) {
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
func TestValidate(t *testing.T) {
	clock, a, b, none := aggregators(t, 9)
	now := 50 * second
	for _, c := range []struct {
		name   string
		before func(j *Validator)
		from   int
		data   []byte
		want   Result
	}{
		{"honest sums", nil, a, message(2, 9, 8, 3, 0), Accepted},
		{"no hub", nil, none, message(2, 9, 8, 3, 0), NotAggregator},
		{"relay of no hub", nil, none, message(4, 1), NotAggregator},
		{"all dead", nil, a, message(2, 255, 255, 255, 255), ImplausibleOutage},
		{"a crowd that one alone tells of", nil, a, message(2, 60, 60, 60, 60), Contradicted},
		{"a crowd that another tells of as well", func(j *Validator) {
			j.Validate(now-second, clock, b, 9, message(2, 50, 50, 50, 50))
		}, a, message(2, 60, 60, 60, 60), Accepted},
		{"one dead", nil, a, message(2, 255, 3, 3, 3), Accepted},
		{"one dead that answers", func(j *Validator) { j.RecordResponse(now-second, engineID(0), -1) }, a, message(2, 255, 3, 3,
			3), ImplausibleOutage},
		{"one dead that answered long ago", func(j *Validator) { j.RecordResponse(now-5*second, engineID(0), -1) }, a,
			message(2, 255, 3, 3, 3), Accepted},
		{"254 everywhere", nil, a, message(2, 254, 254, 254, 254), OutOfRange},
		{"against the other's word", func(j *Validator) { j.Validate(now-second, clock, b, 9, message(2, 4, 4, 4, 4)) }, a,
			message(2, 60, 60, 60, 60), Contradicted},
		{"less than the other's word", func(j *Validator) {
			j.Validate(now-second, clock, b, 9, message(2, 90, 90, 90,
				90))
		}, a,
			message(2, 3, 3, 3, 3), Accepted},
		{"against what engines say", func(j *Validator) {
			j.RecordResponse(now, engineID(0), 2)
			j.RecordResponse(now, engineID(1),
				3)
		}, a,
			message(2, 60, 60, 60, 60), Contradicted},
		{"a load that engines confirm", func(j *Validator) { j.RecordResponse(now, engineID(0), 12) }, a, message(2, 14,
			14, 14, 14),
			Accepted},
		{"honest report", nil, 1, message(1, 4, 4, 4), Accepted},
		{"a report beyond what one runs", nil, 1, message(1, 200), OutOfRange},
		{"more than all others", func(j *Validator) {
			j.Validate(now, clock, 2, 9, message(1, 1, 1))
			j.Validate(now, clock, 3, 9, message(1, 1, 1))
		}, 1, message(1, 30, 30, 30, 30), Disproportionate},
		{"four fifths of all clients", func(j *Validator) {
			j.Validate(now, clock, 2, 9, message(1, 1, 1))
			j.Validate(now, clock, 3, 9, message(1, 1, 1))
		}, 1, message(1, 4, 4, 4, 4), Accepted},
		{"a query of too many threads", nil, 1, message(3, 9), OutOfRange},
		{"a query", nil, 1, message(3, 2), Accepted},
		{"caught before", func(j *Validator) { j.Validate(now-second, clock, 1, 9, message(3, 9)) }, 1, message(3, 2),
			SenderBlocked},
		{"caught long before", func(j *Validator) { j.Validate(now-40*second, clock, 1, 9, message(3, 9)) }, 1,
			message(3, 2), Accepted},
		{"nothing", nil, 1, nil, Malformed},
		{"another form", nil, 1, []byte{9, 1, 2, 3}, Malformed},
	} {
		j := newTestValidator(4)
		if c.before != nil {
			c.before(j)
		}
		if got := j.Validate(now, clock, c.from, 9, c.data); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	j := newTestValidator(4)
	small := 0
	for small < 1000 && j.Validate(now, clock, 1, 9, message(3, 2, 2, 2, 2)) == Accepted {
		small++
	}
	if small > 20 {
		t.Errorf("%d small lies in a moment", small)
	}
}

// Whatever is said in whatever order, what is taken of sums never has more than half of the engines sick,
// nor a load over sixteen threads a core, and nothing grows for ever.
func TestAcceptedAggregatesStayInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := newTestValidator(5)
		now, clock := 10*second, 1000*second
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			data := message(byte(rapid.IntRange(0, 5).Draw(t, "kind")),
				rapid.SliceOfN(rapid.Byte(), 0, 5).Draw(t, "loads")...)
			from := rapid.IntRange(0, 1<<20).Draw(t, "from")
			if j.Validate(now, clock, from, 1+rapid.IntRange(0, 600).Draw(t, "members"), data) != Accepted {
				continue
			}
			message, loads := cresspass.DecodePeerMessage(data)
			sums := message == cresspass.PeerAggregate
			sick := 0
			for _, l := range loads {
				if sums && l.Threads == cresspass.PeerLoadEjected {
					sick++
				} else if sums && l.Threads > 16*cores {
					t.Fatalf("%v", loads)
				}
			}
			if 2*sick > len(loads) {
				t.Fatalf("%d of %d sick", sick, len(loads))
			}
		}
		if n := len(j.aggregates) + len(j.reports) + len(j.sentLoads) + len(j.blockedUntil); n > 4*maxTrackedPeers {
			t.Fatal(n)
		}
	})
}
