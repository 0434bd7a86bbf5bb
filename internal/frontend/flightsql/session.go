package flightsql

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"

	"github.com/apache/arrow-go/v18/arrow/flight"
	pb "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend/flightsql/grpcstatus"
)

// session is what a token, or a connection without one, stands for.
type session struct {
	server       *Server
	token, user  string
	admitted     bool
	defaultScope *scope

	mu                    sync.Mutex
	database, application string
	options               map[string]string
	transactions          map[string]*scope // transactions, those that have ended too
	transactionOrder      []string          // of tracks
	savepoints            map[string]savepoint
	prepared              map[string]*preparedStatement
}

type savepoint struct{ transaction, name string }

type sessionContextKey struct{}

// sessionOf is the session of a call.
func sessionOf(ctx context.Context) *session { return ctx.Value(sessionContextKey{}).(*session) }

// Headers of a call.
const (
	headerAuth   = "authorization"
	headerToken  = "auth-token-bin" // the token of the older handshake
	headerPush   = "grpc-retry-pushback-ms"
	headerNotice = "cresspass-notice"
)

// handshake opens a session for a user: by the header "authorization: Basic", or by a BasicAuth message as
// its payload ("Flight RPC", authentication). Passwords are not looked at; engines decide what may be done.
func (s *Server) handshake(stream flight.FlightService_HandshakeServer) error {
	user, database := "", ""
	md, _ := metadata.FromIncomingContext(stream.Context())
	if h := md.Get(headerAuth); len(h) > 0 {
		scheme, rest, _ := strings.Cut(h[0], " ")
		if !strings.EqualFold(scheme, "basic") {
			return invalidCall(codes.Unauthenticated, "authorization is not Basic with a user and a password")
		}
		var err error
		if user, err = basicAuthUser(rest); err != nil {
			return err
		}
	} else {
		in, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return invalidCall(codes.Unauthenticated, "the handshake names no user")
		} else if err != nil {
			return err
		}
		var basic flight.BasicAuth
		if err := proto.Unmarshal(in.Payload, &basic); err != nil {
			return invalidCall(codes.Unauthenticated, "the handshake's payload is no BasicAuth: %v", err)
		}
		user = basic.Username
	}
	if user == "" {
		return invalidCall(codes.Unauthenticated, "the handshake names no user")
	}
	if d := md.Get("database"); len(d) > 0 {
		database = d[0]
	}
	if s.draining.Load() {
		return verdictError(verdict.ShuttingDown(false))
	}
	v, err := s.openSession(randomName(), user, false)
	if err != nil {
		return err
	}
	v.database = database
	stream.SendHeader(metadata.Pairs(headerAuth, "Bearer "+v.token))
	return stream.Send(&flight.HandshakeResponse{Payload: []byte(v.token)})
}

// basicAuthUser is the user of a Basic authorization. Go's client leaves the padding away, Java's does not.
func basicAuthUser(v string) (string, error) {
	b, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(v, "="))
	user, _, _ := strings.Cut(string(b), ":")
	if err != nil || user == "" {
		return "", invalidCall(codes.Unauthenticated, "authorization is not Basic with a user and a password")
	}
	return user, nil
}

// openSession opens a session.
func (s *Server) openSession(token, user string, ofConn bool) (*session, error) {
	v := &session{
		server:       s,
		token:        token,
		user:         user,
		options:      map[string]string{},
		transactions: map[string]*scope{},
		savepoints:   map[string]savepoint{},
		prepared:     map[string]*preparedStatement{},
	}
	if s.cfg.AdmitUser != nil {
		why, ok := s.cfg.AdmitUser(user)
		if !ok {
			return nil, verdictError(verdict.RejectOverLimit("too many clients: " + why))
		}
		v.admitted = true
	}
	v.defaultScope = newScope(v, "", nil)
	s.mu.Lock()
	why, ok := s.sessionStore.Open(s.now(), token, user, ofConn)
	if ok {
		s.sessions[token] = v
	}
	s.mu.Unlock()
	if !ok {
		if v.admitted {
			s.cfg.ReleaseUser(user)
		}
		return nil, verdictError(verdict.RejectOverLimit(why))
	}
	return v, nil
}

