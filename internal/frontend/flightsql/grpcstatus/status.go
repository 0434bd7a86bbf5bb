// Package grpcstatus puts final answers into gRPC's terms: a verdict of the dispatcher's, or an engine's
// error, as a code with details that say what a client may do. It does no I/O.
//
// UNAVAILABLE is what retry policies repeat. It never stands for something that may have run.
package grpcstatus

import (
	"strconv"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"
	"google.golang.org/protobuf/types/known/durationpb"

	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/protocol/pgwire"
)

// Domain is the ErrorInfo domain of all statuses.
const Domain = "cresspass"

// The reasons of ErrorInfo.
const (
	ReasonRejected  = "REFUSED"   // trying again is harmless
	ReasonFailed    = "FAILED"    // nothing is promised
	ReasonInvalid   = "FAULTY"    // turned away for what it says; nothing ran
	ReasonCancelled = "CANCELLED" // by its client
	ReasonEngine    = "ENGINE"    // the engine's own error
)

// Status is an end of a call.
type Status struct {
	*status.Status
	// Pushback is for the trailer grpc-retry-pushback-ms ("gRPC Retry Design", server pushback): how long to
	// wait; below zero: do not repeat.
	Pushback time.Duration
	// MayHaveRun reports that the statement may have run.
	MayHaveRun bool
}

// PushbackText is the value of the trailer.
func (s *Status) PushbackText() string {
	if s.Pushback < 0 {
		return "-1"
	}
	return strconv.FormatInt(max(s.Pushback.Milliseconds(), 1), 10)
}

// FromVerdict is a verdict's status.
func FromVerdict(v *verdict.Verdict) *Status {
	info := map[string]string{"sqlstate": v.Code, "ran": "false"}
	if v.MayHaveRun {
		info["ran"] = "unknown"
	}
	message := v.Message
	if v.Detail != "" {
		message += ". " + v.Detail
	}
	switch v.Kind {
	case verdict.Rejected:
		code := codes.ResourceExhausted
		if v.Code == "57P01" && !v.MayHaveRun {
			code = codes.Unavailable // another instance may take it at once
		}
		if v.MayHaveRun {
			info["ran"] = "harmless"
		}
		details := []protoadapt.MessageV1{protoadapt.MessageV1Of(errorInfo(ReasonRejected, info))}
		if v.RetryAfter > 0 {
			details = append(details, protoadapt.MessageV1Of(&errdetails.RetryInfo{
				RetryDelay: durationpb.New(v.RetryAfter)}))
		}
		return build(code, message, max(v.RetryAfter, time.Millisecond), v.MayHaveRun, details...)
	case verdict.Cancelled:
		return build(
			codes.Canceled,
			message,
			-1,
			true,
			protoadapt.MessageV1Of(errorInfo(ReasonCancelled, info)),
		)
	case verdict.InvalidRequest:
		return build(
			codeOfSQLState(v.Code),
			message,
			-1,
			false,
			protoadapt.MessageV1Of(errorInfo(ReasonInvalid, info)),
		)
	}
	info["ran"] = "unknown"
	return build(codes.Unknown, message, -1, true, protoadapt.MessageV1Of(errorInfo(ReasonFailed, info)))
}

// FromEngineError is the status of an engine's ErrorResponse. It ended the statement, which had no effect;
// but what the text did before, outside a transaction, may stand.
func FromEngineError(f *pgwire.Fields) *Status {
	message := f.Message
	if f.Detail != "" {
		message += ". " + f.Detail
	}
	if f.Hint != "" {
		message += ". " + f.Hint
	}
	return build(codeOfSQLState(f.Code), message, -1, true, protoadapt.MessageV1Of(errorInfo(ReasonEngine,
		map[string]string{"sqlstate": f.Code, "ran": "unknown"})))
}

// InvalidCall is a status of ours for a call that asks for what is not to be had. Nothing ran.
func InvalidCall(code codes.Code, message string) *Status {
	return build(code, message, -1, false, protoadapt.MessageV1Of(errorInfo(ReasonInvalid,
		map[string]string{"ran": "false"})))
}

func errorInfo(reason string, info map[string]string) *errdetails.ErrorInfo {
	return &errdetails.ErrorInfo{Reason: reason, Domain: Domain, Metadata: info}
}

func build(code codes.Code, message string, pushback time.Duration, ran bool,
	details ...protoadapt.MessageV1) *Status {
	s := status.New(code, message)
	if with, err := s.WithDetails(details...); err == nil {
		s = with
	}
	return &Status{Status: s, Pushback: pushback, MayHaveRun: ran}
}

// codeOfSQLState is the code of a SQLSTATE ("PostgreSQL Error Codes"): by the state where it says more than
// its class, else by its class. Danger: none of them is UNAVAILABLE, or RESOURCE_EXHAUSTED, which says here
// that nothing ran.
func codeOfSQLState(state string) codes.Code {
	switch state {
	case "57014":
		return codes.Canceled
	case "23505", "42P04", "42P05", "42P06", "42P07", "42710", "42723":
		return codes.AlreadyExists
	case "42P01", "42703", "42704", "42883", "3D000", "3F000", "26000", "34000":
		return codes.NotFound
	case "42501":
		return codes.PermissionDenied
	case "25P03", "57P05":
		return codes.DeadlineExceeded
	}
	if len(state) < 2 {
		return codes.Unknown
	}
	switch state[:2] {
	case "0A":
		return codes.Unimplemented
	case "22", "42", "03":
		return codes.InvalidArgument
	case "28":
		return codes.Unauthenticated
	case "23", "25", "24", "55", "2B", "2D", "3B", "44", "27", "54":
		return codes.FailedPrecondition
	case "40":
		return codes.Aborted
	}
	return codes.Unknown
}
