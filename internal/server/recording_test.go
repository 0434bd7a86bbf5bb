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

// The queries of a dispatcher are in its recording once it has closed: an entry for each query with its
// outcome, one fingerprint for texts that differ in literals, and no text.
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
		t.Error("served by an engine that fails each query")
	}
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
	outcomes, fingerprints := map[recording.Outcome]int{}, map[uint64]bool{}
	for _, e := range all {
		outcomes[e.Outcome]++
		fingerprints[e.Fingerprint] = true
		if e.Elapsed <= 0 || e.Class == "" || e.Dispatcher == "" {
			t.Errorf("%+v", e)
		}
	}
	if outcomes[recording.Served] != 20 || len(fingerprints) != 1 {
		t.Errorf("outcomes %v, %d fingerprints", outcomes, len(fingerprints))
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) == 0 || bytes.Contains(data, []byte("secret")) || bytes.Contains(data, []byte("select")) {
		t.Error("the text of a statement is in the recording")
	}
}
