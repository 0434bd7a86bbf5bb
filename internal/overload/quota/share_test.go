package quota

import (
	"testing"

	"pgregory.net/rapid"
)

// Never more than the whole is in use, and a front below what is set apart for it is always let in, whatever
// the others do.
func TestRoom(t *testing.T) {
	fronts := []string{"a", "b", "other"}
	rapid.Check(t, func(t *rapid.T) {
		most := int64(rapid.IntRange(1, 50).Draw(t, "most"))
		shares := map[string]float64{"a": float64(rapid.IntRange(0, 10).Draw(t, "a")) / 10,
			"b": float64(rapid.IntRange(0, 10).Draw(t, "b")) / 10}
		r := New(most, shares)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f := rapid.SampledFrom(fronts).Draw(t, "front")
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 && r.Used(f) > 0 {
				r.Give(f, 1)
				continue
			}
			before := r.Used(f)
			ok := r.Take(f, 1)
			if !ok && before < r.apart[f] {
				t.Fatalf("%s has %d of its %d, and is turned away", f, before, r.apart[f])
			}
			if !ok && r.Total() < most-r.apart["a"]-r.apart["b"] {
				t.Fatalf("%s is turned away with %d of %d in use", f, r.Total(), most)
			}
			if r.Total() > most || ok != (r.Used(f) == before+1) {
				t.Fatalf("%d in use of %d", r.Total(), most)
			}
		}
	})
}
