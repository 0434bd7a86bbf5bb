package grpcstatus

import (
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"

	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/protocol/pgwire"
)

// What each end becomes. No code that clients repeat by themselves stands for what may have run.
func TestStatuses(t *testing.T) {
	for _, c := range []struct {
		s        *Status
		code     codes.Code
		reason   string
		ran      string
		pushback string
	}{
		{Of(verdict.Refuse(1500*time.Millisecond, false, "")), codes.ResourceExhausted, Refused, "false",
			"1500"},
		{Of(verdict.Refuse(0, true, "x")), codes.ResourceExhausted, Refused, "harmless", "1"},
		{Of(verdict.Limit("full")), codes.ResourceExhausted, Refused, "false", "1"},
		{Of(verdict.Stopping(false)), codes.Unavailable, Refused, "false", "1"},
		{Of(verdict.Stopping(true)), codes.Unknown, Failed, "unknown", "-1"},
		{Of(verdict.Fail("")), codes.Unknown, Failed, "unknown", "-1"},
		{Of(verdict.Lost("08007", "a", "b")), codes.Unknown, Failed, "unknown", "-1"},
		{Of(verdict.Cancel()), codes.Canceled, Cancelled, "unknown", "-1"},
		{Of(verdict.Fault("22023", "x")), codes.InvalidArgument, Faulty, "false", "-1"},
		{OfEngine(&pgwire.Fields{Code: "42P01"}), codes.NotFound, Engine, "unknown", "-1"},
		{OfEngine(&pgwire.Fields{Code: "23505"}), codes.AlreadyExists, Engine, "unknown", "-1"},
		{OfEngine(&pgwire.Fields{Code: "40001"}), codes.Aborted, Engine, "unknown", "-1"},
		{OfEngine(&pgwire.Fields{Code: "53100"}), codes.Unknown, Engine, "unknown", "-1"},
		{OfEngine(&pgwire.Fields{Code: ""}), codes.Unknown, Engine, "unknown", "-1"},
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
			t.Errorf("%v: %v %v, pushback %s", c.s.Message(), c.s.Code(), info, c.s.PushbackText())
		}
		if (retry != nil) != (c.pushback == "1500") || retry != nil &&
			retry.RetryDelay.AsDuration() != 1500*time.Millisecond {
			t.Errorf("%v: RetryInfo %v", c.s.Message(), retry)
		}
	}
	for a := byte('0'); a <= 'Z'; a++ { // every class of SQLSTATE
		for b := byte('0'); b <= 'Z'; b++ {
			switch s := OfEngine(&pgwire.Fields{Code: string([]byte{a, b}) + "000"}); s.Code() {
			case codes.Unavailable, codes.ResourceExhausted, codes.OK:
				t.Errorf("class %c%c becomes %v", a, b, s.Code())
			}
		}
	}
}
