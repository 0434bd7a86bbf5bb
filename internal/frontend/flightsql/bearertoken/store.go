// Package bearertoken decides about sessions behind tokens: who may open one, which token names one that
// lives, and when one has rested for so long that it ends. A session of a connection is one without a
// handshake; it ends with its connection only. It does no I/O and reads no clock; tokens are made by the
// caller.
package bearertoken

import (
	"fmt"
	"time"
)

// Limits bound the sessions. Zero switches a limit off.
type Limits struct {
	IdleTimeout time.Duration // a session without a call for so long ends
	MaxSessions int           // sessions at a time
	MaxPerUser  int           // and of one user
}

// Session is what a token stands for.
type Session struct {
	Token, User      string
	ConnectionScoped bool

	activeCalls int
	idleSince   time.Duration // of its last call's end
}

// Store holds the sessions. It is for one goroutine at a time.
type Store struct {
	limits         Limits
	sessions       map[string]*Session
	sessionsByUser map[string]int
}

// New returns an empty book.
func New(l Limits) *Store {
	return &Store{limits: l, sessions: map[string]*Session{}, sessionsByUser: map[string]int{}}
}

// SetLimits changes the limits. Sessions that are open stay.
func (b *Store) SetLimits(l Limits) { b.limits = l }

// Open opens a session under a token that was never used. It returns why not.
func (b *Store) Open(now time.Duration, token, user string, connectionScoped bool) (reason string, ok bool) {
	switch l := b.limits; {
	case b.sessions[token] != nil:
		return "the token is in use", false
	case l.MaxSessions > 0 && len(b.sessions) >= l.MaxSessions:
		return fmt.Sprintf("%d sessions are open, at most %d may be", len(b.sessions), l.MaxSessions), false
	case l.MaxPerUser > 0 && user != "" && b.sessionsByUser[user] >= l.MaxPerUser:
		return fmt.Sprintf(
				"user %q has %d sessions, at most %d may be open",
				user,
				b.sessionsByUser[user],
				l.MaxPerUser,
			),
			false
	}
	b.sessions[token] = &Session{Token: token, User: user, ConnectionScoped: connectionScoped, idleSince: now}
	b.sessionsByUser[user]++
	return "", true
}

// BeginCall begins a call of a session. It returns nil where the token names none that lives: one that is due
// has ended, whether or not Due was asked yet.
func (b *Store) BeginCall(now time.Duration, token string) *Session {
	s := b.sessions[token]
	if s == nil || b.expired(now, s) {
		return nil
	}
	s.activeCalls++
	return s
}

// EndCall ends a call of a session. One that was closed meanwhile is left alone.
func (b *Store) EndCall(now time.Duration, token string) {
	if s := b.sessions[token]; s != nil && s.activeCalls > 0 {
		s.activeCalls--
		s.idleSince = now
	}
}

// Close ends a session. It returns false where there is none.
func (b *Store) Close(token string) bool {
	s := b.sessions[token]
	if s == nil {
		return false
	}
	delete(b.sessions, token)
	if b.sessionsByUser[s.User]--; b.sessionsByUser[s.User] <= 0 {
		delete(b.sessionsByUser, s.User)
	}
	return true
}

// Expired returns the sessions that have rested for too long. They are still in the book.
func (b *Store) Expired(now time.Duration) (tokens []string) {
	for token, s := range b.sessions {
		if b.expired(now, s) {
			tokens = append(tokens, token)
		}
	}
	return tokens
}

func (b *Store) expired(now time.Duration, s *Session) bool {
	return b.limits.IdleTimeout > 0 && !s.ConnectionScoped && s.activeCalls == 0 &&
		now-s.idleSince >= b.limits.IdleTimeout
}

// Len is the number of sessions.
func (b *Store) Len() int { return len(b.sessions) }
