package server_test

import (
	"slices"
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
)

// sessionBlindDecider hides sticky sessions from its decider.
type sessionBlindDecider struct{ dispatch.Decider }

// Handle passes on the events without the openings and counts of sticky sessions.
func (d sessionBlindDecider) Handle(now time.Duration, events []cresspass.Event,
	actions []cresspass.Action) []cresspass.Action {
	visible := events[:0]
	for _, ev := range events {
		if ev.OpensSession = false; ev.Type != cresspass.SessionCountChanged {
			visible = append(visible, ev)
		}
	}
	return d.Decider.Handle(now, visible, actions)
}

// TestStickySessionsAreBalanced restarts a third of the engines; their clients and new ones open sessions
// again. It checks that the sessions are balanced, as the module counts idle sessions. Without the counts
// they would accumulate on engines where no query runs.
func TestStickySessionsAreBalanced(t *testing.T) {
	sessionRange := func(reportSessions bool) (maxSessions, minSessions int) {
		r := startEngines(t, 6)
		newDecider := func(m cresspass.Config) (dispatch.Decider, error) {
			g, err := cresspass.New(m)
			if reportSessions || err != nil {
				return g, err
			}
			return sessionBlindDecider{g}, nil
		}
		s, err := r.StartDispatcherWith(baseSettings, nil, newDecider)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		open := map[*wireClient]bool{}
		openSession := func() {
			c := dialServer(t, s)
			if seen := c.query("create temp table tmp_level (a int)"); countPrefix(seen, "E") == 0 {
				open[c] = true
			}
		}
		for range 120 {
			openSession()
		}
		for i := range 2 {
			r.Engines[i].Crash()
			if err := r.Engines[i].Restart(); err != nil {
				t.Fatal(err)
			}
		}
		r.Publish()
		time.Sleep(300 * time.Millisecond) // until the clients of the lost sessions have got an error
		lost := 0
		for c := range open {
			c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := c.conn.Read(make([]byte, 1)); err == nil {
				lost++
				c.conn.Close()
				delete(open, c)
			}
			c.conn.SetReadDeadline(time.Time{})
		}
		for range lost + 60 {
			openSession()
		}
		var all []int
		for _, e := range r.Engines {
			all = append(all, e.Sessions())
		}
		maxSessions, minSessions = slices.Max(all), slices.Min(all)
		t.Logf("sessions reported: %v; %d lost; sessions on engines %v", reportSessions, lost, all)
		return maxSessions, minSessions
	}
	maxSessions, minSessions := sessionRange(true)
	if maxSessions > 2*minSessions || minSessions == 0 {
		t.Errorf("%d to %d sessions on an engine, want at most twice the minimum", minSessions, maxSessions)
	}
	sessionRange(false) // logs the sessions without the counts, for comparison
}
