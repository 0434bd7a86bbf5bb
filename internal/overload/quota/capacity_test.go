package quota

import (
	"testing"

	"pgregory.net/rapid"
)

// TestReservedCapacity checks that the use never exceeds the limit, and that a front which uses less than is
// reserved for it can always acquire more, however much the others acquire.
func TestReservedCapacity(t *testing.T) {
	fronts := []string{"a", "b", "other"}
	rapid.Check(t, func(t *rapid.T) {
		limit := int64(rapid.IntRange(1, 50).Draw(t, "limit"))
		quotas := map[string]float64{"a": float64(rapid.IntRange(0, 10).Draw(t, "a")) / 10,
			"b": float64(rapid.IntRange(0, 10).Draw(t, "b")) / 10}
		c := New(limit, quotas)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			front := rapid.SampledFrom(fronts).Draw(t, "front")
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 && c.Used(front) > 0 {
				c.Release(front, 1)
				continue
			}
			before := c.Used(front)
			ok := c.Acquire(front, 1)
			if !ok && before < c.reserved[front] {
				t.Fatalf("%s uses %d of its reserved %d and is rejected", front, before, c.reserved[front])
			}
			if !ok && c.TotalUsed() < limit-c.reserved["a"]-c.reserved["b"] {
				t.Fatalf("%s is rejected although only %d of %d are in use", front, c.TotalUsed(), limit)
			}
			if c.TotalUsed() > limit || ok != (c.Used(front) == before+1) {
				t.Fatalf("%d in use of %d", c.TotalUsed(), limit)
			}
		}
	})
}
