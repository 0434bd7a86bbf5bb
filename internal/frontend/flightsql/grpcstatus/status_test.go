package grpcstatus

import (
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"

	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/protocol/pgwire"
)

// TestStatuses checks the status of each kind of verdict and engine error. No engine error gets a code that
// clients retry by themselves, since its statement may have run.
func TestStatuses(t *testing.T) {
	for _, c := range []struct {
		s        *Status
		code     codes.Code
		reason   string
		ran      string
		pushback string
	}{
		{FromVerdict(verdict.Reject(1500*time.Millisecond, false, "")), codes.ResourceExhausted,
			ReasonRejected, "false",
			"1500"},
		{FromVerdict(verdict.Reject(0, true, "x")), codes.ResourceExhausted, ReasonRejected, "harmless", "1"},
		{FromVerdict(verdict.RejectOverLimit("full")), codes.ResourceExhausted, ReasonRejected, "false", "1"},
		{FromVerdict(verdict.ShuttingDown(false)), codes.Unavailable, ReasonRejected, "false", "1"},
		{FromVerdict(verdict.ShuttingDown(true)), codes.Unknown, ReasonFailed, "unknown", "-1"},
		{FromVerdict(verdict.Fail("")), codes.Unknown, ReasonFailed, "unknown", "-1"},
		{FromVerdict(verdict.ConnectionLost("08007", "a", "b")), codes.Unknown, ReasonFailed, "unknown",
			"-1"},
		{FromVerdict(verdict.CancelledByClient()), codes.Canceled, ReasonCancelled, "unknown", "-1"},
		{FromVerdict(verdict.Invalid("22023", "x")), codes.InvalidArgument, ReasonInvalid, "false", "-1"},
		{FromEngineError(&pgwire.Fields{Code: "42P01"}), codes.NotFound, ReasonEngine, "unknown", "-1"},
		{FromEngineError(&pgwire.Fields{Code: "23505"}), codes.AlreadyExists, ReasonEngine, "unknown", "-1"},
		{FromEngineError(&pgwire.Fields{Code: "40001"}), codes.Aborted, ReasonEngine, "unknown", "-1"},
		{FromEngineError(&pgwire.Fields{Code: "53100"}), codes.Unknown, ReasonEngine, "unknown", "-1"},
		{FromEngineError(&pgwire.Fields{Code: ""}), codes.Unknown, ReasonEngine, "unknown", "-1"},
	} {
		var info *errdetails.ErrorInfo
		var retry *errdetails.RetryInfo
		for _, d := range c.s.Details() {
			switch d := d.(type) {
			case *errdetails.ErrorInfo:
				info = d
			case *errdetails.RetryInfo:
				retry = d
			}
		}
		if c.s.Code() != c.code || info == nil || info.Reason != c.reason || info.Metadata["ran"] != c.ran ||
			c.s.PushbackText() != c.pushback {
			t.Errorf("status %q: code %v, ErrorInfo %v, pushback %s", c.s.Message(), c.s.Code(), info,
				c.s.PushbackText())
		}
		if (retry != nil) != (c.pushback == "1500") || retry != nil &&
			retry.RetryDelay.AsDuration() != 1500*time.Millisecond {
			t.Errorf("status %q: RetryInfo %v", c.s.Message(), retry)
		}
	}
	for a := byte('0'); a <= 'Z'; a++ { // every class of SQLSTATE
		for b := byte('0'); b <= 'Z'; b++ {
			switch s := FromEngineError(&pgwire.Fields{Code: string([]byte{a, b}) + "000"}); s.Code() {
			case codes.Unavailable, codes.ResourceExhausted, codes.OK:
				t.Errorf("SQLSTATE class %c%c: code %v, which no engine error may have", a, b, s.Code())
			}
		}
	}
}
