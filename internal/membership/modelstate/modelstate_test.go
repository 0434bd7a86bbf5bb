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

func config() cresspass.Config {
	c := cresspass.Class{
		Name:             "dash",
		LatencyObjective: time.Second,
		Deadline:         5 * time.Second,
		PriorityWeight:   1,
	}
	d := c
	d.Name = "we/ird \"class\""
	return cresspass.Config{GatewayCount: 1, Classes: []cresspass.Class{c, d}, KindNames: []string{"std",
		"big/1"},
		KindCores: []float64{8, 16}}
}

// What a module has learnt, taken apart and put together, is what it was, and another module takes it. Of
// figures that are missing or cannot be, whatever they are, what is put together is taken as well, or is
// nothing.
func TestFlattenAndAssemble(t *testing.T) {
	cfg := config()
	g, err := cresspass.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	was := g.Snapshot()
	all, err := Flatten(was)
	if err != nil || len(all) != 2*4+2*2*3 {
		t.Fatalf("%d figures: %v", len(all), err)
	}
	names := []string{"dash", "we/ird \"class\""}
	get := func(name string) (float64, bool) { v, ok := all[name]; return v, ok }
	if now := Assemble(names, cfg.KindNames, get); !bytes.Equal(now, was) {
		t.Errorf("%s\nbecame\n%s", was, now)
	}
	if Assemble(names, nil, func(string) (float64, bool) { return 0, false }) != nil {
		t.Error("something out of nothing")
	}
	for _, bad := range []string{"", "{", `{"version":7}`} {
		if _, err := Flatten([]byte(bad)); err == nil || !strings.HasPrefix(err.Error(), "figures: ") {
			t.Errorf("%q: %v", bad, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		data := Assemble(names, cfg.KindNames, func(name string) (float64, bool) {
			odd := []float64{math.NaN(), math.Inf(1), -1, 0, 1e300, rapid.Float64().Draw(t, "any")}
			if rapid.IntRange(0, 20).Draw(t, "kind") > 0 {
				return all[name], true
			}
			return rapid.SampledFrom(odd).Draw(t, "value"), rapid.Bool().Draw(t, "known")
		})
		if data == nil {
			return
		}
		g, _ := cresspass.New(cfg)
		if err := g.Restore(data, time.Minute); err != nil {
			t.Fatalf("%v: %s", err, data)
		}
	})
}
