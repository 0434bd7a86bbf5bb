package sse

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/discovery/starttime"
)

func event(id int, full bool, servers string) string {
	return fmt.Sprintf("id: %d\ndata: {\"rev\":%d,\"pool\":{\"version\":1,\"full\":%v,\"servers\":[%s]}}\n\n",
		id, id, full, servers)
}

func server(id, state string, started int64) string {
	return fmt.Sprintf(`{"id":%q,"addr":"10.0.0.1:1","zone":"z","kind":"k","state":%q,"weight":4,`+
		`"started_ms":%d}`, id, state, started)
}

// newFollower returns a Follower whose clock is at 50 ms, with the wall clock 50 ms after the Unix epoch.
func newFollower() *Follower {
	const now = 50 * time.Millisecond
	clock := starttime.New(starttime.RecentStarts, time.UnixMilli(50), now)
	return NewFollower(func() time.Duration { return now }, clock)
}

// TestClockSecondsAhead checks that a wall clock that is seconds ahead when the dispatcher starts does not
// make a compute node look older if its start is reported soon after it happens.
func TestClockSecondsAhead(t *testing.T) {
	const ahead, zero, delay = 5 * time.Second, time.Hour, 300 * time.Millisecond
	truth := time.UnixMilli(1_000_000_000)
	now := zero
	clock := starttime.New(starttime.RecentStarts, truth.Add(ahead), zero)
	f := NewFollower(func() time.Duration { return now }, clock)
	for i, at := range []time.Duration{10 * time.Second, 20 * time.Second} {
		now = zero + at + delay
		var p Parser
		started := truth.Add(at).UnixMilli()
		stream := event(i+1, false, server(fmt.Sprint("n", i), "up", started))
		if err := p.Feed([]byte(stream), func(ev Event) {
			list, _, err := f.Apply(ev)
			if err != nil {
				t.Fatal(err)
			}
			if age := now - list.Engines[0].StartedAt; age > delay+time.Second {
				t.Errorf("a node that started %v ago has the age %v", delay, age)
			}
		}); err != nil {
			t.Fatal(err)
		}
	}
}

// FuzzFollower checks that reading arbitrary bytes from a discovery service ends without a panic, that the
// last revision never goes back, and that it changes only when an event was applied.
func FuzzFollower(f *testing.F) {
	f.Add([]byte(event(1, true, server("a", "up", 0)) + event(2, false, server("a", "removed", 5))))
	f.Add([]byte("id: 7\ndata: {\"rev\":7}\n\nid: 8\ndata\n\n:\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var p Parser
		follower := newFollower()
		err := p.Feed(b, func(ev Event) {
			last := follower.LastRevision()
			_, result, err := follower.Apply(ev)
			applied := err == nil && result == Applied
			if now := follower.LastRevision(); now < last || !applied && now != last {
				t.Errorf("last revision went from %d to %d, result %v, error %v", last, now, result, err)
			}
		})
		if err != nil && !errors.Is(err, ErrEventTooLong) {
			t.Error(err)
		}
	})
}

