// Package grpcstatus converts a verdict of the dispatcher or an error of an engine into a gRPC status: a code
// with details about whether a client may retry. It does no I/O.
//
// Retry policies of clients retry UNAVAILABLE. A statement that may have run never gets this code.
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
	"cresspass/internal/protocol/sqlstate"
)

// Domain is the ErrorInfo domain of all statuses.
const Domain = "cresspass"

// Reasons in ErrorInfo, as clients receive them.
const (
	ReasonRejected  = "REFUSED"   // the statement was rejected; a retry is harmless
	ReasonFailed    = "FAILED"    // the outcome is unknown
	ReasonInvalid   = "FAULTY"    // the call is invalid; nothing ran
	ReasonCancelled = "CANCELLED" // by the client, or because the session or transaction ended
	ReasonEngine    = "ENGINE"    // the engine's own error
)

// Keys of ErrorInfo's metadata, and the values of metadataRan.
const (
	metadataSQLState = "sqlstate"
	metadataRan      = "ran"

	ranNo       = "false"
	ranUnknown  = "unknown"
	ranHarmless = "harmless" // the statement may have run, and a retry does no harm
)

const (
	// noRetryPushback is the pushback that forbids a retry.
	noRetryPushback = -1
	// minPushback is the shortest pushback that gRPC can send.
	minPushback = time.Millisecond
)

// Status is the gRPC status with which a call ends.
type Status struct {
	*status.Status
	// Pushback is how long the client has to wait before a retry; below zero: it must not retry. It is sent
	// in the trailer grpc-retry-pushback-ms ("gRPC Retry Design", server pushback).
	Pushback time.Duration
	// MayHaveRun reports that the statement may have run.
	MayHaveRun bool
}

// PushbackText returns the value of the trailer grpc-retry-pushback-ms, in milliseconds.
func (s *Status) PushbackText() string {
	if s.Pushback < 0 {
		return strconv.Itoa(noRetryPushback)
	}
	return strconv.FormatInt(max(s.Pushback, minPushback).Milliseconds(), 10)
}

// FromVerdict returns the status of a verdict.
func FromVerdict(v *verdict.Verdict) *Status {
	message := v.Message
	if v.Detail != "" {
		message += ". " + v.Detail
	}
	switch v.Kind {
	case verdict.Rejected:
		return rejection(v, message)
	case verdict.Cancelled:
		return newStatus(codes.Canceled, message, noRetryPushback, true,
			errorInfo(ReasonCancelled, metadata(v.Code, mayHaveRunText(v))))
	case verdict.InvalidRequest:
		return newStatus(codeOfSQLState(v.Code), message, noRetryPushback, false,
			errorInfo(ReasonInvalid, metadata(v.Code, mayHaveRunText(v))))
	}
	return newStatus(codes.Unknown, message, noRetryPushback, true,
		errorInfo(ReasonFailed, metadata(v.Code, ranUnknown)))
}

// rejection returns the status of a rejected statement, which may be retried.
func rejection(v *verdict.Verdict, message string) *Status {
	code, ran := codes.ResourceExhausted, ranNo
	if v.MayHaveRun {
		ran = ranHarmless
	} else if v.Code == sqlstate.AdminShutdown {
		code = codes.Unavailable // another instance may run it at once
	}
	details := []protoadapt.MessageV1{errorInfo(ReasonRejected, metadata(v.Code, ran))}
	if v.RetryAfter > 0 {
		details = append(details, protoadapt.MessageV1Of(&errdetails.RetryInfo{
			RetryDelay: durationpb.New(v.RetryAfter)}))
	}
	return newStatus(code, message, max(v.RetryAfter, minPushback), v.MayHaveRun, details...)
}

// mayHaveRunText returns the value of metadataRan for a verdict.
func mayHaveRunText(v *verdict.Verdict) string {
	if v.MayHaveRun {
		return ranUnknown
	}
	return ranNo
}

// FromEngineError returns the status of an engine's ErrorResponse. The statement that failed had no effect,
// but earlier statements of the same text, outside a transaction, may have taken effect.
func FromEngineError(f *pgwire.Fields) *Status {
	message := f.Message
	if f.Detail != "" {
		message += ". " + f.Detail
	}
	if f.Hint != "" {
		message += ". " + f.Hint
	}
	return newStatus(codeOfSQLState(f.Code), message, noRetryPushback, true,
		errorInfo(ReasonEngine, metadata(f.Code, ranUnknown)))
}

