package soak

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"
)

// TestSettingsFormat checks that the dispatchers' files are byte for byte those under testdata.
func TestSettingsFormat(t *testing.T) {
	for file, value := range map[string]any{
		"settings.json":        newPlatformSettings(&Plan{Dispatchers: 6}),
		"settings-budget.json": newPlatformSettings(&Plan{Dispatchers: 6, Budget: true}),
		"fault-clock.json":     processFaultConfig{ClockStepMS: (-time.Hour).Milliseconds()},
		"fault-calls.json":     processFaultConfig{FailingCallShare: failingCallShare},
		"fault-dials.json":     processFaultConfig{MaxDialDelayMS: maxDialDelay.Milliseconds()},
		"fault-none.json":      processFaultConfig{},
		"config.json": processConfig{Discovery: "127.0.0.1:1", Listen: "127.0.0.1:2", Name: "d0",
			Seed: "00000000000003e9", Limits: processLimits{Cores: 1, MemoryMB: 96, Sockets: 48},
			Known: knownEvents{Revision: 1, Events: []watchEvent{{Rev: 1, Pool: &endpointList{Version: 1,
				Full: true, Servers: []endpoint{{ID: "n0-0", Addr: "127.0.0.1:3", Zone: "z", Kind: "k",
					State: stateUp, Weight: 1}}}}}},
			Settings: newPlatformSettings(&Plan{Dispatchers: 6})},
	} {
		want, err := os.ReadFile("testdata/" + file)
		if err != nil {
			t.Fatal(err)
		}
		got, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, bytes.TrimSpace(want)) {
			t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
		}
	}
}
