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

// callError is the error of a call as a gRPC status, with whether its client may retry.
type callError struct{ *grpcstatus.Status }

func (e *callError) Error() string { return e.Status.Err().Error() }

// GRPCStatus returns the status that the client receives; gRPC finds it by this method's name.
func (e *callError) GRPCStatus() *status.Status { return e.Status.Status }

func verdictError(v *verdict.Verdict) error { return &callError{grpcstatus.FromVerdict(v)} }

// invalidCall returns the error of a call that cannot be served as requested. Nothing ran.
func invalidCall(code codes.Code, format string, args ...any) error {
	return &callError{grpcstatus.InvalidCall(code, fmt.Sprintf(format, args...))}
}

// unknownOutcome returns the error of a call whose statement may have run, such as one whose engine has sent
// an answer that cannot be passed on.
func unknownOutcome(code codes.Code, format string, args ...any) error {
	return &callError{grpcstatus.UnknownOutcome(code, fmt.Sprintf(format, args...))}
}

// engineError converts the body of an ErrorResponse into the call's error.
func engineError(body []byte) error {
	f, err := pgwire.ParseFields(body)
	if err != nil {
		return unknownOutcome(codes.Unknown, "%v", err)
	}
	return &callError{grpcstatus.FromEngineError(&f)}
}

// mayHaveRun reports whether a statement may have run, by the error of its call. It is true for nil and for
// errors of unknown origin.
func mayHaveRun(err error) bool {
	var e *callError
	return !errors.As(err, &e) || e.MayHaveRun
}

const copyNotSupported = "COPY is not served over Flight SQL"

func errCopyNotSupported() error { return invalidCall(codes.Unimplemented, copyNotSupported) }
