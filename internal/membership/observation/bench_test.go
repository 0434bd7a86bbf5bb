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
	tell := func(i int) (string, []Told) {
		o := observers[i%members]
		return o, []Told{{Key: health(names[i/members%engines]), Observer: o, Seq: uint64(i), Value: 1}}
	}
	b.Run("sample", func(b *testing.B) {
		before := heap()
		s := New("me", DefaultLimits())
		s.Roster(names)
		for i := range members * engines {
			from, told := tell(i)
			s.Hear(time.Hour, from, told)
		}
		kept := heap() - before
		for i := 0; b.Loop(); i++ {
			from, told := tell(i)
			s.Hear(time.Hour+time.Duration(i), from, told)
		}
		b.ReportMetric(kept, "bytes-kept")
		runtime.KeepAlive(s)
	})
	b.Run("plain map", func(b *testing.B) {
		before := heap()
		all := map[Key]map[string]Record{}
		hear := func(now time.Duration, from string, t *Told) {
			of := all[t.Key]
			if of == nil {
				of = map[string]Record{}
				all[t.Key] = of
			}
			r := Record{Observer: t.Observer, At: now - t.Age, Seq: t.Seq, Value: t.Value, Hops: 1, Via: from}
			if old, ok := of[t.Observer]; !ok || r.fresher(&old) {
				of[t.Observer] = r
			}
		}
		for i := range members * engines {
			from, told := tell(i)
			hear(time.Hour, from, &told[0])
		}
		kept := heap() - before
		for i := 0; b.Loop(); i++ {
			from, told := tell(i)
			hear(time.Hour+time.Duration(i), from, &told[0])
		}
		b.ReportMetric(kept, "bytes-kept")
		runtime.KeepAlive(all)
	})
	b.Run("digest", func(b *testing.B) {
		s := New("me", DefaultLimits())
		s.Roster(names)
		for i := range members * engines {
			from, told := tell(i)
			s.Hear(time.Hour, from, told)
		}
		for b.Loop() {
			s.Digest(time.Hour)
		}
	})
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
