package platform

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/wire"
)

// TestSettingsMatchSimulatorWire checks that the simulator's pairs and the platform's JSON give the decision
// module the same settings.
func TestSettingsMatchSimulatorWire(t *testing.T) {
	h := &harness{t: t, discovery: &fakeDiscovery{}, sockets: 256}
	h.discovery.add(true, "s-1", "127.0.0.1:1", "up")
	cfg, err := Parse(h.config("127.0.0.1:2"))
	if err != nil {
		t.Fatal(err)
	}
	settings, err := flattenSettings(cfg.Settings)
	if err != nil {
		t.Fatal(err)
	}
	line := "clock now-us=0\nprovision dispatcher=0 rng-seed=" + fmt.Sprint(cfg.Module.Seed)
	for _, s := range settings {
		line += " " + s.Path + "=" + strings.ReplaceAll(s.Value, " ", "_")
	}
	batch, err := wire.NewReader(strings.NewReader(line + "\neob\n")).Next()
	if err != nil {
		t.Fatal(err)
	}
	if sim := batch.Messages[0].Config; !reflect.DeepEqual(sim, cfg.Module) {
		t.Errorf("the simulator's wire format gives\n%+v, the configuration gives\n%+v", sim, cfg.Module)
	}
	k := cfg.Module.Classes
	if len(k) != 3 || !k[2].OrderedByKey || k[0].OrderedByKey ||
		k[0].LatencyObjective != 400*time.Millisecond ||
		k[1].Effect != cresspass.IdempotentWithKey {
		t.Errorf("classes %+v", k)
	}
}

// TestConfigErrors checks that the error for an invalid configuration names what is wrong.
func TestConfigErrors(t *testing.T) {
	for text, want := range map[string]string{
		`{`: "unexpected end", `{"listen":"a","board":"b","seed":"xyz"}`: "seed",
		`{"listen":"","board":"b"}`:                                                          "listen",
		`{"listen":"a","board":"b","seed":"1","settings":[]}`:                                "settings",
		`{"listen":"a","board":"b","seed":"1","settings":{"classes":[{"semantics":"odd"}]}}`: "semantics",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one that contains %q", text, err, want)
		}
	}
}
