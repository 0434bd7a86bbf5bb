// Package bearertoken decides about sessions behind tokens: who may open one, which token names one that lives,
// and when one has rested for so long that it ends. A session of a connection is one without a handshake; it
// ends with its connection only. It does no I/O and reads no clock; tokens are made by the caller.
package bearertoken

import (
	"fmt"
	"time"
)

// Limits bound the sessions. Zero switches a limit off.
type Limits struct {
	Rest    time.Duration // a session without a call for so long ends
	Most    int           // sessions at a time
	PerUser int           // and of one user
}

// Session is what a token stands for.
type Session struct {
	Token, User string
	OfConn      bool

	calls int
	since time.Duration // of its last call's end
}

// Book holds the sessions. It is for one goroutine at a time.
type Book struct {
	limits Limits
	all    map[string]*Session
	users  map[string]int
}

// New returns an empty book.
func New(l Limits) *Book {
	return &Book{limits: l, all: map[string]*Session{}, users: map[string]int{}}
}

// Set changes the limits. Sessions that are open stay.
func (b *Book) Set(l Limits) { b.limits = l }

// Open opens a session under a token that was never used. It returns why not.
func (b *Book) Open(now time.Duration, token, user string, ofConn bool) (why string, ok bool) {
	switch l := b.limits; {
	case b.all[token] != nil:
		return "the token is in use", false
	case l.Most > 0 && len(b.all) >= l.Most:
		return fmt.Sprintf("%d sessions are open, at most %d may be", len(b.all), l.Most), false
	case l.PerUser > 0 && user != "" && b.users[user] >= l.PerUser:
		return fmt.Sprintf("user %q has %d sessions, at most %d may be open", user, b.users[user], l.PerUser),
			false
	}
	b.all[token] = &Session{Token: token, User: user, OfConn: ofConn, since: now}
	b.users[user]++
	return "", true
}

// Enter begins a call of a session. It returns nil where the token names none that lives: one that is due
// has ended, whether or not Due was asked yet.
func (b *Book) Enter(now time.Duration, token string) *Session {
	s := b.all[token]
	if s == nil || b.due(now, s) {
		return nil
	}
	s.calls++
	return s
}

// Leave ends a call of a session. One that was closed meanwhile is left alone.
func (b *Book) Leave(now time.Duration, token string) {
	if s := b.all[token]; s != nil && s.calls > 0 {
		s.calls--
		s.since = now
	}
}

// Close ends a session. It returns false where there is none.
func (b *Book) Close(token string) bool {
	s := b.all[token]
	if s == nil {
		return false
	}
	delete(b.all, token)
	if b.users[s.User]--; b.users[s.User] <= 0 {
		delete(b.users, s.User)
	}
	return true
}

// Due returns the sessions that have rested for too long. They are still in the book.
func (b *Book) Due(now time.Duration) (tokens []string) {
	for token, s := range b.all {
		if b.due(now, s) {
			tokens = append(tokens, token)
		}
	}
	return tokens
}

func (b *Book) due(now time.Duration, s *Session) bool {
	return b.limits.Rest > 0 && !s.OfConn && s.calls == 0 && now-s.since >= b.limits.Rest
}

// Len is the number of sessions.
func (b *Book) Len() int { return len(b.all) }
