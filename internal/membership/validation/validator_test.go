package validation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

const (
	second      = time.Second
	engineCores = 8
	memberCount = 9
)

func newTestValidator(engineCount int) *Validator {
	v := New(DefaultLimits(2))
	engines := map[cresspass.EngineID]float64{}
	for i := range engineCount {
		engines[engineID(i)] = engineCores
	}
	v.SetEngines(engines)
	return v
}

func engineID(i int) cresspass.EngineID {
	return cresspass.EngineID(fmt.Sprint("10.0.0.", i, ":5432"))
}

// The types of messages, as encoded.
const (
	report  = 1
	sums    = 2
	sent    = 3 // queries, by the dispatcher that has sent them
	relayed = 4 // queries, forwarded by an aggregator
)

// message encodes a message with the loads of the first engines.
func message(kind byte, loads ...byte) []byte {
	data := []byte{kind}
	for i, load := range loads {
		tag := cresspass.EngineTag(engineID(i))
		data = append(data, byte(tag>>8), byte(tag), load)
		if kind == report {
			data = append(data, 0x10) // one answer, no failure
		}
	}
	return data
}

// aggregators returns a time of the fleet's clock, the ordinals of two aggregators at that time, and one
// ordinal that is not an aggregator, in a fleet of memberCount.
func aggregators(t *testing.T) (clock time.Duration, first, second, none int) {
	for clock = 1000 * time.Second; clock < 2000*time.Second; clock += time.Second {
		var aggregating, others []int
		for i := range memberCount {
			if cresspass.MayAggregate(i, memberCount, clock) {
				aggregating = append(aggregating, i)
			} else {
				others = append(others, i)
			}
		}
		if len(aggregating) > 1 && len(others) > 0 {
			return clock, aggregating[0], aggregating[1], others[0]
		}
	}
	t.Fatal("no such time")
	return 0, 0, 0, 0
}

