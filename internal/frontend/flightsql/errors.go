package flightsql

import (
	"errors"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend/flightsql/grpcstatus"
	"cresspass/internal/protocol/pgwire"
)

// callError is the error of a call, with what its client may do.
type callError struct{ *grpcstatus.Status }

func (e *callError) Error() string { return e.Status.Err().Error() }

// GRPCStatus returns what the client gets.
func (e *callError) GRPCStatus() *status.Status { return e.Status.Status }

func verdictError(v *verdict.Verdict) error { return &callError{grpcstatus.FromVerdict(v)} }

// invalidCall is the error of a call that cannot be served as it is. Nothing ran.
func invalidCall(code codes.Code, format string, args ...any) error {
	return &callError{grpcstatus.InvalidCall(code, fmt.Sprintf(format, args...))}
}

// engineError is an ErrorResponse as the call's error.
func engineError(body []byte) error {
	f, err := pgwire.ParseFields(body)
	if err != nil {
		return err
	}
	return &callError{grpcstatus.FromEngineError(&f)}
}

// mayHaveRun reports whether a statement whose call ended by an error may have run.
func mayHaveRun(err error) bool {
	var e *callError
	return !errors.As(err, &e) || e.MayHaveRun
}

func errCopy() error { return invalidCall(codes.Unimplemented, "COPY is not served over Flight SQL") }
