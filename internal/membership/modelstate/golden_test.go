package modelstate

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// golden compares the bytes that this version writes with those of testdata, and returns the latter.
// UPDATE_GOLDEN=1 in the environment writes the file anew; only a change of the snapshot's version may
// need it.
func golden(t *testing.T, file string, written []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", file)
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, written, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, stored) {
		t.Errorf("%s: this version writes\n%s\nthe file has\n%s", file, written, stored)
	}
	return stored
}

// A module's snapshot, and the names and values that it is flattened into: dispatchers send the names to
// each other and keep them, so they stay. Assembled again, the snapshot has the same bytes.
func TestGoldenParameters(t *testing.T) {
	classes, kinds := []string{"dash", "we/ird \"class\""}, []string{"std", "big/1"}
	values := map[string]float64{}
	n := 0.0
	want := Assemble(classes, kinds, func(name string) (float64, bool) {
		if _, known := values[name]; !known {
			n++
			values[name] = n / 8
		}
		return values[name], true
	})
	snapshot := golden(t, "snapshot.json", want)
	flattened, err := Flatten(snapshot)
	if err != nil || !reflect.DeepEqual(flattened, values) {
		t.Errorf("read as %v, want %v: %v", flattened, values, err)
	}
	written, err := json.MarshalIndent(flattened, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	var stored map[string]float64
	if err := json.Unmarshal(golden(t, "parameters.json", append(written, '\n')), &stored); err != nil {
		t.Fatal(err)
	}
	get := func(name string) (float64, bool) { v, ok := stored[name]; return v, ok }
	if again := Assemble(classes, kinds, get); !bytes.Equal(again, snapshot) {
		t.Errorf("assembled: %s", again)
	}
}