// TestFollower checks that an event that was applied before is ignored, that a gap and an event that cannot
// be decoded change nothing, that a removed compute node has no address, and that start times are on the
// module's clock.
func TestFollower(t *testing.T) {
	f := newFollower()
	apply := func(stream string) (cresspass.Event, ApplyResult, error) {
		var p Parser
		var ev Event
		if err := p.Feed([]byte(stream), func(e Event) { ev = e }); err != nil {
			t.Fatal(err)
		}
		return f.Apply(ev)
	}
	list, result, err := apply(event(3, true, server("a", "up", 0)+","+server("b", "up", 50)))
	if err != nil || result != Applied || list.ListType != cresspass.ListComplete || len(list.Engines) != 2 ||
		list.Engines[1].StartedAt != 50*time.Millisecond || list.Engines[0].StartedAt != 0 {
		t.Fatalf("first full list: %+v, result %v, error %v", list, result, err)
	}
	_, result, err = apply(event(3, false, server("b", "removed", 0)))
	if result != Duplicate || err != nil || f.Addr("b") == "" {
		t.Errorf("event reported twice: result %v, error %v, want Duplicate", result, err)
	}
	if _, result, err = apply(event(5, false, server("b", "removed", 0))); result != Gap || err != nil ||
		f.LastRevision() != 3 {
		t.Errorf("after a gap: result %v, error %v, last revision %d", result, err, f.LastRevision())
	}
	_, _, err = apply("id: 4\ndata: {\"rev\":4,\"pool\":{\"serv\n\n")
	if err == nil || f.LastRevision() != 3 {
		t.Error("an event with truncated data was applied")
	}
	if _, _, err = apply(event(4, false, server("b", "confused", 0))); err == nil || f.LastRevision() != 3 {
		t.Error("an event with an unknown state was applied")
	}
	_, result, err = apply(event(4, false, server("b", "removed", 0)))
	if result != Applied || err != nil || f.Addr("b") != "" {
		t.Errorf("removal: result %v, error %v, address %q", result, err, f.Addr("b"))
	}
	if f.AcceptsQueries("b", f.Addr("b")) || !f.AcceptsQueries("a", f.Addr("a")) ||
		f.AcceptsQueries("a", "elsewhere:1") {
		t.Error("a removed node, or one at another address, accepts queries, or a node that is up does not")
	}
	if removed := f.TakeRemoved(); len(removed) != 1 || removed[0] != "b" {
		t.Errorf("removed nodes %v, want only b", removed)
	}
	_, result, _ = apply(event(9, true, server("c", "up", 0)))
	if result != Applied || f.Addr("a") != "" || f.Addr("c") == "" {
		t.Errorf("full list after a gap: result %v, want Applied", result)
	}
	addr := f.Addr("c")
	if f.AcceptsQueries("a", f.Addr("a")) || !f.AcceptsQueries("c", addr) {
		t.Error("a node that the full list leaves out accepts queries, or a node on it does not")
	}
	_, result, _ = apply(event(10, false, server("c", "draining", 0)))
	if result != Applied || f.Addr("c") != addr ||
		f.AcceptsQueries("c", addr) || !f.Draining("c") || f.Draining("a") {
		t.Error("a draining node accepts new queries, or has no address for the queries that it runs")
	}
}

// TestAddressTaken checks when a compute node's address belongs to another one: once the other one accepts
// queries there and the first one does not, until the other one leaves.
func TestAddressTaken(t *testing.T) {
	const addr = "10.0.0.1:1" // of all servers
	f := newFollower()
	for i, step := range []struct {
		full    bool
		servers string
		taken   bool // from server a
	}{
		{true, server("a", "up", 0), false},
		{false, server("a", "draining", 0), false},
		{false, server("b", "up", 0), true},
		{false, server("b", "draining", 0), false},
		{false, server("b", "up", 0), true},
		{false, server("a", "removed", 0), true},
		{false, server("b", "removed", 0), false},
		{false, server("a", "up", 0) + "," + server("b", "up", 0), false},
		{false, server("a", "draining", 0), true},
		{true, server("a", "draining", 0), false},
		{true, server("c", "up", 0), true},
	} {
		var p Parser
		if err := p.Feed([]byte(event(i+1, step.full, step.servers)), func(e Event) {
			if _, result, err := f.Apply(e); result != Applied || err != nil {
				t.Fatalf("event %d: result %v, error %v", i+1, result, err)
			}
		}); err != nil {
			t.Fatal(err)
		}
		if taken := f.AddressTaken("a", addr); taken != step.taken {
			t.Errorf("after event %d: the address is taken: %v, want %v", i+1, taken, step.taken)
		}
		if f.AddressTaken("a", "10.0.0.2:1") {
			t.Errorf("after event %d: an address that no server has is taken", i+1)
		}
	}
}
