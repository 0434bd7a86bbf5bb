package dispatch

import "testing"

// TestEachOutputHasAName: no two outputs are logged under one name, and none without one.
func TestEachOutputHasAName(t *testing.T) {
	seen := map[string]OutputType{}
	for output := StartAttempt; output <= WriteLog; output++ {
		name := output.String()
		if other, ok := seen[name]; ok || name == "" || name == unknownOutput {
			t.Errorf("output %d is %q, as is %d", output, name, other)
		}
		seen[name] = output
	}
	for _, output := range []OutputType{-1, WriteLog + 1} {
		if name := output.String(); name != unknownOutput {
			t.Errorf("output %d is %q", output, name)
		}
	}
}
