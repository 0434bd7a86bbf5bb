package platform

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"testing"
)

// lineBuffer collects the lines of a log. It is safe for concurrent use.
type lineBuffer struct {
	mu    sync.Mutex
	lines [][]byte
}

// Write implements io.Writer. A slog handler writes each line with one call.
func (b *lineBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, bytes.Clone(line))
	return len(line), nil
}

// line returns the only line with a message, and fails the test if there is none or more than one.
func (b *lineBuffer) line(t *testing.T, message string) (found map[string]any) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, text := range b.lines {
		var line map[string]any
		if err := json.Unmarshal(text, &line); err != nil {
			t.Fatal(err)
		}
		if line["msg"] != message {
			continue
		}
		if found != nil {
			t.Fatalf("the log has two lines with the message %q", message)
		}
		found = line
	}
	if found == nil {
		t.Fatalf("the log has no line with the message %q", message)
	}
	return found
}

// TestStatisticsLine checks that the statistics line keeps its message and its keys, which operators search
// for.
func TestStatisticsLine(t *testing.T) {
	h := prepareHarness(t, 256)
	h.writeConfig(h.config(serverAddr(h.discovery.Server)))
	out := &lineBuffer{}
	h.startService(out)
	h.dial().mustServe(1, 1)
	h.frontend.mu.Lock()
	h.frontend.recordClose(closedIdle)
	h.frontend.mu.Unlock()
	eventually(t, "the attempt has ended", func() bool { return h.attemptCount() == 0 })
	h.logStats()
	line := out.line(t, "statistics")
	want := map[string][]string{
		"": {"clients", "discovery_calls", "goroutines", "heap_bytes", "level", "longest_step",
			"memory", "msg", "nodes", "outcomes", "queries", "time", "violations", "withheld"},
		"clients": {"closed", "connections", "evicted", "malformed_messages"},
		"nodes": {"broken_calls", "connections", "dials", "longest_wait", "malformed_responses", "queued",
			"reused", "suspected_duplicates", "waiting"},
		"memory":   {"long_messages", "output", "results", "short_messages"},
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
		t.Errorf("closed connections %v, want one with reason idle_timeout", clients["closed"])
	}
}
