package server_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"cresspass/internal/recording"
	"cresspass/internal/standin"
)

// TestQueriesAreRecorded checks the recording of a dispatcher that has closed. It has an entry with the
// outcome of each query, one fingerprint for texts that differ only in literals, and no text.
func TestQueriesAreRecorded(t *testing.T) {
	r := startEngines(t, 1)
	dir := t.TempDir()
	s, err := r.StartDispatcher(baseSettings+fmt.Sprintf("\nrecord {\n  dir = %q\n}\n", dir), nil)
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
	r.Engines[0].SetFaults(standin.Faults{ErrorShare: 1})
	if _, err := c.Exec(context.Background(), "select 'secret-text'"); err == nil {
		t.Error("a query was served by an engine that fails each query")
	}
	s.Close()
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	path := filepath.Join(dir, files[0].Name())
	_, all, skipped, err := recording.Load(path)
	if err != nil || skipped > 0 || len(all) != 21 {
		t.Fatalf("%d entries, %v, want 21", len(all), err)
	}
	outcomes, fingerprints := map[recording.Outcome]int{}, map[uint64]bool{}
	for _, e := range all {
		outcomes[e.Outcome]++
		fingerprints[e.Fingerprint] = true
		if e.Elapsed <= 0 || e.Class == "" || e.Dispatcher == "" {
			t.Errorf("entry without elapsed time, class or dispatcher: %+v", e)
		}
	}
	if outcomes[recording.Served] != 20 || len(fingerprints) != 1 {
		t.Errorf("outcomes %v, %d fingerprints, want 20 served and 1", outcomes, len(fingerprints))
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) == 0 || bytes.Contains(data, []byte("secret")) || bytes.Contains(data, []byte("select")) {
		t.Error("the text of a statement is in the recording")
	}
}
