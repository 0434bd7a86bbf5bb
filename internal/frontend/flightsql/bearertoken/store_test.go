package bearertoken

import (
	"slices"
	"testing"
	"time"
)

// TestIdleSessionsExpire checks that a session expires once it has been idle for the timeout, but not while a
// call runs, and that a connection-scoped session never expires.
func TestIdleSessionsExpire(t *testing.T) {
	const timeout = time.Minute
	s := New(Limits{IdleTimeout: timeout})
	for _, token := range []string{"idle", "busy", "connection"} {
		if reason, ok := s.Open(0, token, "u", token == "connection"); !ok {
			t.Fatalf("%s: %s", token, reason)
		}
	}
	if s.BeginCall(0, "busy") == nil {
		t.Fatal("a call of an open session is rejected")
	}
	if got := s.Expired(timeout - 1); len(got) != 0 {
		t.Errorf("expired before the timeout: %v", got)
	}
	if got := s.Expired(timeout); !slices.Equal(got, []string{"idle"}) {
		t.Errorf("expired at the timeout: %v, want idle", got)
	}
	if s.BeginCall(timeout, "idle") != nil {
		t.Error("a call of an expired session is accepted")
	}
	s.EndCall(timeout, "busy")
	if s.BeginCall(2*timeout-1, "busy") == nil {
		t.Error("the idle time does not count from the end of the last call")
	}
	s.EndCall(2*timeout-1, "busy")
	if s.BeginCall(3*timeout, "busy") != nil || s.BeginCall(time.Hour, "connection") == nil {
		t.Error("a call of an expired session is accepted, or a connection-scoped session has expired")
	}
	if !s.Close("idle") || s.Close("idle") || s.Len() != 2 {
		t.Errorf("%d sessions after one was closed, want 2", s.Len())
	}
	s.EndCall(time.Hour, "idle") // EndCall after Close has no effect
}

// TestLimits checks the limits on sessions, in total and per user, and that a closed session frees its place.
func TestLimits(t *testing.T) {
	s := New(Limits{MaxSessions: 3, MaxPerUser: 2})
	for _, c := range []struct{ token, user, reason string }{
		{"a", "u", ""},
		{"a", "u", "the token is in use"},
		{"b", "u", ""},
		{"c", "u", `user "u" has 2 sessions, at most 2 may be open`},
		{"d", "v", ""},
		{"e", "v", "3 sessions are open, at most 3 may be"},
	} {
		if reason, ok := s.Open(0, c.token, c.user, false); reason != c.reason || ok != (c.reason == "") {
			t.Errorf("open %s for user %s: reason %q, ok %v, want reason %q", c.token, c.user, reason, ok,
				c.reason)
		}
	}
	s.Close("a")
	if reason, ok := s.Open(0, "c", "u", false); !ok {
		t.Errorf("open after another session was closed: rejected, %s", reason)
	}
}
