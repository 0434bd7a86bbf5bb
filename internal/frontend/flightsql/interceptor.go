package flightsql

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// flightMethods is the prefix of the methods that have a session, except Handshake, which opens one.
const (
	flightMethods   = "/arrow.flight.protocol.FlightService/"
	handshakeMethod = flightMethods + "Handshake"
)

// sessionStream is a stream whose context holds the session of its call.
type sessionStream struct {
	grpc.ServerStream
	ctx context.Context
}

func (c *sessionStream) Context() context.Context { return c.ctx }

// streamInterceptor wraps each streaming call: it finds the session, recovers from panics, and sends notices
// and trailers.
func (s *Server) streamInterceptor(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo,
	handler grpc.StreamHandler) (err error) {
	defer s.recoverCall(info.FullMethod, &err)
	if !strings.HasPrefix(info.FullMethod, flightMethods) || info.FullMethod == handshakeMethod {
		return s.setTrailers(handler(srv, stream), stream.SetTrailer, nil)
	}
	sess, err := s.beginCall(stream.Context())
	if err != nil {
		return s.setTrailers(err, stream.SetTrailer, nil)
	}
	defer s.endCall(sess)
	if notice := sess.pendingNotices(); notice != "" {
		// Clients that read only one result never see the trailers. If the header cannot be set, the call has
		// ended.
		_ = stream.SetHeader(metadata.Pairs(headerNotice, notice))
	}
	ctx := context.WithValue(stream.Context(), sessionContextKey{}, sess)
	return s.setTrailers(handler(srv, &sessionStream{stream, ctx}), stream.SetTrailer, sess)
}

// unaryInterceptor is streamInterceptor for unary calls.
func (s *Server) unaryInterceptor(ctx context.Context, req any, info *grpc.UnaryServerInfo,
	handler grpc.UnaryHandler) (resp any, err error) {
	defer s.recoverCall(info.FullMethod, &err)
	if !strings.HasPrefix(info.FullMethod, flightMethods) {
		return handler(ctx, req)
	}
	// A header or trailer that cannot be set belongs to a call that has ended.
	setTrailer := func(md metadata.MD) { _ = grpc.SetTrailer(ctx, md) }
	sess, err := s.beginCall(ctx)
	if err != nil {
		return nil, s.setTrailers(err, setTrailer, nil)
	}
	defer s.endCall(sess)
	if notice := sess.pendingNotices(); notice != "" {
		_ = grpc.SetHeader(ctx, metadata.Pairs(headerNotice, notice))
	}
	resp, err = handler(context.WithValue(ctx, sessionContextKey{}, sess), req)
	return resp, s.setTrailers(err, setTrailer, sess)
}

// recoverCall turns a call's panic into an error of the call. Without it, a message that the Flight library
// does not expect, such as a DoPut without a descriptor, would end the whole process.
func (s *Server) recoverCall(method string, err *error) {
	if r := recover(); r != nil {
		s.log.Error("call panicked", "method", method, "reason", fmt.Sprint(r),
			"stack", string(debug.Stack()))
		*err = unknownOutcome(codes.InvalidArgument, "the call is not understood")
	}
}

// setTrailers sets the trailers at the end of a call and returns the call's error as a gRPC status.
func (s *Server) setTrailers(err error, set func(metadata.MD), sess *session) error {
	var e *callError
	if errors.As(err, &e) {
		if e.Pushback != 0 {
			set(metadata.Pairs(headerRetryPushback, e.PushbackText()))
		}
		err = e
	} else if _, ok := status.FromError(err); !ok && err != nil {
		err = unknownOutcome(codes.Unknown, "%v", err) // of unknown origin: the statement may have run
	}
	if sess != nil {
		if notice := sess.pendingNotices(); notice != "" {
			set(metadata.Pairs(headerNotice, notice))
		}
	}
	return err
}
