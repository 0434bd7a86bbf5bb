package verdict

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cresspass/internal/goldentest"
)

// TestGoldenTexts: clients receive the code and the texts of a verdict, so they outlive every rename in the
// code.
func TestGoldenTexts(t *testing.T) {
	var now strings.Builder
	for _, c := range []struct {
		name    string
		verdict *Verdict
	}{
		{"rejected", Reject(1500*time.Millisecond, false, "")},
		{"rejected, last error", Reject(0, false, "connection refused")},
		{"rejected, may have run", Reject(time.Second, true, "")},
		{"rejected, may have run, last error", Reject(0, true, "reset")},
		{"failed", Fail("")},
		{"failed, last error", Fail("reset")},
		{"limit", RejectOverLimit("too many queries")},
		{"after a restart", RejectAfterRestart(2 * time.Second)},
		{"shutting down, not started", ShuttingDown(false)},
		{"shutting down, started", ShuttingDown(true)},
		{"invalid", Invalid("22023", "no such class")},
		{"cancelled", CancelledByClient()},
		{"connection lost", ConnectionLost("08007", "a message", "a detail")},
	} {
		v := c.verdict
		fmt.Fprintf(&now, "%s: kind %d code %q message %q detail %q retry after %v may have run %v\n", c.name,
			v.Kind, v.Code, v.Message, v.Detail, v.RetryAfter, v.MayHaveRun)
	}
	goldentest.Compare(t, "texts.txt", []byte(now.String()))
}
