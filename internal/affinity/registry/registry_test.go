package registry

import (
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/affinity"
	"cresspass/internal/affinity/orphanedsession"
)

// A session that stays sticky is persisted once, gets calls of Expire, counts against the limit, and is
// removed when it is free.
func TestRegistry(t *testing.T) {
	changes := make(chan bool, 4)
	persisted := make(chan bool, 4)
	r := New(Config{
		Limits: affinity.Limits{MaxTotal: 1},
		Changed: func(engine cresspass.EngineID, sticky bool) {
			if engine != "e" {
				t.Errorf("engine %q", engine)
			}
			changes <- sticky
		},
		Persist: func(s *orphanedsession.Session, sticky bool) {
			s.ID = 7
			persisted <- sticky
		},
	})
	defer r.Close()
	expired := make(chan time.Duration, 1)
	entry := &Entry{User: "u", Expire: func(now time.Duration, _ affinity.Limits) {
		select {
		case expired <- now:
		default:
		}
	}}
	session := orphanedsession.Session{Engine: "e"}
	r.Update(entry, true, session)
	r.Update(entry, true, session) // changes nothing
	if _, ok := r.Allow("v"); ok || r.Total() != 1 {
		t.Errorf("another session is allowed, with %d sticky sessions and a limit of 1", r.Total())
	}
	for what, happened := range map[string]func() bool{
		"expire":  func() bool { return <-expired > 0 },
		"persist": func() bool { return <-persisted },
		"change":  func() bool { return <-changes },
	} {
		if !happened() {
			t.Errorf("%s: called for a session that is not sticky", what)
		}
	}
	r.Update(entry, false, orphanedsession.Session{})
	if <-changes || <-persisted || len(changes) > 0 || len(persisted) > 0 {
		t.Error("a session that is free again was not removed exactly once")
	}
	if reason, ok := r.Allow("v"); !ok || r.Total() != 0 {
		t.Errorf("%d sessions are left: %s", r.Total(), reason)
	}
}
