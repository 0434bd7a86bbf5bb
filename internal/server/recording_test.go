package server_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"cresspass/internal/recording"
	"cresspass/internal/standin"
)

// What a dispatcher took is in its folder once it has ended: one entry a query, by outcome, one shape for
// texts that differ in literals, and no text.
func TestQueriesAreRecorded(t *testing.T) {
	r := startEngines(t, 1)
	dir := t.TempDir()
	s, err := r.Dispatch(baseSettings+fmt.Sprintf("\nrecord {\n  dir = %q\n}\n", dir), nil)
	if err != nil {
		t.Fatal(err)
	}
	c := connect(t, s, "")
	for i := range 20 {
		if _, err := c.Exec(context.Background(), fmt.Sprintf("select %d /*work_ms='1'*/",
			1000+i)); err != nil {
			t.Fatal(err)
		}
	}
	r.Engines[0].Set(standin.Faults{ErrorShare: 1})
	c.Exec(context.Background(), "select 'secret-text'")
	s.Close()
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	path := filepath.Join(dir, files[0].Name())
	_, all, skipped, err := recording.Load(path)
	if err != nil || skipped > 0 || len(all) != 21 {
		t.Fatalf("%d entries, %v", len(all), err)
	}
	ends, shapes := map[recording.Outcome]int{}, map[uint64]bool{}
	for _, e := range all {
		ends[e.Outcome]++
		shapes[e.Fingerprint] = true
		if e.Elapsed <= 0 || e.Class == "" || e.Dispatcher == "" {
			t.Errorf("%+v", e)
		}
	}
	if ends[recording.Served] != 20 || len(shapes) != 1 {
		t.Errorf("ends %v, %d shapes", ends, len(shapes))
	}
	raw, _ := os.ReadFile(path)
	if string(raw) == "" || contains(raw, "secret") || contains(raw, "select") {
		t.Error("a text is in the recording")
	}
}

func contains(b []byte, s string) bool {
	for i := range len(b) - len(s) {
		if string(b[i:i+len(s)]) == s {
			return true
		}
	}
	return false
}
