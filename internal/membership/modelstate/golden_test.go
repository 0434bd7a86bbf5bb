package modelstate

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"cresspass/internal/goldentest"
)

// A module's snapshot, and the names and values that it is flattened into. Dispatchers send the names to
// each other and store them, so they must not change. Assembled again, the snapshot has the same bytes.
// Only a change of the version of the snapshot may change the files.
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
	goldentest.Compare(t, "snapshot.json", want)
	snapshot := goldentest.Read(t, "snapshot.json")
	flattened, err := Flatten(snapshot)
	if err != nil || !reflect.DeepEqual(flattened, values) {
		t.Errorf("read as %v, want %v: %v", flattened, values, err)
	}
	written, err := json.MarshalIndent(flattened, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "parameters.json", append(written, '\n'))
	var stored map[string]float64
	if err := json.Unmarshal(goldentest.Read(t, "parameters.json"), &stored); err != nil {
		t.Fatal(err)
	}
	get := func(name string) (float64, bool) { v, ok := stored[name]; return v, ok }
	if again := Assemble(classes, kinds, get); !bytes.Equal(again, snapshot) {
		t.Errorf("assembled: %s", again)
	}
}
