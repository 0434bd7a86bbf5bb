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

	"cresspass/internal/frontend/flightsql/grpcstatus"
)

// flightMethods is the prefix of the methods that have a session; Handshake, which opens one, is excepted.
const (
	flightMethods   = "/arrow.flight.protocol.FlightService/"
	handshakeMethod = flightMethods + "Handshake"
)

// sessionStream is a stream whose context holds its session.
type sessionStream struct {
	grpc.ServerStream
	ctx context.Context
}

func (c *sessionStream) Context() context.Context { return c.ctx }

// streamInterceptor is called around each streaming call.
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
		// Clients that read one result only never see the trailers. Where the header cannot be set the call
		// has ended.
		_ = stream.SetHeader(metadata.Pairs(headerNotice, notice))
	}
	ctx := context.WithValue(stream.Context(), sessionContextKey{}, sess)
	return s.setTrailers(handler(srv, &sessionStream{stream, ctx}), stream.SetTrailer, sess)
}

// unaryInterceptor is called around each other call.
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

// recoverCall ends a call that panicked. Without it, a message that the library does not expect, as a DoPut
// without a descriptor, would end the whole process.
func (s *Server) recoverCall(method string, err *error) {
	if r := recover(); r != nil {
		s.log.Error("call panicked", "method", method, "reason", fmt.Sprint(r),
			"stack", string(debug.Stack()))
		*err = invalidCall(codes.InvalidArgument, "the call is not understood")
	}
}

// setTrailers sets the trailers of a call's end and returns the call's error as a status.
func (s *Server) setTrailers(err error, set func(metadata.MD), sess *session) error {
	var e *callError
	if errors.As(err, &e) {
		if e.Pushback != 0 {
			set(metadata.Pairs(headerPush, e.PushbackText()))
		}
		err = e
	} else if _, ok := status.FromError(err); !ok && err != nil {
		err = &callError{grpcstatus.InvalidCall(codes.Unknown, err.Error())}
	}
	if sess != nil {
		if notice := sess.pendingNotices(); notice != "" {
			set(metadata.Pairs(headerNotice, notice))
		}
	}
	return err
}
