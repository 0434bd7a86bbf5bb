package modelstate

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

func testConfig() cresspass.Config {
	c := cresspass.Class{
		Name: "dash", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1}
	d := c
	d.Name = "we/ird \"class\""
	return cresspass.Config{
		GatewayCount: 1,
		Classes:      []cresspass.Class{c, d},
		KindNames:    []string{"std", "big/1"},
		KindCores:    []float64{8, 16},
	}
}

// A snapshot that is flattened and assembled again is unchanged. With any parameters missing or invalid,
// Assemble returns either a snapshot that a module restores, or nothing.
func TestFlattenAndAssemble(t *testing.T) {
	config := testConfig()
	g, err := cresspass.New(config)
	if err != nil {
		t.Fatal(err)
	}
	before := g.Snapshot()
	parameters, err := Flatten(before)
	if err != nil || len(parameters) != 2*4+2*2*3 {
		t.Fatalf("%d parameters: %v", len(parameters), err)
	}
	names := []string{"dash", "we/ird \"class\""}
	get := func(name string) (float64, bool) { v, ok := parameters[name]; return v, ok }
	if after := Assemble(names, config.KindNames, get); !bytes.Equal(after, before) {
		t.Errorf("%s\nbecame\n%s", before, after)
	}
	if Assemble(names, nil, func(string) (float64, bool) { return 0, false }) != nil {
		t.Error("something was assembled out of nothing")
	}
	for _, malformed := range []string{"", "{", `{"version":7}`} {
		_, err := Flatten([]byte(malformed))
		if err == nil || !strings.HasPrefix(err.Error(), "modelstate: ") {
			t.Errorf("%q: %v", malformed, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		data := Assemble(names, config.KindNames, func(name string) (float64, bool) {
			odd := []float64{math.NaN(), math.Inf(1), -1, 0, 1e300, rapid.Float64().Draw(t, "any")}
			if rapid.IntRange(0, 20).Draw(t, "kind") > 0 {
				return parameters[name], true
			}
			return rapid.SampledFrom(odd).Draw(t, "value"), rapid.Bool().Draw(t, "known")
		})
		if data == nil {
			return
		}
		g, err := cresspass.New(config)
		if err != nil {
			t.Fatal(err)
		}
		if err := g.Restore(data, time.Minute); err != nil {
			t.Fatalf("%v: %s", err, data)
		}
	})
}
