package flightsql

import (
	"context"
	"strings"
	"sync"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"

	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/protocol/sqlstate"
)

// Prefixes of tokens, ids and handles.
const (
	connTokenPrefix   = "conn-" // token of a connection's session; clients never see it
	transactionPrefix = "tx-"
	savepointPrefix   = "sp-"
	statementPrefix   = "ps-"
)

// maxEndReasons is the number of ended sessions for which the reason of the end is remembered.
const maxEndReasons = 1000

// session is the state behind a bearer token, or behind a connection whose calls bring no token.
type session struct {
	server       *Server
	token, user  string
	admitted     bool   // by AdmitUser: ReleaseUser must follow
	defaultScope *scope // of statements outside transactions

	mu                    sync.Mutex
	database, application string
	options               map[string]string
	transactions          map[string]*scope // by id; also recently ended ones
	transactionOrder      []string          // the ids of transactions, oldest first
	savepoints            map[string]savepoint
	prepared              map[string]*preparedStatement // by handle
}

// savepoint is a savepoint's name and the id of its transaction.
type savepoint struct{ transaction, name string }

type sessionContextKey struct{}

// sessionOf returns the session of a call.
func sessionOf(ctx context.Context) *session { return ctx.Value(sessionContextKey{}).(*session) }

// openSession opens a session for a user. A connectionScoped session does not expire; it ends with its
// connection.
func (s *Server) openSession(token, user string, connectionScoped bool) (*session, error) {
	sess := &session{server: s, token: token, user: user, options: map[string]string{},
		transactions: map[string]*scope{}, savepoints: map[string]savepoint{},
		prepared: map[string]*preparedStatement{}}
	if s.cfg.AdmitUser != nil {
		reason, ok := s.cfg.AdmitUser(user)
		if !ok {
			return nil, verdictError(verdict.RejectOverLimit("too many clients: " + reason))
		}
		sess.admitted = true
	}
	sess.defaultScope = newScope(sess, "", nil)
	s.mu.Lock()
	reason, ok := s.sessionStore.Open(s.now(), token, user, connectionScoped)
	if ok {
		s.sessions[token] = sess
	}
	s.mu.Unlock()
	if !ok {
		if sess.admitted {
			s.cfg.ReleaseUser(user)
		}
		return nil, verdictError(verdict.RejectOverLimit(reason))
	}
	return sess, nil
}

// endSession ends a session and its scopes; it does nothing if the session has already ended.
func (s *Server) endSession(token, reason string) {
	s.mu.Lock()
	sess := s.sessions[token]
	if sess == nil {
		s.mu.Unlock()
		return
	}
	delete(s.sessions, token)
	s.sessionStore.Close(token)
	s.rememberEnd(token, reason)
	s.mu.Unlock()
	for _, sc := range sess.scopes() {
		sc.terminate(&verdict.Verdict{Kind: verdict.Cancelled, Code: sqlstate.AdminShutdown, Message: reason,
			Detail: "What was not committed was rolled back."})
	}
	if sess.admitted {
		s.cfg.ReleaseUser(sess.user)
	}
}

// rememberEnd remembers why a session ended. The caller holds the server's lock.
func (s *Server) rememberEnd(token, reason string) {
	s.endReasons[token] = reason
	s.endOrder = append(s.endOrder, token)
	if len(s.endOrder) > maxEndReasons {
		delete(s.endReasons, s.endOrder[0])
		s.endOrder = s.endOrder[1:]
	}
}

func (s *Server) sessionExists(token string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessions[token] != nil
}

// scopes returns the session's default scope and those of its transactions.
func (sess *session) scopes() []*scope {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	scopes := []*scope{sess.defaultScope}
	for _, sc := range sess.transactions {
		scopes = append(scopes, sc)
	}
	return scopes
}

// isSticky reports whether one of the session's scopes is sticky.
func (sess *session) isSticky() bool {
	for _, sc := range sess.scopes() {
		if sc.isSticky() {
			return true
		}
	}
	return false
}

// scopeFor returns the scope of a transaction, or without an id the session's default scope.
func (sess *session) scopeFor(transactionID []byte) (*scope, error) {
	if len(transactionID) == 0 {
		return sess.defaultScope, nil
	}
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if sc := sess.transactions[string(transactionID)]; sc != nil {
		return sc, nil
	}
	return nil, invalidCall(codes.NotFound, "the session has no transaction of this id")
}

// pendingNotices returns the notices for the session's client, separated by semicolons.
func (sess *session) pendingNotices() string {
	var notices []string
	for _, sc := range sess.scopes() {
		sc.mu.Lock()
		if sc.notice != "" && sc.endVerdict == nil {
			notices = append(notices, sc.notice)
		}
		sc.mu.Unlock()
	}
	return strings.Join(notices, "; ")
}

// beginCall returns the session of a call: that of its token, or that of its connection, which is opened at
// the connection's first call. endCall must follow if the error is nil.
func (s *Server) beginCall(ctx context.Context) (*session, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	token, user, err := credentials(md)
	if err != nil {
		return nil, err
	}
	c, _ := ctx.Value(connContextKey{}).(*clientConn)
	if token == "" && c != nil {
		if token, err = s.connSession(c, user); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	if s.sessionStore.BeginCall(s.now(), token) != nil {
		defer s.mu.Unlock()
		return s.sessions[token], nil
	}
	expired := s.sessions[token] != nil // expireSessions has not ended it yet
	s.mu.Unlock()
	if expired {
		s.endSession(token, idleTimeoutReached)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.endReasons[token]; reason != "" {
		return nil, invalidCall(codes.Unauthenticated, "the session has ended: %s", reason)
	}
	return nil, invalidCall(codes.Unauthenticated, "the token names no session: a handshake gives one")
}

// connSession returns the token of a connection's session, and opens the session if there is none yet. Calls
// with Basic authorization have a session for each user of the connection.
func (s *Server) connSession(c *clientConn, user string) (token string, err error) {
	token = c.token
	if user != "" {
		token += "/" + user
	}
	s.mu.Lock()
	known := s.sessions[token] != nil || s.endReasons[token] != ""
	if !known && user != "" {
		c.basicTokens = append(c.basicTokens, token)
	}
	s.mu.Unlock()
	if known {
		return token, nil
	}
	// Two concurrent first calls may both get here; the second then uses the session of the first.
	if _, err := s.openSession(token, user, true); err != nil && !s.sessionExists(token) {
		return "", err
	}
	s.mu.Lock()
	_, open := s.clientConns[c]
	s.mu.Unlock()
	if !open { // the connection closed meanwhile, and HandleConn may not have seen the session
		s.endSession(token, connectionClosed)
	}
	return token, nil
}

// endCall ends a call of a session.
func (s *Server) endCall(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessionStore.EndCall(s.now(), sess.token)
}

// CloseSession ends the session. Its open transactions are rolled back.
func (s *Server) CloseSession(ctx context.Context,
	_ *flight.CloseSessionRequest) (*flight.CloseSessionResult, error) {
	s.endSession(sessionOf(ctx).token, closedByClient)
	return &flight.CloseSessionResult{Status: flight.CloseSessionResultClosed}, nil
}
