package flightsql

import (
	"encoding/base64"
	"errors"
	"io"
	"strings"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"cresspass/internal/dispatch/verdict"
)

// Names of a call's headers and trailers.
const (
	headerAuthorization    = "authorization"
	headerToken            = "auth-token-bin" // session token of clients that use the older handshake
	headerDatabase         = "database"
	headerRetryPushback    = "grpc-retry-pushback-ms"
	headerNotice           = "cresspass-notice"
	headerPreviousAttempts = "grpc-previous-rpc-attempts"
)

// handshake opens a session for a user, who is named by the header "authorization: Basic" or by a BasicAuth
// message as the payload ("Flight RPC", authentication). Passwords are not checked: engines decide what
// the user may do.
func (s *Server) handshake(stream flight.FlightService_HandshakeServer) error {
	md, _ := metadata.FromIncomingContext(stream.Context())
	user, err := handshakeUser(stream, md)
	if err != nil {
		return err
	}
	if s.draining.Load() {
		return verdictError(verdict.ShuttingDown(false))
	}
	sess, err := s.openSession(newRandomID(), user, false)
	if err != nil {
		return err
	}
	if database := md.Get(headerDatabase); len(database) > 0 {
		sess.database = database[0]
	}
	// If the header cannot be sent, the call has ended and Send returns the error.
	_ = stream.SendHeader(metadata.Pairs(headerAuthorization, "Bearer "+sess.token))
	return stream.Send(&flight.HandshakeResponse{Payload: []byte(sess.token)})
}

// handshakeUser returns the user that a handshake names.
func handshakeUser(stream flight.FlightService_HandshakeServer, md metadata.MD) (user string, err error) {
	if h := md.Get(headerAuthorization); len(h) > 0 {
		scheme, rest, _ := strings.Cut(h[0], " ")
		if !strings.EqualFold(scheme, "basic") {
			return "", errNotBasic()
		}
		return basicAuthUser(rest)
	}
	in, err := stream.Recv()
	if errors.Is(err, io.EOF) {
		return "", errNoUser()
	} else if err != nil {
		return "", err
	}
	var auth flight.BasicAuth
	if err := proto.Unmarshal(in.Payload, &auth); err != nil {
		return "", invalidCall(codes.Unauthenticated, "the handshake's payload is no BasicAuth: %v", err)
	}
	if auth.Username == "" {
		return "", errNoUser()
	}
	return auth.Username, nil
}

func errNoUser() error { return invalidCall(codes.Unauthenticated, "the handshake names no user") }

func errNotBasic() error {
	return invalidCall(codes.Unauthenticated, "authorization is not Basic with a user and a password")
}

// credentials returns what a call's headers name: the token of a session, a user, or neither.
func credentials(md metadata.MD) (token, user string, err error) {
	if h := md.Get(headerAuthorization); len(h) > 0 {
		switch scheme, rest, _ := strings.Cut(h[0], " "); {
		case strings.EqualFold(scheme, "bearer"):
			return rest, "", nil
		case strings.EqualFold(scheme, "basic"): // the driver for database/sql sends it with each call
			user, err = basicAuthUser(rest)
			return "", user, err
		}
		return "", "", invalidCall(codes.Unauthenticated, "authorization is neither Bearer nor Basic")
	}
	if h := md.Get(headerToken); len(h) > 0 {
		return h[0], "", nil
	}
	return "", "", nil
}

// basicAuthUser returns the user of a Basic authorization. Go's client omits the base64 padding, Java's does
// not.
func basicAuthUser(encoded string) (string, error) {
	b, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(encoded, "="))
	user, _, _ := strings.Cut(string(b), ":")
	if err != nil || user == "" {
		return "", errNotBasic()
	}
	return user, nil
}
