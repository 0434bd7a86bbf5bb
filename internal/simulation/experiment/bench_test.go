package experiment

import (
	"os"
	"testing"
	"time"
)

// BenchmarkLargeFleet simulates 220 dispatchers, 63 engines and 540 queries per second for a minute of
// simulated time.
func BenchmarkLargeFleet(b *testing.B) {
	read := func(path string) func(string) ([]byte, error) {
		return func(name string) ([]byte, error) { return os.ReadFile(path + name + ".hcl") }
	}
	e, err := Parse("x.hcl", []byte(`day = "model-big"
arm "x" { talk = "ask" }
`), Sources{Day: read("../../../experiments/days/"), Shared: read("../../../rehearsals/settings/")})
	if err != nil {
		b.Fatal(err)
	}
	events := uint64(0)
	for b.Loop() {
		e.Length = time.Minute
		r, err := e.simulate(0, 0, 1, 0)
		if err != nil {
			b.Fatal(err)
		}
		events += r.events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}