// Each kind of false message is rejected for its own reason, and honest messages are accepted.
func TestValidate(t *testing.T) {
	clock, first, other, none := aggregators(t)
	now := 50 * second
	for _, c := range []struct {
		name   string
		before func(v *Validator)
		from   int
		data   []byte
		want   Result
	}{
		{"honest sums", nil, first, message(sums, 9, 8, 3, 0), Accepted},
		{"sums of no aggregator", nil, none, message(sums, 9, 8, 3, 0), NotAggregator},
		{"relay of no aggregator", nil, none, message(relayed, 1), NotAggregator},
		{"all ejected", nil, first, message(sums, 255, 255, 255, 255), ImplausibleOutage},
		{"an overload that one alone reports", nil, first, message(sums, 60, 60, 60, 60), Contradicted},
		{"an overload that another reports as well", func(v *Validator) {
			v.Validate(now-second, clock, other, memberCount, message(sums, 50, 50, 50, 50))
		}, first, message(sums, 60, 60, 60, 60), Accepted},
		{"one ejected", nil, first, message(sums, 255, 3, 3, 3), Accepted},
		{"one ejected that answers", func(v *Validator) {
			v.RecordResponse(now-second, engineID(0), -1)
		}, first, message(sums, 255, 3, 3, 3), ImplausibleOutage},
		{"one ejected that answered long ago", func(v *Validator) {
			v.RecordResponse(now-5*second, engineID(0), -1)
		}, first, message(sums, 255, 3, 3, 3), Accepted},
		{"254 everywhere", nil, first, message(sums, 254, 254, 254, 254), OutOfRange},
		{"against another aggregator's sums", func(v *Validator) {
			v.Validate(now-second, clock, other, memberCount, message(sums, 4, 4, 4, 4))
		}, first, message(sums, 60, 60, 60, 60), Contradicted},
		{"less than another aggregator's sums", func(v *Validator) {
			v.Validate(now-second, clock, other, memberCount, message(sums, 90, 90, 90, 90))
		}, first, message(sums, 3, 3, 3, 3), Accepted},
		{"against what engines report", func(v *Validator) {
			v.RecordResponse(now, engineID(0), 2)
			v.RecordResponse(now, engineID(1), 3)
		}, first, message(sums, 60, 60, 60, 60), Contradicted},
		{"a load that engines confirm", func(v *Validator) {
			v.RecordResponse(now, engineID(0), 12)
		}, first, message(sums, 14, 14, 14, 14), Accepted},
		{"honest report", nil, 1, message(report, 4, 4, 4), Accepted},
		{"a report beyond what one runs", nil, 1, message(report, 200), OutOfRange},
		{"more than all others", func(v *Validator) {
			v.Validate(now, clock, 2, memberCount, message(report, 1, 1))
			v.Validate(now, clock, 3, memberCount, message(report, 1, 1))
		}, 1, message(report, 30, 30, 30, 30), Disproportionate},
		{"four fifths of all clients", func(v *Validator) {
			v.Validate(now, clock, 2, memberCount, message(report, 1, 1))
			v.Validate(now, clock, 3, memberCount, message(report, 1, 1))
		}, 1, message(report, 4, 4, 4, 4), Accepted},
		{"a query of too many threads", nil, 1, message(sent, 9), OutOfRange},
		{"a query", nil, 1, message(sent, 2), Accepted},
		{"blocked", func(v *Validator) {
			v.Validate(now-second, clock, 1, memberCount, message(sent, 9))
		}, 1, message(sent, 2), SenderBlocked},
		{"blocked long before", func(v *Validator) {
			v.Validate(now-40*second, clock, 1, memberCount, message(sent, 9))
		}, 1, message(sent, 2), Accepted},
		{"nothing", nil, 1, nil, Malformed},
		{"another type", nil, 1, []byte{9, 1, 2, 3}, Malformed},
	} {
		v := newTestValidator(4)
		if c.before != nil {
			c.before(v)
		}
		if got := v.Validate(now, clock, c.from, memberCount, c.data); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	v := newTestValidator(4)
	small := 0
	for small < 1000 && v.Validate(now, clock, 1, memberCount, message(sent, 2, 2, 2, 2)) == Accepted {
		small++
	}
	if small > 20 {
		t.Errorf("%d messages of small false loads accepted at one time", small)
	}
}

// After any messages in any order, accepted sums mark at most half of the engines as ejected and have no load
// over sixteen threads a core, and the validator's state stays bounded.
func TestAcceptedAggregatesStayInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newTestValidator(5)
		now, clock := 10*second, 1000*second
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			data := message(byte(rapid.IntRange(0, 5).Draw(t, "kind")),
				rapid.SliceOfN(rapid.Byte(), 0, 5).Draw(t, "loads")...)
			from := rapid.IntRange(0, 1<<20).Draw(t, "from")
			members := 1 + rapid.IntRange(0, 600).Draw(t, "members")
			if v.Validate(now, clock, from, members, data) != Accepted {
				continue
			}
			message, loads := cresspass.DecodePeerMessage(data)
			isSums := message == cresspass.PeerAggregate
			ejected := 0
			for _, load := range loads {
				if isSums && load.Threads == cresspass.PeerLoadEjected {
					ejected++
				} else if isSums && load.Threads > 16*engineCores {
					t.Fatalf("%v", loads)
				}
			}
			if 2*ejected > len(loads) {
				t.Fatalf("%d of %d ejected", ejected, len(loads))
			}
		}
		kept := len(v.aggregates) + len(v.reports) + len(v.sentLoads) + len(v.blockedUntil)
		if kept > 4*maxTrackedPeers {
			t.Fatal(kept)
		}
	})
}

// Every result has a distinct name.
func TestResultNames(t *testing.T) {
	seen := map[string]Result{}
	for r := range resultCount {
		name := r.String()
		if other, known := seen[name]; name == "" || known {
			t.Errorf("result %d is called %q, as is %d", r, name, other)
		}
		seen[name] = r
	}
	if got := Result(99).String(); got != "Result(99)" {
		t.Errorf("an unknown result is called %q", got)
	}
}
