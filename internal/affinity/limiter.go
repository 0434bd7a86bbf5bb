package affinity

import (
	"fmt"
	"time"
)

// Limits bound sticky sessions. Zero switches a limit off.
type Limits struct {
	// IdleInTransaction is how long a transaction may be idle before its session is ended.
	IdleInTransaction time.Duration
	// MaxAge is how long a session may be sticky before it is ended, between statements and outside of
	// transactions.
	MaxAge     time.Duration
	MaxTotal   int // sticky sessions at a time
	MaxPerUser int // and of one user
}

// Limiter counts sticky sessions, so that one too many is rejected before any of its statements ran. It is
// not safe for concurrent use.
type Limiter struct {
	limits Limits
	total  int
	users  map[string]int
}

// NewLimiter returns a limiter that counts no sessions.
func NewLimiter(l Limits) *Limiter { return &Limiter{limits: l, users: map[string]int{}} }

// Allow reports whether one more session of a user may become sticky; the reason, for the client, says why
// not.
func (l *Limiter) Allow(user string) (reason string, ok bool) {
	if most := l.limits.MaxTotal; most > 0 && l.total >= most {
		return fmt.Sprintf("%d sessions are kept on engines, at most %d may be", l.total, most), false
	}
	if most := l.limits.MaxPerUser; most > 0 && l.users[user] >= most {
		return fmt.Sprintf("user %q has %d sessions kept on engines, at most %d may be", user, l.users[user],
			most), false
	}
	return "", true
}

// Add counts a session that has become sticky, until Remove.
func (l *Limiter) Add(user string) {
	l.total++
	l.users[user]++
}

// Remove takes back one Add.
func (l *Limiter) Remove(user string) {
	l.total--
	if l.users[user]--; l.users[user] <= 0 {
		delete(l.users, user)
	}
}

// Total is the number of sticky sessions.
func (l *Limiter) Total() int { return l.total }
