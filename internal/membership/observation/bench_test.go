package observation

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkObservers receives reports of 63 engines from 500 observers each. It compares the sample of the
// seven observers with the lowest ranks (a bottom-k sketch of hashes) with a plain map of all. bytes-kept
// is the heap of a store that has received all reports.
func BenchmarkObservers(b *testing.B) {
	const engineCount, members = 63, 500
	var engines []string
	for i := range engineCount {
		engines = append(engines, fmt.Sprint("10.0.0.", i, ":5432"))
	}
	observers := make([]string, members)
	for i := range observers {
		observers[i] = fmt.Sprintf("dispatcher-%03d", i)
	}
	report := func(i int) (from string, reports []Observation) {
		from = observers[i%members]
		return from, []Observation{{
			Key: healthKey(engines[i/members%engineCount]), Observer: from, Seq: uint64(i), Value: 1}}
	}
	filledStore := func() *Store {
		s := New("me", DefaultLimits())
		s.SetEngines(engines)
		for i := range members * engineCount {
			from, reports := report(i)
			s.Receive(time.Hour, from, reports)
		}
		return s
	}
	b.Run("sample", func(b *testing.B) {
		before := heapBytes()
		s := filledStore()
		kept := heapBytes() - before
		for i := 0; b.Loop(); i++ {
			from, reports := report(i)
			s.Receive(time.Hour+time.Duration(i), from, reports)
		}
		b.ReportMetric(kept, "bytes-kept")
		runtime.KeepAlive(s)
	})
	b.Run("plain map", func(b *testing.B) {
		before := heapBytes()
		all := map[Key]map[string]Record{}
		receive := func(now time.Duration, from string, o *Observation) {
			records := all[o.Key]
			if records == nil {
				records = map[string]Record{}
				all[o.Key] = records
			}
			r := Record{Observer: o.Observer, ObservedAt: now - o.Age, Seq: o.Seq, Value: o.Value, Hops: 1,
				ReportedBy: from}
			if old, ok := records[o.Observer]; !ok || r.supersedes(&old) {
				records[o.Observer] = r
			}
		}
		for i := range members * engineCount {
			from, reports := report(i)
			receive(time.Hour, from, &reports[0])
		}
		kept := heapBytes() - before
		for i := 0; b.Loop(); i++ {
			from, reports := report(i)
			receive(time.Hour+time.Duration(i), from, &reports[0])
		}
		b.ReportMetric(kept, "bytes-kept")
		runtime.KeepAlive(all)
	})
	b.Run("digest", func(b *testing.B) {
		s := filledStore()
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
