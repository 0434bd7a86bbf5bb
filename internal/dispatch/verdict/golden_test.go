package verdict

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cresspass/internal/goldentest"
)

// TestGoldenTexts checks that the codes and texts of verdicts are those of the golden file: clients receive
// them, so a rename in the code must not change them.
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
