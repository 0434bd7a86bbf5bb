package affinity

import (
	"fmt"
	"time"
)

// Limits bound sticky sessions. Zero disables a limit.
type Limits struct {
	// IdleInTransaction is how long a transaction may be idle before its session is ended.
	IdleInTransaction time.Duration
	// MaxAge is how long a session may be sticky before it is ended. The session is ended only between
	// statements and outside of transactions.
	MaxAge     time.Duration
	MaxTotal   int // sticky sessions of all users at a time
	MaxPerUser int // sticky sessions of one user at a time
}

// Limiter counts sticky sessions, so that a session beyond the limit is rejected before any of its statements
// runs. It is not safe for concurrent use.
type Limiter struct {
	limits Limits
	total  int
	users  map[string]int
}

// NewLimiter returns a limiter that counts no sessions.
func NewLimiter(l Limits) *Limiter { return &Limiter{limits: l, users: map[string]int{}} }

// Allow reports whether one more session of a user may become sticky. If not, reason is the text for the
// client.
func (l *Limiter) Allow(user string) (reason string, ok bool) {
	if limit := l.limits.MaxTotal; limit > 0 && l.total >= limit {
		return fmt.Sprintf("%d sessions are kept on engines, at most %d may be", l.total, limit), false
	}
	if limit := l.limits.MaxPerUser; limit > 0 && l.users[user] >= limit {
		return fmt.Sprintf("user %q has %d sessions kept on engines, at most %d may be", user, l.users[user],
			limit), false
	}
	return "", true
}

// Add counts a session that has become sticky. Remove must be called when the session is no longer sticky.
func (l *Limiter) Add(user string) {
	l.total++
	l.users[user]++
}

// Remove undoes one Add for the same user.
func (l *Limiter) Remove(user string) {
	l.total--
	if l.users[user]--; l.users[user] <= 0 {
		delete(l.users, user)
	}
}

// Total returns the number of sticky sessions.
func (l *Limiter) Total() int { return l.total }
