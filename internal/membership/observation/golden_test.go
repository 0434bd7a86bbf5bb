package observation

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// golden compares the bytes that this version writes with those of testdata, and returns the latter.
// UPDATE_GOLDEN=1 in the environment writes the file anew; only a change of the packet version may need it.
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
		t.Errorf("%s: this version writes\n%x\nthe file has\n%x", file, written, stored)
	}
	return stored
}

// Two versions in one fleet have the same digest for the same evidence: otherwise each would take the other
// for one that lacks everything, and answer with all it has, once a second. The numbers of properties are
// sent.
func TestGoldenDigest(t *testing.T) {
	if Health != 0 || Load != 1 || Uptime != 2 || ModelParameter != 3 {
		t.Errorf("properties are sent as %d, %d, %d, %d", Health, Load, Uptime, ModelParameter)
	}
	s := New("hall-a-1", DefaultLimits())
	var engines []string
	for i := range 40 {
		engines = append(engines, fmt.Sprintf("10.0.0.%d:5432", i))
	}
	s.SetEngines(engines)
	now := time.Hour
	for i, e := range engines {
		values := map[Property]float64{Health: float64(i % 2), Load: float64(i) * 1.7,
			Uptime: float64(i * i * 100)}
		for property, value := range values {
			for o := range i % 5 {
				s.Receive(now, fmt.Sprint("p", o), []Observation{{Key: Key{Engine: e, Property: property},
					Observer: fmt.Sprint("p", o), Age: time.Second, Seq: 1, Value: value}})
			}
			if i%3 == 0 {
				s.Observe(now, Key{Engine: e, Property: property}, value)
			}
		}
	}
	s.Observe(now, Key{Property: ModelParameter, Parameter: "c/dash/scale"}, 2) // in no digest
	var written []byte
	for _, v := range s.Digest(now) {
		written = binary.BigEndian.AppendUint64(written, v)
	}
	golden(t, "digest.bin", written)
}

// Which observers are kept follows from their names alone, the same at all members.
func TestGoldenRanks(t *testing.T) {
	ranks := map[string]uint32{}
	for _, name := range []string{"", "a", "hall-a-1", "hall-b-2", "(former)", "d000", "d499"} {
		ranks[name] = observerRank(name)
	}
	written, err := json.MarshalIndent(ranks, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "ranks.json", append(written, '\n'))
}
