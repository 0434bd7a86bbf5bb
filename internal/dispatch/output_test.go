package dispatch

import "testing"

// TestEachOutputHasAName checks that each output type is logged under a name of its own.
func TestEachOutputHasAName(t *testing.T) {
	seen := map[string]OutputType{}
	for output := StartAttempt; output <= WriteLog; output++ {
		name := output.String()
		if other, ok := seen[name]; ok || name == "" || name == unknownOutput {
			t.Errorf("output type %d: name %q is empty, unknown or that of type %d", output, name, other)
		}
		seen[name] = output
	}
	for _, output := range []OutputType{-1, WriteLog + 1} {
		if name := output.String(); name != unknownOutput {
			t.Errorf("undefined output type %d has the name %q", output, name)
		}
	}
}
