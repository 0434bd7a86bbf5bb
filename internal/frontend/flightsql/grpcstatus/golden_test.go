package grpcstatus

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"

	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/goldentest"
	"cresspass/internal/protocol/pgwire"
)

// TestStatusesAreStable compares the statuses that clients receive with those of the version that introduced
// this test.
func TestStatusesAreStable(t *testing.T) {
	var got strings.Builder
	write := func(s *Status) {
		fmt.Fprintf(&got, "%v %q pushback %q ran %v\n", s.Code(), s.Message(), s.PushbackText(), s.MayHaveRun)
		for _, d := range s.Details() {
			switch d := d.(type) {
			case *errdetails.ErrorInfo:
				var pairs []string
				for k, v := range d.Metadata {
					pairs = append(pairs, k+"="+v)
				}
				slices.Sort(pairs)
				fmt.Fprintf(&got, "  info %s %s %v\n", d.Reason, d.Domain, pairs)
			case *errdetails.RetryInfo:
				fmt.Fprintf(&got, "  retry %v\n", d.RetryDelay.AsDuration())
			default:
				fmt.Fprintf(&got, "  detail %T\n", d)
			}
		}
	}
	for _, v := range []*verdict.Verdict{verdict.Reject(0, false, ""), verdict.Reject(time.Second, true,
		"last"),
		verdict.Fail(""), verdict.Fail("last"), verdict.RejectOverLimit("full"),
		verdict.RejectAfterRestart(time.Second),
		verdict.ShuttingDown(false), verdict.ShuttingDown(true), verdict.Invalid("22023", "x"),
		verdict.CancelledByClient(),
		verdict.ConnectionLost("08006", "a", "b"), {Kind: verdict.InvalidRequest, Code: "25000",
			Message: "over", Detail: "d"},
		{Kind: verdict.Cancelled, Code: "57P01", Message: "m", Detail: "d"}} {
		write(FromVerdict(v))
	}
	write(InvalidCall(codes.NotFound, "none"))
	write(FromEngineError(&pgwire.Fields{Code: "42P01", Message: "m", Detail: "d", Hint: "h"}))
	for _, code := range []string{"57014", "23505", "42P04", "42P05", "42P06", "42P07", "42710", "42723",
		"42P01",
		"42703", "42704", "42883", "3D000", "3F000", "26000", "34000", "42501", "25P03", "57P05", "0A000",
		"22012", "42601", "03000", "28P01", "23514", "25001", "24000", "55006", "2B000", "2D000", "3B000",
		"44000", "27000", "54000", "40001", "53100", "58000", "XX000", "", "1"} {
		write(FromEngineError(&pgwire.Fields{Code: code, Message: "m"}))
	}
	goldentest.Compare(t, "statuses.txt", []byte(got.String()))
}