// InvalidCall returns the status of a call that cannot be served as requested. Nothing ran.
func InvalidCall(code codes.Code, message string) *Status {
	return newStatus(code, message, noRetryPushback, false,
		errorInfo(ReasonInvalid, map[string]string{metadataRan: ranNo}))
}

// UnknownOutcome returns the status of a call whose statement may have run, and whose result is not known.
func UnknownOutcome(code codes.Code, message string) *Status {
	return newStatus(code, message, noRetryPushback, true,
		errorInfo(ReasonFailed, map[string]string{metadataRan: ranUnknown}))
}

func metadata(code, ran string) map[string]string {
	return map[string]string{metadataSQLState: code, metadataRan: ran}
}

func errorInfo(reason string, metadata map[string]string) protoadapt.MessageV1 {
	return protoadapt.MessageV1Of(&errdetails.ErrorInfo{Reason: reason, Domain: Domain, Metadata: metadata})
}

// newStatus returns a status. Details that cannot be encoded are left out.
func newStatus(code codes.Code, message string, pushback time.Duration, mayHaveRun bool,
	details ...protoadapt.MessageV1) *Status {
	s := status.New(code, message)
	if with, err := s.WithDetails(details...); err == nil {
		s = with
	}
	return &Status{Status: s, Pushback: pushback, MayHaveRun: mayHaveRun}
}

// codesByState maps SQLSTATEs whose code differs from that of their class ("PostgreSQL Error Codes").
var codesByState = map[string]codes.Code{
	sqlstate.QueryCanceled: codes.Canceled,
	"23505":                codes.AlreadyExists, // unique_violation
	"42P04":                codes.AlreadyExists, // duplicate_database
	"42P05":                codes.AlreadyExists, // duplicate_prepared_statement
	"42P06":                codes.AlreadyExists, // duplicate_schema
	"42P07":                codes.AlreadyExists, // duplicate_table
	"42710":                codes.AlreadyExists, // duplicate_object
	"42723":                codes.AlreadyExists, // duplicate_function
	"42P01":                codes.NotFound,      // undefined_table
	"42703":                codes.NotFound,      // undefined_column
	"42704":                codes.NotFound,      // undefined_object
	"42883":                codes.NotFound,      // undefined_function
	"3D000":                codes.NotFound,      // invalid_catalog_name
	"3F000":                codes.NotFound,      // invalid_schema_name
	"26000":                codes.NotFound,      // invalid_sql_statement_name
	"34000":                codes.NotFound,      // invalid_cursor_name
	"42501":                codes.PermissionDenied,
	"25P03":                codes.DeadlineExceeded, // idle_in_transaction_session_timeout
	"57P05":                codes.DeadlineExceeded, // idle_session_timeout
}

// codesByClass maps classes of SQLSTATE, their first two characters; any other class is Unknown.
var codesByClass = map[string]codes.Code{
	"0A": codes.Unimplemented,
	"03": codes.InvalidArgument,
	"22": codes.InvalidArgument,
	"42": codes.InvalidArgument,
	"28": codes.Unauthenticated,
	"23": codes.FailedPrecondition,
	"24": codes.FailedPrecondition,
	"25": codes.FailedPrecondition,
	"27": codes.FailedPrecondition,
	"2B": codes.FailedPrecondition,
	"2D": codes.FailedPrecondition,
	"3B": codes.FailedPrecondition,
	"44": codes.FailedPrecondition,
	"54": codes.FailedPrecondition,
	"55": codes.FailedPrecondition,
	"40": codes.Aborted,
}

// codeOfSQLState returns the gRPC code of a SQLSTATE. It is never UNAVAILABLE, which clients retry, nor
// RESOURCE_EXHAUSTED, which means here that a retry is harmless: an engine's error proves neither.
func codeOfSQLState(state string) codes.Code {
	if code, ok := codesByState[state]; ok {
		return code
	}
	if len(state) >= 2 {
		if code, ok := codesByClass[state[:2]]; ok {
			return code
		}
	}
	return codes.Unknown
}
