package quota

import (
	"testing"

	"pgregory.net/rapid"
)

// Never more than the whole is in use, and a front below what is set apart for it is always let in, whatever
// the others do.
func TestReservedCapacity(t *testing.T) {
	fronts := []string{"a", "b", "other"}
	rapid.Check(t, func(t *rapid.T) {
		limit := int64(rapid.IntRange(1, 50).Draw(t, "most"))
		quotas := map[string]float64{"a": float64(rapid.IntRange(0, 10).Draw(t, "a")) / 10,
			"b": float64(rapid.IntRange(0, 10).Draw(t, "b")) / 10}
		r := New(limit, quotas)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f := rapid.SampledFrom(fronts).Draw(t, "front")
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 && r.Used(f) > 0 {
				r.Release(f, 1)
				continue
			}
			before := r.Used(f)
			ok := r.Acquire(f, 1)
			if !ok && before < r.reserved[f] {
				t.Fatalf("%s has %d of its %d, and is turned away", f, before, r.reserved[f])
			}
			if !ok && r.TotalUsed() < limit-r.reserved["a"]-r.reserved["b"] {
				t.Fatalf("%s is turned away with %d of %d in use", f, r.TotalUsed(), limit)
			}
			if r.TotalUsed() > limit || ok != (r.Used(f) == before+1) {
				t.Fatalf("%d in use of %d", r.TotalUsed(), limit)
			}
		}
	})
}
