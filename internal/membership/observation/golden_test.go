package observation

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"cresspass/internal/goldentest"
)

// Two versions in one fleet have the same digest for the same evidence: otherwise each would conclude that
// the other lacks everything, and answer with all its observations, once a second. The numbers of properties
// are sent to peers. Only a change of the packet version may change the file.
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
	goldentest.Compare(t, "digest.bin", written)
}

// Which observers are kept depends on their names alone, so that all members keep the same observers.
func TestGoldenRanks(t *testing.T) {
	ranks := map[string]uint32{}
	for _, name := range []string{"", "a", "hall-a-1", "hall-b-2", "(former)", "d000", "d499"} {
		ranks[name] = observerRank(name)
	}
	written, err := json.MarshalIndent(ranks, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "ranks.json", append(written, '\n'))
}
