// Package bearertoken manages the sessions behind bearer tokens. It decides who may open a session, which
// token belongs to an open session, and when an idle session expires. A connection-scoped session is one that
// was opened without a handshake; it does not expire, but ends with its connection. The package does no I/O
// and reads no clock; the caller makes the tokens.
package bearertoken

import (
	"fmt"
	"time"
)

// Limits limits the sessions of a Store. Zero switches a limit off.
type Limits struct {
	IdleTimeout time.Duration // a session without a call for this long expires
	MaxSessions int           // open at a time
	MaxPerUser  int           // open at a time for one user
}

// Session is the session behind a token.
type Session struct {
	Token, User      string
	ConnectionScoped bool // it does not expire, but ends with its connection

	activeCalls int
	idleSince   time.Duration
}

// Store holds the open sessions. It is not safe for concurrent use.
type Store struct {
	limits         Limits
	sessions       map[string]*Session // by token
	sessionsByUser map[string]int
}

// New returns an empty store.
func New(l Limits) *Store {
	return &Store{limits: l, sessions: map[string]*Session{}, sessionsByUser: map[string]int{}}
}

// Open opens a session under a new token. If it may not be opened, ok is false and reason explains why.
func (s *Store) Open(now time.Duration, token, user string, connectionScoped bool) (reason string, ok bool) {
	count, limit := s.sessionsByUser[user], s.limits.MaxPerUser
	switch {
	case s.sessions[token] != nil:
		return "the token is in use", false
	case s.limits.MaxSessions > 0 && len(s.sessions) >= s.limits.MaxSessions:
		return fmt.Sprintf("%d sessions are open, at most %d may be", len(s.sessions), s.limits.MaxSessions),
			false
	case limit > 0 && user != "" && count >= limit:
		return fmt.Sprintf("user %q has %d sessions, at most %d may be open", user, count, limit), false
	}
	s.sessions[token] = &Session{Token: token, User: user, ConnectionScoped: connectionScoped, idleSince: now}
	s.sessionsByUser[user]++
	return "", true
}

// BeginCall begins a call of a session. It returns nil if the token belongs to no open session, or to one
// that has expired, whether or not Expired has returned it. EndCall must follow each call that has begun.
func (s *Store) BeginCall(now time.Duration, token string) *Session {
	session := s.sessions[token]
	if session == nil || s.expired(now, session) {
		return nil
	}
	session.activeCalls++
	return session
}

// EndCall ends a call of a session. It does nothing if the session was closed meanwhile.
func (s *Store) EndCall(now time.Duration, token string) {
	if session := s.sessions[token]; session != nil && session.activeCalls > 0 {
		session.activeCalls--
		session.idleSince = now
	}
}

// Close ends a session. It returns false if the token has none.
func (s *Store) Close(token string) bool {
	session := s.sessions[token]
	if session == nil {
		return false
	}
	delete(s.sessions, token)
	if s.sessionsByUser[session.User]--; s.sessionsByUser[session.User] <= 0 {
		delete(s.sessionsByUser, session.User)
	}
	return true
}

// Expired returns the tokens of sessions that have been idle for too long. The sessions stay in the store
// until they are closed.
func (s *Store) Expired(now time.Duration) (tokens []string) {
	for token, session := range s.sessions {
		if s.expired(now, session) {
			tokens = append(tokens, token)
		}
	}
	return tokens
}

func (s *Store) expired(now time.Duration, session *Session) bool {
	timeout := s.limits.IdleTimeout
	return timeout > 0 && !session.ConnectionScoped && session.activeCalls == 0 &&
		now-session.idleSince >= timeout
}

// Len returns the number of sessions.
func (s *Store) Len() int { return len(s.sessions) }
