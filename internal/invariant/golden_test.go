package invariant

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"cresspass/internal/goldentest"
)

// TestGoldenNames checks that the names of the invariants are the recorded ones: they are keys in the health
// response and values in the log, and must stay the same when an identifier in the code is renamed.
func TestGoldenNames(t *testing.T) {
	names := []Name{
		SentAfterEnd,
		SentAfterDeadline,
		SentToDraining,
		SentOutOfOrder,
		SentWhileNotServing,
		SentToIneligible,
		RetriedNonIdempotent,
		RetriedConcurrently,
		RetriedAfterWindow,
		RetriedOverBudget,
		AnsweredTwice,
		ClosedInFlight,
		AcceptedWhileNotServing,
	}
	var current strings.Builder
	for _, name := range names {
		current.WriteString(string(name) + "\n")
	}
	goldentest.Compare(t, "names.txt", []byte(current.String()))
}

// TestGoldenViolationLines checks that violations are logged as recorded in the golden files, in both formats
// of the dispatcher's log, and that ReadViolations finds these lines and those of a crash, and no others.
func TestGoldenViolationLines(t *testing.T) {
	fixedTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Time(slog.TimeKey, time.Unix(1764640000, 0).UTC())
		}
		return a
	}
	options := &slog.HandlerOptions{ReplaceAttr: fixedTime}
	for _, format := range []string{"text", "json"} {
		var log bytes.Buffer
		var handler slog.Handler = slog.NewTextHandler(&log, options)
		if format == "json" {
			handler = slog.NewJSONHandler(&log, options)
		}
		counter := NewCounter(slog.New(handler))
		counter.Record(violated(RetriedNonIdempotent, "%d attempts may have run", 2), "17")
		counter.Record(violated(SentOutOfOrder, "key %q has query %d out", "a\"b", 3), "t-4")
		counter.Record(stale(SentAfterDeadline, "%v after the client's time", time.Second), "18")
		written := log.String()
		goldentest.Compare(t, "violations."+format+".log", log.Bytes())
		lines := strings.Split(strings.TrimSuffix(written, "\n"), "\n")
		lines = append(lines, "panic: runtime error", "fatal error: all goroutines are asleep")
		otherLines := "time=2026-12-02 level=INFO msg=figures violations=\"\"\ngoroutine 1 [running]:\n"
		path := filepath.Join(t.TempDir(), "log")
		whole := otherLines + strings.Join(lines, "\n") + "\n" + otherLines
		if err := os.WriteFile(path, []byte(whole), 0o600); err != nil {
			t.Fatal(err)
		}
		if found, err := ReadViolations(path); err != nil || !slices.Equal(found, lines) || len(found) != 4 {
			t.Errorf("%s: ReadViolations returned %q, %v, want %q", format, found, err, lines)
		}
	}
}