// maxEndReasons is how many ended sessions the reason is remembered of.
const maxEndReasons = 1000

// endSession ends a session with all that it holds.
func (s *Server) endSession(token, why string) {
	s.mu.Lock()
	v := s.sessions[token]
	if v == nil {
		s.mu.Unlock()
		return
	}
	delete(s.sessions, token)
	s.sessionStore.Close(token)
	s.endReasons[token] = why
	if s.endOrder = append(s.endOrder, token); len(s.endOrder) > maxEndReasons {
		delete(s.endReasons, s.endOrder[0])
		s.endOrder = s.endOrder[1:]
	}
	s.mu.Unlock()
	for _, t := range v.scopes() {
		t.terminate(&verdict.Verdict{Kind: verdict.Cancelled, Code: "57P01", Message: why,
			Detail: "What was not committed was rolled back."})
	}
	if v.admitted {
		s.cfg.ReleaseUser(v.user)
	}
}

// scopes are the session's own and its transactions.
func (v *session) scopes() []*scope {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := []*scope{v.defaultScope}
	for _, t := range v.transactions {
		all = append(all, t)
	}
	return all
}

// isSticky reports whether the session or a transaction of its is kept on an engine.
func (v *session) isSticky() bool {
	for _, t := range v.scopes() {
		if t.isSticky() {
			return true
		}
	}
	return false
}

