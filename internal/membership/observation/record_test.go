package observation

import (
	"reflect"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawRecords(t *rapid.T, label string) []Record {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
		observer := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "observer")
		return Record{
			Observer:   observer,
			rank:       observerRank(observer),
			ObservedAt: time.Duration(rapid.IntRange(0, 5).Draw(t, "at")),
			Seq:        uint64(rapid.IntRange(0, 2).Draw(t, "seq")),
			Value:      float64(rapid.IntRange(0, 2).Draw(t, "value")),
			Hops:       uint8(rapid.IntRange(0, 2).Draw(t, "hops")),
		}
	}), 0, 6).Draw(t, label)
}

// join merges two sets of records of one property, as a model of mergeRecord: it keeps the newest record of
// each observer, for at most limit observers, those with the lowest ranks. It is commutative, associative and
// idempotent. If the newest records were kept instead, Byzantine members that report twice a second would
// displace honest ones that report now and then.
func join(a, b []Record, limit int) []Record {
	all := append(append(make([]Record, 0, len(a)+len(b)), a...), b...)
	sort.Slice(all, func(i, j int) bool {
		if x, y := all[i].Observer, all[j].Observer; x != y {
			if rx, ry := observerRank(x), observerRank(y); rx != ry {
				return rx < ry
			}
			return x < y
		}
		return all[i].supersedes(&all[j])
	})
	n := 0
	for i := range all {
		known := false
		for j := range n {
			known = known || all[j].Observer == all[i].Observer
		}
		if !known && n < limit {
			all[n] = all[i]
			n++
		}
	}
	return all[:n]
}

// Merging is commutative, associative and idempotent, so that loss, order and repetition do not matter.
func TestJoinIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		join := func(a, b []Record) []Record { return join(a, b, limit) }
		x := join(drawRecords(t, "x"), nil)
		y := join(drawRecords(t, "y"), nil)
		z := join(drawRecords(t, "z"), nil)
		for law, sides := range map[string][2][]Record{
			"commutative": {join(x, y), join(y, x)},
			"associative": {join(join(x, y), z), join(x, join(y, z))},
			"idempotent":  {join(x, x), x},
			"absorbing":   {join(join(x, y), y), join(x, y)},
		} {
			if !reflect.DeepEqual(append([]Record{}, sides[0]...), append([]Record{}, sides[1]...)) {
				t.Fatalf("not %s: %v and %v", law, sides[0], sides[1])
			}
		}
	})
}
