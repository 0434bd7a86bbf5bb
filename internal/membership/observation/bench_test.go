package observation

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkObservers hears of 63 engines from 500 observers each: the sample of seven that have the least
// rank (a sketch of the smallest hashes), against a plain map of all. Bytes are of a store that has heard
// all.
func BenchmarkObservers(b *testing.B) {
	const engines, members = 63, 500
	var names []string
	for i := range engines {
		names = append(names, fmt.Sprint("10.0.0.", i, ":5432"))
	}
	observers := make([]string, members)
	for i := range observers {
		observers[i] = fmt.Sprintf("dispatcher-%03d", i)
	}
	tell := func(i int) (string, []Observation) {
		o := observers[i%members]
		return o, []Observation{
			{Key: healthKey(names[i/members%engines]), Observer: o, Seq: uint64(i), Value: 1},
		}
	}
	b.Run("sample", func(b *testing.B) {
		before := heapBytes()
		s := New("me", DefaultLimits())
		s.SetEngines(names)
		for i := range members * engines {
			from, told := tell(i)
			s.Receive(time.Hour, from, told)
		}
		kept := heapBytes() - before
		for i := 0; b.Loop(); i++ {
			from, told := tell(i)
			s.Receive(time.Hour+time.Duration(i), from, told)
		}
		b.ReportMetric(kept, "bytes-kept")
		runtime.KeepAlive(s)
	})
	b.Run("plain map", func(b *testing.B) {
		before := heapBytes()
		all := map[Key]map[string]Record{}
		hear := func(now time.Duration, from string, t *Observation) {
			of := all[t.Key]
			if of == nil {
				of = map[string]Record{}
				all[t.Key] = of
			}
			r := Record{
				Observer:   t.Observer,
				ObservedAt: now - t.Age,
				Seq:        t.Seq,
				Value:      t.Value,
				Hops:       1,
				ReportedBy: from,
			}
			if old, ok := of[t.Observer]; !ok || r.supersedes(&old) {
				of[t.Observer] = r
			}
		}
		for i := range members * engines {
			from, told := tell(i)
			hear(time.Hour, from, &told[0])
		}
		kept := heapBytes() - before
		for i := 0; b.Loop(); i++ {
			from, told := tell(i)
			hear(time.Hour+time.Duration(i), from, &told[0])
		}
		b.ReportMetric(kept, "bytes-kept")
		runtime.KeepAlive(all)
	})
	b.Run("digest", func(b *testing.B) {
		s := New("me", DefaultLimits())
		s.SetEngines(names)
		for i := range members * engines {
			from, told := tell(i)
			s.Receive(time.Hour, from, told)
		}
		for b.Loop() {
			s.Digest(time.Hour)
		}
	})
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
