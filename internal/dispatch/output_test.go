package dispatch

import (
	"log/slog"
	"reflect"
	"strings"
	"testing"
)

// TestEachOutputHasAName: no two outputs are logged under one name, and none without one.
func TestEachOutputHasAName(t *testing.T) {
	seen := map[string]OutputType{}
	for output := StartAttempt; output <= WriteLog; output++ {
		name := output.String()
		if other, ok := seen[name]; ok || name == "" || name == unknownOutput {
			t.Errorf("output %d is %q, as is %d", output, name, other)
		}
		seen[name] = output
	}
	for _, output := range []OutputType{-1, WriteLog + 1} {
		if name := output.String(); name != unknownOutput {
			t.Errorf("output %d is %q", output, name)
		}
	}
}

// TestStatsLogEveryCount: each count is a key of the log line.
func TestStatsLogEveryCount(t *testing.T) {
	var stats Stats
	counts := reflect.ValueOf(&stats).Elem()
	for i := range counts.NumField() {
		if field := counts.Field(i); field.CanInt() {
			field.SetInt(int64(i + 1))
		} else {
			field.SetUint(uint64(i + 1))
		}
	}
	var log strings.Builder
	slog.New(slog.NewTextHandler(&log, nil)).Info("stats", "core", stats)
	const want = "core.arrived=1 core.served=2 core.rejected=3 core.failed=4 core.abandoned=5 " +
		"core.attempts=6 core.retries=7 core.stopped=8 core.not_started=9 core.overdue=10 core.open=11 " +
		"core.running=12 core.timers=13\n"
	if !strings.HasSuffix(log.String(), want) {
		t.Errorf("logged %q, want it to end in %q", log.String(), want)
	}
}
