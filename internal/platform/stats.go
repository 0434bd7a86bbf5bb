package platform

import (
	"log/slog"
	"maps"
	"runtime"
	"runtime/metrics"
	"slices"

	"cresspass/internal/dispatch"
	"cresspass/internal/invariant"
)

// heapMetric is the runtime metric for the bytes of live heap objects and of garbage not yet freed.
const heapMetric = "/memory/classes/heap/objects:bytes"

// logStats logs statistics. Counts are since the start, longest_wait and longest_step since the last line.
func (s *service) logStats() {
	counters, open, waiting := s.pool.statistics()
	s.log.Info("statistics", queryStats(s.stats()), s.attemptStats(),
		slog.Group("clients", "connections", s.frontend.connCount(), "evicted", s.evictedClients.Load(),
			"malformed_messages", s.malformedMessages.Load(), s.frontend.closeCounts()),
		slog.Group("nodes", "connections", open, "waiting", waiting, "dials", counters.dials,
			"reused", counters.reused, "queued", counters.queued, "longest_wait", counters.longestWait,
			"broken_calls", s.brokenCalls.Load(), "malformed_responses", s.malformedResponses.Load(),
			"suspected_duplicates", counters.suspected),
		s.memory.stats(),
		"longest_step", s.loop.TakeLongestStep(),
		"violations", invariant.FormatCounts(s.guard.counter.Violations()),
		"withheld", invariant.FormatCounts(s.guard.counter.Withheld()),
		"discovery_calls", s.watcher.calls.Load(), "goroutines", runtime.NumGoroutine(),
		"heap_bytes", heapBytes())
}

// queryStats returns the core's counts of queries and attempts, for the log.
func queryStats(st dispatch.Stats) slog.Attr {
	return slog.Group("queries", "received", st.Arrived, "served", st.Served, "rejected", st.Rejected,
		"failed", st.Failed, "client_gone", st.Abandoned, "overdue", st.Overdue, "open", st.Open,
		"attempts", st.Attempts, "retries", st.Retries, "stopped", st.Stopped, "not_started", st.NotStarted,
		"running", st.Running, "timers", st.Timers)
}

// attemptStats returns the counts of ended attempts by outcome, for the log.
func (s *service) attemptStats() slog.Attr {
	s.mu.Lock()
	defer s.mu.Unlock()
	var counts []any
	for _, outcome := range slices.Sorted(maps.Keys(s.outcomes)) {
		counts = append(counts, slog.Uint64(outcomeName(outcome), s.outcomes[outcome]))
	}
	return slog.Group("outcomes", counts...)
}

// stats returns the core's counts.
func (s *service) stats() (st dispatch.Stats) {
	s.loop.Inspect(func(c *dispatch.Core) { st = c.Stats() })
	return st
}

// heapBytes returns the value of heapMetric, or 0 if the runtime does not have it.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	if metrics.Read(sample); sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
