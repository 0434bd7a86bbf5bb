package main

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cresspass/internal/invariant"
)

// TestViolationsAreFoundInTheLog guards against violations that rehearsals and the soak miss or count twice
// because the program's logger writes them in another form than ReadViolations expects. Each violated
// invariant has to be found as one line; its trace, a second line, must not be counted.
func TestViolationsAreFoundInTheLog(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		path := filepath.Join(t.TempDir(), "log")
		file, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		log, err := newLogger(file, "error", format, new(slog.LevelVar))
		if err != nil {
			t.Fatal(err)
		}
		trace := func(string) string { return "0.001s request received" }
		guard := invariant.NewGuard(invariant.Rules{}, invariant.NewCounter(log), trace)
		if guard.Accept(invariant.Request{ID: 1, Class: "c"}, "t-7") { // it does not serve yet
			t.Error("a request was accepted before the start")
		}
		if err := file.Close(); err != nil {
			t.Fatal(err)
		}
		lines, err := invariant.ReadViolations(path)
		if err != nil || len(lines) != 1 || !strings.Contains(lines[0], "t-7") ||
			!strings.Contains(lines[0], string(invariant.AcceptedWhileNotServing)) {
			t.Errorf("%s: found %q, %v, want one line on request t-7", format, lines, err)
		}
		whole, err := os.ReadFile(path)
		if err != nil || strings.Count(string(whole), "\n") != 2 ||
			!strings.Contains(string(whole), "0.001s request received") {
			t.Errorf("%s: the log is %q, %v, want a violation and its trace", format, whole, err)
		}
	}
}