// scopeFor is the lane that a transaction id names; none: the session's own.
func (v *session) scopeFor(id []byte) (*scope, error) {
	if len(id) == 0 {
		return v.defaultScope, nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.transactions[string(id)]; t != nil {
		return t, nil
	}
	return nil, invalidCall(codes.NotFound, "the session has no transaction of this id")
}

// beginCall finds the session of a call, or opens that of its connection.
func (s *Server) beginCall(ctx context.Context) (*session, error) {
	c, _ := ctx.Value(connContextKey{}).(*clientConn)
	token, user := "", ""
	if md, ok := metadata.FromIncomingContext(ctx); ok {
		if h := md.Get(headerAuth); len(h) > 0 {
			switch scheme, rest, _ := strings.Cut(h[0], " "); {
			case strings.EqualFold(scheme, "bearer"):
				token = rest
			case strings.EqualFold(scheme, "basic"): // the driver for database/sql says so with each call
				var err error
				if user, err = basicAuthUser(rest); err != nil {
					return nil, err
				}
			default:
				return nil, invalidCall(codes.Unauthenticated, "authorization is neither Bearer nor Basic")
			}
		} else if h := md.Get(headerToken); len(h) > 0 {
			token = h[0]
		}
	}
	s.mu.Lock()
	if token == "" && c != nil {
		if token = c.token; user != "" {
			token += "/" + user
		}
		if s.sessions[token] == nil && s.endReasons[token] == "" {
			if user != "" {
				c.basicTokens = append(c.basicTokens, token)
			}
			s.mu.Unlock()
			// Two first calls at once may both come here; the second finds the first's session.
			if _, err := s.openSession(token, user, true); err != nil && !s.sessionExists(token) {
				return nil, err
			}
			s.mu.Lock()
			if _, here := s.clientConns[c]; !here { // Danger: its connection went meanwhile; nobody would end it
				s.mu.Unlock()
				s.endSession(token, "its connection is gone")
				s.mu.Lock()
			}
		}
	}
	if s.sessionStore.BeginCall(s.now(), token) == nil {
		due := s.sessions[token] != nil // the sweep has not come to it yet
		s.mu.Unlock()
		if due {
			s.endSession(token, idleTooLong)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if why := s.endReasons[token]; why != "" {
			return nil, invalidCall(codes.Unauthenticated, "the session has ended: %s", why)
		}
		return nil, invalidCall(codes.Unauthenticated, "the token names no session: a handshake gives one")
	}
	defer s.mu.Unlock()
	return s.sessions[token], nil
}

func (s *Server) sessionExists(token string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessions[token] != nil
}

func (s *Server) endCall(v *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessionStore.EndCall(s.now(), v.token)
}

type sessionStream struct {
	grpc.ServerStream
	ctx context.Context
}

func (c *sessionStream) Context() context.Context { return c.ctx }

// flightMethods is what calls with a session begin with.
const flightMethods = "/arrow.flight.protocol.FlightService/"

// streamInterceptor is around each streaming call.
func (s *Server) streamInterceptor(srv any, st grpc.ServerStream, info *grpc.StreamServerInfo,
	handler grpc.StreamHandler) (err error) {
	defer s.recoverCall(info.FullMethod, &err)
	if !strings.HasPrefix(info.FullMethod, flightMethods) || strings.HasSuffix(info.FullMethod,
		"/Handshake") {
		return s.setTrailers(handler(srv, st), st.SetTrailer, nil)
	}
	v, err := s.beginCall(st.Context())
	if err != nil {
		return s.setTrailers(err, st.SetTrailer, nil)
	}
	defer s.endCall(v)
	if notice := v.pendingNotices(); notice != "" { // clients that want one result only never see the trailers
		st.SetHeader(metadata.Pairs(headerNotice, notice))
	}
	return s.setTrailers(
		handler(srv, &sessionStream{st, context.WithValue(st.Context(), sessionContextKey{}, v)}),
		st.SetTrailer,
		v,
	)
}

// unaryInterceptor is around each other call.
func (s *Server) unaryInterceptor(ctx context.Context, req any, info *grpc.UnaryServerInfo,
	handler grpc.UnaryHandler) (resp any, err error) {
	defer s.recoverCall(info.FullMethod, &err)
	set := func(md metadata.MD) { grpc.SetTrailer(ctx, md) }
	if !strings.HasPrefix(info.FullMethod, flightMethods) {
		return handler(ctx, req)
	}
	v, err := s.beginCall(ctx)
	if err != nil {
		return nil, s.setTrailers(err, set, nil)
	}
	defer s.endCall(v)
	if notice := v.pendingNotices(); notice != "" {
		grpc.SetHeader(ctx, metadata.Pairs(headerNotice, notice))
	}
	resp, err = handler(context.WithValue(ctx, sessionContextKey{}, v), req)
	return resp, s.setTrailers(err, set, v)
}

// recoverCall ends a call that panicked. Danger: a message that the library does not expect, as a DoPut
// without a descriptor, would end the whole process.
func (s *Server) recoverCall(method string, err *error) {
	if r := recover(); r != nil {
		s.log.Error("call panicked", "method", method, "reason", fmt.Sprint(r),
			slog.String("stack", string(debug.Stack())))
		*err = invalidCall(codes.InvalidArgument, "the call is not understood")
	}
}

// setTrailers sets the trailers of a call's end.
func (s *Server) setTrailers(err error, set func(metadata.MD), v *session) error {
	var e *callError
	if errors.As(err, &e) {
		if e.Pushback != 0 {
			set(metadata.Pairs(headerPush, e.PushbackText()))
		}
		err = e
	} else if _, ok := status.FromError(err); !ok && err != nil {
		err = &callError{grpcstatus.InvalidCall(codes.Unknown, err.Error())}
	}
	if v != nil {
		if notice := v.pendingNotices(); notice != "" {
			set(metadata.Pairs(headerNotice, notice))
		}
	}
	return err
}

// pendingNotices are what the session's lanes have to tell.
func (v *session) pendingNotices() string {
	var out []string
	for _, t := range v.scopes() {
		t.mu.Lock()
		if t.notice != "" && t.endVerdict == nil {
			out = append(out, t.notice)
		}
		t.mu.Unlock()
	}
	return strings.Join(out, "; ")
}

// Options of a session besides the engine's settings.
const (
	optionCatalog     = "catalog"
	optionSchema      = "schema"
	optionApplication = "application_name"
)

// SetSessionOptions sets what is replayed on whatever engine connection runs the session's statements.
func (s *Server) SetSessionOptions(ctx context.Context,
	req *flight.SetSessionOptionsRequest) (*flight.SetSessionOptionsResult, error) {
	v := sessionOf(ctx)
	res := &flight.SetSessionOptionsResult{Errors: map[string]*flight.SetSessionOptionsResultError{}}
	for key, value := range req.GetSessionOptions() {
		text, ok := optionText(value)
		if !ok {
			res.Errors[key] = &flight.SetSessionOptionsResultError{
				Value: flight.SetSessionOptionsResultErrorInvalidValue}
			continue
		}
		if !v.setOption(key, text) {
			res.Errors[key] = &flight.SetSessionOptionsResultError{
				Value: flight.SetSessionOptionsResultErrorInvalidName}
		}
	}
	return res, nil
}

// setOption sets an option; text "" is back to the default. It returns false where there is none of the name.
func (v *session) setOption(key, text string) bool {
	setting := strings.ToLower(key)
	if setting == optionSchema {
		setting = "search_path"
	}
	replayed := sessionparams.Replayed(setting)
	if !replayed && setting != optionCatalog && setting != optionApplication {
		return false
	}
	v.mu.Lock()
	switch setting {
	case optionCatalog:
		v.database = text
	case optionApplication:
		v.application = text
	}
	if v.options[key] = text; text == "" {
		delete(v.options, key)
	}
	v.mu.Unlock()
	if replayed {
		v.defaultScope.mu.Lock()
		if text == "" {
			v.defaultScope.affinity.Params.ResetSetting(setting)
		} else {
			v.defaultScope.affinity.Params.ChangeSetting(setting, text)
		}
		v.defaultScope.mu.Unlock()
	}
	return true
}

func optionText(o *flight.SessionOptionValue) (string, bool) {
	switch x := o.GetOptionValue().(type) {
	case nil:
		return "", true
	case *pb.SessionOptionValue_StringValue:
		return x.StringValue, true
	case *pb.SessionOptionValue_BoolValue:
		if x.BoolValue {
			return "on", true
		}
		return "off", true
	case *pb.SessionOptionValue_Int64Value:
		return strconv.FormatInt(x.Int64Value, 10), true
	case *pb.SessionOptionValue_DoubleValue:
		return strconv.FormatFloat(x.DoubleValue, 'g', -1, 64), true
	case *pb.SessionOptionValue_StringListValue_:
		return strings.Join(x.StringListValue.GetValues(), ", "), true
	}
	return "", false
}

// GetSessionOptions returns what was set.
func (s *Server) GetSessionOptions(ctx context.Context,
	_ *flight.GetSessionOptionsRequest) (*flight.GetSessionOptionsResult, error) {
	v := sessionOf(ctx)
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]*flight.SessionOptionValue{}
	for key, text := range maps.All(v.options) {
		o, err := flight.NewSessionOptionValue(text)
		if err != nil {
			return nil, err
		}
		out[key] = &o
	}
	return &flight.GetSessionOptionsResult{SessionOptions: out}, nil
}

// CloseSession ends the session. Its open transactions are rolled back.
func (s *Server) CloseSession(ctx context.Context,
	_ *flight.CloseSessionRequest) (*flight.CloseSessionResult, error) {
	s.endSession(sessionOf(ctx).token, "its client closed it")
	return &flight.CloseSessionResult{Status: flight.CloseSessionResultClosed}, nil
}
