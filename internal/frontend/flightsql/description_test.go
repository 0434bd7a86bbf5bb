package flightsql

import (
	"testing"

	"cresspass/internal/protocol/pgwire"
)

// TestTruncatedParameterDescription guards against a panic on a ParameterDescription that is cut short.
func TestTruncatedParameterDescription(t *testing.T) {
	for size := range 2 {
		if _, err := parseDescription(pgwire.Append(nil, 't', make([]byte, size))); err == nil {
			t.Errorf("a ParameterDescription of %d bytes is accepted", size)
		}
	}
}
