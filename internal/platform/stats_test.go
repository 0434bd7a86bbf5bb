package platform

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"testing"
)

// TestStatisticsLine: the line of statistics keeps its message and its keys, which operators search for.
func TestStatisticsLine(t *testing.T) {
	h := newHarness(t, 256)
	h.dial().mustServe(1, 1)
	h.frontend.mu.Lock()
	h.frontend.recordClose(closedIdle)
	h.frontend.mu.Unlock()
	eventually(t, "the attempt has ended", func() bool { return h.attemptCount() == 0 })
	var out bytes.Buffer
	h.log = slog.New(slog.NewJSONHandler(&out, nil))
	h.logStats()
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line["msg"] != "statistics" {
		t.Errorf("message %q", line["msg"])
	}
	want := map[string][]string{
		"": {"clients", "discovery_calls", "goroutines", "heap_bytes", "level", "longest_step", "msg",
			"nodes", "outcomes", "queries", "time", "violations", "withheld"},
		"clients": {"closed", "connections", "evicted", "malformed_messages"},
		"nodes": {"broken_calls", "connections", "dials", "longest_wait", "malformed_responses", "queued",
			"reused", "suspected_duplicates", "waiting"},
		"outcomes": {"ok"},
		"queries": {"attempts", "client_gone", "failed", "not_started", "open", "overdue", "received",
			"rejected", "retries", "running", "served", "stopped", "timers"},
	}
	for group, keys := range want {
		values := line
		if group != "" {
			values, _ = line[group].(map[string]any)
		}
		if got := slices.Sorted(maps.Keys(values)); !slices.Equal(got, keys) {
			t.Errorf("group %q has keys %q, want %q", group, got, keys)
		}
	}
	clients, _ := line["clients"].(map[string]any)
	if closed, _ := clients["closed"].(map[string]any); closed["idle_timeout"] != 1.0 {
		t.Errorf("closed connections %v, want one by its idle timeout", clients["closed"])
	}
}
